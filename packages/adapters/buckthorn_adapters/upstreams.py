"""HTTP out: pools of connections over urllib3."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import select
import socket
import threading
import time
from typing import Any

import urllib3
from urllib3 import connection

from buckthorn_adapters import bodies
from buckthorn_adapters import servers
from buckthorn_core import errors
from buckthorn_core import ids

CONNECT_TIMEOUT_S = 1.0
IDLE_S = 20.0
MAX_IDLE = 256
TCP_USER_TIMEOUT_MS = 5_000
# Before a request that must not be sent twice, a kept connection must have
# answered this recently; otherwise the request could vanish in a connection
# that has gone silent, and its outcome would be unknown.
PROVEN_S = 2.0

_SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class NotSentError(Exception):
    """No byte of the request has left."""


class EarlyAnswerError(Exception):
    """The answer has come before the body was sent."""


class Lease:
    """A connection taken from a pool for one request.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    def __init__(self, pool: "Pool", conn: connection.HTTPConnection):
        self._pool = pool
        self._conn = conn
        self.sent = False

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | Iterable[bytes] | None,
        timeout_s: float,
        await_continue: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request and returns the answer with its body unread.

        Args:
            method: The method.
            path: Path and query.
            headers: Headers. Without a length the body is sent chunked.
            body: The body.
            timeout_s: Longest wait for progress, in seconds.
            await_continue: Send the body only after an interim answer.

        Raises:
            NotSentError: The connection can't be made.
            OSError: The connection failed or went silent.
            errors.RequestError: The body failed.
            urllib3.exceptions.HTTPError: The answer is malformed.
        """
        conn = self._conn
        if conn.sock is None:
            try:
                conn.connect()
            except (OSError, urllib3.exceptions.HTTPError) as exc:
                self.discard()
                raise NotSentError(str(exc)) from exc
        conn.sock.settimeout(timeout_s)
        self.sent = True
        if body is not None and not isinstance(body, bytes):
            body = self._guarded(body, await_continue, timeout_s)
        lengths = {name.lower() for name in headers}
        try:
            conn.request(
                method,
                path,
                body=body,
                headers=headers,
                chunked=body is not None and "content-length" not in lengths,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except EarlyAnswerError:
            self._pool = _NO_POOL
        except (BrokenPipeError, ConnectionResetError):
            # The peer may have answered before it stopped reading.
            self._pool = _NO_POOL
        return conn.getresponse()

    def release(self) -> None:
        """Returns the connection after a complete exchange."""
        self._pool.put(self._conn)

    def discard(self) -> None:
        """Closes the connection; it is never used again."""
        sock = self._conn.sock
        if sock is not None:
            # Other threads may wait in this socket; closing alone would
            # leave them there.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._conn.close()

    def _guarded(
        self, body: Iterable[bytes], interim: bool, silence_s: float
    ) -> Iterator[bytes]:
        """Yields the pieces while the peer wants them.

        A peer that sends interim answers shows with them that it is alive,
        however slowly the body comes in.
        """
        sock: Any = self._conn.sock
        if interim:
            _read_continue(sock)
        heard_s = time.monotonic()
        for piece in body:
            while _is_readable(sock):
                if not interim:
                    raise EarlyAnswerError
                _read_continue(sock)
                heard_s = time.monotonic()
            if interim and time.monotonic() - heard_s > silence_s:
                raise TimeoutError("no interim answer")
            yield piece


def _is_readable(sock: socket.socket) -> bool:
    return bool(select.select([sock], [], [], 0)[0])


def _read_continue(sock: socket.socket) -> None:
    expected = len(servers.CONTINUE)
    start = sock.recv(expected, socket.MSG_PEEK)
    if not servers.CONTINUE.startswith(start) or not start:
        raise EarlyAnswerError
    got = b""
    while len(got) < expected:
        data = sock.recv(expected - len(got))
        if not data:
            raise ConnectionResetError("closed before the interim answer")
        got += data
    if got != servers.CONTINUE:
        raise ConnectionResetError("the interim answer is malformed")


class Pool:
    """Idle connections to one address."""

    def __init__(self, address: ids.Address):
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._lock = threading.Lock()
        self._idle: list[tuple[float, connection.HTTPConnection]] = []

    def take(self, proven: bool) -> Lease:
        """Takes a connection.

        Args:
            proven: Whether a kept connection must have answered a short
                time ago.
        """
        oldest = time.monotonic() - (PROVEN_S if proven else IDLE_S)
        while True:
            with self._lock:
                if not self._idle:
                    break
                answered_s, conn = self._idle.pop()
            if answered_s >= oldest and conn.is_connected:
                return Lease(self, conn)
            conn.close()
        conn = connection.HTTPConnection(
            self._host,
            self._port,
            timeout=CONNECT_TIMEOUT_S,
            blocksize=bodies.PIECE_BYTES,
            socket_options=_SOCKET_OPTIONS,
        )
        return Lease(self, conn)

    def put(self, conn: connection.HTTPConnection) -> None:
        """Keeps a connection that has just answered."""
        with self._lock:
            if len(self._idle) < MAX_IDLE and conn.sock is not None:
                self._idle.append((time.monotonic(), conn))
                return
        conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, conn in idle:
            conn.close()


class _NoPool(Pool):
    def __init__(self) -> None:
        super().__init__(ids.Address("0.0.0.0:0"))

    def put(self, conn: connection.HTTPConnection) -> None:
        conn.close()


_NO_POOL = _NoPool()


class Pools:
    """Pools by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[ids.Address, Pool] = {}

    def take(self, address: ids.Address, proven: bool) -> Lease:
        """Takes a connection to an address."""
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = Pool(address)
        return pool.take(proven)

    def keep_only(self, addresses: set[ids.Address]) -> None:
        """Closes the pools of all other addresses."""
        with self._lock:
            gone = [a for a in self._pools if a not in addresses]
            pools = [self._pools.pop(address) for address in gone]
        for pool in pools:
            pool.close()

    def close(self) -> None:
        """Closes all idle connections."""
        self.keep_only(set())


def relay_answer(
    exchange: servers.Exchange,
    resp: urllib3.BaseHTTPResponse,
    headers: list[tuple[str, str]],
) -> None:
    """Passes an answer on as it arrives.

    An answer cut short is cut for the caller too, never passed on as
    complete.

    Raises:
        errors.RequestError: The answer was cut short.
    """
    exchange.start(resp.status, headers)
    try:
        for piece in resp.stream(bodies.PIECE_BYTES, decode_content=False):
            exchange.write(piece)
    except (urllib3.exceptions.HTTPError, TimeoutError) as exc:
        raise errors.RequestError(
            errors.Code.UPSTREAM_FAILED, f"the answer was cut short: {exc}"
        ) from exc
