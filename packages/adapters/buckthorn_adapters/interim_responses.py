"""Interim answers between daemons, which show that a request is alive.

`100 Continue` only shows life, `100 Admitted` also asks for the body. HTTP
clients skip both. A header gives the bytes of the body received so far while
the receiver waits for more of them.
"""

import select
import socket
import time

RECEIVED_HEADER = "Buckthorn-Received"
MAX_BYTES = 256
_PREFIX = b"HTTP/1.1 100 "
_END = b"\r\n\r\n"
_ADMITTED = b"Admitted"
_RECHECK_S = 0.001


class EarlyResponseError(Exception):
    """The answer has come before the body was sent."""


def encode(admitted: bool, awaited_offset: int | None) -> bytes:
    """Returns an interim answer."""
    reason = _ADMITTED if admitted else b"Continue"
    head = _PREFIX + reason
    if awaited_offset is not None:
        head += f"\r\n{RECEIVED_HEADER}: {awaited_offset}".encode()
    return head + _END


def is_admission(interim: bytes) -> bool:
    """Returns whether an interim answer asks for the body."""
    return interim.startswith(_PREFIX + _ADMITTED)


def awaited_offset(interim: bytes) -> int | None:
    """Returns the bytes received by a receiver that waits for more."""
    for line in interim.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == RECEIVED_HEADER.encode() and value.strip().isdigit():
            return int(value)
    return None


def is_readable(sock: socket.socket, wait_s: float = 0.0) -> bool:
    """Returns whether bytes, or the end of the stream, have come in."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(wait_s * 1000))


def read(sock: socket.socket, timeout_s: float) -> bytes:
    """Takes one interim answer off a connection.

    Raises:
        EarlyResponseError: The final answer comes next; no byte of it is taken.
        OSError: The connection failed, or was silent.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        if not is_readable(sock, max(0.0, end_s - time.monotonic())):
            raise TimeoutError("no interim answer")
        start = sock.recv(MAX_BYTES, socket.MSG_PEEK)
        if not start:
            raise ConnectionResetError("closed before the answer")
        size = min(len(start), len(_PREFIX))
        if start[:size] != _PREFIX[:size]:
            raise EarlyResponseError
        found = start.find(_END)
        if found >= 0:
            return sock.recv(found + len(_END))
        if len(start) >= MAX_BYTES:
            raise ConnectionResetError("the interim answer is malformed")
        if time.monotonic() > end_s:
            raise TimeoutError("the interim answer is cut")
        # The rest of it is on the way, and what is there stays readable.
        time.sleep(_RECHECK_S)
