"""HTTP server for callers, announcements, readiness and metrics.

Pipelined requests run concurrently and are answered in order. Closing a
connection cancels its requests; sending further ones doesn't.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import loguru

from buckthorn_adapters import http1
from buckthorn_core import byte_budgets
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import settings

# Reading pauses while this many pipelined requests wait for their responses.
MAX_PIPELINED_REQUESTS = 64
# Time for a caller to read the last response before the connection is closed.
CLOSE_LINGER_S = 1.0
# How often connections are checked for timeouts, in seconds.
CHECK_INTERVAL_S = 0.5
BACKLOG = 1_024

Handler = Callable[[http1.Request], Awaitable[http1.Response]]
_logger = loguru.logger.bind(module=__name__)

DEFAULT_LIMITS = virtual_hosts.CallerLimits(
    settings.DEFAULT_MAX_HEADER_BYTES,
    settings.DEFAULT_MAX_BODY_BYTES,
    settings.DEFAULT_HEADER_TIMEOUT_S,
    settings.DEFAULT_IDLE_TIMEOUT_S,
)


class _PendingResponse:
    """A response in the order of a connection's requests.

    Attributes:
        task: Runs the request; None if there is nothing to run.
        data: The encoded response, once it is known.
    """

    __slots__ = ("data", "task")

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.data: bytes | None = None


class ListenerConnection(asyncio.Protocol):
    """An HTTP connection that a listener has accepted."""

    def __init__(self, listener: "Listener"):
        self._listener = listener
        self._transport: Any = None
        self._pending: collections.deque[_PendingResponse] = collections.deque()
        self._loop = asyncio.get_running_loop()
        limits = listener.limits
        self._parser = http1.RequestParser(
            self._on_request,
            self._on_expect,
            limits.max_header_bytes,
            limits.max_body_bytes,
            self._refuse_and_close,
            listener.body_budget,
        )
        self._last_activity_s = self._loop.time()
        self._request_started_s = self._last_activity_s
        self._closing = False
        self._last_request_read = False

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or being read."""
        return bool(self._pending) or self._parser.in_message

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = transport
        http1.set_socket_options(transport)
        self._listener.conns.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the caller's requests."""
        del exc
        self._listener.conns.discard(self)
        self._parser.close()
        self._cancel_all()

    def eof_received(self) -> bool:
        """Cancels the requests of a caller that has closed its connection."""
        self._cancel_all()
        return False

    def _cancel_all(self) -> None:
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()

    def data_received(self, data: bytes) -> None:
        """Parses received data into requests."""
        if self._closing or self._last_request_read:
            return
        was_reading = self._parser.in_message
        self._last_activity_s = self._loop.time()
        if not was_reading:
            self._request_started_s = self._last_activity_s
            limits = self._listener.limits
            self._parser.max_header_bytes = limits.max_header_bytes
            self._parser.max_body_bytes = limits.max_body_bytes
        try:
            self._parser.feed(data)
        except errors.RequestError as exc:
            _logger.info("bad_request", error=str(exc))
            self._refuse_and_close(exc)

    def _on_expect(self) -> None:
        if not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self, req: http1.Request) -> None:
        if self._closing or self._last_request_read:
            self._listener.body_budget.release(req)
            return
        pending = _PendingResponse()
        self._pending.append(pending)
        if not req.keep_alive or self._listener.draining:
            self._last_request_read = True
        pending.task = self._loop.create_task(self._run(pending, req))
        pending.task.add_done_callback(
            lambda _: self._listener.body_budget.release(req)
        )
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    async def _run(self, pending: _PendingResponse, req: http1.Request) -> None:
        try:
            response = await self._listener.handler(req)
            status, headers, body = (
                response.status,
                response.headers,
                response.body,
            )
        except errors.RequestError as exc:
            status, headers, body = error_response(exc)
        except Exception:
            _logger.exception("request_handler_failed")
            status, headers, body = 500, [], b"internal error\n"
        last = self._listener.draining or not req.keep_alive
        close = last and pending is self._pending[-1]
        pending.data = http1.encode_response(
            status, headers, body, close, head_only=req.method == "HEAD"
        )
        if close:
            self._last_request_read = True
        self._write_ready()

    def _write_ready(self) -> None:
        while self._pending and self._pending[0].data is not None:
            data = self._pending.popleft().data
            assert data is not None
            self._transport.write(data)
        if len(self._pending) < MAX_PIPELINED_REQUESTS and not self._closing:
            self._transport.resume_reading()
        self._last_activity_s = self._loop.time()
        if self._last_request_read and not self._pending:
            self._close_gracefully()

    def _refuse_and_close(self, exc: errors.RequestError) -> None:
        """Sends an error after the pending responses, then closes."""
        status, headers, body = error_response(exc)
        pending = _PendingResponse()
        pending.data = http1.encode_response(status, headers, body, True)
        self._pending.append(pending)
        self._last_request_read = True
        self._write_ready()

    def _close_gracefully(self) -> None:
        # Closing a socket with unread data resets the connection, and a reset
        # can discard the response before the caller has read it.
        if self._closing:
            return
        self._closing = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(CLOSE_LINGER_S, self._transport.close)

    def check(self, now_s: float) -> None:
        """Closes the connection on a header or idle timeout."""
        if self._closing:
            return
        limits = self._listener.limits
        if self._parser.in_headers:
            if now_s - self._request_started_s > limits.header_timeout_s:
                self._refuse_and_close(
                    errors.RequestError(
                        errors.Code.HEADERS_SLOW, "the headers took too long"
                    )
                )
        elif (
            not self.busy
            and now_s - self._last_activity_s > limits.idle_timeout_s
        ):
            self._transport.close()

    def drain(self) -> None:
        """Stops reading new requests, and closes after the last response.

        Waiting for the connection to become idle isn't enough, since a caller
        that pipelines requests may keep it busy forever.
        """
        if not self._parser.in_message:
            self._last_request_read = True
        if not self.busy:
            self._close_gracefully()

    def close(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()


class Listener:
    """Serves HTTP on one address.

    Attributes:
        handler: Returns the response to a request.
        limits: Size limits and timeouts for callers.
        draining: Whether connections close after their last response.
        body_budget: Limits the total size of buffered bodies.
        conns: The open connections.
    """

    def __init__(
        self,
        address: ids.Address,
        handler: Handler,
        body_budget: byte_budgets.ByteBudget | None = None,
    ):
        """Creates the listener.

        Args:
            address: Address to listen on.
            handler: Returns the response to a request.
            body_budget: Limits the total size of buffered bodies; None for
                no limit.
        """
        self._address = address
        self.handler = handler
        self.body_budget = body_budget or byte_budgets.ByteBudget()
        self.limits = DEFAULT_LIMITS
        self.draining = False
        self.conns: set[ListenerConnection] = set()
        self._server: asyncio.Server | None = None
        self._check_task: asyncio.Task[None] | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or being read."""
        return any(conn.busy for conn in self.conns)

    async def start(self) -> None:
        """Starts listening.

        Raises:
            OSError: The address can't be listened on.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ListenerConnection(self), host, int(port), backlog=BACKLOG
        )
        self._check_task = asyncio.create_task(self._check())

    def drain(self) -> None:
        """Closes each connection after its pending responses."""
        self.draining = True
        for conn in list(self.conns):
            conn.drain()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.stop_listening()
        if self._check_task is not None:
            self._check_task.cancel()
        for conn in list(self.conns):
            conn.close()

    async def _check(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for conn in list(self.conns):
                conn.check(loop.time())


def error_response(
    exc: errors.RequestError,
) -> tuple[int, http1.Headers, bytes]:
    """Returns status, headers and body of the response to a failed request."""
    status = exc.info.http_status
    headers = [("Content-Type", "text/plain")]
    if exc.retry_after_s is not None and exc.info.not_run:
        headers.append(("Retry-After", f"{exc.retry_after_s:.3f}"))
    return status, headers, f"{exc}\n".encode()
