"""Connections between sidecars.

A `Link` sends this daemon's requests to another daemon; a `LinkServer` accepts
the connections of others. A link that has requests in flight and receives
nothing is pinged, and closed if no reply comes: an established connection can
stop working for good while new connections to the same daemon succeed.
"""

import asyncio
from collections.abc import Callable
import functools
import socket
from typing import Any
from typing import NamedTuple

import loguru
import msgspec

from buckthorn_adapters import http1
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import link_schedules
from buckthorn_core import load_balancing
from buckthorn_core import version_trials
from buckthorn_sidecar import body_pieces
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress
from buckthorn_sidecar import suspicions

# Connecting between regions takes 40 ms; one lost packet adds 200 ms.
CONNECT_TIMEOUT_S = 0.4
# How long a request that can go to another daemon waits for a connection, in
# seconds. Connecting and the first frame take two round trips, up to 80 ms; an
# unreachable host delays each request by no more than this.
REQUEST_CONNECT_TIMEOUT_S = 0.12
# Time without received data after which a link with requests in flight is
# pinged.
PING_AFTER_IDLE_S = 0.4
# Time without received data after which a daemon gets no new requests.
UNRESPONSIVE_AFTER_S = 0.8
# Time without received data after which a link is closed; enough for two pings
# on a link with packet loss.
DEAD_AFTER_S = 1.5
# Minimum time between two load report requests on a link.
REPORT_REQUEST_INTERVAL_S = 0.2
# How often links are checked for missing data.
CHECK_INTERVAL_S = 0.25

_logger = loguru.logger.bind(module=__name__)


LoadReportCallback = Callable[
    [directories.Registration, frames.LoadFrame], None
]
UnresponsiveCallback = Callable[[directories.Registration], None]
FeedFrameCallback = Callable[[ids.DaemonId, frames.FeedFrame], None]
TokenReplyCallback = Callable[[ids.DaemonId, frames.TokenReply], None]
TrialsCallback = Callable[[ids.DaemonId, list[version_trials.Status]], None]
# Returns the path of the health checks of a service; empty if not known.
HealthPathLookup = Callable[[ids.ServiceName], str]


class LinkLostError(Exception):
    """The connection was lost while the outcome of the request was unknown."""


class LinkUnresponsiveError(Exception):
    """The other daemon is unresponsive and the request may be rerouted."""


class NotSentError(Exception):
    """No connection could be made; nothing was sent.

    Attributes:
        refused: Whether the host refused the connection.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class PendingRequest(NamedTuple):
    """A request that waits for its response.

    Attributes:
        fut: Future of the Response or Failure frame.
        may_reroute: Returns whether the request fails when the link becomes
            unresponsive, so that it can go to another daemon.
    """

    fut: "asyncio.Future[frames.Frame]"
    may_reroute: Callable[[], bool]


class FrameConnection(asyncio.Protocol):
    """A connection that carries frames.

    Attributes:
        boot_id: Future of the peer process's boot id, set by its first frame.
        last_received_s: When data was last received, in seconds on the event
            loop's monotonic clock.
        last_reply_s: The same without records of a feed, which come unasked:
            they don't show that the other direction still works.
        takes_pieces: Whether the other daemon takes bodies in pieces.
        path: State of the pieces that are sent on the connection.
        sending: Bodies that are being sent, by attempt.
    """

    def __init__(
        self,
        on_frame: Callable[
            ["FrameConnection", frames.Frame | frames.LostBody], None
        ],
        on_end: Callable[["FrameConnection", str], None],
        on_start: Callable[["FrameConnection"], None] = lambda conn: None,
        bodies: body_pieces.HostBodies | None = None,
        is_expected: Callable[[str], bool] = lambda attempt: True,
    ):
        """Creates the connection.

        Args:
            on_frame: Called with each frame that is received.
            on_end: Called with the reason when the connection has ended.
            on_start: Called when the connection is open.
            bodies: Sends and receives long bodies; None for one without limits.
            is_expected: Returns whether an attempt waits for its response.
        """
        self._bodies = bodies or body_pieces.HostBodies()
        self._schedule = self._bodies.schedule
        self._is_expected = is_expected
        self._receiving: dict[str, body_pieces.ReceivedBody] = {}
        self.sending: dict[str, body_pieces.SentBody] = {}
        self.path = link_schedules.Path()
        self.takes_pieces = False
        self._on_start = on_start
        self._on_frame = on_frame
        self._on_end = on_end
        self._reader = frames.FrameReader(
            lambda size: self._bodies.reserve(self._reader, size),
            lambda: self._bodies.release(self._reader),
        )
        self._loop = asyncio.get_running_loop()
        self.transport: Any = None
        self.boot_id: asyncio.Future[str] = self._loop.create_future()
        self.last_received_s = self._loop.time()
        self.last_reply_s = self.last_received_s

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and sets the socket options."""
        self.transport = transport
        http1.set_socket_options(transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDBUF,
                self._bodies.send_buffer_bytes,
            )
        transport.set_write_buffer_limits(link_schedules.MAX_PIECE_BYTES)
        self._on_start(self)

    def data_received(self, data: bytes) -> None:
        """Dispatches each complete frame."""
        try:
            found = self._reader.feed(data)
        except errors.PeerError as exc:
            _logger.warning("bad_frame", error=str(exc))
            self.transport.abort()
            return
        self.last_received_s = self._loop.time()
        if not found or not all(isinstance(f, frames.FeedFrame) for f in found):
            self.last_reply_s = self.last_received_s
        piece_count = 0
        for frame in found:
            if isinstance(frame, body_pieces.BODY_FRAMES):
                if (
                    frame.body_bytes
                    or len(frame.body) > link_schedules.SMALL_BODY_BYTES
                ):
                    self._receive_long_body(frame)
                else:
                    self._on_frame(self, frame)
            elif isinstance(frame, frames.Piece):
                piece_count += 1
                self._receive_piece(frame)
            elif isinstance(frame, frames.PiecesReceived):
                self._bodies.on_received(self, frame.count)
            else:
                self._on_frame(self, frame)
        if piece_count:
            self.write(frames.PiecesReceived(piece_count))

    def _receive_long_body(self, frame: body_pieces.BodyFrame) -> None:
        if not frame.body_bytes:
            self._bodies.count(frame)
            self._on_frame(self, frame)
            return
        is_request = isinstance(frame, frames.Request)
        if not is_request and not self._is_expected(frame.attempt):
            # The attempt was given up before its response was ready.
            self.write(frames.Cancel(frame.attempt))
            return
        if not 0 < frame.body_bytes <= frames.MAX_FRAME_BYTES:
            _logger.warning("bad_frame", error=f"{frame.body_bytes} bytes")
            self.transport.abort()
            return
        self.drop_received(frame.attempt)
        received = body_pieces.ReceivedBody(frame)
        if not self._bodies.reserve(received, frame.body_bytes):
            self._on_frame(self, frames.LostBody(frame.attempt, is_request))
            return
        received.start(self._loop.time())
        self._receiving[frame.attempt] = received
        if not is_request:
            # The load that it reports is of now, not of the last piece.
            self._on_frame(self, frame)

    def _receive_piece(self, piece: frames.Piece) -> None:
        received = self._receiving.get(piece.attempt)
        if received is None:
            return
        fits = received.add(piece.data)
        if fits and not piece.last:
            return
        self.drop_received(piece.attempt)
        if not (fits and received.is_complete):
            is_request = isinstance(received.frame, frames.Request)
            lost = frames.LostBody(piece.attempt, is_request, True)
            self._on_frame(self, lost)
            return
        frame = received.join(self._loop.time())
        self._bodies.count(frame)
        self._on_frame(self, frame)

    @property
    def has_long_bodies(self) -> bool:
        """Whether long bodies are being sent or received."""
        return bool(self.sending or self._receiving)

    def drop_received(self, attempt: str) -> None:
        """Drops what has been received of a body."""
        received = self._receiving.pop(attempt, None)
        if received is not None:
            self._bodies.release(received)

    def drop_body(self, attempt: str) -> None:
        """Ends the pieces of an attempt in both directions."""
        self.drop_received(attempt)
        self._bodies.cancel(self, attempt)

    def pause_writing(self) -> None:
        """Holds back pieces while the write buffer is full."""
        self.path.is_blocked = True

    def resume_writing(self) -> None:
        """Continues sending pieces."""
        self.path.is_blocked = False
        self._bodies.pump()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection."""
        self._bodies.cancel_all(self)
        for attempt in list(self._receiving):
            self.drop_received(attempt)
        self._bodies.release(self._reader)
        self.boot_id.cancel()
        self._on_end(self, str(exc) if exc else "closed")

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame, unless the connection is closing.

        The body of a request or response follows in pieces if it is long and
        the other daemon takes them.
        """
        if (
            isinstance(frame, body_pieces.BODY_FRAMES)
            and len(frame.body) > link_schedules.SMALL_BODY_BYTES
            and self.takes_pieces
        ):
            if not self.transport.is_closing():
                self._bodies.send(self, frame)
            return
        if not self.transport.is_closing():
            data = frames.encode(frame)
            self._schedule.other_bytes += len(data)
            self.transport.write(data)

    def write(self, frame: frames.Frame) -> None:
        """Writes a frame at once, unless the connection is closing."""
        if not self.transport.is_closing():
            data = frames.encode(frame)
            self._schedule.other_bytes += len(data)
            self.transport.write(data)

    def write_piece(self, piece: frames.Piece) -> None:
        """Writes a piece that the schedule has counted."""
        if not self.transport.is_closing():
            self.transport.write(frames.encode(piece))


class Link:
    """This daemon's connection to another daemon, opened on demand.

    Attributes:
        peer: The other daemon.
        pending: Requests in flight, by attempt id.
        boot_id: Boot id of the process that got the last request.
        on_trials: Called with what the other daemon states of trials.
        on_token_reply: Called with each reply about tokens.
    """

    def __init__(
        self,
        peer: directories.Registration,
        on_report: LoadReportCallback,
        on_unresponsive: UnresponsiveCallback,
        on_feed_frame: FeedFrameCallback,
        known_suspicions: suspicions.Suspicions,
        health_path: HealthPathLookup,
        bodies: body_pieces.HostBodies | None = None,
    ):
        self.peer = peer
        self._bodies = bodies or body_pieces.HostBodies()
        self._suspicions = known_suspicions
        self._health_path = health_path
        self._on_report = on_report
        self._on_unresponsive = on_unresponsive
        self._on_feed_frame = on_feed_frame
        self._conn: FrameConnection | None = None
        self._connecting: asyncio.Task[FrameConnection] | None = None
        self._last_ping_s = 0.0
        self.boot_id = ""
        self.on_trials: TrialsCallback = lambda daemon, statuses: None
        self.on_token_reply: TokenReplyCallback = lambda daemon, frame: None
        self.pending: dict[str, PendingRequest] = {}

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""
        return self._conn is not None

    async def connect(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> FrameConnection:
        """Returns the connection, opened if there is none.

        Args:
            timeout_s: The longest wait, in seconds. Connecting continues after
                it, for later requests.

        Raises:
            NotSentError: The connection can't be opened in time.
        """
        if self._conn is not None:
            return self._conn
        connecting = self._connecting or self._start_connecting()
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(connecting)
        except OSError as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            raise NotSentError(
                f"{self.peer.address}: {exc!r}", refused
            ) from exc

    def _start_connecting(self) -> "asyncio.Task[FrameConnection]":
        self._connecting = asyncio.create_task(self._connect())
        self._connecting.add_done_callback(self._on_connect_done)
        return self._connecting

    async def _connect(self) -> FrameConnection:
        host, _, port = self.peer.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: FrameConnection(
                    self._on_frame,
                    self._on_end,
                    bodies=self._bodies,
                    is_expected=self.pending.__contains__,
                ),
                host,
                int(port),
            )
            try:
                await asyncio.wait((conn.boot_id,))
            finally:
                if not conn.boot_id.done():
                    conn.transport.abort()
        if conn.boot_id.cancelled():
            raise ConnectionResetError("closed before the first message")
        if not self._has_expected_peer(conn):
            # The address of a lost host was reassigned to another one.
            found = conn.boot_id.result()
            _logger.info("foreign_daemon", daemon=self.peer.daemon, found=found)
            conn.transport.abort()
            raise ConnectionRefusedError(f"{found} listens there")
        conn.path.crosses_region = self.peer.region != self._bodies.region
        self._conn = conn
        # The process may have started since; it gets this before the first
        # request.
        conn.send(
            frames.Ping(
                self._suspicions.reached_limit(),
                self._health_path(self.peer.service),
                takes_pieces=True,
                region=self._bodies.region,
            )
        )
        return conn

    def _has_expected_peer(self, conn: FrameConnection) -> bool:
        """Returns whether the connection leads to the daemon of this link."""
        if not conn.boot_id.done() or conn.boot_id.cancelled():
            return False
        daemon, _, _ = conn.boot_id.result().rpartition("/")
        return daemon == self.peer.daemon

    def _on_connect_done(self, task: asyncio.Task[FrameConnection]) -> None:
        self._connecting = None
        if not task.cancelled():
            # Marks the exception as retrieved; each waiter raises it itself.
            task.exception()

    async def call(
        self,
        frame: frames.Request | frames.OutcomeQuery,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        may_reroute: Callable[[], bool] = lambda: False,
    ) -> frames.Frame:
        """Sends a request and returns the reply.

        If the request is cancelled or rerouted, the other daemon is told to
        cancel it too.

        Args:
            frame: The request.
            connect_timeout_s: How long to wait for a connection, in seconds.
            may_reroute: Called when the link becomes unresponsive; returns
                whether the request fails then instead of waiting until the
                link is closed.

        Raises:
            NotSentError: Nothing was sent.
            LinkLostError: The connection was lost before the reply.
            LinkUnresponsiveError: The link is unresponsive and the request may
                be rerouted.
        """
        conn = await self.connect(connect_timeout_s)
        self.boot_id = conn.boot_id.result()
        if conn.transport.is_closing():
            raise NotSentError(f"{self.peer.address}: closing")
        fut: asyncio.Future[frames.Frame] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[frame.attempt] = PendingRequest(fut, may_reroute)
        if len(self.pending) == 1:
            conn.last_reply_s = asyncio.get_running_loop().time()
        conn.send(frame)
        try:
            return await fut
        except (asyncio.CancelledError, LinkUnresponsiveError):
            if isinstance(frame, frames.Request):
                conn.send(frames.Cancel(frame.attempt))
            raise
        finally:
            self.pending.pop(frame.attempt, None)
            if conn.has_long_bodies:
                conn.drop_body(frame.attempt)

    def _on_frame(
        self, conn: FrameConnection, frame: frames.Frame | frames.LostBody
    ) -> None:
        if isinstance(frame, frames.Hello) and not conn.boot_id.done():
            conn.takes_pieces = frame.takes_pieces
            conn.boot_id.set_result(frame.boot_id)
        if isinstance(frame, frames.LostBody):
            conn.write(frames.Cancel(frame.attempt))
            frame = _lost_response(frame)
        elif isinstance(frame, frames.LoadFrame) and self._has_expected_peer(
            conn
        ):
            if not _is_joined(frame):
                self._on_report(self.peer, frame)
            if _is_head(frame):
                return
        self._dispatch(frame)

    def _dispatch(self, frame: frames.Frame) -> None:
        """Passes a frame on to those that wait for its content."""
        if isinstance(frame, frames.Hello | frames.Pong):
            self._suspicions.merge(frame.suspicions)
        if isinstance(frame, frames.Pong) and frame.trials:
            self.on_trials(self.peer.daemon, frame.trials)
        if isinstance(frame, frames.FeedFrame):
            self._on_feed_frame(self.peer.daemon, frame)
        elif isinstance(frame, frames.Response | frames.Failure):
            pending_request = self.pending.get(frame.attempt)
            if pending_request is not None and not pending_request.fut.done():
                pending_request.fut.set_result(frame)
        elif isinstance(frame, frames.TokenReply):
            self.on_token_reply(self.peer.daemon, frame)

    def _on_end(self, conn: FrameConnection, reason: str) -> None:
        if conn is not self._conn:
            return
        self._conn = None
        for fut, _ in self.pending.values():
            if not fut.done():
                fut.set_exception(
                    LinkLostError(f"{self.peer.address}: {reason}")
                )

    async def send(self, frame: frames.Frame) -> None:
        """Sends a frame that gets no reply of its own.

        Raises:
            NotSentError: There is no connection.
        """
        conn = await self.connect()
        conn.send(frame)

    def close_if_dead(self, now_s: float) -> bool:
        """Closes a connection that has received nothing for DEAD_AFTER_S.

        Returns:
            Whether it was closed.
        """
        conn = self._conn
        if conn is None or now_s - conn.last_received_s <= DEAD_AFTER_S:
            return False
        self._abort(conn)
        return True

    def _abort(self, conn: FrameConnection) -> None:
        _logger.warning("link_silent", daemon=self.peer.daemon)
        conn.transport.abort()

    def unsubscribe(self) -> None:
        """Ends the subscription to the other daemon's records."""
        self.send_if_connected(frames.Subscribe({}))

    def send_if_connected(self, frame: frames.Frame) -> None:
        """Sends a frame if there is a connection."""
        if self._conn is not None:
            self._conn.send(frame)

    def request_load_report(self, now_s: float) -> None:
        """Requests a load report; connects if there is no connection yet."""
        if now_s - self._last_ping_s <= REPORT_REQUEST_INTERVAL_S:
            return
        self._last_ping_s = now_s
        if self._conn is not None:
            self._conn.send(frames.Ping())
        elif self._connecting is None:
            self._start_connecting()

    def check(self, now_s: float) -> None:
        """Pings or closes a connection with requests that receives nothing."""
        conn = self._conn
        if conn is None or not self.pending:
            return
        if now_s - conn.last_reply_s > DEAD_AFTER_S:
            self._abort(conn)
            return
        idle_s = now_s - conn.last_reply_s
        if idle_s > UNRESPONSIVE_AFTER_S:
            self._on_unresponsive(self.peer)
            self._fail_reroutable_requests(idle_s)
        if (
            idle_s > PING_AFTER_IDLE_S
            and now_s - self._last_ping_s > PING_AFTER_IDLE_S
        ):
            self._last_ping_s = now_s
            conn.send(frames.Ping())

    def _fail_reroutable_requests(self, idle_s: float) -> None:
        for fut, may_reroute in self.pending.values():
            if not fut.done() and may_reroute():
                text = f"{self.peer.address}: quiet for {idle_s:.2f} s"
                fut.set_exception(LinkUnresponsiveError(text))

    def close(self) -> None:
        """Closes the connection."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._conn is not None:
            self._conn.transport.abort()


class LinkPool:
    """The links to all other daemons.

    Attributes:
        on_feed_frame: Called with each feed frame and the daemon that sent it.
        on_token_reply: Called with each reply about tokens, in the same way.
        on_trials: Called with a daemon and what it states of trials.
    """

    def __init__(
        self,
        on_report: LoadReportCallback,
        on_unresponsive: UnresponsiveCallback,
        known_suspicions: suspicions.Suspicions,
        health_path: HealthPathLookup,
        bodies: body_pieces.HostBodies | None = None,
    ):
        self._bodies = bodies or body_pieces.HostBodies()
        self._on_report = on_report
        self._on_unresponsive = on_unresponsive
        self._suspicions = known_suspicions
        self._health_path = health_path
        self.on_feed_frame: FeedFrameCallback = lambda daemon, frame: None
        self.on_token_reply: TokenReplyCallback = lambda daemon, frame: None
        self.on_trials: TrialsCallback = lambda daemon, statuses: None
        self._links: dict[ids.DaemonId, Link] = {}
        self._check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the periodic checks of the links."""
        self._check_task = asyncio.create_task(self._check())

    def close(self) -> None:
        """Closes all links."""
        if self._check_task is not None:
            self._check_task.cancel()
        for link in self._links.values():
            link.close()

    def connected(self) -> list[Link]:
        """Returns the links that have a connection."""
        return [link for link in self._links.values() if link.is_connected]

    def get_or_create(self, registration: directories.Registration) -> Link:
        """Returns the link to a daemon, replaced if its address has changed."""
        link = self._links.get(registration.daemon)
        if link is None or link.peer.address != registration.address:
            if link is not None:
                link.close()
            link = Link(
                registration,
                self._on_report,
                self._on_unresponsive,
                self._on_feed_frame,
                self._suspicions,
                self._health_path,
                self._bodies,
            )
            link.on_trials = self._on_trials
            link.on_token_reply = self._on_token_reply
            self._links[registration.daemon] = link
        return link

    def _on_trials(
        self, daemon: ids.DaemonId, statuses: list[version_trials.Status]
    ) -> None:
        self.on_trials(daemon, statuses)

    def _on_feed_frame(
        self, daemon: ids.DaemonId, frame: frames.FeedFrame
    ) -> None:
        self.on_feed_frame(daemon, frame)

    def _on_token_reply(
        self, daemon: ids.DaemonId, frame: frames.TokenReply
    ) -> None:
        self.on_token_reply(daemon, frame)

    def remove(self, daemon: ids.DaemonId) -> None:
        """Closes the link to a removed daemon, unless requests are pending."""
        link = self._links.get(daemon)
        if link is not None and not link.pending:
            del self._links[daemon]
            link.close()

    async def _check(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for link in list(self._links.values()):
                link.check(loop.time())


class LinkServer:
    """Accepts connections of other daemons and serves their requests.

    Attributes:
        on_subscribe: Called with each subscription of a daemon.
        on_unrecorded: Called with changes that the log has lost, from a daemon,
            and with queries for them.
        on_trials: Called with reports on trials; returns the reply.
        on_end: Called when a daemon's connection has ended.
        on_token_request: Called with each request for tokens.
    """

    def __init__(
        self,
        address: ids.Address,
        handler: ingress.Ingress,
        bodies: body_pieces.HostBodies | None = None,
    ):
        self._address = address
        self._handler = handler
        self._bodies = bodies or body_pieces.HostBodies()
        self.on_subscribe: Callable[[FrameConnection, frames.Subscribe], None]
        self.on_subscribe = lambda conn, frame: None
        self.on_unrecorded: Callable[
            [FrameConnection, frames.Unrecorded | frames.UnrecordedQuery], None
        ] = lambda conn, frame: None
        self.on_trials: Callable[
            [list[version_trials.Report]], list[version_trials.Status]
        ] = lambda reports: []
        self.on_end: Callable[[FrameConnection], None] = lambda conn: None
        self.on_token_request: Callable[
            [FrameConnection, frames.TokenRequest], None
        ] = lambda conn, frame: None
        self._server: asyncio.Server | None = None
        self._conns: set[FrameConnection] = set()

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._create_connection, host, int(port), backlog=512
        )

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._conns):
            conn.transport.close()

    def broadcast(self, frame: frames.Frame) -> None:
        """Sends a frame to all connected daemons."""
        for conn in self._conns:
            # A connection that was just accepted has no transport yet; its
            # first frame carries the same load report.
            if conn.transport is not None:
                conn.send(frame)

    def _create_connection(self) -> FrameConnection:
        conn = FrameConnection(
            self._on_frame, self._on_end, self._send_hello, self._bodies
        )
        self._conns.add(conn)
        return conn

    def _send_hello(self, conn: FrameConnection) -> None:
        conn.send(self._handler.hello())

    def _on_end(self, conn: FrameConnection, reason: str) -> None:
        del reason
        self._conns.discard(conn)
        self.on_end(conn)

    def _on_frame(
        self, conn: FrameConnection, frame: frames.Frame | frames.LostBody
    ) -> None:
        if isinstance(frame, frames.Request):
            self._reply(conn, self._handler.submit(frame))
        elif isinstance(frame, frames.OutcomeQuery):
            self._reply(conn, self._handler.query_outcome(frame))
        elif isinstance(frame, frames.Cancel):
            self._handler.cancel(frame.attempt)
            conn.drop_body(frame.attempt)
        elif isinstance(frame, frames.LostBody):
            conn.write(self._handler.lost_body(frame.attempt, frame.is_broken))
        elif isinstance(frame, frames.Ping):
            self._on_ping(conn, frame)
        elif isinstance(frame, frames.Subscribe):
            self.on_subscribe(conn, frame)
        elif isinstance(frame, frames.Unrecorded | frames.UnrecordedQuery):
            self.on_unrecorded(conn, frame)
        elif isinstance(frame, frames.TokenRequest):
            self.on_token_request(conn, frame)

    def _on_ping(self, conn: FrameConnection, frame: frames.Ping) -> None:
        if frame.takes_pieces:
            conn.takes_pieces = True
            conn.path.crosses_region = frame.region != self._bodies.region
        self._handler.suspicions.merge(frame.suspicions)
        if frame.health_path and not self._handler.health_path_known.is_set():
            self._handler.set_health_path(frame.health_path)
        pong = self._handler.pong()
        if frame.trials:
            trials = self.on_trials(frame.trials)
            pong = msgspec.structs.replace(pong, trials=trials)
        conn.send(pong)

    def _reply(
        self, conn: FrameConnection, fut: "asyncio.Future[frames.Frame]"
    ) -> None:
        fut.add_done_callback(functools.partial(_send_result, conn))


def _is_head(frame: frames.LoadFrame) -> bool:
    """Returns whether the body of a response follows in pieces."""
    return (
        isinstance(frame, frames.Response)
        and frame.body_bytes > 0
        and not frame.body
    )


def _is_joined(frame: frames.LoadFrame) -> bool:
    """Returns whether a response came in pieces, after its head."""
    return (
        isinstance(frame, frames.Response)
        and frame.body_bytes > 0
        and bool(frame.body)
    )


def _lost_response(lost: frames.LostBody) -> frames.Failure:
    """Returns the failure of an attempt whose response has no body."""
    reason = (
        "the body broke off" if lost.is_broken else "no memory for the body"
    )
    return frames.Failure(
        lost.attempt,
        errors.Code.UPSTREAM_FAILED,
        reason,
        None,
        True,
        load_balancing.LoadReport(0, 0, 0, 0.0),
        0,
    )


def _send_result(
    conn: FrameConnection, fut: "asyncio.Future[frames.Frame]"
) -> None:
    if not fut.cancelled():
        conn.send(fut.result())
