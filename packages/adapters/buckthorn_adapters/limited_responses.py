"""HTTP responses of which no part has an unlimited size.

`http.client` limits each line of a response, but not the number of interim
responses, chunk sizes and trailers, and not the time that a head takes.
"""

import http.client
import time
from typing import Any

import urllib3
from urllib3 import connection
from urllib3 import connectionpool

# Limits of the bytes of a response that are not body: heads and trailers, chunk
# framing for each byte of the body, and the heartbeats of another daemon.
MAX_OVERHEAD_BYTES = 65_536
OVERHEAD_PER_BODY_BYTE = 8
HEARTBEAT_BYTES_PER_S = 1_024
PIECE_BYTES = 65_536


class OverheadError(http.client.HTTPException):
    """Too many bytes of a response are not body."""


class _LimitedStream:
    """Stream of a response that limits the lines read from it.

    All parts of a response but its body are read in lines.

    Attributes:
        head_deadline_s: Monotonic time at which the head must be complete;
            None without a limit.
    """

    def __init__(self, stream: Any, head_deadline_s: float | None):
        self._stream = stream
        self.head_deadline_s = head_deadline_s
        self._started_s = time.monotonic()
        self._line_bytes = 0
        self._body_bytes = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    def readline(self, limit: int) -> bytes:
        """Returns a line, or `limit` bytes of a longer one.

        Raises:
            OverheadError: There are too many lines.
            TimeoutError: The head is not complete in time.
        """
        line = b""
        while len(line) < limit and not line.endswith(b"\n"):
            self._check_time()
            # Makes one system call at most, so that the time is checked often.
            ahead = self._stream.peek(1)
            if not ahead:
                break
            end = ahead.find(b"\n") + 1 or len(ahead)
            line += self._stream.read(min(end, limit - len(line)))
        self._line_bytes += len(line)
        self._check_size()
        return line

    def read(self, size: int = -1) -> bytes:
        """Returns bytes of the body."""
        data: bytes = self._stream.read(size)
        self._body_bytes += len(data)
        return data

    def read1(self, size: int = -1) -> bytes:
        """Returns the bytes of the body that one system call brings."""
        data: bytes = self._stream.read1(size)
        self._body_bytes += len(data)
        return data

    def readinto(self, buffer: Any) -> int:
        """Reads bytes of the body into a buffer and returns their number."""
        size: int = self._stream.readinto(buffer)
        self._body_bytes += size
        return size

    def _check_time(self) -> None:
        deadline_s = self.head_deadline_s
        if deadline_s is not None and time.monotonic() > deadline_s:
            raise TimeoutError("the head of the response is not complete")

    def _check_size(self) -> None:
        allowed = (
            MAX_OVERHEAD_BYTES
            + OVERHEAD_PER_BODY_BYTE * self._body_bytes
            + HEARTBEAT_BYTES_PER_S * (time.monotonic() - self._started_s)
        )
        if self._line_bytes > allowed:
            raise OverheadError(f"{self._line_bytes} bytes that are no body")


class _LimitedResponse(http.client.HTTPResponse):
    """A response whose head, framing and trailers are limited."""

    def __init__(
        self,
        sock: Any,
        *args: Any,
        head_deadline_s: float | None = None,
        **kwargs: Any,
    ):
        super().__init__(sock, *args, **kwargs)
        self._limited = _LimitedStream(self.fp, head_deadline_s)
        self.fp: Any = self._limited

    def begin(self) -> None:
        super().begin()
        self._limited.head_deadline_s = None


class _LimitsResponses:
    """Mixin of connections that limit their responses.

    Attributes:
        head_deadline_s: Monotonic time at which the head of the next response
            must be complete; None without a limit.
    """

    head_deadline_s: float | None = None

    def response_class(
        self, *args: Any, **kwargs: Any
    ) -> http.client.HTTPResponse:
        """Returns a response of which no part has an unlimited size."""
        return _LimitedResponse(
            *args, head_deadline_s=self.head_deadline_s, **kwargs
        )


class HTTPConnection(_LimitsResponses, connection.HTTPConnection):  # type: ignore[misc]
    """A connection that limits its responses."""


class _HTTPSConnection(_LimitsResponses, connection.HTTPSConnection):  # type: ignore[misc]
    """The same over TLS."""


class _HTTPConnectionPool(connectionpool.HTTPConnectionPool):
    ConnectionCls = HTTPConnection


class _HTTPSConnectionPool(connectionpool.HTTPSConnectionPool):
    ConnectionCls = _HTTPSConnection


class PoolManager(urllib3.PoolManager):
    """Pools of connections that limit their responses."""

    def __init__(self, **options: Any):
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            "http": _HTTPConnectionPool,
            "https": _HTTPSConnectionPool,
        }


def read_body(
    resp: urllib3.BaseHTTPResponse, max_bytes: int, timeout_s: float
) -> bytes:
    """Returns a body of limited length.

    Args:
        resp: The response.
        max_bytes: Most bytes of the body.
        timeout_s: Longest time until the body is complete, in seconds.

    Raises:
        urllib3.exceptions.HTTPError: The body is too long, too slow or
            incomplete; the connection is closed.
    """
    body = bytearray()
    deadline_s = time.monotonic() + timeout_s
    while piece := resp.read1(PIECE_BYTES):
        body += piece
        if len(body) > max_bytes or time.monotonic() > deadline_s:
            resp.close()
            raise urllib3.exceptions.ProtocolError(
                f"the body is over {max_bytes} bytes or {timeout_s} s"
            )
    return bytes(body)
