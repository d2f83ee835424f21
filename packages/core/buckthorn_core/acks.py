"""Aggregation of acknowledgements up the distribution tree."""

from collections.abc import Iterable
from typing import NamedTuple

from buckthorn_core import ids

MAX_LAGGARDS = 8
# Bounds of a report, whatever the children send. More than a few versions are
# in force at the same time only if some daemons lag far behind.
MAX_VERSIONS = 8
MAX_SITES = 64
# Age from which a child's report is dropped, in seconds.
REPORT_TIMEOUT_S = 6.5

Counts = dict[int, int]


class VersionCounts(NamedTuple):
    """Versions in force on a set of daemons.

    Attributes:
        counts: Number of daemons by version number.
        laggards: Some daemons with the lowest version.
        sites: Number of daemons by version number, by site.
    """

    counts: Counts
    laggards: list[ids.DaemonId]
    sites: dict[ids.SiteName, Counts] = {}

    @property
    def lowest(self) -> int:
        """The lowest version number; 0 if there is no daemon."""
        return min(self.counts, default=0)


class _ChildReport(NamedTuple):
    counts: VersionCounts
    received_s: float


class AckAggregator:
    """Aggregates the versions of a daemon and of all daemons below it."""

    def __init__(self, daemon: ids.DaemonId, site: ids.SiteName | None = None):
        self._daemon = daemon
        self._site = site
        self._reports: dict[ids.DaemonId, _ChildReport] = {}
        self._root_since_s: float | None = None

    def note_root(self, is_root: bool, now_s: float) -> None:
        """Records whether this daemon is the root of the tree."""
        if not is_root:
            self._root_since_s = None
        elif self._root_since_s is None:
            self._root_since_s = now_s

    def covers_fleet(self, now_s: float) -> bool:
        """Returns whether the total covers the whole fleet.

        A daemon that has just become the root lacks the reports of daemons
        that still report elsewhere. One that has just started considers itself
        the root until it knows other members.
        """
        since_s = self._root_since_s
        return since_s is not None and now_s - since_s >= REPORT_TIMEOUT_S

    def add_report(
        self, child: ids.DaemonId, counts: VersionCounts, now_s: float
    ) -> None:
        """Stores a child's report."""
        self._reports[child] = _ChildReport(counts, now_s)

    def total(
        self, own_version: ids.VersionNumber, now_s: float
    ) -> VersionCounts:
        """Returns the counts of this daemon and those below it.

        Args:
            own_version: Version in force at this daemon.
            now_s: Steady time, in seconds.
        """
        self._reports = {
            child: report
            for child, report in self._reports.items()
            if now_s - report.received_s < REPORT_TIMEOUT_S
        }
        parts = [report.counts for report in self._reports.values()]
        sites = {self._site: {int(own_version): 1}} if self._site else {}
        parts.append(VersionCounts({own_version: 1}, [self._daemon], sites))
        return combine(parts)


def combine(parts: list[VersionCounts]) -> VersionCounts:
    """Adds the counts of disjoint sets of daemons, within the bounds."""
    counts = _add(part.counts for part in parts)
    lowest = min(counts, default=0)
    laggards = [
        daemon
        for part in parts
        if part.lowest == lowest
        for daemon in part.laggards
    ]
    names = sorted({site for part in parts for site in part.sites})
    sites = {
        site: _add(part.sites.get(site, {}) for part in parts)
        for site in names[:MAX_SITES]
    }
    return VersionCounts(counts, laggards[:MAX_LAGGARDS], sites)


def _add(parts: Iterable[Counts]) -> Counts:
    counts: Counts = {}
    for part in parts:
        for number, count in part.items():
            counts[number] = counts.get(number, 0) + count
    return _bounded(counts)


def _bounded(counts: Counts) -> Counts:
    """Merges the lower versions into the lowest if there are too many.

    So no daemon is counted with a higher version than it has.
    """
    if len(counts) <= MAX_VERSIONS:
        return counts
    numbers = sorted(counts, reverse=True)
    kept = {n: counts[n] for n in numbers[: MAX_VERSIONS - 1]}
    kept[numbers[-1]] = sum(counts[n] for n in numbers[MAX_VERSIONS - 1 :])
    return kept
