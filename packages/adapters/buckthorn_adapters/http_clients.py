"""HTTP out: pools of connections over urllib3."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import http.client
import socket
import threading
import time
from typing import Any

import urllib3
from urllib3 import connection

from buckthorn_adapters import bodies
from buckthorn_adapters import interim_responses
from buckthorn_adapters import servers
from buckthorn_core import body_progress
from buckthorn_core import errors
from buckthorn_core import ids

CONNECT_TIMEOUT_S = 1.0
IDLE_S = 20.0
MAX_IDLE = 256
SEND_BYTES = 16_384
BODY_TIMEOUT_S = 30.0
# How often a pause of the body is looked into, whatever happens.
LISTEN_S = 0.5
TCP_USER_TIMEOUT_MS = 5_000
# Before a request that must not be sent twice, a kept connection must have
# answered this recently; otherwise the request could vanish in a connection
# that has gone silent, and its outcome would be unknown.
RECENTLY_ACTIVE_S = 2.0

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


class Lease:
    """A connection taken from a pool for one request.

    Attributes:
        sent: Whether any byte of the request may have left.
    """

    def __init__(self, pool: "ConnectionPool", conn: connection.HTTPConnection):
        self._pool = pool
        self._conn = conn
        self.sent = False
        self._sock: Any = None
        self._answered = False
        self._progress: body_progress.BodyProgress | None = None

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | Iterable[bytes] | None,
        timeout_s: float,
        await_continue: bool = False,
        stream_timeout_s: float | None = None,
        source: bodies.Body | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request and returns the answer with its body unread.

        Args:
            method: The method.
            path: Path and query.
            headers: Headers. Without a length the body is sent chunked.
            body: The body.
            timeout_s: Longest wait for progress, in seconds.
            await_continue: Send the body only after an interim answer.
            stream_timeout_s: Longest wait for a piece of the answer's body,
                in seconds; None for `timeout_s`.
            source: Where a streamed body comes from, to listen to the peer
                while it pauses.

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
        sock: Any = conn.sock
        self._sock = sock
        # The connection sets its own timeout on the socket again and again.
        conn.timeout = timeout_s
        sock.settimeout(timeout_s)
        self.sent = True
        if body is not None and not isinstance(body, bytes):
            body = (
                self._interim_body(body, source, timeout_s)
                if await_continue
                else self._plain_body(body, source)
            )
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
            self._await_final(timeout_s)
        except interim_responses.EarlyResponseError:
            self._pool = _NO_POOL
        except (BrokenPipeError, ConnectionResetError):
            # The peer may have answered before it stopped reading.
            self._pool = _NO_POOL
        try:
            resp = conn.getresponse()
        except http.client.HTTPException as exc:
            if isinstance(exc, OSError):
                raise
            # Raised as it is by the connection, without a pool around it.
            raise urllib3.exceptions.ProtocolError(str(exc)) from exc
        sock.settimeout(stream_timeout_s or timeout_s)
        self._answered = True
        return resp

    def release(self) -> None:
        """Returns the connection after a complete exchange."""
        if self._answered:
            self._pool.put(self._conn)
        else:
            # Part of a request may be on it.
            self.discard()

    def discard(self) -> None:
        """Closes the connection; it is never used again."""
        self.cancel()
        self._conn.close()

    def cancel(self) -> None:
        """Ends the exchange from another thread."""
        # Another thread may wait in this socket; closing alone would leave
        # it there.
        sock = self._sock or self._conn.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _plain_body(
        self, body: Iterable[bytes], source: bodies.Body | None
    ) -> Iterator[bytes]:
        pieces = iter(body)
        while True:
            self._wait_for_body(source, self._refuse_early_answer)
            piece = next(pieces, b"")
            if not piece:
                return
            self._refuse_early_answer()
            yield piece

    def _refuse_early_answer(self) -> None:
        if interim_responses.is_readable(self._sock):
            raise interim_responses.EarlyResponseError

    def _interim_body(
        self,
        body: Iterable[bytes],
        source: bodies.Body | None,
        silence_s: float,
    ) -> Iterator[bytes]:
        """Yields the pieces once the peer asks for them.

        A peer that sends interim answers shows with them that it is alive,
        however slowly the body comes in.
        """
        while not interim_responses.is_admission(
            interim_responses.read(self._sock, silence_s)
        ):
            pass
        seen = body_progress.BodyProgress(time.monotonic(), silence_s)
        self._progress = seen
        pieces = iter(body)
        while True:
            self._wait_for_body(source, lambda: self._hear(seen, silence_s))
            piece = next(pieces, b"")
            if not piece:
                return
            # Small enough to leave in time on a crowded link.
            for start in range(0, len(piece), SEND_BYTES):
                self._hear(seen, silence_s)
                part = piece[start : start + SEND_BYTES]
                yield part
                seen.on_sent(len(part))

    def _wait_for_body(
        self, source: bodies.Body | None, listen: Callable[[], None]
    ) -> None:
        """Waits for bytes of the body and listens to the peer meanwhile.

        Raises:
            errors.RequestError: The body does not go on.
        """
        end_s = time.monotonic() + BODY_TIMEOUT_S
        while source is not None and not source.wait(self._sock, LISTEN_S):
            listen()
            if time.monotonic() > end_s:
                raise errors.RequestError(
                    errors.Code.BODY_CUT_SHORT,
                    f"no byte of the body for {BODY_TIMEOUT_S} s",
                )

    def _hear(self, seen: body_progress.BodyProgress, silence_s: float) -> None:
        while interim_responses.is_readable(self._sock):
            interim = interim_responses.read(self._sock, silence_s)
            seen.on_report(
                time.monotonic(), interim_responses.awaited_offset(interim)
            )
        if seen.is_silent(time.monotonic()):
            raise TimeoutError("no interim answer, or the body does not arrive")

    def _await_final(self, silence_s: float) -> None:
        """Waits for the final answer while the peer reports progress."""
        seen = self._progress
        while seen is not None:
            interim = interim_responses.read(self._sock, silence_s)
            seen.on_report(
                time.monotonic(), interim_responses.awaited_offset(interim)
            )
            if seen.is_silent(time.monotonic()):
                raise TimeoutError("the body does not arrive")


class ConnectionPool:
    """Idle connections to one address."""

    def __init__(self, address: ids.Address):
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._lock = threading.Lock()
        self._idle: list[tuple[float, connection.HTTPConnection]] = []

    def acquire(self, recently_active: bool) -> Lease:
        """Takes a connection.

        Args:
            recently_active: Whether an idle connection must have been used
                within the last `RECENTLY_ACTIVE_S`.
        """
        oldest = time.monotonic() - (
            RECENTLY_ACTIVE_S if recently_active else IDLE_S
        )
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


class _NoPool(ConnectionPool):
    def __init__(self) -> None:
        super().__init__(ids.Address("0.0.0.0:0"))

    def put(self, conn: connection.HTTPConnection) -> None:
        conn.close()


_NO_POOL = _NoPool()


class ConnectionPools:
    """Pools by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[ids.Address, ConnectionPool] = {}

    def acquire(self, address: ids.Address, recently_active: bool) -> Lease:
        """Takes a connection to an address."""
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = ConnectionPool(address)
        return pool.acquire(recently_active)

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


def relay_response(
    exchange: servers.Exchange,
    resp: urllib3.BaseHTTPResponse,
    headers: list[tuple[str, str]],
    to_daemon: bool = False,
) -> None:
    """Passes an answer on as it arrives.

    An answer cut short is cut for the caller too, never passed on as
    complete.

    Args:
        exchange: Where to pass it on to.
        resp: The answer.
        headers: Its headers for the receiver.
        to_daemon: Whether the receiver is a daemon. Unless the body is there
            at once it then goes chunked, so that signs of life fit into
            pauses of the upstream.

    Raises:
        errors.RequestError: The answer was cut short.
        OSError: The receiver has gone, or does not read.
    """
    piece = _read_piece(resp)
    if to_daemon and exchange.method != "HEAD":
        headers = [
            (servers.LENGTH_HEADER, value)
            if name.lower() == "content-length" and int(value) > len(piece)
            else (name, value)
            for name, value in headers
        ]
    exchange.start(resp.status, headers)
    while piece:
        exchange.write(piece)
        piece = _read_piece(resp)
    exchange.finish()


def _read_piece(resp: urllib3.BaseHTTPResponse) -> bytes:
    try:
        # Not read(): it waits until the piece is full, and a slow answer
        # would look silent to the next hop.
        return resp.read1(bodies.PIECE_BYTES, decode_content=False) or b""
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        raise errors.RequestError(
            errors.Code.UPSTREAM_FAILED, f"the answer was cut short: {exc}"
        ) from exc
