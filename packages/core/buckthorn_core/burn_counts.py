"""Counts of requests against service-level objectives, and their merging.

A request is good, bad or not counted. A good request is also slow if it took
longer than the objective's bound. Each counted request adds the share that
its objective allows to fail to the budget, so that counts made under
different objectives (a site's overlay may set its own) can be added.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids

# Budgets are integers in millionths of a request: sums of integers do not
# depend on the order of addition, sums of floats do.
MILLION = 1_000_000
TOP_DAEMONS = 5
# Above the 780 services of the target size.
MAX_SERVICES = 1_024
INTERVAL_S = 30.0
MAX_INTERVALS = 8

SLOW = "slow"
CALLER_GONE = "caller_gone"
INTERNAL = "internal"
# Requests refused before their service was known, such as by a daemon that
# starts; they are held against the default objective.
UNROUTED = ids.ServiceName("unrouted")
# Takes the counts of services beyond MAX_SERVICES.
OTHER = ids.ServiceName("other")

# Codes that say nothing about the service: the caller's request or timing is
# at fault, or the caller closed its connection. A quarantined request crashed
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
    """Returns the cause that an upstream's status stands for; empty if good.

    The set of causes is bounded, whatever statuses upstreams invent.
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
        causes: Bad and slow requests by cause. Codes are a fixed set, so
            this is exact.
        daemons: Bad and slow requests by daemon, the most frequent only.
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
            objective: The objective in force.
            seconds: Duration, or None if it depends on the caller.
            cause: Why it failed; empty if it did not.
            daemon: The daemon that a failure is attributed to.
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
    """Merges two lists of the most frequent daemons.

    This is the mergeable form of the Misra-Gries summary: a kept count is at
    most n / (TOP_DAEMONS + 1) too low, where n is the number of all events,
    and never too high, in whatever order lists are merged.
    """
    merged = dict(left)
    for daemon, count in right.items():
        merged[daemon] = merged.get(daemon, 0) + count
    if len(merged) <= TOP_DAEMONS:
        return merged
    cut = sorted(merged.values(), reverse=True)[TOP_DAEMONS]
    return {d: count - cut for d, count in merged.items() if count > cut}


def add_tallies(target: Tallies, more: Mapping[ids.ServiceName, Tally]) -> None:
    """Adds counts service by service, within MAX_SERVICES."""
    for service, tally in more.items():
        get_or_create_tally(target, service).add(tally)


def get_or_create_tally(target: Tallies, service: ids.ServiceName) -> Tally:
    """Returns the tally of a service, made when it is missing."""
    found = target.get(service)
    if found is None:
        if len(target) >= MAX_SERVICES:
            service = OTHER
        found = target.setdefault(service, Tally())
    return found


class AgedInterval(msgspec.Struct, array_like=True):
    """Counts of a period, as they travel up the tree.

    Attributes:
        age_s: How long ago the period began. Ages need no clocks that agree.
        tallies: Counts by service.
    """

    age_s: float
    tallies: Tallies


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AgedInterval])


def encode(slices: list[AgedInterval]) -> bytes:
    """Encodes slices."""
    return _encoder.encode(slices)


def decode(data: bytes) -> list[AgedInterval]:
    """Decodes slices.

    Raises:
        errors.PeerError: The data is malformed.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as exc:
        raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc


class Interval(msgspec.Struct):
    """Counts of a period that began at a local time."""

    start_s: float
    tallies: Tallies


class Accumulator:
    """Counts that wait to be sent, in at most MAX_INTERVALS intervals.

    While the parent can't be reached periods are merged, so that memory and
    the next message stay bounded and only the resolution suffers.
    """

    def __init__(self) -> None:
        self._slots: list[Interval] = []

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
        slot = self._slots[-1] if self._slots else None
        if (
            slot is None
            or not slot.start_s <= now_s < slot.start_s + INTERVAL_S
        ):
            slot = self._slot(now_s)
        tally = slot.tallies.get(service)
        if tally is None:
            tally = get_or_create_tally(slot.tallies, service)
        tally.count(objective, seconds, cause, daemon)

    def add(self, slices: Iterable[AgedInterval], now_s: float) -> None:
        """Adds the counts of a child."""
        for piece in slices:
            slot = self._slot(now_s - max(0.0, piece.age_s))
            add_tallies(slot.tallies, piece.tallies)

    def pop_all(self) -> list[Interval]:
        """Returns all periods and starts anew."""
        taken, self._slots = self._slots, []
        return taken

    def _slot(self, time_s: float) -> Interval:
        start_s = time_s // INTERVAL_S * INTERVAL_S
        for slot in self._slots:
            if slot.start_s == start_s:
                return slot
        self._slots.append(Interval(start_s, {}))
        self._slots.sort(key=lambda slot: slot.start_s)
        if len(self._slots) > MAX_INTERVALS:
            self._merge_closest()
        return min(self._slots, key=lambda slot: abs(slot.start_s - start_s))

    def _merge_closest(self) -> None:
        starts = [slot.start_s for slot in self._slots]
        # The newest period stays as it is: it is still being counted.
        index = min(
            range(len(starts) - 2), key=lambda i: starts[i + 1] - starts[i]
        )
        removed = self._slots.pop(index + 1)
        add_tallies(self._slots[index].tallies, removed.tallies)


def to_aged_intervals(
    slots: Iterable[Interval], now_s: float
) -> list[AgedInterval]:
    """Returns slots in the form in which they are sent."""
    return [
        AgedInterval(round(max(0.0, now_s - slot.start_s), 1), slot.tallies)
        for slot in slots
    ]
