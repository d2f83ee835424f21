"""Aggregation of acknowledgements up the distribution tree."""

from typing import NamedTuple

from buckthorn_core import ids

MAX_LAGGARDS = 8
REPORT_TIMEOUT_S = 6.5


class Tally(NamedTuple):
    """Versions in force on a set of daemons.

    Attributes:
        counts: Number of daemons by version number.
        laggards: Some daemons with the lowest version.
    """

    counts: dict[int, int]
    laggards: list[ids.DaemonId]

    @property
    def lowest(self) -> int:
        """The lowest version number; 0 if there is no daemon."""
        return min(self.counts, default=0)


class _Report(NamedTuple):
    tally: Tally
    time_s: float


class AckTree:
    """The tally of a daemon and all daemons below it."""

    def __init__(self, me: ids.DaemonId):
        self._me = me
        self._reports: dict[ids.DaemonId, _Report] = {}

    def add(self, child: ids.DaemonId, tally: Tally, now_s: float) -> None:
        """Stores a child's tally."""
        self._reports[child] = _Report(tally, now_s)

    def total(self, own: ids.VersionNumber, now_s: float) -> Tally:
        """Returns the tally of this daemon and those below it."""
        self._reports = {
            child: report
            for child, report in self._reports.items()
            if now_s - report.time_s < REPORT_TIMEOUT_S
        }
        tallies = [report.tally for report in self._reports.values()]
        tallies.append(Tally({own: 1}, [self._me]))
        return combine(tallies)


def combine(tallies: list[Tally]) -> Tally:
    """Adds tallies of disjoint sets of daemons."""
    counts: dict[int, int] = {}
    for tally in tallies:
        for number, count in tally.counts.items():
            counts[number] = counts.get(number, 0) + count
    lowest = min(counts, default=0)
    laggards = [
        daemon
        for tally in tallies
        if tally.lowest == lowest
        for daemon in tally.laggards
    ]
    return Tally(counts, laggards[:MAX_LAGGARDS])
