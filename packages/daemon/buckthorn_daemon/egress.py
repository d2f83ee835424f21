"""Requests of callers: choice of an upstream, retries, relay of the answer."""

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

# Daemons add some headers, which must fit into the next daemon's limit too.
MAX_CALLER_HEADER_BYTES = servers.MAX_HEADER_BYTES - 1_024


class Call:
    """A request of a caller on its way.

    Attributes:
        snapshot: The version it started with.
        deadline_s: Its deadline in local monotonic seconds.
        idempotent: Whether it may run more than once.
        body: The body, if it is small enough to be sent again.
        body_consumed: Whether bytes that can't be sent again have been sent.
        fingerprint: Recognises the request if it comes again.
        tried: Daemons that it was sent to.
        expires_ms: When its claim expires, in ms since the epoch; None
            without a claim.
        last: The daemon that it was sent to last.
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
        """Yields the pieces of a long body.

        Raises:
            errors.RequestError: The body is cut short or too long.
        """
        try:
            for piece in self.exchange.body.pieces():
                self.body_consumed = True
                yield piece
        except errors.RequestError as exc:
            if not exc.info.not_run:
                raise
            # The upstream has the request's headers, and perhaps more.
            raise errors.RequestError(
                errors.Code.BODY_OVERRUN, exc.message
            ) from exc


class Egress:
    """Sends callers' requests to daemons beside upstreams."""

    def __init__(
        self,
        shared: state.State,
        claimer: claiming.Claimer,
        on_finished: Callable[[Call | None, str, float], None] = (
            lambda call, cause, seconds: None
        ),
    ):
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
        """Forgets endpoints that are gone; thousands are replaced a day."""
        with self._shared.lock:
            known = self._shared.endpoints.all_endpoints()
        with self._lock:
            self._endpoint_stats.keep_only({e.daemon for e in known})
        self._pools.keep_only({e.address for e in known})

    def handle(self, exchange: servers.Exchange) -> None:
        """Serves a request of a caller.

        Raises:
            errors.RequestError: The request is refused or has failed.
        """
        started_s = time.monotonic()
        with self._lock:
            self._running += 1
        service = "none"
        call = None
        cause = burn_counts.INTERNAL
        try:
            call = self._accept(exchange)
            service = call.route.service
            self._claimer.run(call, lambda: self._send(call))
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
            self._on_finished(call, cause, seconds)
            self._shared.metrics.record(
                "buckthorn_request", seconds, service=service
            )

    def _accept(self, exchange: servers.Exchange) -> Call:
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
        return Call(exchange, snapshot, route)

    def _send(self, call: Call) -> None:
        with self._lock:
            budget = self._budgets.setdefault(
                call.route.service, retries.RetryBudget()
            )
            budget.add_request()
        retry_count = 0
        failed = failed_attempts.FailedAttempts()
        while True:
            try:
                self._guard.check(call.fingerprint)
                endpoint = self._choose(call)
                call.tried_daemons.add(endpoint.daemon)
                call.last_daemon = endpoint.daemon
                self._attempt(call, endpoint)
                return
            except errors.RequestError as exc:
                if call.exchange.started:
                    raise
                failed.add(exc)
                if not self._may_retry(call, exc, retry_count, budget):
                    raise failed.final_error(exc) from exc
                retry_count += 1
                self._shared.metrics.count(
                    "buckthorn_retries", service=call.route.service
                )

    def _may_retry(
        self,
        call: Call,
        exc: errors.RequestError,
        retry_count: int,
        budget: retries.RetryBudget,
    ) -> bool:
        if not self._candidates(call):
            return False
        if self._guard.is_quarantined(call.fingerprint):
            return False
        with self._lock:
            return retries.may_retry(
                exc, call.idempotent, call.body_consumed, retry_count, budget
            )

    def _candidates(self, call: Call) -> list[endpoints.Endpoint]:
        shared = self._shared
        config = call.snapshot.config
        service = call.route.service
        with shared.lock:
            local = shared.endpoints.local(service)
            remote = shared.endpoints.remote(service)
        return [
            endpoint
            for endpoint in [*local, *remote]
            if endpoint.daemon not in call.tried_daemons
            and endpoint.site not in config.draining_sites
        ]

    def _choose(self, call: Call) -> endpoints.Endpoint:
        candidates = self._candidates(call)
        if not candidates:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"no instance of {call.route.service} takes work",
                1.0,
            )
        site, region = self._choose_origin(call)
        nearest = selection_policies.group_by_locality(
            candidates, site, region
        )[0]
        with self._lock:
            return self._policy(
                nearest, self._endpoint_stats, time.monotonic(), self._rng
            )

    def _choose_origin(self, call: Call) -> tuple[ids.SiteName, ids.RegionName]:
        """Returns the place from which distances to upstreams count."""
        config = call.snapshot.config
        weights = config.traffic
        if not weights or not any(weights.values()):
            return config.site, config.region
        sites = list(weights)
        site = self._rng.choices(sites, [weights[s] for s in sites])[0]
        return site, config.region_by_site.get(site, config.region)

    def _attempt(self, call: Call, endpoint: endpoints.Endpoint) -> None:
        started_s = time.monotonic()
        with self._lock:
            self._endpoint_stats.on_started(endpoint.daemon, started_s)
        try:
            self._forward(call, endpoint)
        except errors.RequestError as exc:
            now_s = time.monotonic()
            with self._lock:
                if exc.info.not_run:
                    self._endpoint_stats.on_refused(endpoint.daemon, now_s)
                else:
                    self._endpoint_stats.on_failed(endpoint.daemon, now_s)
            raise
        except OSError:
            # The caller has gone; that says nothing of the endpoint.
            with self._lock:
                self._endpoint_stats.on_abandoned(endpoint.daemon, started_s)
            raise
        now_s = time.monotonic()
        with self._lock:
            self._endpoint_stats.on_finished(
                endpoint.daemon, now_s, now_s - started_s
            )

    def _forward(self, call: Call, endpoint: endpoints.Endpoint) -> None:
        left_s = headers.left_s(call.deadline_s)
        if left_s <= 0:
            raise errors.RequestError(
                errors.Code.DEADLINE_PASSED, "the deadline has passed"
            )
        request_headers = headers.for_ingress(
            call.exchange,
            left_s,
            call.snapshot.version.number,
            call.expires_ms,
            headers.hop(call.route.service, self._shared.identity.key),
        )
        request_headers[headers.SUSPICION] = self._guard.suspicion_header(
            call.fingerprint
        )
        if call.streams_body:
            request_headers[headers.AWAIT] = headers.AWAIT_ADMISSION
        lease = self._pools.acquire(endpoint.address, not call.idempotent)
        resp = None
        try:
            resp = lease.send(
                call.exchange.method,
                call.exchange.path,
                request_headers,
                call.pieces() if call.streams_body else call.body or None,
                min(body_progress.SILENCE_TIMEOUT_S, left_s + 0.25),
                await_continue=call.streams_body,
                stream_timeout_s=body_progress.SILENCE_TIMEOUT_S,
                source=call.exchange.body if call.streams_body else None,
            )
            self._guard.record_suspicion(resp.headers)
            error_responses.raise_reported(resp)
            http_clients.relay_response(
                call.exchange, resp, headers.for_caller(resp.headers)
            )
        except http_clients.NotSentError as exc:
            raise errors.RequestError(
                errors.Code.PEER_UNAVAILABLE, str(exc), 1.0
            ) from exc
        except errors.BuckthornError as exc:
            # Without an answer the request is sent in part only, and the
            # connection can't be used again.
            if exc.info.not_run and resp is not None:
                lease.release()
            else:
                lease.discard()
            raise
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            lease.discard()
            if isinstance(exc, OSError) and call.exchange.started:
                # The caller has gone, or does not read its answer.
                raise
            timed_out = isinstance(exc, TimeoutError)
            raise errors.RequestError(
                errors.Code.UPSTREAM_SILENT
                if timed_out
                else errors.Code.UPSTREAM_FAILED,
                f"{endpoint.address}: {exc}",
            ) from exc
        lease.release()
        self._guard.complete(call.fingerprint)
