"""Interim responses between daemons, used as heartbeats of a request.

`100 Continue` is only a heartbeat; `100 Admitted` also asks for the body.
HTTP clients skip both. While the receiver waits for more of the body, a header
gives the number of bytes received so far.
"""

import select
import socket
import time

RECEIVED_HEADER = "Buckthorn-Received"
MAX_INTERIM_BYTES = 256
_PREFIX = b"HTTP/1.1 100 "
_END = b"\r\n\r\n"
_ADMITTED = b"Admitted"
_POLL_INTERVAL_S = 0.001


class EarlyResponseError(Exception):
    """The final response arrived before the body was sent."""


def encode(admitted: bool, awaited_offset: int | None) -> bytes:
    """Returns an interim response in wire format.

    Args:
        admitted: Whether it asks for the body.
        awaited_offset: Bytes of the body received, if the receiver waits for
            more; otherwise None.
    """
    reason = _ADMITTED if admitted else b"Continue"
    head = _PREFIX + reason
    if awaited_offset is not None:
        head += f"\r\n{RECEIVED_HEADER}: {awaited_offset}".encode()
    return head + _END


def is_admission(interim: bytes) -> bool:
    """Returns whether an interim response asks for the body."""
    return interim.startswith(_PREFIX + _ADMITTED)


def awaited_offset(interim: bytes) -> int | None:
    """Returns the bytes received if the receiver waits for more, or None."""
    for line in interim.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == RECEIVED_HEADER.encode() and value.strip().isdigit():
            return int(value)
    return None


def is_readable(sock: socket.socket, timeout_s: float = 0.0) -> bool:
    """Returns whether the socket has bytes or the end of the stream to read."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(timeout_s * 1000))


def read(sock: socket.socket, timeout_s: float) -> bytes:
    """Reads one interim response from a connection.

    Raises:
        EarlyResponseError: The final response comes next; it is left unread.
        OSError: The connection failed or timed out.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        if not is_readable(sock, max(0.0, deadline_s - time.monotonic())):
            raise TimeoutError("no interim answer")
        head = sock.recv(MAX_INTERIM_BYTES, socket.MSG_PEEK)
        if not head:
            raise ConnectionResetError("closed before the answer")
        size = min(len(head), len(_PREFIX))
        if head[:size] != _PREFIX[:size]:
            raise EarlyResponseError
        end = head.find(_END)
        if end >= 0:
            return sock.recv(end + len(_END))
        if len(head) >= MAX_INTERIM_BYTES:
            raise ConnectionResetError("the interim answer is malformed")
        if time.monotonic() > deadline_s:
            raise TimeoutError("the interim answer is cut")
        # The rest is on its way; a poll would return at once, since the peeked
        # bytes stay readable.
        time.sleep(_POLL_INTERVAL_S)
