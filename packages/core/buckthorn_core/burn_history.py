"""History of counts at the root of the tree, in rings of time buckets."""

import array
import enum
from typing import NamedTuple

import msgspec

from buckthorn_core import burn_counts
from buckthorn_core import errors
from buckthorn_core import ids

FIELDS = 6
DETAIL_BUCKET_S = 900
DETAIL_BUCKETS = 5


class BucketWidth(enum.IntEnum):
    """Rings of buckets; the value is the width of a bucket in seconds.

    A window is summed over the running bucket and as many full ones as fit,
    so it is at most one bucket longer than its name says, a tenth at most
    (a twelfth for 6 h).
    """

    HALF_MINUTE = 30
    THREE_MINUTES = 180
    HALF_HOUR = 1_800
    DAY = 86_400


# Full buckets and the running one: 5 min, 1 h, 6 h, 28 days. The 75 buckets
# of 48 bytes take 3.6 KB a service.
LENGTHS = {
    BucketWidth.HALF_MINUTE: 11,
    BucketWidth.THREE_MINUTES: 21,
    BucketWidth.HALF_HOUR: 13,
    BucketWidth.DAY: 29,
}

_INDEX = {tier: index for index, tier in enumerate(BucketWidth)}


class WindowTotals(NamedTuple):
    """Counts of a window; see `burn_counts.Tally`."""

    total: int = 0
    bad: int = 0
    bad_allowed: int = 0
    timed: int = 0
    slow: int = 0
    slow_allowed: int = 0


class _Ring:
    """Counts of a service in one tier; a field's buckets lie side by side."""

    def __init__(self, length: int):
        self.length = length
        self.newest = 0
        self.values = array.array("q", bytes(8 * FIELDS * length))

    def advance(self, bucket: int) -> None:
        """Clears the buckets up to a newer one."""
        steps = min(self.length, bucket - self.newest)
        for step in range(steps):
            place = (bucket - step) % self.length
            for field in range(FIELDS):
                self.values[field * self.length + place] = 0
        self.newest = max(self.newest, bucket)

    def add(self, bucket: int, counts: tuple[int, ...]) -> None:
        """Adds to a bucket; what is older than the ring is dropped."""
        self.advance(bucket)
        if bucket <= self.newest - self.length:
            return
        place = bucket % self.length
        for field, count in enumerate(counts):
            self.values[field * self.length + place] += count

    def bucket(self, bucket: int) -> WindowTotals:
        """Returns the counts of one bucket."""
        if not self.newest - self.length < bucket <= self.newest:
            return WindowTotals()
        return WindowTotals(*self.values[bucket % self.length :: self.length])

    def sums(self, first: int, last: int) -> WindowTotals:
        """Returns the counts of the buckets from first to last."""
        last = min(last, self.newest)
        first = max(first, self.newest - self.length + 1)
        if first > last:
            return WindowTotals()
        start, end = first % self.length, last % self.length + 1
        found = []
        for field in range(FIELDS):
            low = field * self.length
            if start < end:
                found.append(sum(self.values[low + start : low + end]))
            else:
                found.append(
                    sum(self.values[low + start : low + self.length])
                    + sum(self.values[low : low + end])
                )
        return WindowTotals(*found)


class HistoryCopy(msgspec.Struct, array_like=True):
    """A history in the form in which it is sent to another daemon.

    Attributes:
        now_s: Time at the sender, by the history's own count.
        since_s: When counting began, by the same count.
        rings: Newest bucket and values by service and tier.
        details: Causes and daemons by bucket and service.
    """

    now_s: float
    since_s: float
    rings: dict[ids.ServiceName, list[tuple[int, bytes]]]
    details: dict[int, burn_counts.Tallies]


class History:
    """Counts of the fleet.

    Time is local; a history taken over from another daemon continues on that
    daemon's count, so that the clocks of the two need not agree.
    """

    def __init__(self, now_s: float):
        self._shift_s = 0.0
        self._since_s = now_s
        self._rings: dict[ids.ServiceName, list[_Ring]] = {}
        self._details: dict[int, burn_counts.Tallies] = {}

    def covered_s(self, now_s: float) -> float:
        """Returns for how long counts have been kept, in seconds."""
        return now_s + self._shift_s - self._since_s

    def services(self) -> list[ids.ServiceName]:
        """Returns the services with counts, in order of their names."""
        return sorted(self._rings)

    def add(self, slices: list[burn_counts.AgedInterval], now_s: float) -> None:
        """Adds counts that arrived now."""
        for piece in slices:
            time_s = now_s + self._shift_s - max(0.0, piece.age_s)
            for service, tally in piece.tallies.items():
                self._add(service, tally, time_s)

    def _add(
        self, service: ids.ServiceName, tally: burn_counts.Tally, time_s: float
    ) -> None:
        if (
            service not in self._rings
            and len(self._rings) >= burn_counts.MAX_SERVICES
        ):
            service = burn_counts.OTHER
        rings = self._rings.get(service)
        if rings is None:
            rings = [_Ring(LENGTHS[tier]) for tier in BucketWidth]
            self._rings[service] = rings
        counts = (
            tally.total,
            tally.bad,
            tally.bad_allowed,
            tally.timed,
            tally.slow,
            tally.slow_allowed,
        )
        for tier, ring in zip(BucketWidth, rings, strict=True):
            ring.add(int(time_s // tier), counts)
        if tally.causes:
            self._add_detail(service, tally, int(time_s // DETAIL_BUCKET_S))

    def _add_detail(
        self, service: ids.ServiceName, tally: burn_counts.Tally, bucket: int
    ) -> None:
        newest = max([bucket, *self._details])
        self._details = {
            number: found
            for number, found in self._details.items()
            if number > newest - DETAIL_BUCKETS
        }
        if bucket > newest - DETAIL_BUCKETS:
            kept = self._details.setdefault(bucket, {})
            burn_counts.get_or_create_tally(kept, service).add(
                burn_counts.Tally(causes=tally.causes, daemons=tally.daemons)
            )

    def window_totals(
        self,
        service: ids.ServiceName,
        tier: BucketWidth,
        seconds: float,
        now_s: float,
    ) -> WindowTotals:
        """Returns the counts of a service in the last seconds."""
        rings = self._rings.get(service)
        if rings is None:
            return WindowTotals()
        last = int((now_s + self._shift_s) // tier)
        return rings[_INDEX[tier]].sums(last - int(seconds // tier), last)

    def series(
        self, service: ids.ServiceName, tier: BucketWidth, now_s: float
    ) -> list[WindowTotals]:
        """Returns the counts of each bucket of a tier, the oldest first."""
        rings = self._rings.get(service)
        last = int((now_s + self._shift_s) // tier)
        numbers = range(last - LENGTHS[tier] + 1, last + 1)
        if rings is None:
            return [WindowTotals()] * len(numbers)
        ring = rings[_INDEX[tier]]
        return [ring.bucket(number) for number in numbers]

    def detail(
        self, service: ids.ServiceName, now_s: float
    ) -> burn_counts.Tally:
        """Returns causes and daemons of the last hour."""
        found = burn_counts.Tally()
        oldest = (now_s + self._shift_s) // DETAIL_BUCKET_S - DETAIL_BUCKETS
        for bucket, kept in self._details.items():
            if bucket > oldest and service in kept:
                found.add(kept[service])
        return found

    def export_copy(self, now_s: float) -> HistoryCopy:
        """Returns the history in the form in which it is sent."""
        return HistoryCopy(
            now_s + self._shift_s,
            self._since_s,
            {
                service: [(r.newest, r.values.tobytes()) for r in rings]
                for service, rings in self._rings.items()
            },
            self._details,
        )

    def replace_if_longer(self, copy: HistoryCopy, now_s: float) -> bool:
        """Replaces this history by one that covers more time.

        Returns:
            Whether it was replaced.

        Raises:
            errors.PeerError: The copy is malformed.
        """
        if copy.now_s - copy.since_s <= self.covered_s(now_s):
            return False
        self._rings = {
            service: _rings_of(rings) for service, rings in copy.rings.items()
        }
        self._details = copy.details
        self._since_s = copy.since_s
        self._shift_s = copy.now_s - now_s
        return True


def _rings_of(sent: list[tuple[int, bytes]]) -> list[_Ring]:
    rings = [_Ring(LENGTHS[tier]) for tier in BucketWidth]
    if len(sent) != len(rings):
        raise errors.PeerError(errors.Code.BAD_MESSAGE, "wrong tiers")
    for ring, (newest, values) in zip(rings, sent, strict=True):
        if len(values) != len(ring.values) * ring.values.itemsize:
            raise errors.PeerError(errors.Code.BAD_MESSAGE, "wrong buckets")
        ring.newest = newest
        ring.values = array.array("q", values)
    return rings
