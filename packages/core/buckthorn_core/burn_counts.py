"""Counts requests against service-level objectives and merges the counts.

A request is good, bad or not counted. A good request is also slow if it took
longer than the objective's latency. Each counted request adds the fraction
that its objective allows to fail to the error budget, so counts under
different objectives (a site's overlay may set its own) can be added.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids

# Budgets are integers in millionths of a request: unlike floats, integers have
# the same sum in any order of addition.
MILLION = 1_000_000
# Number of daemons with the most bad and slow requests that a tally keeps.
TOP_DAEMONS = 5
# Above the design size of 780 services.
MAX_SERVICES = 1_024
INTERVAL_S = 30.0
MAX_INTERVALS = 8

SLOW = "slow"
CALLER_GONE = "caller_gone"
INTERNAL = "internal"
# Counts requests refused before their service was known, such as by a daemon
# that is starting; they are measured against the default objective.
UNROUTED = ids.ServiceName("unrouted")
# Counts the services beyond MAX_SERVICES together.
OTHER = ids.ServiceName("other")

# Outcomes that the service did not cause: the caller sent a wrong request, sent
# it at the wrong time or closed its connection. A quarantined request crashed
# upstreams before; those crashes were counted as failures.
NOT_COUNTED = frozenset(
    {
        errors.Code.NO_ROUTE.value,
        errors.Code.BODY_TOO_LARGE.value,
        errors.Code.HEADERS_TOO_LARGE.value,
        errors.Code.BODY_OVERRUN.value,
        errors.Code.BODY_CUT_SHORT.value,
        errors.Code.BAD_REQUEST.value,
        errors.Code.IN_PROGRESS.value,
        errors.Code.ALREADY_COMPLETED.value,
        errors.Code.KEY_REUSED.value,
        errors.Code.QUARANTINED.value,
        CALLER_GONE,
    }
)
_STATUS_CAUSES = {n: f"http_{n}" for n in (500, 501, 502, 503, 504)}

TopCounts = dict[ids.DaemonId, int]


def status_cause(status: int) -> str:
    """Returns the cause of failure for an upstream's HTTP status.

    It is empty for a status below 500. Unknown statuses share one cause, so
    that the number of causes is bounded.
    """
    if status < 500:
        return ""
    return _STATUS_CAUSES.get(status, "http_5xx")


class Tally(msgspec.Struct, array_like=True):
    """Counts of one service.

    Attributes:
        total: Counted requests.
        bad: Requests that failed or were refused.
        bad_allowed: Failures that the objectives allow, in millionths.
        timed: Good requests whose duration was measured.
        slow: Good requests above the objective's latency.
        slow_allowed: Slow requests that the objectives allow, in millionths.
        causes: Bad and slow requests by cause; exact, because the set of
            causes is fixed.
        daemons: Bad and slow requests by daemon, for the TOP_DAEMONS with
            the most; see `merge_top`.
    """

    total: int = 0
    bad: int = 0
    bad_allowed: int = 0
    timed: int = 0
    slow: int = 0
    slow_allowed: int = 0
    causes: dict[str, int] = {}
    daemons: TopCounts = {}

    def count(
        self,
        objective: bundles.Objective,
        seconds: float | None,
        cause: str,
        daemon: ids.DaemonId,
    ) -> None:
        """Counts one request.

        Args:
            objective: Objective of the service at the site.
            seconds: Duration, or None if it depends on the caller.
            cause: Cause of its failure; empty if it succeeded.
            daemon: Daemon to which a failure is attributed.
        """
        self.total += 1
        self.bad_allowed += round((1.0 - objective.availability) * MILLION)
        if cause:
            self.bad += 1
        elif seconds is not None:
            self.timed += 1
            self.slow_allowed += round(
                (1.0 - objective.latency_fraction) * MILLION
            )
            if seconds * 1000.0 <= objective.latency_ms:
                return
            self.slow += 1
            cause = SLOW
        else:
            return
        self.causes[cause] = self.causes.get(cause, 0) + 1
        self.daemons = merge_top(self.daemons, {daemon: 1})

    def add(self, other: "Tally") -> None:
        """Adds the counts of other requests."""
        self.total += other.total
        self.bad += other.bad
        self.bad_allowed += other.bad_allowed
        self.timed += other.timed
        self.slow += other.slow
        self.slow_allowed += other.slow_allowed
        for cause, count in other.causes.items():
            self.causes[cause] = self.causes.get(cause, 0) + count
        self.daemons = merge_top(self.daemons, other.daemons)


Tallies = dict[ids.ServiceName, Tally]


def merge_top(
    left: Mapping[ids.DaemonId, int], right: Mapping[ids.DaemonId, int]
) -> TopCounts:
    """Merges two sets of counts and keeps those of the TOP_DAEMONS.

    This is the merge of Misra-Gries summaries: a count is never too high and
    at most n / (TOP_DAEMONS + 1) too low, where n is the number of all
    events, in whatever order the sets are merged.
    """
    merged = dict(left)
    for daemon, count in right.items():
        merged[daemon] = merged.get(daemon, 0) + count
    if len(merged) <= TOP_DAEMONS:
        return merged
    threshold = sorted(merged.values(), reverse=True)[TOP_DAEMONS]
    return {
        d: count - threshold for d, count in merged.items() if count > threshold
    }


def add_tallies(target: Tallies, more: Mapping[ids.ServiceName, Tally]) -> None:
    """Adds counts by service; services beyond MAX_SERVICES go to OTHER."""
    for service, tally in more.items():
        get_or_create_tally(target, service).add(tally)


def get_or_create_tally(target: Tallies, service: ids.ServiceName) -> Tally:
    """Returns a service's tally, or that of OTHER beyond MAX_SERVICES."""
    tally = target.get(service)
    if tally is None:
        if len(target) >= MAX_SERVICES:
            service = OTHER
        tally = target.setdefault(service, Tally())
    return tally


class AgedInterval(msgspec.Struct, array_like=True):
    """Counts of an interval, as daemons send them up the tree.

    Attributes:
        age_s: Time since the interval began, in seconds. Unlike a timestamp,
            an age needs no synchronised clocks.
        tallies: Counts by service.
    """

    age_s: float
    tallies: Tallies


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AgedInterval])


def encode(intervals: list[AgedInterval]) -> bytes:
    """Encodes intervals."""
    return _encoder.encode(intervals)


def decode(data: bytes) -> list[AgedInterval]:
    """Decodes intervals.

    Raises:
        errors.PeerError: The data is malformed.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc


class Interval(msgspec.Struct):
    """Counts of an interval of INTERVAL_S, or of several merged ones.

    Attributes:
        start_s: Start of the interval in local time, in seconds.
        tallies: Counts by service.
    """

    start_s: float
    tallies: Tallies


class Accumulator:
    """Collects counts to send, in at most MAX_INTERVALS intervals.

    While the parent can't be reached, intervals are merged: memory and the
    next message stay bounded, and only the time resolution gets worse.
    """

    def __init__(self) -> None:
        self._intervals: list[Interval] = []

    def count(
        self,
        service: ids.ServiceName,
        objective: bundles.Objective,
        seconds: float | None,
        cause: str,
        daemon: ids.DaemonId,
        now_s: float,
    ) -> None:
        """Counts one request; see `Tally.count`."""
        interval = self._intervals[-1] if self._intervals else None
        if (
            interval is None
            or not interval.start_s <= now_s < interval.start_s + INTERVAL_S
        ):
            interval = self._interval_at(now_s)
        tally = interval.tallies.get(service)
        if tally is None:
            tally = get_or_create_tally(interval.tallies, service)
        tally.count(objective, seconds, cause, daemon)

    def add(self, intervals: Iterable[AgedInterval], now_s: float) -> None:
        """Adds the counts that a child sent."""
        for aged in intervals:
            interval = self._interval_at(now_s - max(0.0, aged.age_s))
            add_tallies(interval.tallies, aged.tallies)

    def pop_all(self) -> list[Interval]:
        """Returns all intervals and removes them."""
        popped, self._intervals = self._intervals, []
        return popped

    def _interval_at(self, time_s: float) -> Interval:
        start_s = time_s // INTERVAL_S * INTERVAL_S
        for interval in self._intervals:
            if interval.start_s == start_s:
                return interval
        self._intervals.append(Interval(start_s, {}))
        self._intervals.sort(key=lambda interval: interval.start_s)
        if len(self._intervals) > MAX_INTERVALS:
            self._merge_closest_pair()
        return min(
            self._intervals,
            key=lambda interval: abs(interval.start_s - start_s),
        )

    def _merge_closest_pair(self) -> None:
        starts = [interval.start_s for interval in self._intervals]
        # The newest interval isn't merged: it is still counting.
        index = min(
            range(len(starts) - 2), key=lambda i: starts[i + 1] - starts[i]
        )
        removed = self._intervals.pop(index + 1)
        add_tallies(self._intervals[index].tallies, removed.tallies)


def to_aged_intervals(
    intervals: Iterable[Interval], now_s: float
) -> list[AgedInterval]:
    """Converts intervals to the form in which they are sent."""
    return [
        AgedInterval(
            round(max(0.0, now_s - interval.start_s), 1), interval.tallies
        )
        for interval in intervals
    ]
