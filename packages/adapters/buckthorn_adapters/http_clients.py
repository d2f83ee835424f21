"""HTTP client for upstreams and other daemons, with pools over urllib3."""

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

from buckthorn_adapters import bodies
from buckthorn_adapters import interim_responses
from buckthorn_adapters import limited_responses
from buckthorn_adapters import servers
from buckthorn_core import body_progress
from buckthorn_core import errors
from buckthorn_core import ids

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 20.0
MAX_IDLE_CONNECTIONS = 256
SEND_SIZE_BYTES = 16_384
BODY_TIMEOUT_S = 30.0
# How often the peer is checked while the request body pauses.
PEER_CHECK_INTERVAL_S = 0.5
TCP_USER_TIMEOUT_MS = 5_000
# A request that must not be sent twice needs a connection that has responded
# this recently. On a connection that has silently failed the request would be
# lost, and its outcome unknown.
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
    """The connection failed before any byte of the request was sent."""


class Lease:
    """A connection acquired from a pool for one request.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    def __init__(
        self, pool: "ConnectionPool", conn: limited_responses.HTTPConnection
    ):
        self._pool = pool
        self._conn = conn
        self.sent = False
        self._sock: Any = None
        self._response_started = False
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
        head_timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request and returns the response with its body unread.

        Args:
            method: The method.
            path: Path and query.
            headers: Headers. Without Content-Length the body is sent chunked.
            body: The body.
            timeout_s: Longest wait for progress, in seconds.
            await_continue: Whether to send the body only after an interim
                response admits it.
            stream_timeout_s: Longest wait for a piece of the response body,
                in seconds; None for `timeout_s`.
            source: Source of a streamed body. The peer is checked while the
                source pauses.
            head_timeout_s: Longest time until the head of the response is
                complete, in seconds; None for no limit.

        Raises:
            NotSentError: The connection could not be established.
            OSError: The connection failed or timed out.
            errors.RequestError: The request body is incomplete or too large.
            urllib3.exceptions.HTTPError: The response is malformed.
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
        # HTTPConnection sets its timeout on the socket again at each step.
        conn.timeout = timeout_s
        conn.head_deadline_s = (
            None
            if head_timeout_s is None
            else time.monotonic() + head_timeout_s
        )
        sock.settimeout(timeout_s)
        self.sent = True
        if body is not None and not isinstance(body, bytes):
            body = (
                self._body_after_admission(body, source, timeout_s)
                if await_continue
                else self._body_until_response(body, source)
            )
        header_names = {name.lower() for name in headers}
        try:
            conn.request(
                method,
                path,
                body=body,
                headers=headers,
                chunked=body is not None
                and "content-length" not in header_names,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
            self._wait_for_final_response(timeout_s)
        except interim_responses.EarlyResponseError:
            self._pool = _DISCARDING_POOL
        except (BrokenPipeError, ConnectionResetError):
            # The peer may have responded before it stopped reading.
            self._pool = _DISCARDING_POOL
        try:
            resp = conn.getresponse()
        except http.client.HTTPException as exc:
            if isinstance(exc, OSError):
                raise
            # Without a urllib3 pool, http.client errors are not translated.
            raise urllib3.exceptions.ProtocolError(str(exc)) from exc
        sock.settimeout(stream_timeout_s or timeout_s)
        self._response_started = True
        return resp

    def release(self) -> None:
        """Returns the connection to the pool after a complete exchange."""
        if self._response_started:
            self._pool.put(self._conn)
        else:
            # A part of the request may have been sent.
            self.discard()

    def discard(self) -> None:
        """Closes the connection instead of returning it to the pool."""
        self.cancel()
        self._conn.close()

    def cancel(self) -> None:
        """Aborts the exchange; may be called from another thread."""
        # Closing alone would not wake a thread that is blocked on the socket.
        sock = self._sock or self._conn.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _body_until_response(
        self, body: Iterable[bytes], source: bodies.Body | None
    ) -> Iterator[bytes]:
        pieces = iter(body)
        while True:
            self._wait_for_body_data(source, self._check_no_early_response)
            piece = next(pieces, b"")
            if not piece:
                return
            self._check_no_early_response()
            yield piece

    def _check_no_early_response(self) -> None:
        if interim_responses.is_readable(self._sock):
            raise interim_responses.EarlyResponseError

    def _body_after_admission(
        self,
        body: Iterable[bytes],
        source: bodies.Body | None,
        silence_timeout_s: float,
    ) -> Iterator[bytes]:
        """Yields the pieces once the peer has admitted the request.

        The peer sends interim responses as heartbeats, so that a slow body is
        told apart from a failed connection.
        """
        while not interim_responses.is_admission(
            interim_responses.read(self._sock, silence_timeout_s)
        ):
            pass
        progress = body_progress.BodyProgress(
            time.monotonic(), silence_timeout_s
        )
        self._progress = progress
        pieces = iter(body)
        while True:
            self._wait_for_body_data(
                source,
                lambda: self._read_interim_responses(
                    progress, silence_timeout_s
                ),
            )
            piece = next(pieces, b"")
            if not piece:
                return
            # Small enough to be sent within the timeout on a congested link.
            for start in range(0, len(piece), SEND_SIZE_BYTES):
                self._read_interim_responses(progress, silence_timeout_s)
                part = piece[start : start + SEND_SIZE_BYTES]
                yield part
                progress.on_sent(len(part))

    def _wait_for_body_data(
        self, source: bodies.Body | None, check_peer: Callable[[], None]
    ) -> None:
        """Waits for bytes of the body and checks the peer meanwhile.

        Raises:
            errors.RequestError: No byte arrived for `BODY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + BODY_TIMEOUT_S
        while source is not None and not source.wait(
            self._sock, PEER_CHECK_INTERVAL_S
        ):
            check_peer()
            if time.monotonic() > deadline_s:
                raise errors.RequestError(
                    errors.Code.BODY_CUT_SHORT,
                    f"no byte of the body for {BODY_TIMEOUT_S} s",
                )

    def _read_interim_responses(
        self, progress: body_progress.BodyProgress, silence_timeout_s: float
    ) -> None:
        while interim_responses.is_readable(self._sock):
            interim = interim_responses.read(self._sock, silence_timeout_s)
            progress.on_report(
                time.monotonic(), interim_responses.awaited_offset(interim)
            )
        if progress.is_silent(time.monotonic()):
            raise TimeoutError("no interim answer, or the body does not arrive")

    def _wait_for_final_response(self, silence_timeout_s: float) -> None:
        """Waits for the final response while the peer reports progress."""
        progress = self._progress
        while progress is not None:
            interim = interim_responses.read(self._sock, silence_timeout_s)
            progress.on_report(
                time.monotonic(), interim_responses.awaited_offset(interim)
            )
            if progress.is_silent(time.monotonic()):
                raise TimeoutError("the body does not arrive")


class ConnectionPool:
    """Pool of idle connections to one address."""

    def __init__(self, address: ids.Address):
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._lock = threading.Lock()
        self._idle: list[tuple[float, limited_responses.HTTPConnection]] = []

    def acquire(self, recently_active: bool) -> Lease:
        """Returns an idle connection, or a new one that is not connected.

        Args:
            recently_active: Whether an idle connection must have been used
                within the last `RECENTLY_ACTIVE_S`.
        """
        min_idle_since_s = time.monotonic() - (
            RECENTLY_ACTIVE_S if recently_active else MAX_IDLE_S
        )
        while True:
            with self._lock:
                if not self._idle:
                    break
                idle_since_s, conn = self._idle.pop()
            if idle_since_s >= min_idle_since_s and conn.is_connected:
                return Lease(self, conn)
            conn.close()
        conn = limited_responses.HTTPConnection(
            self._host,
            self._port,
            timeout=CONNECT_TIMEOUT_S,
            blocksize=bodies.PIECE_BYTES,
            socket_options=_SOCKET_OPTIONS,
        )
        return Lease(self, conn)

    def put(self, conn: limited_responses.HTTPConnection) -> None:
        """Adds a connection that has just completed an exchange."""
        with self._lock:
            if len(self._idle) < MAX_IDLE_CONNECTIONS and conn.sock is not None:
                self._idle.append((time.monotonic(), conn))
                return
        conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, conn in idle:
            conn.close()


class _DiscardingPool(ConnectionPool):
    def __init__(self) -> None:
        super().__init__(ids.Address("0.0.0.0:0"))

    def put(self, conn: limited_responses.HTTPConnection) -> None:
        conn.close()


_DISCARDING_POOL = _DiscardingPool()


class ConnectionPools:
    """Connection pools by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[ids.Address, ConnectionPool] = {}

    def acquire(self, address: ids.Address, recently_active: bool) -> Lease:
        """Returns a connection to an address; see `ConnectionPool.acquire`."""
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = self._pools[address] = ConnectionPool(address)
        return pool.acquire(recently_active)

    def keep_only(self, addresses: set[ids.Address]) -> None:
        """Closes the pools of all other addresses."""
        with self._lock:
            removed = [a for a in self._pools if a not in addresses]
            pools = [self._pools.pop(address) for address in removed]
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
    """Streams a response to the receiver as it arrives.

    A truncated response is truncated for the receiver too, never passed on as
    complete.

    Args:
        exchange: The exchange to respond to.
        resp: The response.
        headers: Its headers for the receiver.
        to_daemon: Whether the receiver is a daemon. Unless the whole body is
            available at once, it is then sent chunked, so that heartbeats can
            be sent while the upstream pauses.

    Raises:
        errors.RequestError: The response was truncated.
        OSError: The receiver closed the connection or does not read.
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
        # read() would wait for a full piece, and a slow response would time
        # out at the next hop.
        return resp.read1(bodies.PIECE_BYTES, decode_content=False) or b""
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        raise errors.RequestError(
            errors.Code.UPSTREAM_FAILED, f"the answer was cut short: {exc}"
        ) from exc
