"""Exchanges with the upstream beside this daemon.

A connection is used again only after an exchange in which nothing unexpected
was seen: bytes behind an answer, an answer of another request or one that
came before the whole request had left rule it out.
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

# The upstream is on the same host; a full accept queue drops the opening
# packet for a second.
CONNECT_TIMEOUT_S = 0.5
# A connection is given up at this share of the idle time that the upstream
# says it keeps it.
IDLE_SHARE = 0.5
# A kept connection that is reset this soon after a request, in seconds, is
# taken for one that was forgotten while it was idle.
FORGOTTEN_S = 0.01
MAX_IDLE = 64
# Answers of both meshes have at most 30 KB.
MAX_ANSWER_BYTES = 33_554_432
# Answers of other requests that are passed over before the one that is waited
# for. An instance sends one more at most; one that goes on is in trouble.
MAX_FOREIGN = 4

_logger = loguru.logger.bind(module=__name__)


class Exchange(NamedTuple):
    """An answer of the upstream with what it says of itself."""

    answer: http1.Response
    says: interfaces.UpstreamAnswer


class UpstreamPool:
    """Connections to the upstream."""

    def __init__(
        self, dialect: interfaces.Dialect, bodies: byte_budgets.ByteBudget
    ):
        self._dialect = dialect
        self._bodies = bodies
        self._idle: list[http1.Connection] = []
        self._idle_limit = idle_limits.IdleLimit()
        self._address = ids.Address("")

    def set_address(self, address: ids.Address) -> None:
        """Changes where the upstream listens, and drops old connections."""
        self._address = address
        self.close()

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    async def take(self) -> http1.Connection:
        """Returns a connection for one exchange.

        Raises:
            errors.RequestError: None can be made; nothing was sent.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            limit_s = self._idle_limit.limit_s(now_s)
            if conn.idle_limit_s is not None:
                limit_s = min(limit_s, conn.idle_limit_s * IDLE_SHARE)
            if conn.reusable and now_s - conn.idle_since_s < limit_s:
                return conn
            conn.close()
        try:
            return await http1.connect(
                self._address,
                CONNECT_TIMEOUT_S,
                min(MAX_ANSWER_BYTES, self._bodies.limit),
                self._bodies,
            )
        except OSError as exc:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"the upstream at {self._address} can't be reached: {exc!r}",
                CONNECT_TIMEOUT_S,
            ) from exc

    async def check_health(self, path: str) -> ids.InstanceId | None:
        """Returns the instance that says it is healthy, or None.

        Raises:
            errors.RequestError: There was no answer.
        """
        conn = await self.take()
        data = http1.encode_request("GET", path, [("Host", self._address)], b"")
        exchange = await self.exchange(conn, "GET", data, ids.RequestId(""))
        return self._dialect.read_health(exchange.answer)

    async def exchange(
        self,
        conn: http1.Connection,
        method: str,
        data: bytes,
        request_id: ids.RequestId,
    ) -> Exchange:
        """Sends a request and returns its answer.

        An exchange that is cancelled closes its connection, which makes the
        upstream drop the request.

        Raises:
            errors.RequestError: There was no complete answer; the request
                may have run.
        """
        done = False
        sent_s = asyncio.get_running_loop().time()
        try:
            conn.send(data, head_only=method == "HEAD")
            exchange, foreign = await self._receive(conn, request_id)
            done = True
        except http1.IncompleteResponseError as exc:
            self._note_cut(conn, exc, sent_s)
            raise errors.RequestError(
                errors.Code.UPSTREAM_FAILED, str(exc)
            ) from exc
        finally:
            if not done:
                conn.close()
        conn.end_exchange()
        reusable = (
            exchange.answer.keep_alive
            and not foreign
            and conn.reusable
            and conn.all_sent
        )
        if reusable:
            self._put(conn, exchange.says.idle_limit_s)
        else:
            conn.close()
        return exchange

    def _note_cut(
        self,
        conn: http1.Connection,
        exc: http1.IncompleteResponseError,
        sent_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if conn.used and not exc.started and now_s - sent_s < FORGOTTEN_S:
            self._idle_limit.on_reset(sent_s - conn.idle_since_s, now_s)

    async def _receive(
        self, conn: http1.Connection, request_id: ids.RequestId
    ) -> tuple[Exchange, bool]:
        """Returns the request's answer, and whether others came before it.

        Raises:
            errors.RequestError: What came is not known to be its answer.
            http1.IncompleteResponseError: The answer is not complete.
        """
        foreign = 0
        while True:
            answer = await conn.receive()
            says = self._dialect.read_answer(answer)
            if says.request_id == (request_id or None):
                return Exchange(answer, says), foreign > 0
            foreign += 1
            _logger.warning(
                "foreign_answer", request=request_id, other=says.request_id
            )
            # An answer without an id may belong to any request, or to none.
            if says.request_id is None or foreign > MAX_FOREIGN:
                raise errors.RequestError(
                    errors.Code.UPSTREAM_FAILED,
                    f"answers of other requests came instead ({foreign})",
                )

    def _put(self, conn: http1.Connection, limit_s: float | None) -> None:
        if len(self._idle) >= MAX_IDLE:
            conn.close()
            return
        conn.used = True
        conn.idle_since_s = asyncio.get_running_loop().time()
        conn.idle_limit_s = limit_s
        self._idle.append(conn)
