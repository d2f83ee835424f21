"""Entry point of buckthornctl."""

import sys

from absl import flags

from buckthorn_client import burning
from buckthorn_client import checking
from buckthorn_client import commands
from buckthorn_client import history
from buckthorn_client import moving
from buckthorn_client import publications
from buckthorn_client import status
from buckthorn_core import errors
from buckthorn_core import findings

# Importing these modules registers their commands.
COMMAND_MODULES = (burning, checking, history, moving, publications, status)

_HINTS = {
    errors.Code.LOG_UNAVAILABLE: (
        "\nThe log service did not answer, and nothing was published. Check"
        " log_url in the settings; in an outage try again later"
        " (docs/operators/log-outage.md)."
    ),
}
_HELP_FLAGS = frozenset({"-h", "-help", "--help"})
_USAGE = """\
usage: buckthornctl COMMAND [--flag=value ...]

{commands}

The usual order is: edit the files, `check`, `diff`, `publish --wait`, `status`.
`buckthornctl help COMMAND` explains a command and its flags.
Exit statuses: {statuses}."""


def usage() -> str:
    """Returns the help on all commands."""
    rows = []
    for name in commands.names():
        found = commands.get(name)
        rows.append(f"  {name:9}{found.summary if found else ''}")
    statuses = ", ".join(
        f"{e.value} {e.name.lower().replace('_', ' ')}" for e in commands.Exit
    )
    return _USAGE.format(commands="\n".join(rows), statuses=statuses)


def help_on(command: commands.Command) -> str:
    """Returns the help on a command."""
    lines = [
        f"usage: buckthornctl {command.name} [--flag=value ...]",
        "",
        command.help,
        "",
        "flags:",
    ]
    for name in command.flags:
        flag = flags.FLAGS[name]
        default = "" if flag.default in (None, "", False) else flag.default
        suffix = f" (default: {flag.default_as_str})" if default != "" else ""
        lines.append(f"  --{name}: {flag.help}{suffix}")
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Runs a command and returns the exit status."""
    wants_help = bool(_HELP_FLAGS.intersection(argv)) or "help" in argv[1:2]
    words = [word for word in argv[1:] if not word.startswith("-")]
    if wants_help:
        named = commands.get(next((w for w in words if w != "help"), ""))
        print(help_on(named) if named else usage())
        return commands.Exit.OK
    try:
        return _run(_find(flags.FLAGS(argv)))
    except (flags.Error, commands.UsageError) as exc:
        print(f"buckthornctl: {exc}", file=sys.stderr)
        return commands.Exit.USAGE
    except findings.FindingsError as exc:
        print(exc, file=sys.stderr)
        return commands.Exit.FINDINGS
    except errors.BuckthornError as exc:
        hint = _HINTS.get(exc.code, "")
        print(f"buckthornctl: {exc}{hint}", file=sys.stderr)
        return commands.Exit.UNAVAILABLE


def _find(words: list[str]) -> commands.Command:
    if len(words) < 2:
        raise commands.UsageError(f"a command is needed\n\n{usage()}")
    found = commands.get(words[1])
    if found is None:
        raise commands.UsageError(
            f"there is no command {words[1]!r}; the commands are"
            f" {', '.join(commands.names())}"
        )
    if len(words) > 2:
        raise commands.UsageError(
            f"{words[2]!r} is not expected; flags are written --name=value,"
            f" see `buckthornctl help {found.name}`"
        )
    return found


def _run(command: commands.Command) -> int:
    for name in flags.FLAGS:
        if flags.FLAGS[name].present and name not in command.flags:
            raise commands.UsageError(
                f"`{command.name}` takes no --{name}; see"
                f" `buckthornctl help {command.name}`"
            )
    return command.run()


def run() -> None:
    """Console script."""
    flags.FLAGS.set_gnu_getopt(True)
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
