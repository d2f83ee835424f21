"""Requests of callers: load balancing, retries and relay of the response."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import threading
import time

import urllib3

from buckthorn_adapters import bodies
from buckthorn_adapters import http_clients
from buckthorn_adapters import servers
from buckthorn_core import body_progress
from buckthorn_core import bundles
from buckthorn_core import burn_counts
from buckthorn_core import endpoints
from buckthorn_core import errors
from buckthorn_core import failed_attempts
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_core import retries
from buckthorn_core import selection_policies
from buckthorn_core import snapshots
from buckthorn_daemon import claiming
from buckthorn_daemon import error_responses
from buckthorn_daemon import headers
from buckthorn_daemon import quarantine_guard
from buckthorn_daemon import settings
from buckthorn_daemon import state

# Leaves room for the headers that this daemon adds, since the receiving daemon
# applies MAX_HEADER_BYTES to the result.
MAX_CALLER_HEADER_BYTES = servers.MAX_HEADER_BYTES - 1_024


class RequestContext:
    """A request of a caller that is being served.

    Attributes:
        exchange: The HTTP exchange with the caller.
        snapshot: The configuration that was in force when it arrived.
        route: The route that matches its path.
        deadline_s: Its deadline, in local monotonic seconds.
        idempotent: Whether it may run more than once.
        body: The body, if it is small enough to be buffered and sent again.
        body_consumed: Whether bytes of a streamed body have been sent, so that
            it can't be sent again.
        tried_daemons: Daemons to which it was sent.
        expires_ms: Time at which its claim expires, in ms since the epoch;
            None without a claim.
        last_daemon: The daemon to which it was sent last.
        streams_body: Whether the body is streamed instead of buffered.
        fingerprint: Identifies the request if it is sent again, for the
            quarantine.
    """

    def __init__(
        self,
        exchange: servers.Exchange,
        snapshot: snapshots.Snapshot,
        route: bundles.Route,
    ):
        resource = snapshot.config.resources[route.resource]
        self.exchange = exchange
        self.snapshot = snapshot
        self.route = route
        self.deadline_s = headers.deadline_s(
            exchange, time.monotonic(), resource.deadline_ms / 1000
        )
        self.idempotent = retries.is_idempotent(
            exchange.method, resource.idempotent
        )
        self.body: bytes | None = None
        self.body_consumed = False
        self.tried_daemons: set[ids.DaemonId] = set()
        self.expires_ms: int | None = None
        self.last_daemon: ids.DaemonId | None = None
        exchange.body.limit(resource.max_body_bytes)
        exchange.add_header(headers.VERSION, str(snapshot.version.number))
        length = exchange.body.length
        self.streams_body = length is None or length > bodies.PIECE_BYTES
        if not self.streams_body:
            self.body = b"".join(exchange.body.pieces())
        self.fingerprint = self._fingerprint()

    def _fingerprint(self) -> ids.Fingerprint:
        key = self.exchange.headers.get(headers.OPERATION_KEY.lower())
        prefix = self.body or b""
        if self.streams_body and key is None:
            body = self.exchange.body
            while len(prefix) < quarantines.PREFIX_BYTES:
                piece = body.read()
                if not piece:
                    break
                prefix += piece
            body.unread(prefix)
        return quarantines.fingerprint(
            self.route.service,
            self.exchange.method,
            self.exchange.path,
            key,
            prefix,
        )

    def pieces(self) -> Iterator[bytes]:
        """Yields the pieces of a streamed body.

        Raises:
            errors.RequestError: The body is truncated or too long.
        """
        try:
            for piece in self.exchange.body.pieces():
                self.body_consumed = True
                yield piece
        except errors.RequestError as exc:
            if not exc.info.not_run:
                raise
            # Not "not run": the upstream has received the headers, and
            # perhaps a part of the body.
            raise errors.RequestError(
                errors.Code.BODY_OVERRUN, exc.message
            ) from exc


class Egress:
    """Sends requests of callers to the daemons on the upstreams' hosts."""

    def __init__(
        self,
        shared: state.State,
        claimer: claiming.Claimer,
        on_finished: Callable[[RequestContext | None, str, float], None] = (
            lambda ctx, cause, seconds: None
        ),
    ):
        """Initializes an egress without connections.

        Args:
            shared: State of this daemon.
            claimer: Claims the operation keys of requests.
            on_finished: Called after each request with its context, which is
                None if it was refused before it had a route, the code of its
                error, empty on success, and its duration in seconds.
        """
        self._shared = shared
        self._claimer = claimer
        self._on_finished = on_finished
        self._pools = http_clients.ConnectionPools()
        self._guard = quarantine_guard.Guard(shared)
        self._endpoint_stats = selection_policies.EndpointStatsTable()
        self._budgets: dict[ids.ServiceName, retries.RetryBudget] = {}
        self._policy = selection_policies.get(shared.cfg.choice_policy)
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._running = 0
        self._max_running = settings.thread_share(shared.cfg.http_threads)
        self._closed = False

    @property
    def idle(self) -> bool:
        """Whether no request of a caller is in flight."""
        return self._running == 0

    def close(self) -> None:
        """Closes the connections to other daemons."""
        self._pools.close()

    def stop_admitting(self) -> None:
        """Refuses all new requests from now on."""
        self._closed = True

    def prune(self) -> None:
        """Drops statistics and connections of endpoints that no longer exist.

        Thousands of endpoints are replaced per day.
        """
        with self._shared.lock:
            known = self._shared.endpoints.all_endpoints()
        with self._lock:
            self._endpoint_stats.keep_only({e.daemon for e in known})
        self._pools.keep_only({e.address for e in known})

    def handle(self, exchange: servers.Exchange) -> None:
        """Serves a request of a caller.

        Args:
            exchange: The HTTP exchange with the caller.

        Raises:
            errors.RequestError: The request was refused or has failed.
        """
        started_s = time.monotonic()
        with self._lock:
            self._running += 1
        service = "none"
        ctx = None
        cause = burn_counts.INTERNAL
        try:
            ctx = self._accept(exchange)
            service = ctx.route.service
            self._claimer.run(ctx, lambda: self._send(ctx))
            cause = burn_counts.status_cause(exchange.status)
        except OSError:
            cause = burn_counts.CALLER_GONE
            raise
        except errors.BuckthornError as exc:
            cause = exc.code.value
            self._shared.metrics.count(
                "buckthorn_request_errors",
                service=service,
                code=exc.code.value,
            )
            raise
        finally:
            with self._lock:
                self._running -= 1
            seconds = time.monotonic() - started_s
            self._on_finished(ctx, cause, seconds)
            self._shared.metrics.record(
                "buckthorn_request", seconds, service=service
            )

    def _accept(self, exchange: servers.Exchange) -> RequestContext:
        if self._closed:
            raise errors.RequestError(
                errors.Code.DRAINING, "this daemon is stopping", 1.0
            )
        if self._running > self._max_running:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                f"{self._max_running} requests of callers run here",
                1.0,
            )
        snapshot = self._shared.holder.current
        if snapshot is None or not self._shared.holder.ready:
            raise errors.RequestError(
                errors.Code.NOT_READY, "the configuration is not known yet", 1.0
            )
        if exchange.header_bytes > MAX_CALLER_HEADER_BYTES:
            raise errors.RequestError(
                errors.Code.HEADERS_TOO_LARGE,
                f"the headers are over {MAX_CALLER_HEADER_BYTES} bytes",
            )
        path = exchange.path.split("?", 1)[0]
        route = snapshot.routes.match(path)
        if route is None:
            raise errors.RequestError(errors.Code.NO_ROUTE, path)
        return RequestContext(exchange, snapshot, route)

    def _send(self, ctx: RequestContext) -> None:
        with self._lock:
            budget = self._budgets.setdefault(
                ctx.route.service, retries.RetryBudget()
            )
            budget.add_request()
        retry_count = 0
        failed = failed_attempts.FailedAttempts()
        while True:
            try:
                self._guard.check(ctx.fingerprint)
                endpoint = self._choose(ctx)
                ctx.tried_daemons.add(endpoint.daemon)
                ctx.last_daemon = endpoint.daemon
                self._attempt(ctx, endpoint)
                return
            except errors.RequestError as exc:
                if ctx.exchange.started:
                    raise
                failed.add(exc)
                if not self._may_retry(ctx, exc, retry_count, budget):
                    raise failed.final_error(exc) from exc
                retry_count += 1
                self._shared.metrics.count(
                    "buckthorn_retries", service=ctx.route.service
                )

    def _may_retry(
        self,
        ctx: RequestContext,
        exc: errors.RequestError,
        retry_count: int,
        budget: retries.RetryBudget,
    ) -> bool:
        if not self._candidates(ctx):
            return False
        if self._guard.is_quarantined(ctx.fingerprint):
            return False
        with self._lock:
            return retries.may_retry(
                exc, ctx.idempotent, ctx.body_consumed, retry_count, budget
            )

    def _candidates(self, ctx: RequestContext) -> list[endpoints.Endpoint]:
        shared = self._shared
        config = ctx.snapshot.config
        service = ctx.route.service
        with shared.lock:
            local = shared.endpoints.local(service)
            remote = shared.endpoints.remote(service)
        return [
            endpoint
            for endpoint in [*local, *remote]
            if endpoint.daemon not in ctx.tried_daemons
            and endpoint.site not in config.draining_sites
        ]

    def _choose(self, ctx: RequestContext) -> endpoints.Endpoint:
        candidates = self._candidates(ctx)
        if not candidates:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"no instance of {ctx.route.service} takes work",
                1.0,
            )
        site, region = self._choose_origin(ctx)
        nearest = selection_policies.group_by_locality(
            candidates, site, region
        )[0]
        with self._lock:
            return self._policy(
                nearest, self._endpoint_stats, time.monotonic(), self._rng
            )

    def _choose_origin(
        self, ctx: RequestContext
    ) -> tuple[ids.SiteName, ids.RegionName]:
        """Returns the site and region from which locality is measured.

        With traffic weights, a site is drawn at random by its weight.
        """
        config = ctx.snapshot.config
        weights = config.traffic
        if not weights or not any(weights.values()):
            return config.site, config.region
        sites = list(weights)
        site = self._rng.choices(sites, [weights[s] for s in sites])[0]
        return site, config.region_by_site.get(site, config.region)

    def _attempt(
        self, ctx: RequestContext, endpoint: endpoints.Endpoint
    ) -> None:
        started_s = time.monotonic()
        with self._lock:
            self._endpoint_stats.on_started(endpoint.daemon, started_s)
        try:
            self._forward(ctx, endpoint)
        except errors.RequestError as exc:
            now_s = time.monotonic()
            with self._lock:
                if exc.info.not_run:
                    self._endpoint_stats.on_refused(endpoint.daemon, now_s)
                else:
                    self._endpoint_stats.on_failed(endpoint.daemon, now_s)
            raise
        except OSError:
            # The caller has disconnected, which is no failure of the endpoint.
            with self._lock:
                self._endpoint_stats.on_abandoned(endpoint.daemon, started_s)
            raise
        now_s = time.monotonic()
        with self._lock:
            self._endpoint_stats.on_finished(
                endpoint.daemon, now_s, now_s - started_s
            )

    def _forward(
        self, ctx: RequestContext, endpoint: endpoints.Endpoint
    ) -> None:
        left_s = headers.left_s(ctx.deadline_s)
        if left_s <= 0:
            raise errors.RequestError(
                errors.Code.DEADLINE_PASSED, "the deadline has passed"
            )
        request_headers = headers.for_ingress(
            ctx.exchange,
            left_s,
            ctx.snapshot.version.number,
            ctx.expires_ms,
            headers.hop(ctx.route.service, self._shared.identity.key),
        )
        request_headers[headers.SUSPICION] = self._guard.suspicion_header(
            ctx.fingerprint
        )
        if ctx.streams_body:
            request_headers[headers.AWAIT] = headers.AWAIT_ADMISSION
        lease = self._pools.acquire(endpoint.address, not ctx.idempotent)
        resp = None
        try:
            resp = lease.send(
                ctx.exchange.method,
                ctx.exchange.path,
                request_headers,
                ctx.pieces() if ctx.streams_body else ctx.body or None,
                min(body_progress.SILENCE_TIMEOUT_S, left_s + 0.25),
                await_continue=ctx.streams_body,
                stream_timeout_s=body_progress.SILENCE_TIMEOUT_S,
                source=ctx.exchange.body if ctx.streams_body else None,
            )
            self._guard.record_suspicion(resp.headers)
            error_responses.raise_reported(resp)
            http_clients.relay_response(
                ctx.exchange, resp, headers.for_caller(resp.headers)
            )
        except http_clients.NotSentError as exc:
            raise errors.RequestError(
                errors.Code.PEER_UNAVAILABLE, str(exc), 1.0
            ) from exc
        except errors.BuckthornError as exc:
            # Without a response the request may be sent only in part, so the
            # connection can't be reused.
            if exc.info.not_run and resp is not None:
                lease.release()
            else:
                lease.discard()
            raise
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            lease.discard()
            if isinstance(exc, OSError) and ctx.exchange.started:
                # The caller has disconnected or doesn't read the response.
                raise
            timed_out = isinstance(exc, TimeoutError)
            raise errors.RequestError(
                errors.Code.UPSTREAM_SILENT
                if timed_out
                else errors.Code.UPSTREAM_FAILED,
                f"{endpoint.address}: {exc}",
            ) from exc
        lease.release()
        self._guard.complete(ctx.fingerprint)
