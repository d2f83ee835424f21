"""Aggregation of acknowledgements up the distribution tree."""

from collections.abc import Iterable
from typing import NamedTuple

from buckthorn_core import ids

MAX_LAGGARDS = 8
# Bounds of a report, whatever the children send. More than a few versions
# are in force together only while some daemons lag far behind.
MAX_VERSIONS = 8
MAX_SITES = 64
REPORT_TIMEOUT_S = 6.5

Counts = dict[int, int]


class VersionCounts(NamedTuple):
    """Versions in force on a set of daemons.

    Attributes:
        counts: Number of daemons by version number.
        laggards: Some daemons with the lowest version.
        sites: The counts of each site.
    """

    counts: Counts
    laggards: list[ids.DaemonId]
    sites: dict[ids.SiteName, Counts] = {}

    @property
    def lowest(self) -> int:
        """The lowest version number; 0 if there is no daemon."""
        return min(self.counts, default=0)


class _Report(NamedTuple):
    tally: VersionCounts
    time_s: float


class AckAggregator:
    """The tally of a daemon and all daemons below it."""

    def __init__(self, me: ids.DaemonId, site: ids.SiteName | None = None):
        self._me = me
        self._site = site
        self._reports: dict[ids.DaemonId, _Report] = {}
        self._root_since_s: float | None = None

    def note_root(self, is_root: bool, now_s: float) -> None:
        """Takes note of whether this daemon is the root of the tree."""
        if not is_root:
            self._root_since_s = None
        elif self._root_since_s is None:
            self._root_since_s = now_s

    def covers_fleet(self, now_s: float) -> bool:
        """Returns whether the total covers the whole fleet.

        A daemon that has just become the root lacks reports of daemons that
        have not found it yet; one that has just started takes itself for the
        root until it knows other members.
        """
        since_s = self._root_since_s
        return since_s is not None and now_s - since_s >= REPORT_TIMEOUT_S

    def add_report(
        self, child: ids.DaemonId, tally: VersionCounts, now_s: float
    ) -> None:
        """Stores a child's tally."""
        self._reports[child] = _Report(tally, now_s)

    def total(self, own: ids.VersionNumber, now_s: float) -> VersionCounts:
        """Returns the tally of this daemon and those below it."""
        self._reports = {
            child: report
            for child, report in self._reports.items()
            if now_s - report.time_s < REPORT_TIMEOUT_S
        }
        tallies = [report.tally for report in self._reports.values()]
        sites = {self._site: {int(own): 1}} if self._site else {}
        tallies.append(VersionCounts({own: 1}, [self._me], sites))
        return combine(tallies)


def combine(tallies: list[VersionCounts]) -> VersionCounts:
    """Adds tallies of disjoint sets of daemons."""
    counts = _add(tally.counts for tally in tallies)
    lowest = min(counts, default=0)
    laggards = [
        daemon
        for tally in tallies
        if tally.lowest == lowest
        for daemon in tally.laggards
    ]
    names = sorted({site for tally in tallies for site in tally.sites})
    sites = {
        site: _add(tally.sites.get(site, {}) for tally in tallies)
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
    """Counts the lower versions as the lowest once there are too many.

    No daemon is then shown with a higher version than it has.
    """
    if len(counts) <= MAX_VERSIONS:
        return counts
    numbers = sorted(counts, reverse=True)
    kept = {n: counts[n] for n in numbers[: MAX_VERSIONS - 1]}
    kept[numbers[-1]] = sum(counts[n] for n in numbers[MAX_VERSIONS - 1 :])
    return kept
