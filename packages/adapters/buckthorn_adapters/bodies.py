"""Request bodies, read in pieces; a truncated body raises an error."""

from collections.abc import Iterator
import select
import socket
from typing import Any

from buckthorn_core import errors

PIECE_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 64


class Body:
    """Body of a request, read from the connection as it arrives.

    Attributes:
        length: Length in bytes; None if the body is chunked.
        remaining: Bytes that have not been read; for a chunked body 1 until
            its end and then 0.
        received: Bytes read so far.
        awaited_offset: `received` while a read waits for bytes, otherwise
            None.
    """

    def __init__(
        self,
        stream: Any,
        length: int | None,
        max_bytes: int,
        sock: socket.socket | None = None,
    ):
        self._stream = stream
        self._sock = sock
        self._pushed_back = b""
        self._max_bytes = max_bytes
        self._chunk_remaining = 0
        self.length = length
        self.remaining = 1 if length is None else length
        self.received = 0
        self.awaited_offset: int | None = None

    def limit(self, max_bytes: int) -> None:
        """Lowers the maximum length of the body, in bytes.

        Raises:
            errors.RequestError: Content-Length exceeds the maximum.
        """
        self._max_bytes = min(self._max_bytes, max_bytes)
        if self.length is not None and self.length > self._max_bytes:
            raise _too_large_error(self._max_bytes)

    def read(self, size: int = PIECE_BYTES) -> bytes:
        """Waits for at least one byte and returns it; b"" at the end.

        Raises:
            errors.RequestError: The body is truncated or too long.
        """
        if self._pushed_back:
            data, self._pushed_back = self._pushed_back, b""
            return data
        if self.remaining == 0:
            return b""
        self.awaited_offset = self.received
        try:
            data = (
                self._read_chunked(size)
                if self.length is None
                else self._read_some(min(size, self.remaining))
            )
        except OSError as exc:
            raise _cut_short_error(str(exc)) from exc
        finally:
            self.awaited_offset = None
        self.received += len(data)
        if self.length is not None:
            self.remaining -= len(data)
        if self.received > self._max_bytes:
            raise _too_large_error(self._max_bytes)
        return data

    def unread(self, data: bytes) -> None:
        """Pushes bytes back, so that the next read returns them."""
        self._pushed_back = data + self._pushed_back

    def wait(self, other: socket.socket, timeout_s: float) -> bool:
        """Waits until the body or another socket is readable.

        Args:
            other: The other socket.
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether a read of the body would not block. False if the other
            socket became readable during the wait.
        """
        if self._pushed_back or self.remaining == 0 or self._sock is None:
            return True
        if self._stream.has_data():
            return True
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        poller.register(other, select.POLLIN)
        self.awaited_offset = self.received
        try:
            ready = [fd for fd, _ in poller.poll(timeout_s * 1000)]
        finally:
            self.awaited_offset = None
        return self._sock.fileno() in ready and other.fileno() not in ready

    def pieces(self) -> Iterator[bytes]:
        """Yields the pieces of the body until its end.

        Raises:
            errors.RequestError: The body is truncated or too long.
        """
        while data := self.read():
            yield data

    def _read_some(self, size: int) -> bytes:
        data = self._stream.read1(size)
        if not data:
            raise _cut_short_error("the connection was closed")
        return bytes(data)

    def _read_chunked(self, size: int) -> bytes:
        if self._chunk_remaining == 0:
            self._chunk_remaining = self._read_chunk_size()
            if self._chunk_remaining == 0:
                self._read_trailers()
                self.remaining = 0
                return b""
        data = self._read_some(min(size, self._chunk_remaining))
        self._chunk_remaining -= len(data)
        if self._chunk_remaining == 0 and self._read_line() != b"":
            raise _cut_short_error("a chunk does not end with CRLF")
        return data

    def _read_line(self) -> bytes:
        line = self._stream.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\r\n"):
            raise _cut_short_error("a chunk line is cut short")
        return bytes(line[:-2])

    def _read_chunk_size(self) -> int:
        digits = self._read_line().split(b";", 1)[0].strip()
        if not digits or digits.strip(b"0123456789abcdefABCDEF"):
            raise _cut_short_error("a chunk size is malformed")
        return int(digits, 16)

    def _read_trailers(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            if not self._read_line():
                return
        raise _cut_short_error("there are too many trailers")


def _cut_short_error(detail: str) -> errors.RequestError:
    return errors.RequestError(errors.Code.BODY_CUT_SHORT, detail)


def _too_large_error(max_bytes: int) -> errors.RequestError:
    return errors.RequestError(
        errors.Code.BODY_TOO_LARGE, f"the body is over {max_bytes} bytes"
    )
