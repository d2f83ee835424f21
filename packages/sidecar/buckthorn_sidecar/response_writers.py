"""Sends responses to a caller and ends its connection.

All bytes, half-closes and closes of a caller's connection go through its
`ResponseWriter`. A caller can reset the connection at any moment, and the event
loop learns of it only when it polls the socket next. Until then a system call
on the socket may fail, which ends this connection and raises nothing: others
are usually ended in the same loop.
"""

import asyncio
import collections
from collections.abc import Iterable
import enum
from typing import Any

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_core import transfer_rates

# Time for a caller to read the last response before the connection is closed.
CLOSE_LINGER_S = 1.0
# Bytes that are written at a time. In between, writing can pause.
WRITE_SIZE = http1.MAX_JOINED_BODY_BYTES


class State(enum.Enum):
    """States of the direction to the caller."""

    OPEN = "open"
    # Half-closed: the caller may still read, and nothing more is written.
    ENDED = "ended"
    CLOSED = "closed"


class ResponseWriter:
    """The sending direction of a caller's connection.

    Attributes:
        state: The state.
        waiting_bytes: Size of the responses that are known and that the
            transport has not taken, in bytes.
    """

    def __init__(self, transport: Any, meter: metrics.Metrics | None = None):
        """Creates the writer of an open connection.

        Args:
            transport: Transport of the connection.
            meter: Counts failed system calls; None to count nothing.
        """
        self._transport = transport
        self._meter = meter
        self._loop = asyncio.get_running_loop()
        self.state = State.OPEN
        self.waiting_bytes = 0
        self._unwritten: collections.deque[memoryview] = collections.deque()
        self._paused = False
        self._written_bytes = 0
        # Whether a check has found bytes that were not sent.
        self._is_sending = False
        self._rate = transfer_rates.TransferRate(self._loop.time())
        transport.set_write_buffer_limits(WRITE_SIZE)

    @property
    def all_written(self) -> bool:
        """Whether the transport has taken all that was passed to `write`."""
        return not self._unwritten

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the system has not taken yet."""
        return self.waiting_bytes + int(self._transport.get_write_buffer_size())

    @property
    def slow_since_s(self) -> float:
        """Since when the caller has read too slowly, on the loop's clock."""
        return self._rate.since_s

    def add_waiting(self, size: int) -> None:
        """Counts a response that is known, in bytes, before it is written."""
        if self.state is State.OPEN:
            self.waiting_bytes += size

    def write(self, parts: Iterable[bytes]) -> None:
        """Writes a response that `add_waiting` has counted."""
        if self.state is State.OPEN:
            self._unwritten.extend(map(memoryview, parts))

    def write_interim(self, data: bytes) -> None:
        """Writes an interim response at once."""
        if self.state is State.OPEN:
            self._transport.write(data)

    def flush(self) -> None:
        """Passes on what is unwritten until the transport's buffer is full."""
        while self._unwritten and not self._paused:
            data = self._unwritten.popleft()
            if len(data) > WRITE_SIZE:
                self._unwritten.appendleft(data[WRITE_SIZE:])
                data = data[:WRITE_SIZE]
            self.waiting_bytes -= len(data)
            self._written_bytes += len(data)
            self._transport.write(data)

    def pause(self) -> None:
        """Stops writing, since the transport's buffer is full."""
        self._paused = True

    def resume(self) -> None:
        """Writes on, since the transport's buffer has emptied."""
        self._paused = False
        self.flush()

    def end(self) -> None:
        """Half-closes the connection, and closes it a little later.

        Closing a socket with unread data resets the connection, and a reset can
        discard the response before the caller has read it.
        """
        if self.state is not State.OPEN:
            return
        self.state = State.ENDED
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            if self._meter is not None:
                self._meter.count("buckthorn_callers_reset")
            self.close()
            return
        self._loop.call_later(CLOSE_LINGER_S, self._transport.close)

    def close(self) -> None:
        """Closes the connection at once and drops what is unwritten."""
        self.state = State.CLOSED
        self._unwritten.clear()
        self.waiting_bytes = 0
        self._transport.abort()

    def close_idle(self) -> None:
        """Closes a connection on which nothing is unsent."""
        self._transport.close()

    def is_slow(self, now_s: float, grace_s: float) -> bool:
        """Returns whether the caller read too slowly for a time, in seconds."""
        if self.unsent_bytes == 0:
            self._is_sending = False
            return False
        taken = (
            self._written_bytes
            - self._transport.get_write_buffer_size()
            - http1.unacknowledged_bytes(self._transport)
        )
        if not self._is_sending:
            self._is_sending = True
            self._rate.reset(now_s, taken)
        return self._rate.is_stalled(now_s, taken, grace_s)
