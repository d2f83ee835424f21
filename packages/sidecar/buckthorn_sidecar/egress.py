"""Routes, load-balances and retries the requests of local callers."""

import asyncio
from collections.abc import Iterator
import itertools
import math
import random
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_core import attempt_outcomes
from buckthorn_core import caller_ages
from buckthorn_core import cap_borrowing
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import failed_attempts
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import response_sizes
from buckthorn_core import retry_quotas
from buckthorn_core import virtual_hosts
from buckthorn_core import workspace_keys
from buckthorn_sidecar import caps
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import settings
from buckthorn_sidecar import suspicions
from buckthorn_sidecar import trial_routing

# Added to the request deadline so that the timeout response of the daemon
# beside the upstream, which expires first, still arrives; in seconds.
HOP_SLACK_S = 0.2
# Retry-After of requests that come too late before a stop; another daemon takes
# them at once.
STOPPING_RETRY_S = 0.1
# Upper limit of Retry-After, as a fraction of the caller's remaining time.
MAX_RETRY_AFTER_FRACTION = 0.3
# Retry-After when no better estimate is known, and its lower limit, in
# seconds.
RETRY_AFTER_S = 0.3
MIN_RETRY_AFTER_S = 0.02
# Refusals by daemons before a request fails: each one costs a round trip.
MAX_REFUSALS = 4
# A 5xx response is retried on another upstream only while more time than this
# fraction of the route's target latency remains.
MIN_RETRY_TIME_FRACTION = 0.25
# Timeout of an outcome query, and the pause before the next one.
OUTCOME_QUERY_TIMEOUT_S = 1.0
OUTCOME_QUERY_INTERVAL_S = 0.1

_logger = loguru.logger.bind(module=__name__)


class Attempt(NamedTuple):
    """One attempt to serve a request, as it is logged.

    Attributes:
        daemon: The daemon that the attempt was sent to.
        outcome: HTTP status of the response, or code of the error.
        reason: Error message of the other daemon; empty on success.
        seconds: Duration of the attempt.
        load: The reported load on which the choice of the daemon was based.
        load_age_s: Age of that load report, in seconds.
    """

    daemon: ids.DaemonId
    outcome: str
    reason: str
    seconds: float
    load: load_balancing.LoadReport
    load_age_s: float

    def __str__(self) -> str:
        load = self.load
        age_s = min(99.0, self.load_age_s)
        text = (
            f"{self.daemon}:{self.outcome}:{self.seconds:.3f}s"
            f":{load.running}+{load.waiting}/{load.slots}@{age_s:.2f}s"
        )
        return f"{text} ({self.reason})" if self.reason else text


class RequestContext:
    """State of a caller's request across all its attempts.

    Times are on the event loop's monotonic clock.

    Attributes:
        req: The HTTP request.
        metadata: What the caller's headers state.
        route: The matched route, of the version at the start of the request.
        service: The service that runs the request.
        workspace: The caller's workspace; None if it has none.
        fingerprint: Digest by which the request is known when it comes again.
        started_s: When the request was received, in seconds.
        deadline_s: When the final response is due, in seconds.
        age_s: Estimated time since the caller first sent the request, in
            seconds.
        target_at_s: When the route's target latency is exceeded, in seconds.
        caller_deadline_s: When the caller stops waiting, in seconds.
        version: The configuration version at the start of the request.
        arrivals: Number of attempts that reached an upstream.
        failed_attempts: Combined outcome of the failed attempts.
        retry_reserved: Whether a retry was acquired from the retry quota and
            not yet used.
        region_full: Whether an upstream of this region refused the request
            because all its slots were taken.
        limited: Whether an upstream's limit kept the request from running.
        room_after_s: When the first of the full upstreams expects to have room,
            in seconds after its refusal.
        tried_daemons: Daemons that are not chosen again.
        attempts: The attempts so far, for the log.
        token: Token of the workspace's rate limit; None without one.
    """

    def __init__(
        self,
        req: http1.Request,
        metadata: interfaces.RequestMetadata,
        route: virtual_hosts.HostRoute,
        service: ids.ServiceName,
        now_s: float,
        age_s: float,
        workspace: workspace_keys.Workspace | None = None,
    ):
        self.req = req
        self.metadata = metadata
        self.route = route
        self.service = service
        self.workspace = workspace
        self.fingerprint = suspicions.fingerprint(service, metadata.host, req)
        self.started_s = now_s
        left_s = route.timeout_s
        if metadata.left_s is not None:
            left_s = min(left_s, metadata.left_s)
        self.deadline_s = now_s + left_s
        self.age_s = age_s
        self.target_at_s = now_s + route.target_s - age_s
        self.caller_deadline_s = now_s + (metadata.left_s or route.timeout_s)
        self.version = 0
        self.arrivals = 0
        self.failed_attempts = failed_attempts.FailedAttempts()
        self.retry_reserved = False
        self.region_full = False
        self.limited = False
        self.room_after_s = math.inf
        self.tried_daemons: set[ids.DaemonId] = set()
        self.attempts: list[Attempt] = []
        self.token: cap_borrowing.Token | None = None

    def add_refusal(self, result: frames.Failure) -> None:
        """Records when an upstream without room expects to have some."""
        if result.code is not errors.Code.SLOTS_FULL:
            return
        notice = result.load.notice
        self.limited |= notice is not None and notice.limit_per_s is not None
        self.room_after_s = min(
            self.room_after_s, result.retry_after_s or RETRY_AFTER_S
        )


class Egress:
    """Sends callers' requests to the daemons beside the upstreams.

    Attributes:
        links: Connections to other daemons.
        newest_peer_version: The newest configuration version that another
            daemon reported.
        newest_peer: The daemon that reported it last.
        stops_at_s: When this daemon stops, in seconds on the event loop's
            monotonic clock. A request that may take longer is refused.
        caps: Rate limits of workspaces; None for none.
        trial_routing: Routes requests of services whose new version is on
            trial.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        mesh_headers: interfaces.MeshHeaders,
        local: ingress.Ingress,
        holder: virtual_hosts.VersionHolder,
        directory: directories.Directory,
        meter: metrics.Metrics,
    ):
        self._cfg = cfg
        self._mesh_headers = mesh_headers
        self._local = local
        self._holder = holder
        self._directory = directory
        self._meter = meter
        self._rng = random.Random()
        self._load_balancer = load_balancing.LoadBalancer(
            load_balancing.Origin(cfg.daemon, cfg.site, cfg.region), self._rng
        )
        self._suspicions = local.suspicions
        self.links = links.LinkPool(
            self._on_report,
            self._on_unresponsive,
            local.suspicions,
            self._health_path,
            local.bodies,
        )
        self._response_sizes = response_sizes.ResponseSizes()
        self._service_selector = virtual_hosts.WeightedRoundRobin()
        self._caller_ages = caller_ages.CallerAges()
        self._retry_quotas = retry_quotas.RetryQuotas(
            cfg.retry_ratio, cfg.retry_constant, cfg.retry_window_s
        )
        sender = f"{cfg.daemon}/{self._rng.getrandbits(48):x}"
        self._attempt_ids = (
            attempt_outcomes.attempt_id(sender, n) for n in itertools.count()
        )
        self.trial_routing = trial_routing.Routing(
            directory, self._load_balancer, cfg, meter, self._rng
        )
        self.newest_peer_version = 0
        self.newest_peer: ids.DaemonId | None = None
        self.stops_at_s = math.inf
        self.caps: caps.Caps | None = None

    def remove(self, daemon: ids.DaemonId) -> None:
        """Drops the state and the link of a daemon that was removed."""
        self._load_balancer.remove(daemon)
        self.links.remove(daemon)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Drops the state of all routes except the given ones."""
        self._service_selector.keep_only(routes)
        self._caller_ages.keep_only(routes)
        self._response_sizes.keep_only(routes)

    def _health_path(self, service: ids.ServiceName) -> str:
        version = self._holder.current
        paths = {} if version is None else version.health_paths
        return paths.get(service, "")

    def _on_report(
        self,
        to: directories.Registration,
        frame: frames.LoadFrame,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        with_response = isinstance(frame, frames.Response)
        if self._load_balancer.on_report(to, frame.load, now_s, with_response):
            _logger.info("daemon_reachable", daemon=to.daemon)
        if frame.version >= self.newest_peer_version:
            self.newest_peer_version = frame.version
            self.newest_peer = to.daemon

    def _on_unresponsive(self, to: directories.Registration) -> None:
        self._mark_unreachable(to, "no data received on the link")

    def _mark_unreachable(
        self, to: directories.Registration, reason: str
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._load_balancer.on_unreachable(to, now_s):
            _logger.warning(
                "daemon_unreachable", daemon=to.daemon, reason=reason
            )

    async def handle(self, req: http1.Request) -> http1.Response:
        """Returns the response to a caller's request.

        Raises:
            errors.RequestError: The request was refused or failed.
        """
        loop = asyncio.get_running_loop()
        metadata = self._mesh_headers.read_request(req)
        if self._holder.current is None:
            raise errors.RequestError(
                errors.Code.NOT_READY,
                "the configuration is not known yet",
                RETRY_AFTER_S,
            )
        route = self._holder.match(metadata.host, req.target)
        if route is None:
            self._meter.count(
                "buckthorn_request_errors", service="none", code="no_route"
            )
            _logger.info(
                "no_route",
                request=metadata.request_id,
                host=metadata.host,
                path=req.target,
                version=self._holder.number,
            )
            raise errors.RequestError(
                errors.Code.NO_ROUTE, f"{metadata.host}{req.target}"
            )
        workspace = self._find_workspace(metadata, route)
        service = self._service_selector.next_service(route)
        now_s = loop.time()
        age_s = 0.0
        if metadata.left_s is not None:
            age_s = self._caller_ages.age_s(route.name, metadata.left_s, now_s)
        ctx = RequestContext(
            req, metadata, route, service, now_s, age_s, workspace
        )
        ctx.version = self._holder.number
        self._retry_quotas.add_request(service, loop.time())
        outcome = "caller_gone"
        try:
            self._suspicions.check(ctx.fingerprint)
            self._check_time_to_stop(ctx)
            await self._take_token(ctx)
            response = await self._serve(ctx)
            outcome = str(response.status)
            return response
        except errors.RequestError as exc:
            outcome = exc.code.value
            self._caller_ages.on_refused(route.name, loop.time())
            if self.caps is not None and exc.info.not_run:
                self.caps.give_back(ctx.token)
            raise
        finally:
            self._record_outcome(ctx, outcome, loop.time())

    def _find_workspace(
        self,
        metadata: interfaces.RequestMetadata,
        route: virtual_hosts.HostRoute,
    ) -> workspace_keys.Workspace | None:
        """Returns the caller's workspace; None if it has none.

        Raises:
            errors.RequestError: The caller's key is not in force.
        """
        try:
            return self._holder.find_workspace(route, metadata.authorization)
        except errors.RequestError:
            self._meter.count(
                "buckthorn_request_errors", service="none", code="unauthorized"
            )
            _logger.info(
                "key_refused",
                request=metadata.request_id,
                route=route.name,
                version=self._holder.number,
            )
            raise

    async def _take_token(self, ctx: RequestContext) -> None:
        """Takes a token of the workspace's rate limit, if it has one.

        Raises:
            errors.RequestError: The rate limit is reached; nothing has run.
        """
        if self.caps is not None and ctx.workspace is not None:
            ctx.token = await self.caps.acquire(
                ctx.workspace, self._time_left_s(ctx)
            )

    async def _has_token_for_retry(
        self, ctx: RequestContext, ran: bool = True
    ) -> bool:
        """Returns whether the rate limit allows another attempt.

        Args:
            ctx: The request.
            ran: Whether the previous attempt may have run, with its token.
        """
        if ran:
            try:
                await self._take_token(ctx)
            except errors.RequestError:
                return False
        return True

    def _check_time_to_stop(self, ctx: RequestContext) -> None:
        """Refuses a request that this daemon may not live to answer.

        Raises:
            errors.RequestError: The daemon stops before the request's deadline.
        """
        if ctx.deadline_s + HOP_SLACK_S > self.stops_at_s:
            raise errors.RequestError(
                errors.Code.DRAINING,
                "this daemon stops before the request's deadline",
                STOPPING_RETRY_S,
            )

    def _record_outcome(
        self, ctx: RequestContext, outcome: str, now_s: float
    ) -> None:
        seconds = now_s - ctx.started_s
        self._meter.record("buckthorn_request", seconds, service=ctx.service)
        succeeded = outcome.startswith("2")
        if not succeeded:
            self._meter.count(
                "buckthorn_request_errors", service=ctx.service, code=outcome
            )
        if succeeded and len(ctx.attempts) == 1:
            return
        _logger.info(
            "request",
            request=ctx.metadata.request_id,
            route=ctx.route.name,
            service=ctx.service,
            version=ctx.version,
            outcome=outcome,
            seconds=round(seconds, 3),
            left_s=ctx.metadata.left_s,
            age_s=round(ctx.age_s, 3),
            tries=[str(t) for t in ctx.attempts],
        )

    async def _serve(self, ctx: RequestContext) -> http1.Response:
        try:
            limit_s = ctx.deadline_s + HOP_SLACK_S
            async with asyncio.timeout_at(limit_s):
                return await self._send_with_retries(ctx)
        except TimeoutError as exc:
            raise errors.RequestError(
                errors.Code.TIMED_OUT, "no answer in time"
            ) from exc

    async def _send_with_retries(self, ctx: RequestContext) -> http1.Response:
        refusals = 0
        failed: http1.Response | None = None
        refused: frames.Failure | None = None
        while True:
            to = self._choose(ctx)
            if to is None:
                if failed is not None:
                    return failed
                raise self._final_error(ctx, refused)
            result = await self._send_attempt(ctx, to)
            if isinstance(result, frames.Response):
                if self._suspicions.get(ctx.fingerprint).crashes:
                    self._suspicions.complete(ctx.fingerprint)
                ctx.arrivals += 1
                failed = _to_http_response(result)
                if not (
                    self._should_retry_response(ctx, result.status)
                    and await self._has_token_for_retry(ctx)
                ):
                    return failed
            else:
                ctx.arrivals += result.arrived
                if result.suspicion is not None:
                    self._suspicions.merge([result.suspicion])
                ctx.failed_attempts.add(_to_error(result))
                ctx.region_full |= self._is_full_in_region(to, result)
                ctx.add_refusal(result)
                refused = result
                refusals += 1
                ran = not errors.CODE_INFO[result.code].not_run
                if not (
                    self._should_retry_failure(ctx, result, refusals)
                    and await self._has_token_for_retry(ctx, ran)
                ):
                    # An upstream's 5xx response is more informative to the
                    # caller than a daemon's refusal.
                    if failed is not None:
                        return failed
                    raise self._final_error(ctx, result)

    def _is_full_in_region(
        self, to: directories.Registration, result: frames.Failure
    ) -> bool:
        return (
            result.code is errors.Code.SLOTS_FULL
            and to.region == self._cfg.region
        )

    def _should_retry_response(self, ctx: RequestContext, status: int) -> bool:
        """Returns whether a response is discarded for another attempt."""
        return (
            status >= 500
            and ctx.route.idempotent
            and self._has_candidate(ctx)
            and self._time_left_s(ctx)
            > ctx.route.target_s * MIN_RETRY_TIME_FRACTION
            and self._acquire_retry(ctx, ran=True)
        )

    def _should_retry_failure(
        self, ctx: RequestContext, result: frames.Failure, refusals: int
    ) -> bool:
        """Returns whether a request without a response is sent again."""
        not_run = errors.CODE_INFO[result.code].not_run
        if not not_run and not ctx.route.idempotent:
            return False
        if self._suspicions.is_quarantined(ctx.fingerprint):
            return False
        if refusals > MAX_REFUSALS or not self._has_candidate(ctx):
            return False
        return not result.arrived or self._acquire_retry(ctx, not not_run)

    def _acquire_retry(self, ctx: RequestContext, ran: bool) -> bool:
        if ctx.arrivals >= ctx.route.attempts:
            return False
        if ctx.retry_reserved:
            ctx.retry_reserved = False
            return True
        return self._acquire_from_quota(ctx, ran)

    def _acquire_from_quota(self, ctx: RequestContext, ran: bool) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._retry_quotas.try_acquire(
            ctx.service, now_s, len(self._directory), ran
        )

    def _time_left_s(self, ctx: RequestContext) -> float:
        return ctx.deadline_s - asyncio.get_running_loop().time()

    def _has_candidate(self, ctx: RequestContext) -> bool:
        return self._time_left_s(ctx) > 0 and any(self._candidates(ctx))

    def _candidates(
        self, ctx: RequestContext
    ) -> Iterator[directories.Registration]:
        for registration in self._directory.for_service(ctx.service):
            if registration.daemon not in ctx.tried_daemons:
                yield registration

    def _choose(self, ctx: RequestContext) -> directories.Registration | None:
        now_s = asyncio.get_running_loop().time()
        local_registration = self._directory.get(self._cfg.daemon)
        if (
            local_registration is not None
            and local_registration.service == ctx.service
        ):
            self._load_balancer.on_report(
                local_registration, self._local.load(), now_s
            )
        choice = load_balancing.Selection(None)
        for candidates in self.trial_routing.groups(
            ctx.service,
            ctx.route.name,
            list(self._candidates(ctx)),
            not ctx.attempts,
        ):
            choice = self._load_balancer.choose(
                candidates,
                now_s,
                ctx.route.target_s,
                ctx.target_at_s - now_s,
                ctx.region_full,
            )
            if choice.to is not None:
                break
        for registration in choice.probes:
            self.links.get_or_create(registration).request_load_report(now_s)
        to = choice.to
        if to is None:
            return None
        ctx.tried_daemons.add(to.daemon)
        return to

    async def _send_attempt(
        self, ctx: RequestContext, to: directories.Registration
    ) -> frames.Response | frames.Failure:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        status = self._load_balancer.status_of(to)
        load, load_age_s = status.load, started_s - status.reported_s
        self._load_balancer.on_sent(to)
        outcome, reason = "cancelled", ""
        observed = self.trial_routing.begin(ctx.service, ctx.route, to)
        result = None
        try:
            result = await self._send(ctx, to)
            if isinstance(result, frames.Response):
                outcome = str(result.status)
                self._response_sizes.add(ctx.route.name, len(result.body))
            else:
                outcome, reason = result.code.value, result.message
            self._update_load_balancer(to, result)
            return result
        finally:
            if observed is not None:
                observed.end(result, loop.time() - started_s)
            ctx.attempts.append(
                Attempt(
                    to.daemon,
                    outcome,
                    reason,
                    loop.time() - started_s,
                    load,
                    load_age_s,
                )
            )

    def _update_load_balancer(
        self,
        to: directories.Registration,
        result: frames.Response | frames.Failure,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if isinstance(result, frames.Response):
            self._load_balancer.on_answered(to, result.status >= 500)
        elif result.arrived:
            self._load_balancer.on_answered(to, True)
        elif result.code is errors.Code.PEER_UNAVAILABLE:
            self._mark_unreachable(to, result.message)
        else:
            self._load_balancer.on_refused(to, now_s)

    async def _send(
        self, ctx: RequestContext, to: directories.Registration
    ) -> frames.Response | frames.Failure:
        now_s = asyncio.get_running_loop().time()
        route, req = ctx.route, ctx.req
        frame = frames.Request(
            next(self._attempt_ids),
            ctx.metadata.request_id,
            ctx.service,
            self._cfg.service,
            route.name,
            route.idempotent,
            route.priority,
            ctx.caller_deadline_s - now_s,
            ctx.target_at_s - now_s,
            ctx.deadline_s - now_s,
            route.target_s,
            req.method,
            req.target,
            self._forwarded_headers(req),
            req.body,
            self._load_balancer.status_of(to).notice,
            self._suspicions.get(ctx.fingerprint),
            self._workspace_name(ctx),
            None if ctx.workspace is None else ctx.workspace.priority,
        )
        if to.daemon == self._cfg.daemon:
            return await self._send_local(frame)
        link = self.links.get_or_create(to)
        wait_s = links.CONNECT_TIMEOUT_S
        if any(self._candidates(ctx)):
            wait_s = links.REQUEST_CONNECT_TIMEOUT_S
        try:
            return _result(
                await link.call(frame, wait_s, lambda: self._may_reroute(ctx))
            )
        except links.LinkUnresponsiveError as exc:
            return _failure(
                frame.attempt, errors.Code.UPSTREAM_SILENT, str(exc), True
            )
        except links.NotSentError as exc:
            return _failure(
                frame.attempt, errors.Code.PEER_UNAVAILABLE, str(exc), False
            )
        except links.LinkLostError as exc:
            _logger.warning(
                "link_lost",
                daemon=to.daemon,
                request=ctx.metadata.request_id,
                error=str(exc),
            )
            return await self._query_outcome(ctx, link, frame.attempt)

    def _forwarded_headers(self, req: http1.Request) -> http1.Headers:
        """Returns the end-to-end headers, without the key of a workspace."""
        headers = http1.end_to_end(req.headers)
        if not self._holder.has_workspaces:
            return headers
        return [(k, v) for k, v in headers if k.lower() != "authorization"]

    def _workspace_name(self, ctx: RequestContext) -> ids.WorkspaceName | None:
        if ctx.workspace is not None:
            return ctx.workspace.name
        return ids.WorkspaceName("") if self._holder.has_workspaces else None

    def _may_reroute(self, ctx: RequestContext) -> bool:
        """Returns whether to retry a request whose link is unresponsive.

        The request may run twice, as it may after a lost connection, so only
        idempotent requests are rerouted, and each uses up a retry. Without
        retry quota the request keeps waiting.
        """
        if (
            not ctx.route.idempotent
            or ctx.arrivals + 1 >= ctx.route.attempts
            or not self._has_candidate(ctx)
        ):
            return False
        ctx.retry_reserved = self._acquire_from_quota(ctx, ran=True)
        return ctx.retry_reserved

    async def _send_local(
        self, frame: frames.Request
    ) -> frames.Response | frames.Failure:
        fut = self._local.submit(frame, keeps_outcome=False)
        try:
            return _result(await asyncio.shield(fut))
        except asyncio.CancelledError:
            self._local.cancel(frame.attempt)
            raise

    async def _query_outcome(
        self, ctx: RequestContext, link: links.Link, attempt: str
    ) -> frames.Response | frames.Failure:
        """Queries the outcome of a request whose connection was lost.

        An idempotent request fails at once, and may be retried, if the daemon
        doesn't respond. For any other request the query is repeated until its
        deadline.
        """
        boot_id = link.boot_id
        while True:
            try:
                async with asyncio.timeout(OUTCOME_QUERY_TIMEOUT_S):
                    return _result(
                        await link.call(frames.OutcomeQuery(attempt, boot_id))
                    )
            except (
                TimeoutError,
                links.NotSentError,
                links.LinkLostError,
            ) as exc:
                # A refused connection means that the process which knew the
                # outcome has exited.
                gone = isinstance(exc, links.NotSentError) and exc.refused
                if ctx.route.idempotent or gone:
                    return _failure(
                        attempt, errors.Code.UPSTREAM_SILENT, str(exc), True
                    )
                await asyncio.sleep(OUTCOME_QUERY_INTERVAL_S)

    def _final_error(
        self, ctx: RequestContext, result: frames.Failure | None
    ) -> errors.RequestError:
        if result is None:
            return errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"no instance of {ctx.service} takes work",
                self._retry_after_s(ctx, RETRY_AFTER_S),
            )
        exc = _to_error(result)
        if ctx.failed_attempts.final_error(exc) is not exc:
            # An earlier attempt may have run on an upstream.
            return errors.RequestError(errors.Code.UPSTREAM_FAILED, exc.message)
        if ctx.limited:
            # A limit may leave no room until after the caller's deadline; the
            # caller is told so, rather than to come back in vain.
            exc.retry_after_s = max(MIN_RETRY_AFTER_S, ctx.room_after_s)
        else:
            exc.retry_after_s = self._retry_after_s(
                ctx, result.retry_after_s or RETRY_AFTER_S
            )
        return exc

    def _retry_after_s(self, ctx: RequestContext, base_delay_s: float) -> float:
        """Returns the Retry-After delay for the caller, in seconds.

        The delay is jittered, since callers that retry at the same moment
        would find the same full queue.
        """
        now_s = asyncio.get_running_loop().time()
        max_delay_s = (ctx.caller_deadline_s - now_s) * MAX_RETRY_AFTER_FRACTION
        jittered_s = base_delay_s * (0.5 + self._rng.random())
        return max(MIN_RETRY_AFTER_S, min(max_delay_s, jittered_s))


def _to_http_response(frame: frames.Response) -> http1.Response:
    response = http1.Response()
    response.status = frame.status
    response.headers = list(frame.headers)
    response.body = frame.body
    return response


def _result(frame: frames.Frame) -> frames.Response | frames.Failure:
    if isinstance(frame, frames.Response | frames.Failure):
        return frame
    raise errors.RequestError(
        errors.Code.BAD_MESSAGE, f"{type(frame).__name__} is no result"
    )


def _failure(
    attempt: str, code: errors.Code, message: str, arrived: bool
) -> frames.Failure:
    unknown = load_balancing.LoadReport(0, 0, 0, 0.0)
    return frames.Failure(
        attempt, code, message, RETRY_AFTER_S, arrived, unknown, 0
    )


def _to_error(result: frames.Failure) -> errors.RequestError:
    return errors.RequestError(
        result.code, result.message, result.retry_after_s
    )
