"""HTTP server for callers, announcements, readiness and metrics.

Pipelined requests run concurrently and are answered in order. Closing a
connection cancels its requests; sending further ones doesn't.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import sys
from typing import Any

import loguru
import msgspec

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_core import byte_budgets
from buckthorn_core import connection_limits
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import transfer_rates
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import acceptors
from buckthorn_sidecar import caller_guards
from buckthorn_sidecar import response_writers
from buckthorn_sidecar import settings

# Reading pauses while this many pipelined requests wait for their responses.
MAX_PIPELINED_REQUESTS = 64
# How often connections are checked for timeouts, in seconds.
CHECK_INTERVAL_S = 0.5
# Bytes that are parsed at a time. In between, reading can pause.
PARSE_SIZE = 16_384
# Reading pauses while more bytes of a connection's responses are not written.
MAX_UNWRITTEN_BYTES = 262_144

Handler = Callable[[http1.Request], Awaitable[http1.Response]]
_logger = loguru.logger.bind(module=__name__)

DEFAULT_LIMITS = virtual_hosts.CallerLimits(
    settings.DEFAULT_MAX_HEADER_BYTES,
    settings.DEFAULT_MAX_BODY_BYTES,
    settings.DEFAULT_HEADER_TIMEOUT_S,
    settings.DEFAULT_IDLE_TIMEOUT_S,
)
# The same for announcements, readiness and metrics, and their memory in bytes.
AUXILIARY_LIMITS = msgspec.structs.replace(
    DEFAULT_LIMITS, max_body_bytes=65_536
)
AUXILIARY_BUDGET_BYTES = 16_777_216


class _PendingResponse:
    """A response in the order of a connection's requests.

    Attributes:
        task: Runs the request; None if there is nothing to run.
        data: The encoded response, once it is known.
    """

    __slots__ = ("data", "task")

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.data: tuple[bytes, ...] | None = None


class ListenerConnection(asyncio.Protocol):
    """An HTTP connection that a listener has accepted.

    Attributes:
        peer: The caller's IP address.
        held_since_s: Since when reading waits for memory, in seconds of the
            event loop's clock; None if it doesn't.
        last_activity_s: When the last data came or a response was known, on
            the same clock.
        has_sent: Whether the caller has sent anything.
    """

    def __init__(self, listener: "Listener"):
        self._listener = listener
        self._transport: Any = None
        self._writer: response_writers.ResponseWriter
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
        self.peer = ""
        self.held_since_s: float | None = None
        self.last_activity_s = self._loop.time()
        self.has_sent = False
        self._request_started_s = self.last_activity_s
        self._is_freed = False
        self._last_request_read = False
        # Received bytes that were not parsed before reading paused.
        self._unparsed = b""
        self._reading_paused = False
        self._received_bytes = 0
        self._receiving = transfer_rates.TransferRate(self.last_activity_s)
        self._held_bytes = 0

    @property
    def busy(self) -> bool:
        """Whether a request is in flight or read, or a response is written."""
        return (
            bool(self._pending)
            or self._parser.in_message
            or self._writer.unsent_bytes > 0
        )

    @property
    def incomplete(self) -> bool:
        """Whether part of a request has been received."""
        return self._parser.in_message and self._is_open

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes, without its requests, in bytes."""
        return self._held_bytes

    @property
    def _is_open(self) -> bool:
        """Whether responses may be written."""
        return self._writer.state is response_writers.State.OPEN

    def connection_made(self, transport: Any) -> None:
        """Stores the transport and sets the socket options."""
        self._transport = transport
        http1.set_socket_options(transport)
        self._writer = response_writers.ResponseWriter(
            transport, self._listener.meter
        )
        peer = transport.get_extra_info("peername")
        self.peer = str(peer[0]) if peer else ""
        self._listener.conns.add(self)
        self._update_held_bytes()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the caller's requests."""
        del exc
        self._cancel_all()
        self._free()
        self._listener.on_lost(self)

    def _free(self) -> None:
        """Frees what the connection takes; nothing is sent any more."""
        self._is_freed = True
        self._unparsed = b""
        self._writer.close()
        self._parser.close()
        self._held_bytes = 0
        self._listener.body_budget.hold(self, 0)

    def eof_received(self) -> bool:
        """Cancels the requests of a caller that has closed its connection."""
        self._cancel_all()
        return False

    def _cancel_all(self) -> None:
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()

    def _update_held_bytes(self) -> None:
        """Counts in the budget what the connection takes now."""
        if self._is_freed:
            return
        size = (
            connection_limits.CONNECTION_BYTES
            + len(self._unparsed)
            + self._writer.unsent_bytes
        )
        if size != self._held_bytes:
            self._held_bytes = size
            self._listener.body_budget.hold(self, size)

    def data_received(self, data: bytes) -> None:
        """Parses received data into requests."""
        if self._ignores_data:
            return
        self.has_sent = True
        self.last_activity_s = self._loop.time()
        self._received_bytes += len(data)
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._parse()

    def _parse(self) -> None:
        """Parses what was received, until reading pauses."""
        if not self._parser.in_message:
            self._request_started_s = self._loop.time()
            limits = self._listener.limits
            self._parser.max_header_bytes = limits.max_header_bytes
            self._parser.max_body_bytes = limits.max_body_bytes
            self._receiving.reset(self._request_started_s, self._received_bytes)
        data, start = self._unparsed, 0
        try:
            while start < len(data) and not self._ignores_data:
                self._parser.feed(data[start : start + PARSE_SIZE])
                start += PARSE_SIZE
                if self.incomplete and self._listener.body_budget.is_short:
                    self._listener.guard.on_incomplete(self)
                self._update_reading()
                if self._reading_paused:
                    break
        except errors.RequestError as exc:
            if exc.code is not errors.Code.BODIES_FULL:
                _logger.info("bad_request", error=str(exc))
            self._refuse_and_close(exc)
        had_unparsed = data is not self._unparsed
        self._unparsed = b"" if self._ignores_data else data[start:]
        if self._unparsed or had_unparsed:
            self._update_held_bytes()
        if self._unparsed and self._listener.body_budget.is_full:
            self._refuse_and_close(memory_short_error())

    @property
    def _ignores_data(self) -> bool:
        return self._last_request_read or not self._is_open

    def _update_reading(self) -> None:
        """Pauses or resumes reading."""
        pause = not self._ignores_data and (
            self.held_since_s is not None
            or len(self._pending) >= MAX_PIPELINED_REQUESTS
            or self._writer.waiting_bytes > MAX_UNWRITTEN_BYTES
        )
        if pause is self._reading_paused:
            return
        self._reading_paused = pause
        if pause:
            self._transport.pause_reading()
            return
        self._receiving.reset(self._loop.time(), self._received_bytes)
        self._transport.resume_reading()
        if self._unparsed:
            self._loop.call_soon(self._parse)

    def hold_reading(self) -> None:
        """Pauses reading until there is memory."""
        self.held_since_s = self._loop.time()
        self._update_reading()

    def release_reading(self) -> None:
        """Ends such a pause."""
        self.held_since_s = None
        self._update_reading()

    def _on_expect(self) -> None:
        if not self._pending:
            self._writer.write_interim(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self, req: http1.Request) -> None:
        if self._ignores_data:
            self._listener.body_budget.release(req)
            return
        pending = _PendingResponse()
        self._pending.append(pending)
        if not req.keep_alive or self._listener.draining:
            self._last_request_read = True
        if self._listener.body_budget.is_full:
            self._listener.body_budget.release(req)
            self._refuse(pending, req)
            return
        pending.task = self._loop.create_task(self._run(pending, req))
        pending.task.add_done_callback(
            lambda _: self._listener.body_budget.release(req)
        )

    def _refuse(self, pending: _PendingResponse, req: http1.Request) -> None:
        """Answers a request that is not run for want of memory."""
        self._listener.guard.count_refused()
        status, headers, body = error_response(memory_short_error())
        pending.data = http1.encode_response_parts(
            status, headers, body, not req.keep_alive, req.method == "HEAD"
        )
        self._write_ready()

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
        if (
            len(body) > response_writers.WRITE_SIZE
            and not self._listener.guard.has_room_for_response(len(body))
        ):
            status, headers, body = error_response(
                errors.RequestError(
                    errors.Code.UPSTREAM_FAILED,
                    "no memory is left for the response",
                )
            )
        last = self._listener.draining or not req.keep_alive
        close = last and pending is self._pending[-1]
        pending.data = http1.encode_response_parts(
            status, headers, body, close, head_only=req.method == "HEAD"
        )
        if close:
            self._last_request_read = True
        self._write_ready(sum(map(len, pending.data)))

    def _write_ready(self, size: int | None = None) -> None:
        """Writes the responses that are next in order.

        Args:
            size: Size of a response that is now known, in bytes; by default
                that of the last one.
        """
        if size is None:
            size = sum(map(len, self._pending[-1].data or ()))
        self._writer.add_waiting(size)
        while self._pending and self._pending[0].data is not None:
            data = self._pending.popleft().data
            assert data is not None
            self._writer.write(data)
        self.last_activity_s = self._loop.time()
        self._writer.flush()
        self._on_written()

    def _on_written(self) -> None:
        """Reads on, or ends the connection after its last response."""
        self._update_held_bytes()
        self._update_reading()
        if (
            self._last_request_read
            and not self._pending
            and self._writer.all_written
        ):
            self._writer.end()

    def pause_writing(self) -> None:
        """Stops writing, since the transport's buffer is full."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Writes on, since the transport's buffer has emptied."""
        self._writer.resume()
        self._on_written()

    def _refuse_and_close(self, exc: errors.RequestError) -> None:
        """Sends an error after the pending responses, then closes."""
        if exc.code is errors.Code.BODIES_FULL:
            self._listener.guard.count_refused()
        status, headers, body = error_response(exc)
        pending = _PendingResponse()
        pending.data = http1.encode_response_parts(status, headers, body, True)
        self._pending.append(pending)
        self._last_request_read = True
        self.held_since_s = None
        self._unparsed = b""
        self._parser.close()
        self._write_ready()

    def check(self, now_s: float) -> None:
        """Closes the connection on a header or idle timeout, or if stalled."""
        limits = self._listener.limits
        if self._is_response_stalled(now_s, limits.idle_timeout_s):
            self.close_stalled()
            return
        if not self._is_open:
            return
        if self._parser.in_headers and self.held_since_s is None:
            if now_s - self._request_started_s > limits.header_timeout_s:
                self._refuse_and_close(
                    errors.RequestError(
                        errors.Code.HEADERS_SLOW, "the headers took too long"
                    )
                )
        elif self.is_body_stalled(now_s, limits.idle_timeout_s):
            self.close_stalled()
        elif (
            not self.busy
            and now_s - self.last_activity_s > limits.idle_timeout_s
        ):
            self._writer.close_idle()

    def is_body_stalled(self, now_s: float, grace_s: float) -> bool:
        """Returns whether a body came too slowly for a time, in seconds."""
        return (
            self.incomplete
            and not self._reading_paused
            and not self._last_request_read
            and self._receiving.is_stalled(now_s, self._received_bytes, grace_s)
        )

    def is_stalled(self, now_s: float, grace_s: float) -> bool:
        """Returns whether the caller sent or read too slowly for a time."""
        return self.is_body_stalled(
            now_s, grace_s
        ) or self._is_response_stalled(now_s, grace_s)

    def _is_response_stalled(self, now_s: float, grace_s: float) -> bool:
        if self._writer.unsent_bytes:
            self._update_held_bytes()
        return self._writer.is_slow(now_s, grace_s)

    @property
    def stalled_since_s(self) -> float:
        """Since when the caller has sent or read too slowly."""
        if self._writer.unsent_bytes:
            return self._writer.slow_since_s
        return self._receiving.since_s

    def close_stalled(self) -> None:
        """Closes the connection of a caller that sends or reads too slowly.

        A request that is not complete was not run, and is refused.
        """
        self._listener.guard.count_closed()
        if self._writer.unsent_bytes or not self.incomplete:
            self.close()
            return
        self._refuse_and_close(
            errors.RequestError(
                errors.Code.HEADERS_SLOW, "the body took too long"
            )
        )

    def refuse_held(self) -> None:
        """Refuses a request for whose body there is no memory."""
        self._refuse_and_close(memory_short_error())

    def drain(self) -> None:
        """Stops reading new requests, and closes after the last response.

        Waiting for the connection to become idle isn't enough, since a caller
        that pipelines requests may keep it busy forever.
        """
        if not self._parser.in_message:
            self._last_request_read = True
        if not self.busy:
            self._writer.end()

    def close(self) -> None:
        """Closes the connection at once."""
        self._free()


class Listener:
    """Serves HTTP on one address.

    Attributes:
        handler: Returns the response to a request.
        limits: Size limits and timeouts for callers.
        draining: Whether connections close after their last response.
        body_budget: Limits the memory of callers' requests and responses.
        conns: The open connections.
        guard: Keeps callers from taking all memory and connections.
        meter: Counts what callers are refused; None to count nothing.
    """

    def __init__(
        self,
        address: ids.Address,
        handler: Handler,
        body_budget: byte_budgets.ByteBudget | None = None,
        max_connections: int = sys.maxsize,
        meter: metrics.Metrics | None = None,
        limits: virtual_hosts.CallerLimits = DEFAULT_LIMITS,
    ):
        """Creates the listener.

        Args:
            address: Address to listen on.
            handler: Returns the response to a request.
            body_budget: Limits the memory of callers' requests and responses;
                None for no limit.
            max_connections: Most connections that are open at a time.
            meter: Counts what callers are refused; None to count nothing.
            limits: Size limits and timeouts for callers.
        """
        self._address = address
        self.handler = handler
        self.body_budget = body_budget or byte_budgets.ByteBudget()
        self.limits = limits
        self.draining = False
        self.meter = meter
        self.conns: set[ListenerConnection] = set()
        self.acceptor = acceptors.Acceptor(
            lambda: ListenerConnection(self),
            lambda: len(self.conns) + self.acceptor.opening < max_connections,
        )
        self.guard = caller_guards.CallerGuard(
            self.body_budget, self.conns, self.acceptor, meter
        )
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
        await self.acceptor.start(host, int(port))
        self._check_task = asyncio.create_task(self._check())

    def on_lost(self, conn: ListenerConnection) -> None:
        """Forgets a connection that has ended."""
        self.conns.discard(conn)
        self.guard.on_lost(conn)
        self.acceptor.resume()

    def drain(self) -> None:
        """Closes each connection after its pending responses."""
        self.draining = True
        self._for_each(ListenerConnection.drain)

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        self.acceptor.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.stop_listening()
        if self._check_task is not None:
            self._check_task.cancel()
        self._for_each(ListenerConnection.close)

    def _for_each(self, action: Callable[[ListenerConnection], None]) -> None:
        """Calls an action with each connection; closes those that fail."""
        for conn in list(self.conns):
            try:
                action(conn)
            except Exception:
                _logger.exception("caller_connection_failed", peer=conn.peer)
                conn.close()

    async def _check(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._for_each(lambda conn: conn.check(loop.time()))
            try:
                self.guard.check(loop.time())
            except Exception:
                _logger.exception("caller_guard_failed")


def memory_short_error() -> errors.RequestError:
    """Returns the error of a request that is not run for want of memory."""
    return errors.RequestError(
        errors.Code.BODIES_FULL,
        "other requests and responses take the memory",
        http1.BODY_MEMORY_RETRY_S,
    )


def error_response(
    exc: errors.RequestError,
) -> tuple[int, http1.Headers, bytes]:
    """Returns status, headers and body of the response to a failed request."""
    status = exc.info.http_status
    headers = [("Content-Type", "text/plain")]
    if exc.retry_after_s is not None and exc.info.not_run:
        headers.append(("Retry-After", f"{exc.retry_after_s:.3f}"))
    return status, headers, f"{exc}\n".encode()
