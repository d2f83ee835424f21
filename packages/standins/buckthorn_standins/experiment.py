"""Runs an experiment: `python -m buckthorn_standins.experiment NAME`."""

import importlib
import json
import pathlib
import sys
import tempfile

from absl import app
from absl import flags

from buckthorn_standins import experiments
from buckthorn_standins import options
from buckthorn_standins import tables

_SIZES = flags.DEFINE_list("sizes", [], "Numbers of daemons or members.")
_DEPLOYMENTS = flags.DEFINE_list("deployments", [], "Deployments to run.")
_ROUNDS = flags.DEFINE_integer("rounds", 0, "Changes or repetitions.")
_SECONDS = flags.DEFINE_float("seconds", 0.0, "Length of a measurement.")
_KEEP = flags.DEFINE_string("keep", "", "Folder to keep settings and logs in.")
_DAEMON = flags.DEFINE_string(
    "daemon", "{}", "Settings of the daemons, as a JSON object."
)

# The modules register their experiments when they are imported.
MODULES = (
    "convergence",
    "overload",
    "leaving",
    "herd",
    "footprint",
    "member_costs",
    "operation_costs",
    "mesh_load",
    "limit_ways",
)


def main(argv: list[str]) -> int:
    """Runs the named experiment and returns the exit status."""
    for module in MODULES:
        importlib.import_module(f"buckthorn_standins.{module}")
    name = argv[1] if len(argv) == 2 else ""
    run = experiments.get(name)
    if run is None:
        names = ", ".join(experiments.names())
        print(f"experiment: name one of {names}", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory(prefix="buckthorn-") as temporary:
        folder = pathlib.Path(_KEEP.value or temporary)
        tables.print_preamble(name, options.SEED.value)
        if _DAEMON.value != "{}":
            print(f"settings of the daemons: {_DAEMON.value}")
        run(
            experiments.Options(
                seed=options.SEED.value,
                sizes=[int(size) for size in _SIZES.value],
                deployments=_DEPLOYMENTS.value,
                rounds=_ROUNDS.value,
                seconds=_SECONDS.value,
                folder=folder,
                daemon_settings=json.loads(_DAEMON.value),
            )
        )
    return 0


if __name__ == "__main__":
    app.run(main)
