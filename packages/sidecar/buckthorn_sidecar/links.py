"""Connections between sidecars.

A `Link` sends this daemon's requests to another daemon, `LinkServer` takes
the requests of others. A link with requests in flight that hears nothing is
pinged; without a sign of life it is closed as silent, since a connection can
go silent for good while new ones work.
"""

import asyncio
from collections.abc import Callable
import functools
from typing import Any
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress

# A connection between regions takes 40 ms; one lost packet adds 200 ms.
CONNECT_TIMEOUT_S = 0.4
# A request waits this long for a connection before it goes elsewhere, in
# seconds. The connection itself and the first message take two round trips,
# up to 80 ms; a host that is gone costs each request no more than this.
CONNECT_WAIT_S = 0.12
# A link with requests in flight is pinged when nothing came for this long.
PING_AFTER_S = 0.4
# A link that is silent for this long gets no new requests, in seconds.
QUIET_S = 0.8
# Two pings on a link that loses packets fit into this.
SILENCE_S = 1.5
# Pause between requests for a report, in seconds.
REPORT_PAUSE_S = 0.2
# How often links are looked at, in seconds.
CHECK_S = 0.25

_logger = loguru.logger.bind(module=__name__)


OnReport = Callable[[directories.Registration, frames.Report], None]
OnQuiet = Callable[[directories.Registration], None]
OnFed = Callable[[ids.DaemonId, frames.Records | frames.Confirm], None]


class LinkLostError(Exception):
    """The connection ended with the request's outcome unknown."""


class LinkQuietError(Exception):
    """The other daemon gives no sign of life, and the request moves on."""


class NotSentError(Exception):
    """No connection could be made; nothing was sent.

    Attributes:
        refused: Whether the host answered that nobody listens there.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class Pending(NamedTuple):
    """A request without an answer.

    Attributes:
        fut: Gets the answer.
        may_move: Returns whether it goes elsewhere if the link is quiet.
    """

    fut: "asyncio.Future[frames.Frame]"
    may_move: Callable[[], bool]


class FrameConnection(asyncio.Protocol):
    """A connection that carries frames.

    Attributes:
        boot: The process at the other end, once it has said so.
        heard_s: When bytes last came; steady time.
    """

    def __init__(
        self,
        on_frame: Callable[["FrameConnection", frames.Frame], None],
        on_end: Callable[["FrameConnection", str], None],
        on_start: Callable[["FrameConnection"], None] = lambda conn: None,
    ):
        self._on_start = on_start
        self._on_frame = on_frame
        self._on_end = on_end
        self._reader = frames.FrameReader()
        self._loop = asyncio.get_running_loop()
        self.transport: Any = None
        self.boot: asyncio.Future[str] = self._loop.create_future()
        self.heard_s = self._loop.time()

    def connection_made(self, transport: Any) -> None:
        """Takes the transport."""
        self.transport = transport
        http1.set_socket_options(transport)
        self._on_start(self)

    def data_received(self, data: bytes) -> None:
        """Hands out the frames that are complete."""
        self.heard_s = self._loop.time()
        try:
            found = self._reader.feed(data)
        except errors.PeerError as exc:
            _logger.warning("bad_frame", error=str(exc))
            self.transport.abort()
            return
        for frame in found:
            self._on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells that the connection has ended."""
        self.boot.cancel()
        self._on_end(self, str(exc) if exc else "closed")

    def send(self, frame: frames.Frame) -> None:
        """Sends a frame, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(frames.encode(frame))


class Link:
    """This daemon's connection to another daemon, made when needed.

    Attributes:
        pending: Requests without an answer.
        boot: The process that was sent the last request.
    """

    def __init__(
        self,
        to: directories.Registration,
        on_report: OnReport,
        on_quiet: OnQuiet,
        on_fed: OnFed,
    ):
        self.to = to
        self._on_report = on_report
        self._on_quiet = on_quiet
        self._on_fed = on_fed
        self._conn: FrameConnection | None = None
        self._connecting: asyncio.Task[FrameConnection] | None = None
        self._pinged_s = 0.0
        self.boot = ""
        self.pending: dict[str, Pending] = {}

    async def connect(
        self, within_s: float = CONNECT_TIMEOUT_S
    ) -> FrameConnection:
        """Returns the connection, made if there is none.

        Args:
            within_s: The longest wait, in seconds. A connection that takes
                longer is made for those who come later.

        Raises:
            NotSentError: It can't be made in time.
        """
        if self._conn is not None:
            return self._conn
        connecting = self._connecting or self._start_connecting()
        try:
            async with asyncio.timeout(within_s):
                return await asyncio.shield(connecting)
        except OSError as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            raise NotSentError(f"{self.to.address}: {exc!r}", refused) from exc

    def _start_connecting(self) -> "asyncio.Task[FrameConnection]":
        self._connecting = asyncio.create_task(self._open())
        self._connecting.add_done_callback(self._opened)
        return self._connecting

    async def _open(self) -> FrameConnection:
        host, _, port = self.to.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, conn = await loop.create_connection(
                lambda: FrameConnection(self._on_frame, self._on_end),
                host,
                int(port),
            )
            try:
                await asyncio.wait((conn.boot,))
            finally:
                if not conn.boot.done():
                    conn.transport.abort()
        if conn.boot.cancelled():
            raise ConnectionResetError("closed before the first message")
        if not self._is_from(conn):
            # The address of a host that was lost, given to another one.
            found = conn.boot.result()
            _logger.info("foreign_daemon", daemon=self.to.daemon, found=found)
            conn.transport.abort()
            raise ConnectionRefusedError(f"{found} listens there")
        self._conn = conn
        return conn

    def _is_from(self, conn: FrameConnection) -> bool:
        """Returns whether the daemon of this link is at the other end."""
        if not conn.boot.done() or conn.boot.cancelled():
            return False
        daemon, _, _ = conn.boot.result().rpartition("/")
        return daemon == self.to.daemon

    def _opened(self, task: asyncio.Task[FrameConnection]) -> None:
        self._connecting = None
        if not task.cancelled():
            # Marks the exception as seen; each waiter raises it itself.
            task.exception()

    async def call(
        self,
        frame: frames.Request | frames.Ask,
        connect_within_s: float = CONNECT_TIMEOUT_S,
        may_move: Callable[[], bool] = lambda: False,
    ) -> frames.Frame:
        """Sends a request and returns what came back.

        A request that is cancelled or moves on tells the other daemon.

        Args:
            frame: The request.
            connect_within_s: How long to wait for a connection, in seconds.
            may_move: Asked when the link is quiet: whether the request is not
                to wait until the link is known to be lost.

        Raises:
            NotSentError: Nothing was sent.
            LinkLostError: The connection ended without an answer.
            LinkQuietError: The link is quiet and the request may move.
        """
        conn = await self.connect(connect_within_s)
        self.boot = conn.boot.result()
        if conn.transport.is_closing():
            raise NotSentError(f"{self.to.address}: closing")
        fut: asyncio.Future[frames.Frame] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[frame.attempt] = Pending(fut, may_move)
        if len(self.pending) == 1:
            conn.heard_s = asyncio.get_running_loop().time()
        conn.send(frame)
        try:
            return await fut
        except (asyncio.CancelledError, LinkQuietError):
            if isinstance(frame, frames.Request):
                conn.send(frames.Cancel(frame.attempt))
            raise
        finally:
            self.pending.pop(frame.attempt, None)

    def _on_frame(self, conn: FrameConnection, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Hello) and not conn.boot.done():
            conn.boot.set_result(frame.boot)
        if isinstance(frame, frames.Report) and self._is_from(conn):
            self._on_report(self.to, frame)
        if isinstance(frame, frames.Records | frames.Confirm):
            self._on_fed(self.to.daemon, frame)
        elif isinstance(frame, frames.Answer | frames.Failure):
            waits = self.pending.get(frame.attempt)
            if waits is not None and not waits.fut.done():
                waits.fut.set_result(frame)

    def _on_end(self, conn: FrameConnection, why: str) -> None:
        if conn is not self._conn:
            return
        self._conn = None
        for fut, _ in self.pending.values():
            if not fut.done():
                fut.set_exception(LinkLostError(f"{self.to.address}: {why}"))

    async def subscribe(self, frame: frames.Subscribe) -> None:
        """Asks the other daemon to feed this one.

        Raises:
            NotSentError: There is no connection.
        """
        conn = await self.connect()
        conn.send(frame)

    def close_if_silent(self, now_s: float) -> bool:
        """Closes a connection on which nothing has come for long.

        Returns:
            Whether it was closed.
        """
        conn = self._conn
        if conn is None or now_s - conn.heard_s <= SILENCE_S:
            return False
        _logger.warning("link_silent", daemon=self.to.daemon)
        conn.transport.abort()
        return True

    def unsubscribe(self) -> None:
        """Ends being fed by the other daemon."""
        if self._conn is not None:
            self._conn.send(frames.Subscribe({}))

    def ask_report(self, now_s: float) -> None:
        """Asks for a report of the load; connects if there is no link yet."""
        if now_s - self._pinged_s <= REPORT_PAUSE_S:
            return
        self._pinged_s = now_s
        if self._conn is not None:
            self._conn.send(frames.Ping())
        elif self._connecting is None:
            self._start_connecting()

    def check(self, now_s: float) -> None:
        """Pings a quiet connection, and closes a silent one."""
        conn = self._conn
        if conn is None or not self.pending or self.close_if_silent(now_s):
            return
        quiet_s = now_s - conn.heard_s
        if quiet_s > QUIET_S:
            self._on_quiet(self.to)
            self._move_on(quiet_s)
        if quiet_s > PING_AFTER_S and now_s - self._pinged_s > PING_AFTER_S:
            self._pinged_s = now_s
            conn.send(frames.Ping())

    def _move_on(self, quiet_s: float) -> None:
        for fut, may_move in self.pending.values():
            if not fut.done() and may_move():
                text = f"{self.to.address}: quiet for {quiet_s:.2f} s"
                fut.set_exception(LinkQuietError(text))

    def close(self) -> None:
        """Closes the connection."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._conn is not None:
            self._conn.transport.abort()


class Links:
    """Links by daemon.

    Attributes:
        on_fed: Takes what a daemon sends that feeds this one.
    """

    def __init__(self, on_report: OnReport, on_quiet: OnQuiet):
        self._on_report = on_report
        self._on_quiet = on_quiet
        self.on_fed: OnFed = lambda daemon, frame: None
        self._links: dict[ids.DaemonId, Link] = {}
        self._checker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to look for silent links."""
        self._checker = asyncio.create_task(self._check())

    def close(self) -> None:
        """Closes all links."""
        if self._checker is not None:
            self._checker.cancel()
        for link in self._links.values():
            link.close()

    def to(self, registration: directories.Registration) -> Link:
        """Returns the link to a daemon."""
        link = self._links.get(registration.daemon)
        if link is None or link.to.address != registration.address:
            if link is not None:
                link.close()
            link = Link(
                registration, self._on_report, self._on_quiet, self._on_fed
            )
            self._links[registration.daemon] = link
        return link

    def _on_fed(
        self, daemon: ids.DaemonId, frame: frames.Records | frames.Confirm
    ) -> None:
        self.on_fed(daemon, frame)

    def forget(self, daemon: ids.DaemonId) -> None:
        """Closes the link to a daemon that is gone, unless it is in use."""
        link = self._links.get(daemon)
        if link is not None and not link.pending:
            del self._links[daemon]
            link.close()

    async def _check(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_S)
            for link in list(self._links.values()):
                link.check(loop.time())


class LinkServer:
    """Takes requests of other daemons.

    Attributes:
        on_subscribe: Takes a daemon's wish to be fed.
        on_end: Called when a daemon's connection has ended.
    """

    def __init__(self, address: ids.Address, handler: ingress.Ingress):
        self._address = address
        self._handler = handler
        self.on_subscribe: Callable[[FrameConnection, frames.Subscribe], None]
        self.on_subscribe = lambda conn, frame: None
        self.on_end: Callable[[FrameConnection], None] = lambda conn: None
        self._server: asyncio.Server | None = None
        self._conns: set[FrameConnection] = set()

    async def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address can't be listened on.
        """
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._connected, host, int(port), backlog=512
        )

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self._conns):
            conn.transport.close()

    def broadcast(self, frame: frames.Frame) -> None:
        """Sends a frame to all daemons that are connected."""
        for conn in self._conns:
            # One that was just accepted is greeted with the same report.
            if conn.transport is not None:
                conn.send(frame)

    def _connected(self) -> FrameConnection:
        conn = FrameConnection(self._on_frame, self._on_end, self._greet)
        self._conns.add(conn)
        return conn

    def _greet(self, conn: FrameConnection) -> None:
        conn.send(self._handler.hello())

    def _on_end(self, conn: FrameConnection, why: str) -> None:
        del why
        self._conns.discard(conn)
        self.on_end(conn)

    def _on_frame(self, conn: FrameConnection, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Request):
            self._reply(conn, self._handler.submit(frame))
        elif isinstance(frame, frames.Ask):
            self._reply(conn, self._handler.ask(frame))
        elif isinstance(frame, frames.Cancel):
            self._handler.cancel(frame.attempt)
        elif isinstance(frame, frames.Ping):
            conn.send(self._handler.pong())
        elif isinstance(frame, frames.Subscribe):
            self.on_subscribe(conn, frame)

    def _reply(
        self, conn: FrameConnection, fut: "asyncio.Future[frames.Frame]"
    ) -> None:
        fut.add_done_callback(functools.partial(_send_result, conn))


def _send_result(
    conn: FrameConnection, fut: "asyncio.Future[frames.Frame]"
) -> None:
    if not fut.cancelled():
        conn.send(fut.result())
