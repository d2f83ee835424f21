"""Requests of callers on this host: route, choice of a daemon, retries."""

import asyncio
from collections.abc import Iterator
import itertools
import random
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_core import attempt_outcomes
from buckthorn_core import caller_ages
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import failed_attempts
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import retry_quotas
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import settings

# The daemon beside the upstream gives up first; its answer needs this long.
HOP_SLACK_S = 0.2
# Retry-After may take at most a third of what the caller has left.
RETURN_SHARE = 0.3
RETRY_AFTER_S = 0.3
MIN_RETRY_AFTER_S = 0.02
# How often a request may be refused by daemons before it is given up: each
# refusal takes a round trip.
MAX_REFUSALS = 4
# An upstream's failure is tried on another one while this share of the
# route's target is left.
LAST_TRY_SHARE = 0.25
# How long an answer to `Ask` is waited for, and the pause before the next.
ASK_TIMEOUT_S = 1.0
ASK_PAUSE_S = 0.1

_logger = loguru.logger.bind(module=__name__)


class Try(NamedTuple):
    """One try of a request, for the log.

    Attributes:
        daemon: Where it was sent.
        outcome: Status of the answer, or code of the error.
        reason: What the other daemon says of the error.
        seconds: How long it took.
        load: The load by which the daemon was chosen.
        load_age_s: Age of that report, in seconds.
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


class Call:
    """A request of a caller on its way.

    Attributes:
        route: Its route in the version that it started with.
        service: The service that runs it.
        finish_by_s: When it gets its final answer at the latest.
        age_s: How long its caller is taken to have waited before.
        target_at_s: Until then an answer has its full value.
        version: The configuration version that it started with.
        arrivals: Upstreams that it has reached.
        failed_tries: What its failed tries add up to.
        has_retry: Whether a retry was taken from the share and not yet used.
        region_full: Whether a full upstream of this region refused it.
        tries: What happened so far.
    """

    def __init__(
        self,
        req: http1.Request,
        says: interfaces.CallerRequest,
        route: virtual_hosts.HostRoute,
        service: ids.ServiceName,
        now_s: float,
        age_s: float,
    ):
        self.req = req
        self.says = says
        self.route = route
        self.service = service
        self.started_s = now_s
        left_s = route.timeout_s
        if says.left_s is not None:
            left_s = min(left_s, says.left_s)
        self.finish_by_s = now_s + left_s
        self.age_s = age_s
        self.target_at_s = now_s + route.target_s - age_s
        self.caller_until_s = now_s + (says.left_s or route.timeout_s)
        self.version = 0
        self.arrivals = 0
        self.failed_tries = failed_attempts.FailedAttempts()
        self.has_retry = False
        self.region_full = False
        self.tried: set[ids.DaemonId] = set()
        self.tries: list[Try] = []


class Egress:
    """Sends callers' requests to daemons beside upstreams."""

    def __init__(
        self,
        cfg: settings.Settings,
        dialect: interfaces.Dialect,
        local: ingress.Ingress,
        holder: virtual_hosts.VersionHolder,
        directory: directories.Directory,
        meter: metrics.Metrics,
    ):
        self._cfg = cfg
        self._dialect = dialect
        self._local = local
        self._holder = holder
        self._directory = directory
        self._meter = meter
        self._rng = random.Random()
        self._load_balancer = load_balancing.LoadBalancer(
            load_balancing.Origin(cfg.daemon, cfg.site, cfg.region), self._rng
        )
        self.links = links.Links(self._on_report, self._on_quiet)
        self._dealer = virtual_hosts.WeightedRoundRobin()
        self._ages = caller_ages.CallerAges()
        self._retry_quotas = retry_quotas.RetryQuotas(
            cfg.retry_ratio, cfg.retry_constant, cfg.retry_window_s
        )
        sender = f"{cfg.daemon}/{self._rng.getrandbits(48):x}"
        self._attempt_ids = (
            attempt_outcomes.attempt_id(sender, n) for n in itertools.count()
        )
        self.heard_version = 0

    def forget(self, daemon: ids.DaemonId) -> None:
        """Forgets a daemon that is gone."""
        self._load_balancer.remove(daemon)
        self.links.forget(daemon)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Forgets routes that are gone."""
        self._dealer.keep_only(routes)
        self._ages.keep_only(routes)

    def _on_report(
        self,
        to: directories.Registration,
        frame: frames.Report,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._load_balancer.on_report(to, frame.load, now_s):
            _logger.info("daemon_reachable", daemon=to.daemon)
        self.heard_version = max(self.heard_version, frame.version)

    def _on_quiet(self, to: directories.Registration) -> None:
        self._note_unreachable(to, "the link is quiet")

    def _note_unreachable(
        self, to: directories.Registration, reason: str
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._load_balancer.on_unreachable(to, now_s):
            _logger.warning(
                "daemon_unreachable", daemon=to.daemon, reason=reason
            )

    async def handle(self, req: http1.Request) -> http1.Response:
        """Serves a request of a caller.

        Raises:
            errors.RequestError: The request is refused or has failed.
        """
        loop = asyncio.get_running_loop()
        says = self._dialect.read_request(req)
        if self._holder.current is None:
            raise errors.RequestError(
                errors.Code.NOT_READY,
                "the configuration is not known yet",
                RETRY_AFTER_S,
            )
        route = self._holder.match(says.host, req.target)
        if route is None:
            self._meter.count(
                "buckthorn_request_errors", service="none", code="no_route"
            )
            _logger.info(
                "no_route",
                request=says.request_id,
                host=says.host,
                path=req.target,
                version=self._holder.number,
            )
            raise errors.RequestError(
                errors.Code.NO_ROUTE, f"{says.host}{req.target}"
            )
        service = self._dealer.next_service(route)
        now_s = loop.time()
        age_s = 0.0
        if says.left_s is not None:
            age_s = self._ages.age_s(route.name, says.left_s, now_s)
        call = Call(req, says, route, service, now_s, age_s)
        call.version = self._holder.number
        self._retry_quotas.add_request(service, loop.time())
        outcome = "caller_gone"
        try:
            answer = await self._serve(call)
            outcome = str(answer.status)
            return answer
        except errors.RequestError as exc:
            outcome = exc.code.value
            self._ages.on_refused(route.name, loop.time())
            raise
        finally:
            self._note_end(call, outcome, loop.time())

    def _note_end(self, call: Call, outcome: str, now_s: float) -> None:
        seconds = now_s - call.started_s
        self._meter.record("buckthorn_request", seconds, service=call.service)
        good = outcome.startswith("2")
        if not good:
            self._meter.count(
                "buckthorn_request_errors", service=call.service, code=outcome
            )
        if good and len(call.tries) == 1:
            return
        _logger.info(
            "request",
            request=call.says.request_id,
            route=call.route.name,
            service=call.service,
            version=call.version,
            outcome=outcome,
            seconds=round(seconds, 3),
            left_s=call.says.left_s,
            age_s=round(call.age_s, 3),
            tries=[str(t) for t in call.tries],
        )

    async def _serve(self, call: Call) -> http1.Response:
        try:
            limit_s = call.finish_by_s + HOP_SLACK_S
            async with asyncio.timeout_at(limit_s):
                return await self._try_all(call)
        except TimeoutError as exc:
            raise errors.RequestError(
                errors.Code.TIMED_OUT, "no answer in time"
            ) from exc

    async def _try_all(self, call: Call) -> http1.Response:
        refusals = 0
        failed: http1.Response | None = None
        refused: frames.Failure | None = None
        while True:
            to = self._choose(call)
            if to is None:
                if failed is not None:
                    return failed
                raise self._final(call, refused)
            result = await self._try(call, to)
            if isinstance(result, frames.Answer):
                call.arrivals += 1
                failed = _as_answer(result)
                if not self._is_worth_another(call, result.status):
                    return failed
            else:
                call.arrivals += result.arrived
                call.failed_tries.add(_error(result))
                call.region_full |= self._is_full_here(to, result)
                refused = result
                refusals += 1
                if not self._may_try_again(call, result, refusals):
                    # An upstream's own failure says more than a refusal.
                    if failed is not None:
                        return failed
                    raise self._final(call, result)

    def _is_full_here(
        self, to: directories.Registration, result: frames.Failure
    ) -> bool:
        return (
            result.code is errors.Code.SLOTS_FULL
            and to.region == self._cfg.region
        )

    def _is_worth_another(self, call: Call, status: int) -> bool:
        """Returns whether an upstream's failure is tried on another one."""
        return (
            status >= 500
            and call.route.idempotent
            and self._has_choice(call)
            and self._time_left_s(call) > call.route.target_s * LAST_TRY_SHARE
            and self._take_retry(call, ran=True)
        )

    def _may_try_again(
        self, call: Call, result: frames.Failure, refusals: int
    ) -> bool:
        """Returns whether a request that got no answer is sent again."""
        not_run = errors.CODE_INFO[result.code].not_run
        if not not_run and not call.route.idempotent:
            return False
        if refusals > MAX_REFUSALS or not self._has_choice(call):
            return False
        return not result.arrived or self._take_retry(call, not not_run)

    def _take_retry(self, call: Call, ran: bool) -> bool:
        if call.arrivals >= call.route.attempts:
            return False
        if call.has_retry:
            call.has_retry = False
            return True
        return self._take_share(call, ran)

    def _take_share(self, call: Call, ran: bool) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self._retry_quotas.try_acquire(
            call.service, now_s, len(self._directory), ran
        )

    def _time_left_s(self, call: Call) -> float:
        return call.finish_by_s - asyncio.get_running_loop().time()

    def _has_choice(self, call: Call) -> bool:
        return self._time_left_s(call) > 0 and any(self._candidates(call))

    def _candidates(self, call: Call) -> Iterator[directories.Registration]:
        for registration in self._directory.for_service(call.service):
            if registration.daemon not in call.tried:
                yield registration

    def _choose(self, call: Call) -> directories.Registration | None:
        now_s = asyncio.get_running_loop().time()
        own = self._directory.get(self._cfg.daemon)
        if own is not None and own.service == call.service:
            self._load_balancer.on_report(own, self._local.load(), now_s)
        choice = self._load_balancer.choose(
            list(self._candidates(call)),
            now_s,
            call.route.target_s,
            call.target_at_s - now_s,
            call.region_full,
        )
        for registration in choice.probes:
            self.links.to(registration).ask_report(now_s)
        to = choice.to
        if to is None:
            return None
        call.tried.add(to.daemon)
        return to

    async def _try(
        self, call: Call, to: directories.Registration
    ) -> frames.Answer | frames.Failure:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        seen = self._load_balancer.status_of(to)
        load, load_age_s = seen.load, started_s - seen.reported_s
        self._load_balancer.on_sent(to)
        outcome, reason = "cancelled", ""
        try:
            result = await self._send(call, to)
            if isinstance(result, frames.Answer):
                outcome = str(result.status)
            else:
                outcome, reason = result.code.value, result.message
            self._learn(to, result)
            return result
        finally:
            call.tries.append(
                Try(
                    to.daemon,
                    outcome,
                    reason,
                    loop.time() - started_s,
                    load,
                    load_age_s,
                )
            )

    def _learn(
        self,
        to: directories.Registration,
        result: frames.Answer | frames.Failure,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if isinstance(result, frames.Answer):
            self._load_balancer.on_answered(to, result.status >= 500)
        elif result.arrived:
            self._load_balancer.on_answered(to, True)
        elif result.code is errors.Code.PEER_UNAVAILABLE:
            self._note_unreachable(to, result.message)
        else:
            self._load_balancer.on_refused(to, now_s)

    async def _send(
        self, call: Call, to: directories.Registration
    ) -> frames.Answer | frames.Failure:
        now_s = asyncio.get_running_loop().time()
        route, req = call.route, call.req
        frame = frames.Request(
            next(self._attempt_ids),
            call.says.request_id,
            call.service,
            self._cfg.service,
            route.name,
            route.idempotent,
            route.priority,
            call.caller_until_s - now_s,
            call.target_at_s - now_s,
            call.finish_by_s - now_s,
            route.target_s,
            req.method,
            req.target,
            http1.end_to_end(req.headers),
            req.body,
        )
        if to.daemon == self._cfg.daemon:
            return await self._send_local(frame)
        link = self.links.to(to)
        wait_s = links.CONNECT_TIMEOUT_S
        if any(self._candidates(call)):
            wait_s = links.CONNECT_WAIT_S
        try:
            return _result(
                await link.call(frame, wait_s, lambda: self._may_move(call))
            )
        except links.LinkQuietError as exc:
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
                request=call.says.request_id,
                error=str(exc),
            )
            return await self._ask(call, link, frame.attempt)

    def _may_move(self, call: Call) -> bool:
        """Returns whether a request leaves a daemon that has gone quiet.

        It may run twice, as after a lost link, only sooner. Without a retry in
        the share it waits on.
        """
        if (
            not call.route.idempotent
            or call.arrivals + 1 >= call.route.attempts
            or not self._has_choice(call)
        ):
            return False
        call.has_retry = self._take_share(call, ran=True)
        return call.has_retry

    async def _send_local(
        self, frame: frames.Request
    ) -> frames.Answer | frames.Failure:
        fut = self._local.submit(frame)
        try:
            return _result(await asyncio.shield(fut))
        except asyncio.CancelledError:
            self._local.cancel(frame.attempt)
            raise

    async def _ask(
        self, call: Call, link: links.Link, attempt: str
    ) -> frames.Answer | frames.Failure:
        """Asks what became of a request whose connection broke.

        A request that may run again isn't held up by a daemon that does not
        answer; any other one is asked for until its time is over.
        """
        boot = link.boot
        while True:
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    return _result(await link.call(frames.Ask(attempt, boot)))
            except (
                TimeoutError,
                links.NotSentError,
                links.LinkLostError,
            ) as exc:
                # A host where nobody listens has lost the process that knew.
                gone = isinstance(exc, links.NotSentError) and exc.refused
                if call.route.idempotent or gone:
                    return _failure(
                        attempt, errors.Code.UPSTREAM_SILENT, str(exc), True
                    )
                await asyncio.sleep(ASK_PAUSE_S)

    def _final(
        self, call: Call, result: frames.Failure | None
    ) -> errors.RequestError:
        if result is None:
            return errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"no instance of {call.service} takes work",
                self._retry_after_s(call, RETRY_AFTER_S),
            )
        exc = _error(result)
        if call.failed_tries.final_error(exc) is not exc:
            # An earlier try may have run.
            return errors.RequestError(errors.Code.UPSTREAM_FAILED, exc.message)
        exc.retry_after_s = self._retry_after_s(
            call, result.retry_after_s or RETRY_AFTER_S
        )
        return exc

    def _retry_after_s(self, call: Call, wanted_s: float) -> float:
        """Returns when the caller should come back, in seconds.

        Callers that come back together would meet the same full queue, so
        their return is spread over the time in which room is expected.
        """
        now_s = asyncio.get_running_loop().time()
        most_s = (call.caller_until_s - now_s) * RETURN_SHARE
        spread_s = wanted_s * (0.5 + self._rng.random())
        return max(MIN_RETRY_AFTER_S, min(most_s, spread_s))


def _as_answer(frame: frames.Answer) -> http1.Response:
    answer = http1.Response()
    answer.status = frame.status
    answer.headers = list(frame.headers)
    answer.body = frame.body
    return answer


def _result(frame: frames.Frame) -> frames.Answer | frames.Failure:
    if isinstance(frame, frames.Answer | frames.Failure):
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


def _error(result: frames.Failure) -> errors.RequestError:
    return errors.RequestError(
        result.code, result.message, result.retry_after_s
    )
