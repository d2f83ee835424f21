"""Request bodies, read in pieces. A body cut short raises."""

from collections.abc import Iterator
import select
import socket
from typing import Any

from buckthorn_core import errors

PIECE_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 64


class Body:
    """Body of a request as it arrives.

    Attributes:
        length: Length in bytes; None if the body is chunked.
        remaining: Bytes that have not been read; for chunked bodies 0 at
            the end and 1 before it.
        received: Bytes read so far.
        awaited_offset: `received` while bytes are waited for, otherwise None.
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
        self._unread = b""
        self._max_bytes = max_bytes
        self._chunk_left = 0
        self.length = length
        self.remaining = 1 if length is None else length
        self.received = 0
        self.awaited_offset: int | None = None

    def limit(self, max_bytes: int) -> None:
        """Lowers the longest body that is accepted.

        Raises:
            errors.RequestError: The body is known to be longer.
        """
        self._max_bytes = min(self._max_bytes, max_bytes)
        if self.length is not None and self.length > self._max_bytes:
            raise _too_large(self._max_bytes)

    def read(self, size: int = PIECE_BYTES) -> bytes:
        """Returns bytes that have arrived, at least one; b"" at the end.

        Raises:
            errors.RequestError: The body is cut short or too long.
        """
        if self._unread:
            data, self._unread = self._unread, b""
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
            raise _cut_short(str(exc)) from exc
        finally:
            self.awaited_offset = None
        self.received += len(data)
        if self.length is not None:
            self.remaining -= len(data)
        if self.received > self._max_bytes:
            raise _too_large(self._max_bytes)
        return data

    def unread(self, data: bytes) -> None:
        """Gives bytes back, which are then read first."""
        self._unread = data + self._unread

    def wait(self, other: socket.socket, timeout_s: float) -> bool:
        """Waits for bytes of the body, or for something on a socket.

        Args:
            other: The socket.
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether a read would not wait.
        """
        if self._unread or self.remaining == 0 or self._sock is None:
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
        """Yields the body's pieces.

        Raises:
            errors.RequestError: The body is cut short or too long.
        """
        while data := self.read():
            yield data

    def _read_some(self, size: int) -> bytes:
        data = self._stream.read1(size)
        if not data:
            raise _cut_short("the connection was closed")
        return bytes(data)

    def _read_chunked(self, size: int) -> bytes:
        if self._chunk_left == 0:
            self._chunk_left = self._read_chunk_size()
            if self._chunk_left == 0:
                self._read_trailers()
                self.remaining = 0
                return b""
        data = self._read_some(min(size, self._chunk_left))
        self._chunk_left -= len(data)
        if self._chunk_left == 0 and self._read_line() != b"":
            raise _cut_short("a chunk does not end with CRLF")
        return data

    def _read_line(self) -> bytes:
        line = self._stream.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\r\n"):
            raise _cut_short("a chunk line is cut short")
        return bytes(line[:-2])

    def _read_chunk_size(self) -> int:
        text = self._read_line().split(b";", 1)[0].strip()
        if not text or text.strip(b"0123456789abcdefABCDEF"):
            raise _cut_short("a chunk size is malformed")
        return int(text, 16)

    def _read_trailers(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            if not self._read_line():
                return
        raise _cut_short("there are too many trailers")


def _cut_short(text: str) -> errors.RequestError:
    return errors.RequestError(errors.Code.BODY_CUT_SHORT, text)


def _too_large(most: int) -> errors.RequestError:
    return errors.RequestError(
        errors.Code.BODY_TOO_LARGE, f"the body is over {most} bytes"
    )
