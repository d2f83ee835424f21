"""Admission control and execution of requests for the local upstream.

Only the ingress knows the current lifetime, state and slots of the upstream.
It refuses requests that a leaving, dead, replaced or full upstream would not
run, before they reach the upstream; the sending daemon then retries them on
another one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import math
import time
import uuid

import loguru

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_core import attempt_outcomes
from buckthorn_core import byte_budgets
from buckthorn_core import call_routes
from buckthorn_core import circuit_breakers
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import lifetimes
from buckthorn_core import link_schedules
from buckthorn_core import load_balancing
from buckthorn_core import slot_queues
from buckthorn_core import stated_limits
from buckthorn_sidecar import body_pieces
from buckthorn_sidecar import crashes
from buckthorn_sidecar import frames
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import settings
from buckthorn_sidecar import suspicions
from buckthorn_sidecar import upstream_pools

# The upstream responds at the request's deadline at the latest; the request
# fails if the response is missing this long after the deadline, in seconds.
RESPONSE_SLACK_S = 0.1
HEALTH_CHECK_TIMEOUT_S = 0.3
# Retry-After of refusals that have no relation to the load, in seconds: by
# then another daemon can serve the request.
REFUSAL_RETRY_AFTER_S = 0.1
# Part of the time left that a request under suspicion waits for another one;
# in the rest it can still run elsewhere.
SUSPECT_WAIT_FRACTION = 0.5
# Callers treat these statuses as a guarantee that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_GATEWAY_TIMEOUT = 504

_logger = loguru.logger.bind(module=__name__)


class Ingress:
    """Admits requests and runs them on the upstream beside this daemon.

    Attributes:
        queue: The upstream's slots and the requests that wait for them.
        lifetimes: The upstream's current lifetime and state.
        health_path_known: Set once the path of the upstream's health check is
            known, from the configuration or from another daemon.
        version: The configuration version in force, for load reports.
        bodies: Long bodies that other daemons send and receive.
        boot_id: Unique id of this process, prefixed with the daemon's id.
        suspicions: What this daemon knows of requests that crash upstreams.
        on_admission_change: Called when admission opens or closes.
        on_upstream_closed: Called when the upstream is leaving according to
            its responses or another daemon.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        mesh_headers: interfaces.MeshHeaders,
        meter: metrics.Metrics,
        body_budget: byte_budgets.ByteBudget,
    ):
        self._cfg = cfg
        self._mesh_headers = mesh_headers
        self._meter = meter
        self._pool = upstream_pools.UpstreamPool(mesh_headers, body_budget)
        self._pool.set_address(cfg.upstream_address)
        self.bodies = body_pieces.HostBodies(
            cfg.region, cfg.link_mbps, body_budget, meter
        )
        self.bodies.make_room = self._drop_long_outcomes
        self._body_budget = body_budget
        # Attempts whose long responses are kept for outcome queries, in order.
        self._long_outcomes: dict[str, None] = {}
        self._admissions: dict[int, asyncio.Future[None]] = {}
        self._tasks: dict[str, asyncio.Task[frames.Frame]] = {}
        self._outcomes: attempt_outcomes.AttemptOutcomes[
            asyncio.Future[frames.Frame]
        ] = attempt_outcomes.AttemptOutcomes(
            int(body_budget.limit * byte_budgets.OUTCOME_SHARE)
        )
        self._body_budget = body_budget
        # Attempts of non-idempotent requests that are running.
        self._non_cancellable: set[str] = set()
        self._circuit_breaker = circuit_breakers.CircuitBreaker()
        self.suspicions = suspicions.Suspicions()
        self._crash_detector = crashes.CrashDetector(
            self._pool, self.suspicions
        )
        self._suspect_runs = crashes.SuspectRuns()
        self._call_routes = call_routes.CallRouteDetector()
        self._known_call_routes: set[ids.RouteName] = set()
        self._stopping = False
        # Whether admission was closed at the last on_admission_change call.
        self._reported_closed = False
        # Whether the learned limit was below the slots when last logged.
        self._is_slowed = False
        # Whether this process has a response of the current lifetime.
        self._has_response = False
        self._start_timer: asyncio.TimerHandle | None = None
        self.on_admission_change: Callable[[], None] = lambda: None
        self.on_upstream_closed: Callable[[], None] = lambda: None
        self._started_s = math.inf
        self._health_path = ""
        self.health_path_known = asyncio.Event()
        self.version = 0
        self.boot_id = f"{cfg.daemon}/{uuid.uuid4().hex[:12]}"
        self.queue = slot_queues.SlotQueue(0, cfg.learns_concurrency)
        self.lifetimes = lifetimes.LifetimeTracker()

    @property
    def idle(self) -> bool:
        """Whether no request is running or queued, and no body is sent."""
        return not self._tasks and not self.bodies.busy

    def start(self) -> None:
        """Records the start of the process."""
        self._started_s = asyncio.get_running_loop().time()

    def stop_admitting(self) -> None:
        """Refuses all new requests from now on."""
        self._stopping = True
        self._notify_admission_change()

    def close(self) -> None:
        """Cancels all requests and closes the idle connections."""
        if self._start_timer is not None:
            self._start_timer.cancel()
        for task in self._tasks.values():
            task.cancel()
        self._crash_detector.close()
        self._pool.close()
        self.bodies.close()

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Drops the state of all routes except the given ones."""
        self.queue.keep_only(routes)
        self._call_routes.keep_only(routes)
        self._known_call_routes &= routes

    def load(self) -> load_balancing.LoadReport:
        """Returns the upstream's load; without slots if admission is closed."""
        now_s = asyncio.get_running_loop().time()
        queue = self.queue
        current = self.lifetimes.current
        return load_balancing.LoadReport(
            0 if self._is_closed() else queue.slots,
            queue.running,
            queue.waiting,
            round(queue.mean_run_s, 3),
            round(1000 * queue.limit.delay_s(now_s, queue.waiting)),
            self._notice(),
            "" if current is None else current.software_version,
            queue.warming,
            round(1000 * self.bodies.schedule.drain_s),
        )

    def _notice(self) -> stated_limits.UpstreamNotice | None:
        """Returns what the upstream has stated that others must keep to."""
        current = self.lifetimes.current
        if current is None:
            return self._notice_before_announcement()
        leaving = self.lifetimes.state is not lifetimes.UpstreamState.READY
        limit_per_s = self.queue.limit.per_s
        if not (leaving or limit_per_s is not None):
            return None
        return stated_limits.UpstreamNotice(
            current.instance,
            self.lifetimes.last_start_ms(current.instance),
            limit_per_s,
            leaving,
        )

    def _notice_before_announcement(
        self,
    ) -> stated_limits.UpstreamNotice | None:
        """Returns the notice of a process that knows no current lifetime."""
        closed = self.lifetimes.recently_closed()
        if not closed:
            return None
        return stated_limits.UpstreamNotice(
            closed[-1].instance, closed[-1].born_ms, None, True
        )

    def _is_closed(self) -> bool:
        return (
            self._stopping
            or not self.lifetimes.accepts_requests
            or self._circuit_breaker.is_open(asyncio.get_running_loop().time())
        )

    def _notify_admission_change(self) -> None:
        if self._is_closed() is not self._reported_closed:
            self._reported_closed = not self._reported_closed
            self.on_admission_change()

    def hello(self) -> frames.Hello:
        """Returns the first frame to send on an accepted connection."""
        return frames.Hello(
            self.boot_id,
            self.load(),
            self.version,
            self.suspicions.reached_limit(),
            True,
        )

    def pong(
        self, changed: Sequence[entries.CrashSuspicion] = ()
    ) -> frames.Pong:
        """Returns the reply to a ping, with the current load.

        Args:
            changed: Suspicions that the receiver may not know.
        """
        return frames.Pong(self.load(), self.version, list(changed))

    def announce(
        self, announcement: lifetimes.Announcement
    ) -> lifetimes.Change:
        """Applies an announcement of the upstream."""
        old = self.lifetimes.current
        assumed = old is not None and (
            (old.instance, old.address)
            == (announcement.instance, announcement.address)
        )
        loop = asyncio.get_running_loop()
        age_s = loop.time() - self._started_s
        if age_s > lifetimes.MAX_ANNOUNCEMENT_DELAY_S:
            self.lifetimes.verified = True
        was_open = self.lifetimes.accepts_requests
        change = self.lifetimes.apply_announcement(announcement)
        if change is lifetimes.Change.NEW_LIFETIME:
            if was_open and not assumed:
                self._crash_detector.on_new_lifetime()
            if not assumed:
                self._pool.set_address(announcement.address)
            self._circuit_breaker.reset()
            limit = self.queue.limit
            self.queue.reset(announcement.slots, announcement.warmup_left_s > 0)
            if assumed:
                self.queue.limit = limit
            else:
                self._has_response = False
            _logger.info(
                "upstream_lifetime",
                instance=announcement.instance,
                born_ms=announcement.born_ms,
                slots=announcement.slots,
                state=announcement.state.value,
                warmup_left_s=announcement.warmup_left_s,
            )
        elif change is not lifetimes.Change.NOTHING:
            self.queue.set_slots(announcement.slots)
            self.queue.warming = announcement.warmup_left_s > 0
        self._on_lifetime_change(change)
        return change

    def leave(
        self, instance: ids.InstanceId, born_ms: int | None, now_ms: int
    ) -> lifetimes.Change:
        """Closes admission for a lifetime that is leaving."""
        change = self.lifetimes.end(instance, born_ms, now_ms)
        self._on_lifetime_change(change)
        return change

    def set_health_path(self, path: str) -> None:
        """Sets the path of the upstream's health check."""
        self._health_path = path
        self.health_path_known.set()

    async def check_health(self, slots: int) -> None:
        """Opens admission if the upstream reports that it is healthy.

        Without this check, a daemon that starts beside a running upstream
        would refuse requests until the next announcement, or take a late one
        for a new one.

        Args:
            slots: Number of concurrent requests to assume for the upstream if
                it has not announced itself.
        """
        health = upstream_pools.Health(None, None)
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                health = await self._pool.check_health(self._health_path)
        except (TimeoutError, errors.RequestError) as exc:
            _logger.info("upstream_health_unknown", error=str(exc))
        instance = health.instance
        if instance is None:
            return
        if self.lifetimes.verify(instance):
            if not self._has_response:
                self._apply_limit(health.limit_per_s)
            self._on_lifetime_change(lifetimes.Change.UPDATED)
            return
        address = self._cfg.upstream_address
        change = self.lifetimes.infer_from_health(instance, slots, address)
        if change is lifetimes.Change.NEW_LIFETIME:
            _logger.info("upstream_assumed", instance=instance, slots=slots)
            self.queue.set_slots(slots)
            self._apply_limit(health.limit_per_s)

    def _on_lifetime_change(self, change: lifetimes.Change) -> None:
        if change is lifetimes.Change.CLOSED:
            _logger.info("upstream_closed", state=self.lifetimes.state.value)
            for ticket in self.queue.refuse_all():
                self._refuse(ticket, errors.Code.DRAINING)
        else:
            self._start_queued()
        self._notify_admission_change()

    def submit(
        self, req: frames.Request, keeps_outcome: bool = True
    ) -> "asyncio.Future[frames.Frame]":
        """Starts a request, unless its attempt is already known.

        Args:
            req: The request.
            keeps_outcome: Whether its outcome may be queried later.

        Returns:
            A future of the Response or Failure frame.
        """
        known = self._outcomes.get(req.attempt)
        if known is not None:
            return known
        if req.notice is not None:
            self._apply_notice(req.notice)
        task = asyncio.create_task(self._run(req))
        self._tasks[req.attempt] = task
        self._outcomes.begin(req.attempt, task)
        if keeps_outcome:
            task.add_done_callback(
                lambda done: self._complete(req.attempt, _response_bytes(done))
            )
        else:
            task.add_done_callback(lambda _: self._forget(req.attempt))
        return task

    def _forget(self, attempt: str) -> None:
        self._tasks.pop(attempt, None)
        self._outcomes.forget(attempt)

    def _complete(self, attempt: str, size: int = 0) -> None:
        self._tasks.pop(attempt, None)
        now_s = asyncio.get_running_loop().time()
        # Long bodies count in the budget as long as their frames exist; the
        # outcomes' own limit bounds the others.
        self._outcomes.end(attempt, now_s, size)

    def query_outcome(
        self, frame: frames.OutcomeQuery
    ) -> "asyncio.Future[frames.Frame]":
        """Returns a future of the outcome of an earlier attempt.

        An unknown attempt is recorded as failed, so that its request is
        refused if it still arrives.
        """
        known = self._outcomes.get(frame.attempt)
        if known is not None:
            return known
        fut: asyncio.Future[frames.Frame] = (
            asyncio.get_running_loop().create_future()
        )
        exc, arrived = self._unknown_attempt_error(frame)
        fut.set_result(self._failure(frame.attempt, exc, arrived))
        self._outcomes.begin(frame.attempt, fut)
        self._complete(frame.attempt)
        return fut

    def _unknown_attempt_error(
        self, frame: frames.OutcomeQuery
    ) -> tuple[errors.RequestError, bool]:
        """Returns an unknown attempt's error, and whether it may have run.

        Only an attempt that this process never received has certainly not run.
        """
        if frame.boot_id != self.boot_id:
            reason = "the daemon has restarted"
        elif self._outcomes.may_have_dropped(frame.attempt):
            reason = "the outcome is not known any more"
        else:
            text = "the request is not known"
            return errors.RequestError(
                errors.Code.PEER_UNAVAILABLE, text
            ), False
        return errors.RequestError(errors.Code.UPSTREAM_FAILED, reason), True

    def lost_body(self, attempt: str, is_broken: bool) -> frames.Failure:
        """Returns the failure of a request whose body was not received.

        Args:
            attempt: Id of the attempt. It stays unknown, as one that never
                arrived.
            is_broken: Whether the body broke off; there was no memory for it
                otherwise.
        """
        exc = errors.RequestError(
            errors.Code.BODIES_FULL,
            "bodies of other requests take the memory",
            self._retry_after_s(),
        )
        if is_broken:
            exc = errors.RequestError(
                errors.Code.PEER_UNAVAILABLE, "the body broke off"
            )
        return self._failure(attempt, exc, False)

    def _drop_long_outcomes(self, size: int) -> None:
        """Drops the outcomes with the oldest long bodies to make room."""
        for attempt in list(self._long_outcomes):
            if self._body_budget.has_room(size):
                return
            if self._outcomes.drop(attempt):
                del self._long_outcomes[attempt]

    def _keep_long_outcome(self, frame: frames.Response) -> None:
        """Counts a long response, and remembers it for `make_room`."""
        if len(frame.body) <= link_schedules.SMALL_BODY_BYTES:
            return
        self.bodies.count(frame)
        for attempt in list(self._long_outcomes):
            if self._outcomes.get(attempt) is not None:
                break
            del self._long_outcomes[attempt]
        self._long_outcomes[frame.attempt] = None

    def cancel(self, attempt: str) -> None:
        """Cancels a request whose caller has disconnected.

        A non-idempotent request that is running continues: cancelling would
        leave its work half done, and its outcome can still be queried.
        """
        task = self._tasks.get(attempt)
        if task is not None and attempt not in self._non_cancellable:
            task.cancel()

    async def _run(self, req: frames.Request) -> frames.Frame:
        arrived = False
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + req.left_s
        ticket = None
        responded = failed = False
        aborted = True
        started_s = loop.time()
        suspected = False
        try:
            suspected = await self._await_suspect_run(req, deadline_s)
            ticket = await self._admit(req, started_s, deadline_s)
            conn, data, body = await self._prepare(req, deadline_s)
            arrived = True
            if req.suspicion is not None:
                self._crash_detector.begin(
                    req.attempt, req.suspicion.fingerprint
                )
            lifetime = self.lifetimes.current
            if not req.idempotent:
                self._non_cancellable.add(req.attempt)
            started_s = loop.time()
            self._circuit_breaker.on_started(req.attempt, started_s)
            self._meter.count("buckthorn_upstream_requests")
            async with asyncio.timeout_at(deadline_s + RESPONSE_SLACK_S):
                exchange = await self._pool.exchange(
                    conn, req.method, data, req.request_id, body
                )
            responded = True
            self._record_response(req, lifetime, exchange.metadata)
            status = exchange.response.status
            # On 504 the upstream itself aborted the run.
            aborted = status == _GATEWAY_TIMEOUT
            failed = status >= 400 and not aborted
            return self._result(req, exchange)
        except TimeoutError:
            return self._failure(
                req.attempt,
                errors.RequestError(
                    errors.Code.TIMED_OUT, "no answer of the upstream in time"
                ),
                arrived,
            )
        except errors.RequestError as exc:
            failed = True
            if isinstance(exc, upstream_pools.ConnectionLostError):
                await self._record_lost_connection()
            if arrived:
                _logger.info(
                    "upstream_failed",
                    request=req.request_id,
                    attempt=req.attempt,
                    route=req.route,
                    error=str(exc),
                    seconds=round(loop.time() - started_s, 3),
                )
            return self._failure(req.attempt, exc, arrived, req.suspicion)
        finally:
            self._crash_detector.end(req.attempt)
            self._non_cancellable.discard(req.attempt)
            self._circuit_breaker.on_ended(req.attempt, responded, loop.time())
            self._notify_admission_change()
            if ticket is not None:
                # Failed runs don't count towards the mean run time: an
                # upstream can fail much faster than it serves.
                ran = arrived and not failed
                ran_s = loop.time() - started_s if ran else None
                self.queue.release(ticket, ran_s, aborted, loop.time())
                self._log_concurrency()
                self._start_queued()
            if suspected:
                self._suspect_runs.release()

    async def _await_suspect_run(
        self, req: frames.Request, deadline_s: float
    ) -> bool:
        """Waits until a request may run beside others under suspicion.

        Returns:
            Whether it is under suspicion itself.

        Raises:
            errors.RequestError: The request is in quarantine, or others under
                suspicion take too long.
        """
        if req.suspicion is None:
            return False
        digest = req.suspicion.fingerprint
        self.suspicions.merge([req.suspicion])
        self.suspicions.check(digest)
        if not self.suspicions.get(digest).crashes:
            return False
        now_s = asyncio.get_running_loop().time()
        start_by_s = now_s + (deadline_s - now_s) * SUSPECT_WAIT_FRACTION
        try:
            await self._suspect_runs.acquire(digest, start_by_s)
        except TimeoutError as exc:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                "another request under suspicion runs",
                self._retry_after_s(),
            ) from exc
        return True

    async def _record_lost_connection(self) -> None:
        """Counts a crash, if the connection was lost in one."""
        if not self.lifetimes.accepts_requests:
            # An upstream that leaves ends without having crashed.
            return
        if await self._crash_detector.on_connection_lost():
            now_s = asyncio.get_running_loop().time()
            self._circuit_breaker.on_unreachable(now_s)

    def _record_response(
        self,
        req: frames.Request,
        lifetime: lifetimes.Announcement | None,
        metadata: interfaces.ResponseMetadata,
    ) -> None:
        """Records that a request has run, and what the response states."""
        if not (metadata.not_run or metadata.wrong_instance):
            self._crash_detector.complete(req.attempt)
        self._apply_statements(lifetime, metadata)

    def _apply_statements(
        self,
        lifetime: lifetimes.Announcement | None,
        metadata: interfaces.ResponseMetadata,
    ) -> None:
        """Applies what a response states about the upstream.

        Args:
            lifetime: The lifetime that the request was sent to.
            metadata: Metadata of the response.
        """
        current = self.lifetimes.current
        if lifetime is None or current is None or metadata.wrong_instance:
            return
        if metadata.leaving:
            self._close_lifetime(lifetime.instance, lifetime.born_ms)
        if lifetime.instance == current.instance:
            self._has_response = True
            self._apply_limit(metadata.limit_per_s)

    def _apply_notice(self, notice: stated_limits.UpstreamNotice) -> None:
        """Applies what another daemon learned about the upstream before.

        This process may have started since then. What it has learned itself
        about a limit is newer; leaving is final.
        """
        if notice.leaving:
            self._close_lifetime(notice.instance, notice.born_ms)
            return
        current = self.lifetimes.current
        if (
            current is not None
            and current.instance == notice.instance
            and (current.born_ms == notice.born_ms or current.born_ms < 0)
            and not self._has_response
            and self.queue.limit.per_s is None
        ):
            self._apply_limit(notice.limit_per_s)

    def _close_lifetime(self, instance: ids.InstanceId, born_ms: int) -> None:
        """Closes admission for a lifetime that is leaving but still answers."""
        if self.lifetimes.has_ended(instance, max(0, born_ms)):
            return
        change = self.lifetimes.end(
            instance,
            born_ms if born_ms >= 0 else None,
            int(time.time() * 1000),
            lifetimes.UpstreamState.DRAINING,
        )
        if change is lifetimes.Change.CLOSED:
            self._on_lifetime_change(change)
        self.on_upstream_closed()

    def _apply_limit(self, limit_per_s: float | None) -> None:
        """Applies a limit that the upstream has stated; None if it is over."""
        now_s = asyncio.get_running_loop().time()
        limit = self.queue.limit
        change = limit.on_response(now_s, limit_per_s)
        if change is stated_limits.LimitChange.STATED:
            _logger.info(
                "upstream_limited",
                limit_per_s=limit_per_s,
                rate_per_s=round(limit.rate_per_s(now_s), 1),
            )
        elif change is stated_limits.LimitChange.ENDED:
            _logger.info(
                "upstream_limit_ended",
                seconds=round(now_s - limit.since_s, 1),
                requests=limit.requests,
            )
            self._start_queued()

    def _log_concurrency(self) -> None:
        """Logs when the learned limit falls below the slots, or is over."""
        concurrency = self.queue.concurrency
        if concurrency.is_lowered is self._is_slowed:
            return
        self._is_slowed = concurrency.is_lowered
        _logger.info(
            "upstream_concurrency",
            limit=concurrency.value,
            slots=concurrency.slots,
        )

    def _closed_reason(self) -> str:
        if self.lifetimes.needs_health_check:
            return "the upstream's health is not known yet"
        return f"the upstream is {self.lifetimes.state.value}"

    def _rejection_reason(self) -> str | None:
        if self._stopping:
            return "this daemon is stopping"
        if not self.lifetimes.accepts_requests:
            return self._closed_reason()
        now_s = asyncio.get_running_loop().time()
        if self._circuit_breaker.should_reject(self.queue.mean_run_s, now_s):
            return "the upstream gives no sign of life"
        return None

    async def _admit(
        self, req: frames.Request, received_s: float, deadline_s: float
    ) -> slot_queues.Ticket:
        """Returns the ticket of a request once it has a slot.

        Args:
            req: The request.
            received_s: When it was received, on the event loop's clock.
            deadline_s: Its deadline, on the same clock.

        Raises:
            errors.RequestError: The request was refused.
        """
        reason = self._rejection_reason()
        if reason is not None:
            raise errors.RequestError(
                errors.Code.DRAINING, reason, REFUSAL_RETRY_AFTER_S
            )
        if req.service != self._cfg.service:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"{self._cfg.service} runs here",
                REFUSAL_RETRY_AFTER_S,
            )
        now_s = asyncio.get_running_loop().time()
        target_at_s = received_s + req.target_left_s
        if self._is_from_upstream_run(req):
            target_at_s = deadline_s
        slot_request = slot_queues.SlotRequest(
            req.route,
            _priority_of(req),
            received_s + req.caller_left_s,
            target_at_s,
            deadline_s,
            req.target_s,
        )
        ticket, evicted = self.queue.admit(now_s, slot_request)
        for other in evicted:
            self._refuse(other, errors.Code.SLOTS_FULL)
        if self.queue.is_running(ticket):
            return ticket
        if ticket in evicted:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                "work that goes first leaves no time",
                self._retry_after_s(),
            )
        fut = asyncio.get_running_loop().create_future()
        self._admissions[ticket.number] = fut
        self._schedule_start()
        admitted = False
        try:
            # The queue is only re-evaluated when a run ends or the limit admits
            # a request, so the wait needs a timeout of its own.
            async with asyncio.timeout_at(ticket.start_by_s):
                await fut
            admitted = True
        except TimeoutError as exc:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                "no slot was free in time",
                self._retry_after_s(),
            ) from exc
        finally:
            self._admissions.pop(ticket.number, None)
            if not admitted:
                self.queue.release(ticket)
                self._start_queued()
        return ticket

    def _is_from_upstream_run(self, req: frames.Request) -> bool:
        """Returns whether the request presumably comes from an upstream run."""
        self._call_routes.add(req.route, req.caller_service)
        is_call = self._call_routes.is_call_route(req.route)
        if is_call is not (req.route in self._known_call_routes):
            self._known_call_routes ^= {req.route}
            _logger.info("route_judged", route=req.route, calls=is_call)
        return is_call

    def _retry_after_s(self) -> float:
        return self.queue.retry_after_s(asyncio.get_running_loop().time())

    def _start_queued(self) -> None:
        now_s = asyncio.get_running_loop().time()
        started, refused = self.queue.start_queued(now_s)
        for ticket in started:
            fut = self._admissions.get(ticket.number)
            if fut is not None and not fut.done():
                fut.set_result(None)
            else:
                self.queue.release(ticket)
        for ticket in refused:
            self._refuse(ticket, errors.Code.SLOTS_FULL)
        self._schedule_start()

    def _schedule_start(self) -> None:
        """Sets the timer for the next start that the limit delays."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        loop = asyncio.get_running_loop()
        delay_s = self.queue.next_start_delay_s(loop.time())
        if delay_s is not None:
            self._start_timer = loop.call_later(delay_s, self._start_queued)

    def _refuse(self, ticket: slot_queues.Ticket, code: errors.Code) -> None:
        fut = self._admissions.get(ticket.number)
        if fut is not None and not fut.done():
            fut.set_exception(
                errors.RequestError(
                    code,
                    "refused while it waited for a slot",
                    self._retry_after_s(),
                )
            )

    async def _prepare(
        self, req: frames.Request, deadline_s: float
    ) -> tuple[http1.Connection, bytes, bytes]:
        """Returns an upstream connection, the request, and the rest of it.

        A long body is not copied behind its head.

        Raises:
            errors.RequestError: The upstream is unreachable, admission closed
                meanwhile, or the deadline has passed.
        """
        loop = asyncio.get_running_loop()
        try:
            conn = await self._pool.acquire()
        except errors.RequestError:
            _logger.warning("upstream_unreachable", service=self._cfg.service)
            self._circuit_breaker.on_unreachable(loop.time())
            raise
        try:
            instance = self._instance()
            if req.suspicion is not None:
                # Other copies may have crashed upstreams meanwhile.
                self.suspicions.check(req.suspicion.fingerprint)
            left_s = deadline_s - loop.time()
            if left_s <= 0:
                raise errors.RequestError(
                    errors.Code.DEADLINE_PASSED, "no time is left"
                )
        except errors.RequestError:
            conn.close()
            raise
        headers = self._mesh_headers.upstream_headers(
            req.headers, left_s, req.caller_service, instance, req.workspace
        )
        head = http1.encode_request_head(
            req.method, req.path, headers, len(req.body)
        )
        if len(req.body) > link_schedules.SMALL_BODY_BYTES:
            return conn, head, req.body
        return conn, head + req.body, b""

    def _instance(self) -> ids.InstanceId:
        """Returns the instance that the request must reach.

        Raises:
            errors.RequestError: Admission closed meanwhile.
        """
        current = self.lifetimes.current
        if current is None or not self.lifetimes.accepts_requests:
            raise errors.RequestError(
                errors.Code.DRAINING,
                self._closed_reason(),
                REFUSAL_RETRY_AFTER_S,
            )
        return current.instance

    def _result(
        self, req: frames.Request, exchange: upstream_pools.Exchange
    ) -> frames.Frame:
        response, metadata = exchange
        if metadata.wrong_instance:
            # Another lifetime has taken over the address and has not
            # announced itself yet.
            self._circuit_breaker.on_unreachable(
                asyncio.get_running_loop().time()
            )
        if metadata.not_run or metadata.wrong_instance:
            raise errors.RequestError(
                errors.Code.UPSTREAM_SHED,
                f"the upstream answered {response.status}, not run",
                self._retry_after_s(),
            )
        if 200 <= response.status < 300 and not metadata.signed:
            raise errors.RequestError(
                errors.Code.UPSTREAM_FAILED, "an answer without proof"
            )
        if response.status in _NOT_RUN_STATUSES:
            raise errors.RequestError(
                errors.Code.UPSTREAM_FAILED,
                f"the upstream answered {response.status} and may have run it",
            )
        frame = frames.Response(
            req.attempt,
            response.status,
            http1.end_to_end(response.headers),
            response.body,
            self.load(),
            self.version,
        )
        self._keep_long_outcome(frame)
        return frame

    def _failure(
        self,
        attempt: str,
        exc: errors.RequestError,
        arrived: bool,
        suspicion: entries.CrashSuspicion | None = None,
    ) -> frames.Failure:
        if suspicion is not None:
            suspicion = self.suspicions.get(suspicion.fingerprint)
        self._meter.count("buckthorn_ingress_errors", code=exc.code.value)
        return frames.Failure(
            attempt,
            exc.code,
            exc.message,
            exc.retry_after_s,
            arrived,
            self.load(),
            self.version,
            suspicion if suspicion and suspicion.incarnation else None,
        )


def _response_bytes(fut: "asyncio.Future[frames.Frame]") -> int:
    """Returns the memory of a response; 0 for other outcomes."""
    if fut.cancelled() or fut.exception() is not None:
        return 0
    frame = fut.result()
    if not isinstance(frame, frames.Response):
        return 0
    return len(frame.body) + http1.header_bytes(frame.headers)


def _priority_of(req: frames.Request) -> slot_queues.Priority:
    workspace_priority = req.workspace_priority
    if workspace_priority is None:
        workspace_priority = req.priority
    return slot_queues.Priority(workspace_priority, req.priority)
