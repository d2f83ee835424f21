"""History of counts at the root of the tree, in time buckets."""

import array
import enum
from typing import NamedTuple

import msgspec

from buckthorn_core import burn_counts
from buckthorn_core import errors
from buckthorn_core import ids

# Number of counters of a bucket, the fields of WindowTotals.
FIELDS = 6
# Causes and daemons are kept for an hour: four full buckets and the running
# one.
DETAIL_BUCKET_S = 900
DETAIL_BUCKETS = 5


class BucketWidth(enum.IntEnum):
    """Width of the buckets of a ring buffer, in seconds.

    A window is summed over the running bucket and as many full ones as fit
    into it, so it is up to one bucket longer than its nominal length: at most
    a tenth (a twelfth for 6 h).
    """

    HALF_MINUTE = 30
    THREE_MINUTES = 180
    HALF_HOUR = 1_800
    DAY = 86_400


# Number of buckets by width, the running one included, for windows of 5 min,
# 1 h, 6 h and 28 days. A service has 75 buckets of 48 bytes, 3.6 KB.
BUCKET_COUNTS = {
    BucketWidth.HALF_MINUTE: 11,
    BucketWidth.THREE_MINUTES: 21,
    BucketWidth.HALF_HOUR: 13,
    BucketWidth.DAY: 29,
}

_RING_INDEX = {width: index for index, width in enumerate(BucketWidth)}


class WindowTotals(NamedTuple):
    """Sums of the counts of a window; see `burn_counts.Tally`."""

    total: int = 0
    bad: int = 0
    bad_allowed: int = 0
    timed: int = 0
    slow: int = 0
    slow_allowed: int = 0


class _RingBuffer:
    """Counts of a service in buckets of one width.

    The buckets of a field are adjacent, so that a window of it is summed over
    one or two slices of the array.
    """

    def __init__(self, length: int):
        self.length = length
        self.newest = 0
        self.values = array.array("q", bytes(8 * FIELDS * length))

    def advance(self, bucket: int) -> None:
        """Clears the buckets that a newer one replaces."""
        steps = min(self.length, bucket - self.newest)
        for step in range(steps):
            index = (bucket - step) % self.length
            for field in range(FIELDS):
                self.values[field * self.length + index] = 0
        self.newest = max(self.newest, bucket)

    def add(self, bucket: int, counts: tuple[int, ...]) -> None:
        """Adds to a bucket; counts older than the ring buffer are dropped."""
        self.advance(bucket)
        if bucket <= self.newest - self.length:
            return
        index = bucket % self.length
        for field, count in enumerate(counts):
            self.values[field * self.length + index] += count

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
        totals = []
        for field in range(FIELDS):
            low = field * self.length
            if start < end:
                totals.append(sum(self.values[low + start : low + end]))
            else:
                totals.append(
                    sum(self.values[low + start : low + self.length])
                    + sum(self.values[low : low + end])
                )
        return WindowTotals(*totals)


class HistoryCopy(msgspec.Struct, array_like=True):
    """A history in the form in which it is sent to another daemon.

    Attributes:
        now_s: Time of the copy on the history's clock, in seconds.
        since_s: Start of counting on the same clock, in seconds.
        rings: Newest bucket and values by service and bucket width.
        details: Causes and daemons by bucket and service.
    """

    now_s: float
    since_s: float
    rings: dict[ids.ServiceName, list[tuple[int, bytes]]]
    details: dict[int, burn_counts.Tallies]


class History:
    """Counts of the fleet by service.

    Times are local. A history copied from another daemon keeps the clock of
    that daemon by an offset to the local one, so the clocks of the two need
    not be synchronised.
    """

    def __init__(self, now_s: float):
        self._clock_offset_s = 0.0
        self._since_s = now_s
        self._rings: dict[ids.ServiceName, list[_RingBuffer]] = {}
        self._details: dict[int, burn_counts.Tallies] = {}

    def covered_s(self, now_s: float) -> float:
        """Returns the time since counting began, in seconds."""
        return now_s + self._clock_offset_s - self._since_s

    def services(self) -> list[ids.ServiceName]:
        """Returns the services with counts, sorted by name."""
        return sorted(self._rings)

    def add(
        self, intervals: list[burn_counts.AgedInterval], now_s: float
    ) -> None:
        """Adds counts that were received at `now_s`."""
        for interval in intervals:
            time_s = now_s + self._clock_offset_s - max(0.0, interval.age_s)
            for service, tally in interval.tallies.items():
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
            rings = [_RingBuffer(BUCKET_COUNTS[width]) for width in BucketWidth]
            self._rings[service] = rings
        counts = (
            tally.total,
            tally.bad,
            tally.bad_allowed,
            tally.timed,
            tally.slow,
            tally.slow_allowed,
        )
        for width, ring in zip(BucketWidth, rings, strict=True):
            ring.add(int(time_s // width), counts)
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
            tallies = self._details.setdefault(bucket, {})
            burn_counts.get_or_create_tally(tallies, service).add(
                burn_counts.Tally(causes=tally.causes, daemons=tally.daemons)
            )

    def window_totals(
        self,
        service: ids.ServiceName,
        width: BucketWidth,
        seconds: float,
        now_s: float,
    ) -> WindowTotals:
        """Sums the counts of a service over the last seconds.

        Args:
            service: The service.
            width: Width of the buckets that are summed.
            seconds: Nominal length of the window.
            now_s: The local time, in seconds.
        """
        rings = self._rings.get(service)
        if rings is None:
            return WindowTotals()
        last = int((now_s + self._clock_offset_s) // width)
        return rings[_RING_INDEX[width]].sums(
            last - int(seconds // width), last
        )

    def series(
        self, service: ids.ServiceName, width: BucketWidth, now_s: float
    ) -> list[WindowTotals]:
        """Returns the counts of each bucket of a width, the oldest first."""
        rings = self._rings.get(service)
        last = int((now_s + self._clock_offset_s) // width)
        numbers = range(last - BUCKET_COUNTS[width] + 1, last + 1)
        if rings is None:
            return [WindowTotals()] * len(numbers)
        ring = rings[_RING_INDEX[width]]
        return [ring.bucket(number) for number in numbers]

    def detail(
        self, service: ids.ServiceName, now_s: float
    ) -> burn_counts.Tally:
        """Returns causes and daemons of a service in the last hour."""
        merged = burn_counts.Tally()
        oldest = (
            now_s + self._clock_offset_s
        ) // DETAIL_BUCKET_S - DETAIL_BUCKETS
        for bucket, tallies in self._details.items():
            if bucket > oldest and service in tallies:
                merged.add(tallies[service])
        return merged

    def export_copy(self, now_s: float) -> HistoryCopy:
        """Returns a copy to send to another daemon."""
        return HistoryCopy(
            now_s + self._clock_offset_s,
            self._since_s,
            {
                service: [(r.newest, r.values.tobytes()) for r in rings]
                for service, rings in self._rings.items()
            },
            self._details,
        )

    def replace_if_longer(self, copy: HistoryCopy, now_s: float) -> bool:
        """Replaces this history by a copy if the copy covers more time.

        Returns:
            Whether it was replaced.

        Raises:
            errors.PeerError: The copy is malformed.
        """
        if copy.now_s - copy.since_s <= self.covered_s(now_s):
            return False
        self._rings = {
            service: _decode_rings(rings)
            for service, rings in copy.rings.items()
        }
        self._details = copy.details
        self._since_s = copy.since_s
        self._clock_offset_s = copy.now_s - now_s
        return True


def _decode_rings(sent: list[tuple[int, bytes]]) -> list[_RingBuffer]:
    rings = [_RingBuffer(BUCKET_COUNTS[width]) for width in BucketWidth]
    if len(sent) != len(rings):
        raise errors.PeerError(errors.Code.BAD_MESSAGE, "wrong tiers")
    for ring, (newest, values) in zip(rings, sent, strict=True):
        if len(values) != len(ring.values) * ring.values.itemsize:
            raise errors.PeerError(errors.Code.BAD_MESSAGE, "wrong buckets")
        ring.newest = newest
        ring.values = array.array("q", values)
    return rings
