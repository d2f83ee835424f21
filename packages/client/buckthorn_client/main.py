"""Entry point of buckthornctl."""

import sys

from absl import app
from absl import flags

from buckthorn_client import burning  # noqa: F401
from buckthorn_client import commands
from buckthorn_core import errors
from buckthorn_core import findings

_USAGE = "buckthornctl COMMAND [--flag=value ...]"


def main(argv: list[str]) -> int:
    """Runs a command."""
    run_command = commands.get(argv[1]) if len(argv) == 2 else None
    if run_command is None:
        print(f"{_USAGE}\ncommands: {', '.join(commands.names())}")
        return commands.Exit.USAGE
    try:
        return run_command()
    except findings.FindingsError as exc:
        print(exc, file=sys.stderr)
        return commands.Exit.FINDINGS
    except errors.BuckthornError as exc:
        print(f"buckthornctl: {exc}", file=sys.stderr)
        return commands.Exit.UNAVAILABLE


def run() -> None:
    """Console script."""
    flags.FLAGS.set_gnu_getopt(True)
    app.run(main)


if __name__ == "__main__":
    run()
