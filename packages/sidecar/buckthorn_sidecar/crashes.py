"""Detection of upstream crashes, and the runs of requests under suspicion.

An upstream that crashes loses all its connections and its listening socket at
once. A single lost connection is no crash: upstreams also close connections for
other reasons.
"""

import asyncio

import loguru

from buckthorn_core import ids
from buckthorn_core import in_flight_requests
from buckthorn_sidecar import suspicions
from buckthorn_sidecar import upstream_pools

# Pauses in which the ends of the other connections arrive, in seconds.
SETTLE_PAUSES_S = (0.005, 0.005, 0.015)
# Pauses before the probes of the upstream's port, in seconds: a process that
# ends closes its sockets one after the other.
PROBE_PAUSES_S = (0.0, 0.05)

_logger = loguru.logger.bind(module=__name__)


class CrashDetector:
    """Counts each crash once for each request that was in flight."""

    def __init__(
        self,
        pool: upstream_pools.UpstreamPool,
        known_suspicions: suspicions.Suspicions,
    ):
        self._pool = pool
        self._suspicions = known_suspicions
        # The requests in flight by attempt id.
        self._requests: in_flight_requests.InFlightRequests[str] = (
            in_flight_requests.InFlightRequests()
        )
        self._detecting: asyncio.Task[bool] | None = None

    def begin(self, attempt: str, digest: ids.Fingerprint) -> None:
        """Registers a request, just before its first byte is sent."""
        self._requests.begin(attempt, digest)

    def end(self, attempt: str) -> None:
        """Unregisters a request that is not in flight any more."""
        self._requests.end(attempt)

    def complete(self, attempt: str) -> None:
        """Records that a request has got a complete response."""
        digest = self._requests.complete(attempt)
        if digest is not None:
            self._suspicions.complete(digest)

    async def on_connection_lost(self) -> bool:
        """Returns whether a connection of a request was lost in a crash.

        Returns once the crash is counted.
        """
        self._requests.mark_lost(asyncio.get_running_loop().time())
        if self._detecting is None:
            self._detecting = asyncio.create_task(self._detect())
            self._detecting.add_done_callback(self._on_detected)
        return await asyncio.shield(self._detecting)

    def on_new_lifetime(self) -> None:
        """Counts a crash after which the upstream was back at once.

        It was then back on its port before the port was probed.
        """
        self._requests.drop_expired(asyncio.get_running_loop().time())
        self._count()

    def close(self) -> None:
        """Ends a probe that is under way."""
        if self._detecting is not None:
            self._detecting.cancel()

    def _on_detected(self, task: asyncio.Task[bool]) -> None:
        del task
        self._detecting = None

    async def _detect(self) -> bool:
        for pause_s in SETTLE_PAUSES_S:
            await asyncio.sleep(pause_s)
            if not self._pool.has_open_connections:
                return await self._probe()
        return False

    async def _probe(self) -> bool:
        for pause_s in PROBE_PAUSES_S:
            await asyncio.sleep(pause_s)
            if await self._pool.refuses_connections():
                self._count()
                return True
        return False

    def _count(self) -> None:
        digests = self._requests.take_lost()
        if digests:
            _logger.warning("upstream_crashed", in_flight=len(digests))
            self._suspicions.count_crash(digests)


class SuspectRuns:
    """Lets an upstream run one request under suspicion at a time.

    The requests that were in flight at a crash come again together. If they
    ran beside each other again, the next crash would count for all of them,
    and innocent ones would be refused with the one that crashes upstreams.
    """

    def __init__(self) -> None:
        self._running: ids.Fingerprint | None = None
        self._count = 0
        self._waiters: list[asyncio.Future[None]] = []

    async def acquire(self, digest: ids.Fingerprint, start_by_s: float) -> None:
        """Waits until no other request under suspicion runs.

        Args:
            digest: The request; copies of it may run beside each other.
            start_by_s: When waiting ends, on the event loop's clock.

        Raises:
            TimeoutError: Another one ran for too long.
        """
        async with asyncio.timeout_at(start_by_s):
            while self._running not in (None, digest):
                fut = asyncio.get_running_loop().create_future()
                self._waiters.append(fut)
                await fut
        self._running = digest
        self._count += 1

    def release(self) -> None:
        """Ends a run."""
        self._count -= 1
        if self._count == 0:
            self._running = None
            self._wake()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)
