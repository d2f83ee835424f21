"""Pooled HTTP connections to the upstream beside this daemon.

A connection is reused only after a regular exchange: data behind a response, a
response to another request, or a response that came before the whole request
was sent make it unusable.
"""

import asyncio
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_core import byte_budgets
from buckthorn_core import errors
from buckthorn_core import idle_limits
from buckthorn_core import ids
from buckthorn_sidecar import interfaces

# The upstream is on the same host. If its accept queue is full, the SYN packet
# is dropped and only sent again after a second.
CONNECT_TIMEOUT_S = 0.5
# How long a probe of the upstream's port waits, in seconds.
PROBE_TIMEOUT_S = 0.2
# Idle connections are closed after this fraction of the idle timeout that the
# upstream announces.
IDLE_TIMEOUT_FRACTION = 0.5
# If a reused connection is reset this soon after a request, in seconds, the
# upstream is assumed to have dropped it while it was idle.
STALE_RESET_S = 0.01
MAX_IDLE_CONNECTIONS = 64
# Responses of both known meshes have at most 30 KB.
MAX_RESPONSE_BYTES = 33_554_432
# Responses to other requests that are skipped before the exchange fails. A
# working instance sends at most one of them.
MAX_MISMATCHED_RESPONSES = 4

_logger = loguru.logger.bind(module=__name__)


class ConnectionLostError(errors.RequestError):
    """The connection ended before the complete response."""


class Exchange(NamedTuple):
    """A response of the upstream and the metadata from its headers."""

    response: http1.Response
    metadata: interfaces.ResponseMetadata


class Health(NamedTuple):
    """Result of a health check.

    Attributes:
        instance: Id of the instance if it is healthy and not leaving, else
            None.
        limit_per_s: The request limit that it states; None without a limit.
    """

    instance: ids.InstanceId | None
    limit_per_s: float | None


class UpstreamPool:
    """A pool of connections to the upstream."""

    def __init__(
        self,
        mesh_headers: interfaces.MeshHeaders,
        body_budget: byte_budgets.ByteBudget,
    ):
        self._mesh_headers = mesh_headers
        self._body_budget = body_budget
        self._idle: list[http1.Connection] = []
        self._in_exchange: set[http1.Connection] = set()
        self._idle_limit = idle_limits.IdleLimit()
        self._address = ids.Address("")

    def set_address(self, address: ids.Address) -> None:
        """Sets the upstream's address and closes the idle connections."""
        self._address = address
        self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    async def acquire(self) -> http1.Connection:
        """Returns a connection for one exchange.

        Raises:
            errors.RequestError: The upstream can't be reached; nothing was
                sent.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            idle_limit_s = self._idle_limit.limit_s(now_s)
            if conn.idle_limit_s is not None:
                idle_limit_s = min(
                    idle_limit_s, conn.idle_limit_s * IDLE_TIMEOUT_FRACTION
                )
            if conn.reusable and now_s - conn.idle_since_s < idle_limit_s:
                return conn
            conn.close()
        try:
            return await http1.connect(
                self._address,
                CONNECT_TIMEOUT_S,
                min(MAX_RESPONSE_BYTES, self._body_budget.limit),
                self._body_budget,
            )
        except OSError as exc:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"the upstream at {self._address} can't be reached: {exc!r}",
                CONNECT_TIMEOUT_S,
            ) from exc

    @property
    def has_open_connections(self) -> bool:
        """Whether the upstream has not ended all connections."""
        return any(conn.is_open for conn in (*self._idle, *self._in_exchange))

    async def refuses_connections(self) -> bool:
        """Returns whether nothing listens at the upstream's address."""
        try:
            conn = await http1.connect(
                self._address, PROBE_TIMEOUT_S, MAX_RESPONSE_BYTES
            )
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        conn.close()
        return False

    async def check_health(self, path: str) -> Health:
        """Returns what the upstream's health check says.

        Raises:
            errors.RequestError: There was no response.
        """
        conn = await self.acquire()
        data = http1.encode_request("GET", path, [("Host", self._address)], b"")
        exchange = await self.exchange(conn, "GET", data, ids.RequestId(""))
        instance = self._mesh_headers.read_health(exchange.response)
        if exchange.metadata.leaving:
            instance = None
        return Health(instance, exchange.metadata.limit_per_s)

    async def exchange(
        self,
        conn: http1.Connection,
        method: str,
        data: bytes,
        request_id: ids.RequestId,
        body: bytes = b"",
    ) -> Exchange:
        """Sends a request and returns its response.

        If the exchange is cancelled, the connection is closed, which makes
        the upstream drop the request.

        Args:
            conn: The connection.
            method: HTTP method.
            data: The request in wire format, at least its head.
            request_id: Id that the response must state.
            body: The body, unless it is part of `data`.

        Raises:
            errors.RequestError: There was no complete response; the request
                may have run.
        """
        done = False
        self._in_exchange.add(conn)
        sent_s = asyncio.get_running_loop().time()
        try:
            conn.send(data, method == "HEAD", body)
            exchange, mismatched = await self._receive(conn, request_id)
            done = True
        except http1.IncompleteResponseError as exc:
            self._record_truncation(conn, exc, sent_s)
            raise ConnectionLostError(
                errors.Code.UPSTREAM_FAILED, str(exc)
            ) from exc
        finally:
            self._in_exchange.discard(conn)
            if not done:
                conn.close()
        conn.end_exchange()
        reusable = (
            exchange.response.keep_alive
            and not mismatched
            and conn.reusable
            and conn.all_sent
        )
        if reusable:
            self._release(conn, exchange.metadata.idle_limit_s)
        else:
            conn.close()
        return exchange

    def _record_truncation(
        self,
        conn: http1.Connection,
        exc: http1.IncompleteResponseError,
        sent_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if conn.used and not exc.started and now_s - sent_s < STALE_RESET_S:
            self._idle_limit.on_reset(sent_s - conn.idle_since_s, now_s)

    async def _receive(
        self, conn: http1.Connection, request_id: ids.RequestId
    ) -> tuple[Exchange, bool]:
        """Returns the response, and whether mismatched ones preceded it.

        Raises:
            errors.RequestError: The responses don't belong to the request.
            http1.IncompleteResponseError: The response is incomplete.
        """
        mismatched = 0
        while True:
            response = await conn.receive()
            metadata = self._mesh_headers.read_response(response)
            if metadata.request_id == (request_id or None):
                return Exchange(response, metadata), mismatched > 0
            mismatched += 1
            _logger.warning(
                "foreign_answer", request=request_id, other=metadata.request_id
            )
            # A response without a request id can't be attributed to a request.
            if (
                metadata.request_id is None
                or mismatched > MAX_MISMATCHED_RESPONSES
            ):
                raise errors.RequestError(
                    errors.Code.UPSTREAM_FAILED,
                    f"answers of other requests came instead ({mismatched})",
                )

    def _release(
        self, conn: http1.Connection, idle_limit_s: float | None
    ) -> None:
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        conn.used = True
        conn.idle_since_s = asyncio.get_running_loop().time()
        conn.idle_limit_s = idle_limit_s
        self._idle.append(conn)
