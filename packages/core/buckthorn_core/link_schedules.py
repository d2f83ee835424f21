"""Order and pace of the bodies that a host sends to other daemons.

Long bodies are sent in pieces, which take turns. Their pace keeps the host's
link just below its bandwidth, so that control frames and short responses, which
are sent at once, wait for no more than a few pieces. Without it, ten downloads
of 90 KB a second on a link of 8.5 Mbit/s delay each short response by up to
half a second.

The pace is a token bucket. Its rate starts at a share of the link's bandwidth
and follows the delays that the receivers' acknowledgements show. Bodies to
other regions have a second bucket, since all hosts share the links between
regions and none knows what the others send.

An acknowledgement states how many pieces the receiver has read. The bytes that
are not acknowledged are limited on each connection, so that a slow receiver
does not fill the buffers on the way to it.
"""

import collections
import math
from typing import NamedTuple

BYTES_PER_MBIT = 125_000
# Larger bodies are sent in pieces. A body of this size takes 16 ms on a link of
# 8.5 Mbit/s.
SMALL_BODY_BYTES = 16_384
# Time that one piece takes on the host's link, in seconds, and the limits of
# its size: smaller pieces cost processor time, larger ones delay other frames.
PIECE_S = 0.015
MIN_PIECE_BYTES = 4_096
MAX_PIECE_BYTES = 32_768
# Highest rate, as a share of the link's bandwidth. Packet headers take 3%.
LINK_SHARE = 0.95
# Lowest rate of a link, as a share of the highest. The bandwidth is known, so a
# lower rate would only follow delays that have another cause.
MIN_RATE_SHARE = 0.4
# Pieces that may be sent at once after a pause, in seconds of the rate. As much
# stays queued on the link while it is busy.
BURST_S = 0.018
# Shorter waits are not worth a timer, in seconds.
MIN_WAIT_S = 0.0005
# Pieces get at least this share of the rate, whatever else is sent.
MIN_PIECES_SHARE = 0.1
# Bytes without an acknowledgement on one connection, in seconds of the rate, in
# addition to those of a round trip.
IN_FLIGHT_S = 0.05
# Round trip that is assumed before the first acknowledgement, in seconds.
INITIAL_TRIP_S = 0.05
# Growth of the round trip that shows a queue, in seconds. Processes with less
# than half a core answer up to 20 ms late.
MAX_QUEUE_S = 0.04
# How often a rate is changed, in seconds, and by which factor it is lowered.
CHANGE_INTERVAL_S = 0.1
LOWER_FACTOR = 0.8
# Increase of a link's rate, as a share of the highest rate a second.
RAISE_SHARE_PER_S = 0.1
# Rate to other regions, in bytes a second: at the start, at least, and by how
# much it rises a second. A link of 30 Mbit/s that 80 hosts share has room for
# 47,000 bytes a second of each; few of them send long bodies at a time.
REGION_START_RATE = 250_000.0
REGION_MIN_RATE = 40_000.0
REGION_RAISE_PER_S = 50_000.0
# Part of the difference by which the minimum of the round trip follows larger
# ones: a path may become longer for good.
TRIP_DRIFT = 0.0005


class Pace:
    """A token bucket whose rate follows measured delays.

    Attributes:
        rate: Bytes a second.
        tokens: Bytes that may be sent now.
    """

    def __init__(
        self, rate: float, lowest: float, highest: float, raise_per_s: float
    ):
        """Creates a full bucket.

        Args:
            rate: Rate at the start, in bytes a second.
            lowest: Lowest rate.
            highest: Highest rate.
            raise_per_s: Increase of the rate a second.
        """
        self.rate = rate
        self._lowest = lowest
        self._highest = highest
        self._raise_per_s = raise_per_s
        self.tokens = self._burst
        self._filled_s = -math.inf
        self._min_delay_s = math.inf
        self._changed_s = -math.inf

    @property
    def _burst(self) -> float:
        return max(2 * MIN_PIECE_BYTES, self.rate * BURST_S)

    @property
    def rate_share(self) -> float:
        """The rate as a share of the highest rate."""
        return self.rate / self._highest

    def refill(self, now_s: float, other_bytes: int = 0) -> None:
        """Adds tokens for the time since the last call.

        Args:
            now_s: Monotonic time in seconds.
            other_bytes: Bytes that were sent meanwhile beside the pieces.
        """
        added = self.rate * (now_s - self._filled_s)
        self._filled_s = now_s
        added = max(added - other_bytes, MIN_PIECES_SHARE * added)
        self.tokens = min(self._burst, self.tokens + added)

    def wait_s(self, size: int) -> float:
        """Returns the time until a piece of `size` bytes may be sent."""
        needed = min(size, self._burst)
        return max(0.0, (needed - self.tokens) / self.rate)

    def on_delay(self, delay_s: float, now_s: float) -> None:
        """Changes the rate by a measured growth of the round trip.

        A queue on the link delays all pieces, so the least delay of an interval
        counts: a single slow receiver does not lower the rate of all others.
        """
        self._min_delay_s = min(self._min_delay_s, delay_s)
        since_s = now_s - self._changed_s
        if since_s < CHANGE_INTERVAL_S:
            return
        if self._min_delay_s > MAX_QUEUE_S:
            self.rate = max(self._lowest, self.rate * LOWER_FACTOR)
        else:
            raised = self._raise_per_s * min(since_s, 2 * CHANGE_INTERVAL_S)
            self.rate = min(self._highest, self.rate + raised)
        self._min_delay_s = math.inf
        self._changed_s = now_s


class Path:
    """State of the pieces on one connection.

    Attributes:
        crosses_region: Whether the other daemon is in another region.
        is_blocked: Whether the connection's write buffer is full.
        in_flight: Bytes that have not been acknowledged.
    """

    __slots__ = (
        "_min_trip_s",
        "_sent",
        "crosses_region",
        "in_flight",
        "is_blocked",
    )

    def __init__(self) -> None:
        self.crosses_region = False
        self.is_blocked = False
        self.in_flight = 0
        self._min_trip_s = math.inf
        self._sent: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def trip_s(self) -> float:
        """The round trip without queues, in seconds."""
        trip_s = self._min_trip_s
        return INITIAL_TRIP_S if math.isinf(trip_s) else trip_s

    def add(self, size: int, now_s: float) -> None:
        """Records a piece that was sent."""
        self._sent.append((now_s, size))
        self.in_flight += size

    def acknowledge(self, count: int, now_s: float) -> float | None:
        """Records that the receiver has read pieces.

        Returns:
            How much longer the round trip was than the shortest one, in
            seconds; None if nothing was waiting to be acknowledged.
        """
        sent_s = None
        for _ in range(min(count, len(self._sent))):
            sent_s, size = self._sent.popleft()
            self.in_flight -= size
        if sent_s is None:
            return None
        trip_s = now_s - sent_s
        if trip_s < self._min_trip_s:
            self._min_trip_s = trip_s
        else:
            self._min_trip_s += TRIP_DRIFT * (trip_s - self._min_trip_s)
        return trip_s - self._min_trip_s


class Body:
    """A body that is being sent.

    Attributes:
        path: The connection that it is sent on.
        size: Its length in bytes.
        sent: Bytes that were sent.
        added_s: When it was added, in seconds of the caller's clock.
    """

    __slots__ = ("added_s", "path", "sent", "size")

    def __init__(self, path: Path, size: int, added_s: float):
        self.path = path
        self.size = size
        self.sent = 0
        self.added_s = added_s


class Piece(NamedTuple):
    """The next piece to send: `size` bytes of a body from `start` on."""

    body: Body
    start: int
    size: int

    @property
    def is_last(self) -> bool:
        """Whether it ends the body."""
        return self.start + self.size >= self.body.size


class LinkSchedule:
    """Decides which piece of which body is sent when.

    Attributes:
        other_bytes: Bytes sent beside the pieces since they were last counted;
            whoever sends adds to it.
        queued_bytes: Bytes of bodies that wait to be sent.
        link: Pace of all pieces on the host's link.
        region: Pace of the pieces to other regions.
    """

    def __init__(self, link_mbps: float):
        """Creates the schedule of a host.

        Args:
            link_mbps: Bandwidth of the host's link, in Mbit/s.
        """
        highest = LINK_SHARE * link_mbps * BYTES_PER_MBIT
        self.link = Pace(
            highest,
            MIN_RATE_SHARE * highest,
            highest,
            RAISE_SHARE_PER_S * highest,
        )
        self.region = Pace(
            min(REGION_START_RATE, highest),
            min(REGION_MIN_RATE, highest),
            highest,
            REGION_RAISE_PER_S,
        )
        self.other_bytes = 0
        self.queued_bytes = 0
        self._bodies: collections.deque[Body] = collections.deque()
        self._filled_s = -math.inf

    @property
    def drain_s(self) -> float:
        """Expected time until all that waits is sent, in seconds."""
        return self.queued_bytes / self.link.rate

    def add(self, path: Path, size: int, now_s: float) -> Body:
        """Adds a body of `size` bytes and returns it."""
        body = Body(path, size, now_s)
        self._bodies.append(body)
        self.queued_bytes += size
        return body

    def remove(self, body: Body) -> None:
        """Removes a body, sent or not; does nothing if it is not there."""
        if body in self._bodies:
            self._bodies.remove(body)
            self.queued_bytes -= body.size - body.sent

    def next_piece(self, now_s: float) -> Piece | None:
        """Returns the piece to send now, if any; it counts as sent."""
        if not self._bodies:
            return None
        self._refill(now_s)
        piece_bytes = self._piece_bytes()
        if self.link.wait_s(piece_bytes) > MIN_WAIT_S:
            return None
        for _ in range(len(self._bodies)):
            body = self._bodies[0]
            path = body.path
            if not self._has_window(path, piece_bytes) or (
                path.crosses_region
                and self.region.wait_s(piece_bytes) > MIN_WAIT_S
            ):
                self._bodies.rotate(-1)
                continue
            piece = Piece(
                body, body.sent, min(piece_bytes, body.size - body.sent)
            )
            self._record_sent(piece, now_s)
            return piece
        return None

    def _record_sent(self, piece: Piece, now_s: float) -> None:
        body, _, size = piece
        body.sent += size
        self.queued_bytes -= size
        self.link.tokens -= size
        if body.path.crosses_region:
            self.region.tokens -= size
        body.path.add(size, now_s)
        if piece.is_last:
            self._bodies.popleft()
        else:
            self._bodies.rotate(-1)

    def wait_s(self, now_s: float) -> float | None:
        """Returns how long to wait for the next piece, in seconds.

        None if no body waits, or all wait for acknowledgements.
        """
        self._refill(now_s)
        piece_bytes = self._piece_bytes()
        link_s = self.link.wait_s(piece_bytes)
        region_s = None
        for body in self._bodies:
            if self._has_window(body.path, piece_bytes):
                if not body.path.crosses_region:
                    return link_s
                region_s = max(link_s, self.region.wait_s(piece_bytes))
        return region_s

    def on_received(self, path: Path, count: int, now_s: float) -> None:
        """Records that the receiver has read pieces of a connection."""
        delay_s = path.acknowledge(count, now_s)
        if delay_s is None:
            return
        # A queue between regions says nothing about the host's link.
        pace = self.region if path.crosses_region else self.link
        pace.on_delay(delay_s, now_s)

    def _refill(self, now_s: float) -> None:
        if now_s == self._filled_s:
            return
        self._filled_s = now_s
        self.link.refill(now_s, self.other_bytes)
        self.region.refill(now_s)
        self.other_bytes = 0

    def _piece_bytes(self) -> int:
        size = int(self.link.rate * PIECE_S)
        return min(MAX_PIECE_BYTES, max(MIN_PIECE_BYTES, size))

    def _has_window(self, path: Path, piece_bytes: int) -> bool:
        if path.is_blocked:
            return False
        rate = self.link.rate
        if path.crosses_region:
            rate = min(rate, self.region.rate)
        window = max(2.0 * piece_bytes, rate * (path.trip_s + IN_FLIGHT_S))
        return path.in_flight < window
