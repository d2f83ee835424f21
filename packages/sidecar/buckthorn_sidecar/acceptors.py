"""Accepts connections while there is room for them.

The event loop's own servers accept as many connections as are waiting, up to
the length of the queue at a time, and fail at the process's limit.
"""

import asyncio
from collections.abc import Callable
import socket

import loguru

BACKLOG = 1_024
# Connections that are accepted before other work of the event loop goes on.
BATCH = 64
# Pause after the system could not accept a connection, in seconds.
RETRY_S = 0.5

_logger = loguru.logger.bind(module=__name__)


class Acceptor:
    """Listens on one address.

    Attributes:
        paused: Whether connections wait because there is no room.
    """

    def __init__(
        self,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        has_room: Callable[[], bool],
    ):
        """Creates the acceptor.

        Args:
            create_protocol: Returns the protocol of a new connection.
            has_room: Returns whether one more connection may be accepted.
        """
        self._create_protocol = create_protocol
        self._has_room = has_room
        self._sockets: list[socket.socket] = []
        self._connecting: set[asyncio.Task[None]] = set()
        self.paused = False

    @property
    def opening(self) -> int:
        """Number of accepted connections that have no transport yet."""
        return len(self._connecting)

    async def start(self, host: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(
            host or None,
            port,
            type=socket.SOCK_STREAM,
            flags=socket.AI_PASSIVE,
        )
        for family, _, _, _, address in dict.fromkeys(found):
            sock = socket.create_server(
                address[:2],
                family=socket.AddressFamily(family),
                backlog=BACKLOG,
            )
            sock.setblocking(False)
            self._sockets.append(sock)
        self._read()

    def close(self) -> None:
        """Stops listening."""
        self._ignore()
        for sock in self._sockets:
            sock.close()
        self._sockets = []

    def resume(self) -> None:
        """Accepts again if there is room."""
        if self.paused and self._has_room():
            self.paused = False
            self._read()

    def _read(self) -> None:
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.add_reader(sock, self._accept, sock)

    def _ignore(self) -> None:
        loop = asyncio.get_running_loop()
        for sock in self._sockets:
            loop.remove_reader(sock)

    def _pause(self) -> None:
        self.paused = True
        self._ignore()

    def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(BATCH):
            if not self._has_room():
                self._pause()
                return
            try:
                conn, _ = sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                _logger.warning("accept_failed", error=str(exc))
                self._pause()
                loop.call_later(RETRY_S, self.resume)
                return
            conn.setblocking(False)
            task = loop.create_task(self._connect(conn))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _connect(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._create_protocol, conn)
        except OSError:
            # The caller has closed the connection.
            conn.close()
