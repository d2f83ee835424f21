"""HTTP in, over cheroot."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import math
import select
import socket
import threading
import time
from typing import Any

from cheroot import server as cheroot_server
import loguru

from buckthorn_adapters import bodies
from buckthorn_core import errors

MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_CONNECTIONS = 4_096
IDLE_TIMEOUT_S = 30
LINGER_S = 1.0
LINGER_BYTES = 1_048_576

NOT_RUN_HEADER = "Buckthorn-Not-Run"
OUTCOME_HEADER = "Buckthorn-Outcome"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_logger = loguru.logger.bind(module=__name__)


class Exchange:
    """A request and its answer.

    Attributes:
        method: The method.
        path: Path and query.
        headers: Headers by lower-case name.
        body: The request's body.
        started: Whether the answer's headers have been sent.
        status: Status of the answer; 0 before it.
        answer_headers: Headers of the answer, once it has started.
        tap: Receives each piece of the answer's body before it is sent.
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
        self.body = bodies.Body(req.conn.rfile, self._body_length(), 1 << 62)
        req.rfile = self.body
        self.started = False
        self.status = 0
        self.answer_headers: list[tuple[str, str]] = []
        self.tap: Callable[[bytes], None] | None = None

    def _body_length(self) -> int | None:
        if self._req.chunked_read:
            return None
        return int(self.headers.get("content-length", 0))

    @property
    def malformed(self) -> bool:
        """Whether the length of the body is ambiguous."""
        length = self.headers.get("content-length", "0")
        return not length.isdecimal() or (
            self._req.chunked_read and "content-length" in self.headers
        )

    def send_continue(self) -> bool:
        """Sends an interim answer, unless the answer has begun."""
        with self._lock:
            if self.started:
                return False
            self._req.conn.wfile.write(CONTINUE)
            return True

    def add_header(self, name: str, value: str) -> None:
        """Adds a header to the answer, whatever it will be."""
        self._req.outheaders.append(
            (name.encode("latin-1"), value.encode("latin-1"))
        )

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Sends status and headers."""
        req = self._req
        phrase = http.HTTPStatus(status).phrase if status in _STATUSES else ""
        req.status = f"{status} {phrase}".encode("latin-1")
        self.answer_headers = list(headers)
        req.outheaders.extend(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self.answer_headers
        )
        if self.body.remaining:
            # What is left of the body is not worth reading; without this
            # the server would read all of it before it sends the answer.
            req.close_connection = True
        with self._lock:
            self.started = True
            self.status = status
            req.sent_headers = True
            req.send_headers()

    def write(self, data: bytes) -> None:
        """Sends a piece of the answer's body."""
        if self.tap is not None:
            self.tap(data)
        if self.method != "HEAD":
            self._req.write(data)

    def answer(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/json",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Sends a whole answer."""
        self.start(
            status,
            [
                ("Content-Type", content_type),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        self.write(body)
        if self.body.remaining:
            self._linger()

    def refuse(self, exc: errors.BuckthornError) -> None:
        """Answers with a typed error, or cuts an answer that has begun."""
        if self.started:
            self.abort()
            return
        headers = []
        if exc.trait.not_run:
            headers.append((NOT_RUN_HEADER, exc.code.value))
        elif exc.code is errors.Code.ALREADY_COMPLETED:
            headers.append((OUTCOME_HEADER, "completed"))
        elif exc.code is errors.Code.IN_PROGRESS:
            pass  # Retry-After says when the outcome may be known.
        elif exc.trait.http_status in (409, 502, 504):
            headers.append((OUTCOME_HEADER, "unknown"))
        if exc.retry_after_s is not None:
            seconds = max(1, math.ceil(exc.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        self.answer(
            exc.trait.http_status,
            f"{exc}\n".encode(),
            "text/plain; charset=utf-8",
            headers,
        )

    def abort(self) -> None:
        """Closes the connection so that the answer is seen to be cut."""
        self._req.close_connection = True
        self._req.chunked_write = False
        try:
            self._req.conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _linger(self) -> None:
        # Closing with unread input resets the connection, and a reset can
        # destroy the answer before the caller has read it.
        sock = self._req.conn.socket
        end_s = time.monotonic() + LINGER_S
        left = LINGER_BYTES
        try:
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (wait := end_s - time.monotonic()) > 0:
                readable, _, _ = select.select([sock], [], [], wait)
                data = sock.recv(bodies.PIECE_BYTES) if readable else b""
                if not data:
                    return
                left -= len(data)
        except OSError:
            return


_STATUSES = frozenset(int(status) for status in http.HTTPStatus)

Handler = Callable[[Exchange], None]


class _Gateway(cheroot_server.Gateway):
    def respond(self) -> None:
        exchange = Exchange(self.req)
        if exchange.malformed:
            exchange.refuse(
                errors.RequestError(
                    errors.Code.BAD_REQUEST, "the body's length is ambiguous"
                )
            )
            return
        try:
            self.req.server.handler(exchange)
        except errors.BuckthornError as exc:
            exchange.refuse(exc)
        except OSError:
            exchange.abort()
        except Exception:
            _logger.exception("request_handler_failed")
            if exchange.started:
                exchange.abort()
            else:
                exchange.answer(500, b"internal error\n", "text/plain")


class HttpServer:
    """Serves requests on a pool of threads."""

    def __init__(self, address: str, threads: int, handler: Handler):
        host, port = address.rsplit(":", 1)
        self._server: Any = cheroot_server.HTTPServer(
            (host, int(port)), _Gateway, minthreads=threads, maxthreads=threads
        )
        # The gateway finds the handler at its server.
        vars(self._server)["handler"] = handler
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
        """The port listened on."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listens and starts to serve.

        Raises:
            OSError: The address can't be listened on.
        """
        self._server.prepare()
        self._thread.start()

    def close(self) -> None:
        """Stops listening and serving."""
        self._server.stop()
        self._thread.join(timeout=1.0)
