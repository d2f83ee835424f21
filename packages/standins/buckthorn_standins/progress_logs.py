"""Times at which daemons put versions in force, from their log files.

Reading the files costs the daemons nothing, unlike polling them over HTTP.
"""

import datetime
import pathlib
import re

_LINE = re.compile(rb"^(\S+) \S+ +version_in_force .*'version': (\d+)")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f%z"


def parse(line: bytes) -> tuple[int, float] | None:
    """Returns version and time in ms since the epoch, or None."""
    found = _LINE.match(line)
    if found is None:
        return None
    time = datetime.datetime.strptime(found[1].decode(), _TIME_FORMAT)
    return int(found[2]), time.timestamp() * 1000


class ProgressLogs:
    """Follows the log files of several daemons."""

    def __init__(self, paths: dict[str, pathlib.Path]):
        self._paths = paths
        self._positions = dict.fromkeys(paths, 0)
        self._times_ms: dict[str, dict[int, float]] = {n: {} for n in paths}

    def update(self) -> None:
        """Reads what the daemons have written since the last call."""
        for name, path in self._paths.items():
            with path.open("rb") as file:
                file.seek(self._positions[name])
                data = file.read()
            end = data.rfind(b"\n") + 1
            self._positions[name] += end
            for line in data[:end].splitlines():
                if found := parse(line):
                    self._times_ms[name].setdefault(*found)

    def reached(self, version: int) -> dict[str, float]:
        """Returns when each daemon first had a version at least as high."""
        found = {}
        for name, times in self._times_ms.items():
            enough = [t for number, t in times.items() if number >= version]
            if enough:
                found[name] = min(enough)
        return found
