"""HTTP server over cheroot."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import http
import math
import select
import socket
import threading
import time
from typing import Any
import weakref

from cheroot import server as cheroot_server
import loguru

from buckthorn_adapters import bodies
from buckthorn_adapters import interim_responses
from buckthorn_core import errors

MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_CONNECTIONS = 4_096
IDLE_TIMEOUT_S = 30
# Longer than the 8 ms that a request takes from a caller to the server.
CLOSE_GRACE_S = 0.1
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 1_048_576

NOT_RUN_HEADER = "Buckthorn-Not-Run"
OUTCOME_HEADER = "Buckthorn-Outcome"
# Length of a response body that is sent chunked between daemons.
LENGTH_HEADER = "Buckthorn-Length"

_logger = loguru.logger.bind(module=__name__)


class Exchange:
    """A request and its response.

    Attributes:
        method: The method.
        path: Path and query.
        headers: Headers by lower-case name.
        body: Body of the request.
        started: Whether the response's headers have been sent.
        status: Status of the response; 0 until it has started.
        response_headers: Headers of the response; empty until it has started.
        on_body_write: Called with each piece of the response's body before it
            is sent.
    """

    def __init__(self, req: Any):
        self._req = req
        self._lock = threading.Lock()
        self.method = req.method.decode("latin-1")
        query = b"?" + req.qs if req.qs else b""
        self.path = (req.path + query).decode("latin-1")
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in req.inheaders.items()
        }
        self.body = bodies.Body(
            req.conn.rfile, self._body_length(), 1 << 62, req.conn.socket
        )
        req.rfile = self.body
        self.started = False
        self.status = 0
        self.response_headers: list[tuple[str, str]] = []
        self.on_body_write: Callable[[bytes], None] | None = None
        self._finished = False

    @property
    def header_bytes(self) -> int:
        """Size of the request line and the headers, in bytes."""
        # Four bytes for each header: ": " and CRLF.
        pairs = self.headers.items()
        return len(self.path) + sum(len(n) + len(v) + 4 for n, v in pairs)

    def _body_length(self) -> int | None:
        if self._req.chunked_read:
            return None
        return int(self.headers.get("content-length", 0))

    @property
    def has_ambiguous_length(self) -> bool:
        """Whether the headers that define the body length conflict."""
        length = self.headers.get("content-length", "0")
        chunked = self._req.chunked_read
        return (
            not length.isdecimal()
            or (chunked and "content-length" in self.headers)
            # HTTP/1.0 has no chunked encoding: the body would be parsed as the
            # next request.
            or (not chunked and "transfer-encoding" in self.headers)
        )

    def admit(self) -> None:
        """Sends the interim response that asks the sender for the body."""
        with self._lock:
            self._req.conn.wfile.write(interim_responses.encode(True, None))

    def send_heartbeat(self) -> None:
        """Sends a few bytes that show that the exchange is in progress.

        It is an interim response before the response has started, and a part
        of a chunk size afterwards. It never blocks: one receiver that does not
        read must not delay the heartbeats of the others.

        Raises:
            OSError: The receiver closed the connection.
        """
        if not self._lock.acquire(blocking=False):
            return
        try:
            if self._finished or not self._writable():
                return
            if not self.started:
                data = interim_responses.encode(False, self.body.awaited_offset)
            elif self._req.chunked_write:
                # A leading zero of the next chunk size.
                data = b"0"
            else:
                return
            self._req.conn.wfile.write(data)
        finally:
            self._lock.release()

    def _writable(self) -> bool:
        poller = select.poll()
        poller.register(self._req.conn.socket, select.POLLOUT)
        return bool(poller.poll(0))

    def add_header(self, name: str, value: str) -> None:
        """Adds a header to the response, including an error response."""
        self._req.outheaders.append(
            (name.encode("latin-1"), value.encode("latin-1"))
        )

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Sends the status line and the headers of the response."""
        req = self._req
        phrase = (
            http.HTTPStatus(status).phrase if status in _KNOWN_STATUSES else ""
        )
        req.status = f"{status} {phrase}".encode("latin-1")
        self.response_headers = list(headers)
        req.outheaders.extend(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self.response_headers
        )
        if self.body.remaining or req.server.draining:
            # Otherwise the server would read the rest of the body before it
            # sends the response.
            req.close_connection = True
        with self._lock:
            self.started = True
            self.status = status
            req.sent_headers = True
            req.send_headers()

    def write(self, data: bytes) -> None:
        """Sends a piece of the response's body."""
        if self.on_body_write is not None:
            self.on_body_write(data)
        if self.method != "HEAD":
            with self._lock:
                self._req.write(data)

    def finish(self) -> None:
        """Ends the response's body."""
        with self._lock:
            if self._finished:
                return
            self._finished = True
            if self._req.chunked_write:
                self._req.conn.wfile.write(b"0\r\n\r\n")
                # Otherwise the server would send the last chunk again.
                self._req.chunked_write = False
        if self.body.remaining:
            _close_lingering(self._req.conn.socket)

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Sends a complete response."""
        self.start(
            status,
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        self.write(body)
        self.finish()

    def send_error(self, exc: errors.BuckthornError) -> None:
        """Sends an error response, or aborts a response that has started."""
        if self.started:
            self.abort()
            return
        headers = []
        if exc.info.not_run:
            headers.append((NOT_RUN_HEADER, exc.code.value))
        elif exc.code is errors.Code.ALREADY_COMPLETED:
            headers.append((OUTCOME_HEADER, "completed"))
        elif exc.code is errors.Code.IN_PROGRESS:
            pass  # Retry-After tells when the outcome may be known.
        elif exc.info.http_status != 500:
            headers.append((OUTCOME_HEADER, "unknown"))
        if exc.retry_after_s is not None:
            seconds = max(1, math.ceil(exc.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        self.respond(
            exc.info.http_status,
            f"{exc}\n".encode(),
            "text/plain; charset=utf-8",
            headers,
        )

    def abort(self) -> None:
        """Shuts down the connection, so that the response is truncated."""
        self._finished = True
        self._req.close_connection = True
        self._req.chunked_write = False
        try:
            self._req.conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


def _close_lingering(sock: socket.socket) -> None:
    """Half-closes a connection and discards its input for a limited time."""
    # Closing with unread input resets the connection, and a reset can discard
    # the response before the caller has read it.
    deadline_s = time.monotonic() + LINGER_TIMEOUT_S
    remaining_bytes = MAX_LINGER_BYTES
    try:
        sock.shutdown(socket.SHUT_WR)
        while (
            remaining_bytes > 0
            and (remaining_s := deadline_s - time.monotonic()) > 0
        ):
            readable = interim_responses.is_readable(sock, remaining_s)
            data = sock.recv(bodies.PIECE_BYTES) if readable else b""
            if not data:
                return
            remaining_bytes -= len(data)
    except OSError:
        return


_KNOWN_STATUSES = frozenset(int(status) for status in http.HTTPStatus)

Handler = Callable[[Exchange], None]


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        exchange = Exchange(self.req)
        if exchange.has_ambiguous_length:
            self.req.close_connection = True
            exchange.send_error(
                errors.RequestError(
                    errors.Code.BAD_REQUEST, "the body's length is ambiguous"
                )
            )
            return
        try:
            self.req.server.handler(exchange)
        except errors.BuckthornError as exc:
            exchange.send_error(exc)
        except OSError:
            exchange.abort()
        except Exception:
            _logger.exception("request_handler_failed")
            if exchange.started:
                exchange.abort()
            else:
                exchange.respond(500, b"internal error\n", "text/plain")


class _Request(cheroot_server.HTTPRequest):
    def simple_response(self, status: str, msg: str = "") -> None:
        if not status.startswith("413"):
            super().simple_response(status, msg)
            return
        # cheroot sends 413 only for headers; bodies have limits of their own.
        self.close_connection = True
        code = errors.Code.HEADERS_TOO_LARGE
        text = f"{code.value}: over {MAX_HEADER_BYTES} bytes\n"
        self.conn.wfile.write(
            f"HTTP/1.1 {errors.CODE_INFO[code].http_status}"
            " Request Header Fields Too Large\r\n"
            f"{NOT_RUN_HEADER}: {code.value}\r\n"
            f"Content-Length: {len(text)}\r\n"
            f"Connection: close\r\n\r\n{text}".encode()
        )
        _close_lingering(self.conn.socket)


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request
    busy = False

    def __init__(self, server: Any, *args: Any, **kwargs: Any):
        super().__init__(server, *args, **kwargs)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        self.busy = True
        try:
            return bool(super().communicate())
        finally:
            self.busy = False


class HttpServer:
    """Serves requests on a thread pool."""

    def __init__(self, address: str, threads: int, handler: Handler):
        host, port = address.rsplit(":", 1)
        self._server: Any = cheroot_server.HTTPServer(
            (host, int(port)), _Gateway, minthreads=threads, maxthreads=threads
        )
        # The gateway reads these attributes from its server.
        vars(self._server)["handler"] = handler
        vars(self._server)["draining"] = False
        vars(self._server)["open_connections"] = weakref.WeakSet()
        self._server.ConnectionClass = _Connection
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.timeout = IDLE_TIMEOUT_S
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self._server.request_queue_size = 512
        self._server.server_name = "buckthorn"
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{port}", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Binds the address and starts serving.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.prepare()
        self._thread.start()

    def drain(self) -> None:
        """Closes each connection after its next response."""
        vars(self._server)["draining"] = True

    def close(self) -> None:
        """Stops listening and serving.

        Idle connections are first shut down for writing, so that callers stop
        sending requests on them. Otherwise a request that arrives just before
        the close would get no response.
        """
        for conn in list(self._server.open_connections):
            if not conn.busy:
                with contextlib.suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_WR)
        time.sleep(CLOSE_GRACE_S)
        self._server.stop()
        self._thread.join(timeout=1.0)
