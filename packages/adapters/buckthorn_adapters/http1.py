"""HTTP/1.1 messages over asyncio, parsed by httptools.

Requests that a peer sends ahead are handed out as they arrive, so that they
can run at the same time; the answers are written in order. Bodies are held in
memory up to a limit.
"""

import asyncio
from collections.abc import Callable
import contextlib
import http
import socket
from typing import Any

import httptools

from buckthorn_core import byte_budgets
from buckthorn_core import errors
from buckthorn_core import hop_headers
from buckthorn_core import ids

Headers = list[tuple[str, str]]

# Bytes of an answer that are no body: heads of interim and final answers, and
# what frames the chunks. A chunk of one byte is framed by five.
MAX_RESPONSE_OVERHEAD_BYTES = 65_536
CHUNK_OVERHEAD = 8
# When a caller may send a body again that there was no memory for, in seconds:
# most requests have ended by then.
BODIES_RETRY_S = 0.5

_NO_BODY_STATUSES = frozenset({204, 304})
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)


class MalformedResponseError(Exception):
    """Bytes that are no message of the protocol."""


class IncompleteResponseError(Exception):
    """The connection ended before the answer was complete.

    Attributes:
        started: Whether any byte of an answer had arrived.
    """

    def __init__(self, message: str, started: bool):
        super().__init__(message)
        self.started = started


class Message:
    """What requests and answers have in common."""

    __slots__ = ("body", "headers", "keep_alive")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.body = b""
        self.keep_alive = True

    def header(self, name: str) -> str | None:
        """Returns the first value of a header; `name` is lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class Request(Message):
    """A request as it was read."""

    __slots__ = ("method", "target")

    def __init__(self) -> None:
        super().__init__()
        self.method = ""
        self.target = ""


class Response(Message):
    """An answer as it was read.

    Attributes:
        headers_received_s: When its headers were complete; steady time.
    """

    __slots__ = ("headers_received_s", "status")

    def __init__(self) -> None:
        super().__init__()
        self.headers_received_s = 0.0
        self.status = 0


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers without those of one connection.

    The length is left out too: it is written anew with the body.
    """
    return hop_headers.end_to_end(headers, "content-length")


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{key}: {value}" for key, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


def encode_response(
    status: int,
    headers: Headers,
    body: bytes,
    close: bool,
    head_only: bool = False,
) -> bytes:
    """Returns the bytes of an answer."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines.extend(f"{key}: {value}" for key, value in headers)
    if status not in _NO_BODY_STATUSES:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return head if head_only or status in _NO_BODY_STATUSES else head + body


def _text(value: bytes) -> str:
    return value.decode("latin-1")


def set_socket_options(transport: Any) -> None:
    """Makes a socket find out soon that its peer is gone."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        for level, option, value in _SOCKET_OPTIONS:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)


class _RequestEvents:
    """Callbacks of the parser of requests."""

    def __init__(self, owner: "RequestParser"):
        self._owner = owner

    def on_message_begin(self) -> None:
        self._owner.begin()

    def on_url(self, url: bytes) -> None:
        self._owner.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._owner.header(name, value)

    def on_headers_complete(self) -> None:
        self._owner.headers_complete()

    def on_body(self, body: bytes) -> None:
        self._owner.body_piece(body)

    def on_message_complete(self) -> None:
        self._owner.message_complete()


class RequestParser:
    """Turns bytes into requests.

    Attributes:
        in_message: Whether a request has begun and isn't complete.
        in_headers: Whether its headers aren't complete.
    """

    def __init__(
        self,
        on_request: Callable[[Request], None],
        on_expect: Callable[[], None],
        max_header_bytes: int,
        max_body_bytes: int,
        on_given_up: Callable[[errors.RequestError], None],
        bodies: byte_budgets.ByteBudget,
    ):
        """Creates the reader.

        Args:
            on_request: Takes each complete request.
            on_expect: Called when the peer waits to be asked for the body.
            max_header_bytes: Most bytes of a request's head.
            max_body_bytes: Most bytes of a request's body.
            on_given_up: Called when the request that is being read is refused
                since bodies take too much memory.
            bodies: Counts the bodies that are held.
        """
        self._on_request = on_request
        self._on_expect = on_expect
        self._on_given_up = on_given_up
        self._bodies = bodies
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self._parser: Any = httptools.HttpRequestParser(_RequestEvents(self))
        self._req = Request()
        self._pieces: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0
        self.url = b""
        self.in_message = False
        self.in_headers = False

    @property
    def _most_body_bytes(self) -> int:
        """What may be sent, and can be held when nothing else is."""
        return min(self.max_body_bytes, self._bodies.limit)

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete requests go to `on_request`.

        Raises:
            errors.RequestError: The bytes aren't a request, or too many.
        """
        if self.in_headers or not self.in_message:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise errors.RequestError(
                errors.Code.BAD_REQUEST, "the connection can't be upgraded"
            ) from exc
        except httptools.HttpParserError as exc:
            cause = exc.__context__
            if isinstance(cause, errors.RequestError):
                raise cause from exc
            raise errors.RequestError(
                errors.Code.BAD_REQUEST, f"malformed request: {exc}"
            ) from exc
        if self.in_headers and self._header_bytes > self.max_header_bytes:
            raise _headers_too_large(self.max_header_bytes)

    def begin(self) -> None:
        """Starts a request."""
        self._req = Request()
        self._pieces = []
        self._body_bytes = 0
        self._header_bytes = 0
        self.url = b""
        self.in_message = True
        self.in_headers = True

    def header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._req.headers.append((_text(name), _text(value)))
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > 2 * self.max_header_bytes:
            raise _headers_too_large(self.max_header_bytes)

    def headers_complete(self) -> None:
        """Checks the headers."""
        req = self._req
        size = len(self.url) + sum(len(k) + len(v) + 4 for k, v in req.headers)
        if size > self.max_header_bytes:
            raise _headers_too_large(self.max_header_bytes)
        self.in_headers = False
        req.method = _text(self._parser.get_method())
        req.target = _text(self.url)
        req.keep_alive = self._parser.should_keep_alive()
        length = req.header("content-length")
        if length and int(length) > self._most_body_bytes:
            raise self._body_too_large()
        if (req.header("expect") or "").lower() == "100-continue":
            self._on_expect()

    def body_piece(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        if self._body_bytes > self._most_body_bytes:
            raise self._body_too_large()
        given_up = self._bodies.add(self, len(piece))
        for holder in given_up:
            if holder is not self:
                holder.abort_body()
        if self in given_up:
            raise _bodies_full()

    def abort_body(self) -> None:
        """Refuses the request that is being read."""
        self._pieces = []
        self._on_given_up(_bodies_full())

    def close(self) -> None:
        """Frees what is held of a request that is not complete."""
        self._pieces = []
        self._bodies.release(self)

    def message_complete(self) -> None:
        """Hands out the request."""
        self._req.body = b"".join(self._pieces)
        self._pieces = []
        self.in_message = False
        self._header_bytes = 0
        self._bodies.transfer(self, self._req)
        self._on_request(self._req)

    def _body_too_large(self) -> errors.RequestError:
        return errors.RequestError(
            errors.Code.BODY_TOO_LARGE, f"over {self._most_body_bytes} bytes"
        )


def _bodies_full() -> errors.RequestError:
    return errors.RequestError(
        errors.Code.BODIES_FULL,
        "bodies of other requests take the memory",
        BODIES_RETRY_S,
    )


def _headers_too_large(limit: int) -> errors.RequestError:
    return errors.RequestError(
        errors.Code.HEADERS_TOO_LARGE, f"over {limit} bytes"
    )


class Connection(asyncio.Protocol):
    """A connection on which requests are sent, one at a time.

    Attributes:
        used: Whether an exchange has been completed on it.
        idle_since_s: When it was last used; set by its pool.
        idle_limit_s: How long the peer keeps it idle, if it said so.
    """

    def __init__(self, max_body_bytes: int, bodies: byte_budgets.ByteBudget):
        self._max_body_bytes = max_body_bytes
        self._bodies = bodies
        self._expecting = False
        self._raw_bytes = 0
        self._all_body_bytes = 0
        self._transport: Any = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._answer = Response()
        self._pieces: list[bytes] = []
        self._body_bytes = 0
        self._complete: list[Response] = []
        self._head_only = False
        self._framed = False
        self._in_message = False
        self._in_headers = False
        self._got_bytes = False
        self._heard_s = 0.0
        self._ended: str | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.used = False
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._ended is None
            and not self._complete
            and not self._in_message
            and not self._got_bytes
            and not self._transport.is_closing()
        )

    def connection_made(self, transport: Any) -> None:
        """Takes the transport."""
        self._transport = transport
        set_socket_options(transport)

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._answer = Response()
        self._pieces = []
        self._body_bytes = 0
        self._in_message = True
        self._in_headers = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._answer.headers.append((_text(name), _text(value)))

    def on_headers_complete(self) -> None:
        """Finds out how the answer ends."""
        answer = self._answer
        answer.status = self._parser.get_status_code()
        answer.headers_received_s = self._heard_s
        answer.keep_alive = self._parser.should_keep_alive()
        self._in_headers = False
        self._framed = (
            answer.header("content-length") is not None
            or answer.header("transfer-encoding") is not None
        )
        if self._head_only and answer.status >= 200:
            # The parser would wait for the body that the length announces.
            answer.keep_alive = False
            self.on_message_complete()

    def on_body(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        if self._ended is not None:
            raise MalformedResponseError(self._ended)
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        self._all_body_bytes += len(piece)
        if self._body_bytes > self._max_body_bytes:
            raise MalformedResponseError(f"over {self._max_body_bytes} bytes")
        for holder in self._bodies.add(self, len(piece)):
            holder.abort_body()

    def abort_body(self) -> None:
        """Ends an answer whose body does not fit beside the others."""
        self._end("no memory is left for the body")
        self.close()

    def on_message_complete(self) -> None:
        """Keeps the answer, unless it is an interim one."""
        self._in_message = False
        if self._answer.status < 200:
            return
        self._answer.body = b"".join(self._pieces)
        self._complete.append(self._answer)
        self._got_bytes = False
        self._wake()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of the peer."""
        if self._ended is not None:
            return
        self._got_bytes = True
        if not self._expecting:
            self._end("bytes came without a request")
            self.close()
            return
        self._raw_bytes += len(data)
        self._heard_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._end(f"malformed answer: {exc}")
            self.close()
            return
        overhead = self._raw_bytes - self._all_body_bytes
        most = (
            MAX_RESPONSE_OVERHEAD_BYTES + CHUNK_OVERHEAD * self._all_body_bytes
        )
        if overhead > most:
            self._end(f"{overhead} bytes that are no body")
            self.close()
            return
        if not self._in_message:
            self._got_bytes = False

    def eof_received(self) -> bool:
        """Completes an answer that ends with its connection."""
        if self._in_message and not self._in_headers and not self._framed:
            self._answer.keep_alive = False
            self.on_message_complete()
        self._end("the peer closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self._end(f"the connection is lost: {exc}")

    def _end(self, why: str) -> None:
        if self._ended is None:
            self._ended = why
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def send(self, data: bytes, head_only: bool = False) -> None:
        """Sends a whole request.

        Args:
            data: The request.
            head_only: Whether its answer has no body.
        """
        self._head_only = head_only
        self._expecting = True
        self._raw_bytes = 0
        self._all_body_bytes = 0
        self._transport.write(data)

    def end_exchange(self) -> None:
        """Notes that no answer is waited for any more."""
        self._expecting = False
        self._bodies.release(self)

    @property
    def all_sent(self) -> bool:
        """Whether all bytes have left."""
        return bool(self._transport.get_write_buffer_size() == 0)

    async def receive(self) -> Response:
        """Returns the next answer.

        Raises:
            IncompleteResponseError: The connection ended too early.
        """
        while not self._complete:
            if self._ended is not None:
                started = self._in_message or self._got_bytes
                raise IncompleteResponseError(self._ended, started)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._complete.pop(0)

    async def receive_with_timeouts(
        self, first_s: float, progress_s: float
    ) -> Response:
        """Returns the next answer, however long it is, while it arrives.

        Args:
            first_s: The longest wait for its first byte, in seconds.
            progress_s: The longest pause between bytes, in seconds.

        Raises:
            IncompleteResponseError: The connection ended too early.
            TimeoutError: Nothing came for too long.
        """
        limit_s = asyncio.get_running_loop().time() + first_s
        while True:
            try:
                async with asyncio.timeout_at(limit_s):
                    return await self.receive()
            except TimeoutError:
                heard_limit_s = self._heard_s + progress_s
                if heard_limit_s <= limit_s:
                    raise
                limit_s = heard_limit_s

    def close(self) -> None:
        """Closes the connection at once."""
        self._bodies.release(self)
        self._pieces = []
        if self._transport is not None:
            self._transport.abort()


async def connect(
    address: ids.Address,
    timeout_s: float,
    max_body_bytes: int,
    bodies: byte_budgets.ByteBudget | None = None,
) -> Connection:
    """Opens a connection.

    Args:
        address: Where to connect to.
        timeout_s: The longest wait, in seconds.
        max_body_bytes: Most bytes of an answer's body.
        bodies: Counts the bodies that are held; None for no limit on all.

    Raises:
        OSError: It can't be opened, or not in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    held = bodies or byte_budgets.ByteBudget()
    async with asyncio.timeout(timeout_s):
        _, conn = await loop.create_connection(
            lambda: Connection(max_body_bytes, held), host, int(port)
        )
    return conn
