"""Sends and receives long bodies in pieces, within the host's memory.

One `HostBodies` serves all connections of a daemon: it wakes up when the
schedule has a piece to send, and counts the bodies that other daemons send.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import Protocol
import weakref

import loguru
import msgspec

from buckthorn_adapters import metrics
from buckthorn_core import byte_budgets
from buckthorn_core import ids
from buckthorn_core import link_schedules
from buckthorn_sidecar import frames

# Bytes in a socket's send buffer, in seconds of the link's bandwidth, and the
# limits of its size. What waits should wait in the schedule, where other frames
# overtake it.
SEND_BUFFER_S = 0.05
MIN_SEND_BUFFER_BYTES = 32_768
MAX_SEND_BUFFER_BYTES = 1_048_576
# A link is logged as slow below this share of its highest rate, and as usual
# again above the second one.
SLOW_SHARE = 0.6
USUAL_SHARE = 0.9
NO_REGION = ids.RegionName("")

_logger = loguru.logger.bind(module=__name__)

BodyFrame = frames.Request | frames.Response
# The same for checks: they are several times faster with a tuple.
BODY_FRAMES = (frames.Request, frames.Response)


class Connection(Protocol):
    """A connection that carries pieces."""

    path: link_schedules.Path
    sending: "dict[str, SentBody]"

    def write(self, frame: frames.Frame) -> None:
        """Writes a frame at once."""

    def write_piece(self, piece: frames.Piece) -> None:
        """Writes a piece that the schedule has counted."""


class SentBody:
    """A body that is sent in pieces."""

    __slots__ = ("conn", "frame", "scheduled", "view")

    def __init__(
        self,
        conn: Connection,
        frame: BodyFrame,
        scheduled: link_schedules.Body,
    ):
        self.conn = conn
        self.frame = frame
        self.scheduled = scheduled
        self.view = memoryview(frame.body)


class ReceivedBody:
    """A body that is received in pieces.

    Attributes:
        frame: The frame that the body belongs to, without it.
    """

    __slots__ = ("_data", "_received", "_started_s", "frame")

    def __init__(self, frame: BodyFrame):
        self.frame = frame
        self._data = bytearray()
        self._received = 0
        self._started_s = 0.0

    def start(self, now_s: float) -> None:
        """Allocates the memory, after it has been reserved."""
        self._data = bytearray(self.frame.body_bytes)
        self._started_s = now_s

    def add(self, data: bytes) -> bool:
        """Adds a piece; returns whether it is within the stated length."""
        end = self._received + len(data)
        if end > len(self._data):
            return False
        self._data[self._received : end] = data
        self._received = end
        return True

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return self._received == len(self._data)

    def join(self, now_s: float) -> BodyFrame:
        """Returns the frame with its body.

        The times that are left to a request shrink while its body arrives.
        """
        changes: dict[str, Any] = {"body": self._data}
        frame = self.frame
        if isinstance(frame, frames.Request):
            took_s = now_s - self._started_s
            changes["caller_left_s"] = frame.caller_left_s - took_s
            changes["target_left_s"] = frame.target_left_s - took_s
            changes["left_s"] = frame.left_s - took_s
        return msgspec.structs.replace(frame, **changes)


class HostBodies:
    """Bodies that a host sends to and receives from other daemons.

    Attributes:
        schedule: Decides which piece is sent when.
        make_room: Called with a number of bytes when memory is short; frees
            what can be freed.
        refused: Number of bodies that there was no memory for.
    """

    def __init__(
        self,
        region: ids.RegionName = NO_REGION,
        link_mbps: float = 1_000.0,
        budget: byte_budgets.ByteBudget | None = None,
        meter: metrics.Metrics | None = None,
    ):
        """Creates the bodies of a host.

        Args:
            region: Region of the host.
            link_mbps: Bandwidth of the host's link, in Mbit/s.
            budget: Limits the bodies held in memory; None for no limit.
            meter: The metrics; None for none.
        """
        self.region = region
        self.schedule = link_schedules.LinkSchedule(link_mbps)
        self._budget = budget or byte_budgets.ByteBudget()
        self._meter = meter
        self._sending: dict[link_schedules.Body, SentBody] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_slow = False
        self._refs: dict[int, weakref.ref[Any]] = {}
        self.make_room: Callable[[int], None] = lambda size: None
        self.refused = 0
        bandwidth = link_mbps * link_schedules.BYTES_PER_MBIT
        self.send_buffer_bytes = int(
            min(
                MAX_SEND_BUFFER_BYTES,
                max(MIN_SEND_BUFFER_BYTES, SEND_BUFFER_S * bandwidth),
            )
        )

    @property
    def busy(self) -> bool:
        """Whether a body waits to be sent."""
        return bool(self._sending)

    def close(self) -> None:
        """Stops sending."""
        if self._timer is not None:
            self._timer.cancel()
        self._sending.clear()

    def reserve(self, holder: object, size: int) -> bool:
        """Reserves memory for a body; returns whether there is room."""
        if not self._budget.has_room(size):
            self.make_room(size)
        if not self._budget.has_room(size):
            self.refused += 1
            _logger.info("body_refused", size=size, held=self._budget.used)
            if self._meter is not None:
                self._meter.count("buckthorn_bodies_refused")
            return False
        self._budget.add_held(holder, size)
        return True

    def release(self, holder: object) -> None:
        """Releases reserved memory."""
        self._budget.release(holder)

    def count(self, frame: BodyFrame) -> None:
        """Counts the body of a frame for as long as the frame exists.

        A response is kept for outcome queries after it was sent, and a request
        until it has run, so there is no other common end.
        """
        size = len(frame.body)
        if id(frame) in self._refs:
            return
        key, holder = id(frame), object()

        def on_freed(ref: "weakref.ref[Any]") -> None:
            del ref
            self._refs.pop(key, None)
            self._budget.release(holder)

        self._refs[key] = weakref.ref(frame, on_freed)
        self._budget.add_held(holder, size)

    def send(self, conn: Connection, frame: BodyFrame) -> None:
        """Sends a frame whose body follows in pieces."""
        head = msgspec.structs.replace(
            frame, body=b"", body_bytes=len(frame.body)
        )
        self.cancel(conn, frame.attempt)
        conn.write(head)
        now_s = asyncio.get_running_loop().time()
        scheduled = self.schedule.add(conn.path, len(frame.body), now_s)
        sent = SentBody(conn, frame, scheduled)
        self._sending[scheduled] = conn.sending[frame.attempt] = sent
        self.pump()

    def cancel(self, conn: Connection, attempt: str) -> None:
        """Stops sending the body of an attempt."""
        sent = conn.sending.pop(attempt, None)
        if sent is not None:
            self.schedule.remove(sent.scheduled)
            self._sending.pop(sent.scheduled, None)

    def cancel_all(self, conn: Connection) -> None:
        """Stops sending on a connection that has ended."""
        for attempt in list(conn.sending):
            self.cancel(conn, attempt)

    def on_received(self, conn: Connection, count: int) -> None:
        """Records that the other daemon has read pieces."""
        now_s = asyncio.get_running_loop().time()
        self.schedule.on_received(conn.path, count, now_s)
        self._log_rate()
        # A timer is set while a piece waits for the pace alone.
        if self._sending and self._timer is None:
            self.pump()

    def pump(self) -> None:
        """Sends all pieces that may be sent now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        while (piece := self.schedule.next_piece(now_s)) is not None:
            self._send_piece(piece, now_s)
        wait_s = self.schedule.wait_s(now_s)
        if wait_s is not None:
            self._timer = loop.call_later(wait_s, self.pump)

    def _send_piece(self, piece: link_schedules.Piece, now_s: float) -> None:
        sent = self._sending[piece.body]
        frame = sent.frame
        data = sent.view[piece.start : piece.start + piece.size]
        if piece.is_last:
            self._sending.pop(piece.body)
            sent.conn.sending.pop(frame.attempt, None)
            if self._meter is not None:
                self._meter.record(
                    "buckthorn_body_send", now_s - piece.body.added_s
                )
        # The encoder takes any buffer.
        sent.conn.write_piece(
            frames.Piece(frame.attempt, data, piece.is_last)  # type: ignore[arg-type]
        )

    def _log_rate(self) -> None:
        share = self.schedule.link.rate_share
        if not self._is_slow and share < SLOW_SHARE:
            self._is_slow = True
            _logger.info("link_slow", rate=round(self.schedule.link.rate))
        elif self._is_slow and share > USUAL_SHARE:
            self._is_slow = False
            _logger.info("link_usual", rate=round(self.schedule.link.rate))
