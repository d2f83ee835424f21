"""A mesh without sockets or clocks, for the decisions on load.

Callers, daemons and instances are simulated event by event; what a daemon
decides is decided by the same code as in the sidecar. Instances differ in
speed, start cold, leave and come back, and their runs call another service.
Callers come back once, after the time that they were told.
"""

from collections.abc import Callable
import functools
import heapq
import itertools
import random

import msgspec

from buckthorn_core import call_routes
from buckthorn_core import caller_ages
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import slot_queues

# One way, in seconds, as both meshes state them.
SITE_S = 0.00025
REGION_S = 0.001
REMOTE_S = 0.02
CALLER_S = 0.008
# Run times spread by this share; an instance is cold for a while and runs
# slower then, as both meshes state.
RUN_SPREAD = 0.3
COLD_S = 3.0
COLD_FACTOR = 2.0
# Deadlines of callers differ by this share.
DEADLINE_SPREAD = 0.15
MAX_REFUSALS = 4
# A caller waits at most this share of what it has left before it comes back.
RETURN_SHARE = 1 / 3


class Route(msgspec.Struct, frozen=True):
    """A kind of request.

    Attributes:
        name: Its name.
        service: Where it runs.
        per_s: Requests of callers a second, in the whole mesh.
        work_s: Mean run time at an instance of speed 1, in seconds.
        target_s: Answers within it have their full value, in seconds.
        timeout_s: Requests get no answer after it, in seconds.
        deadline_s: How long callers wait, in seconds.
        priority: Rank; 0 is the most urgent.
        worth: Value of an answer within the target.
        late_worth: Value of a later answer.
        calls: A route that each run calls, if any, and how often on average.
    """

    name: ids.RouteName
    service: ids.ServiceName
    per_s: float
    work_s: float
    target_s: float
    timeout_s: float
    deadline_s: float
    priority: int
    worth: float
    late_worth: float
    calls: tuple[ids.RouteName, float] | None = None


class Host(msgspec.Struct, frozen=True):
    """A host with a daemon and an instance.

    Attributes:
        registration: The daemon's record.
        factor: Run time of the instance, as a multiple of the route's.
        away: From when to when it is away, in seconds; cold afterwards.
    """

    registration: directories.Registration
    factor: float
    away: tuple[float, float] | None = None

    def is_up(self, now_s: float) -> bool:
        """Returns whether the instance takes work."""
        return self.away is None or not self.away[0] <= now_s < self.away[1]

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the instance warms up."""
        return self.away is not None and (
            self.away[1] <= now_s < self.away[1] + COLD_S
        )


class Pattern(msgspec.Struct, frozen=True):
    """A load and the instances that it meets.

    Attributes:
        routes: The kinds of requests.
        hosts: The hosts.
        seconds: Length in seconds.
        factor: Traffic at a time, as a multiple of the routes' rates.
    """

    routes: tuple[Route, ...]
    hosts: tuple[Host, ...]
    seconds: float
    factor: Callable[[float], float]


class Policy(msgspec.Struct, frozen=True):
    """Which of the decisions are made as in the sidecar.

    Attributes:
        ages: Whether callers' ages count.
        calls: Whether calls of instances are recognised.
        warmup: Whether announced warm-up counts.
        placement: Whether hosts are chosen by load; otherwise at random.
        admission: Whether queues are short and ordered; otherwise requests
            wait in the order in which they come.
    """

    ages: bool = True
    calls: bool = True
    warmup: bool = True
    placement: bool = True
    admission: bool = True


class Tally(msgspec.Struct):
    """What became of the requests of a kind.

    Attributes:
        asked: Requests of callers, without those that come back.
        in_time: Answered within the target since the first attempt.
        late: Answered later.
        refused: Refused in the end.
        failed: Ended in another way.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


class _FirstCome(slot_queues.SlotQueue):
    """A queue without order, limit or refusals, up to the deadline."""

    def _check_wait(self, now_s: float, ticket: slot_queues.Ticket) -> None:
        del now_s, ticket

    def _evict(self, now_s: float) -> list[slot_queues.Ticket]:
        del now_s
        self._waiting.sort(key=lambda t: t.number)
        return []


class Attempt(msgspec.Struct):
    """A request of a caller or of a run, on its way.

    Attributes:
        route: Its kind.
        origin: The host where it started.
        started_s: When.
        until_s: How long its caller waits.
        finish_by_s: When it gets its final answer at the latest.
        target_at_s: Until then an answer has its full value.
        on_end: Told the outcome: None for success, or why there was none.
        tried: Daemons that it was sent to.
        region_full: Whether a full instance of the region refused it.
        done: Whether it has its outcome.
    """

    route: Route
    origin: "HostModel"
    started_s: float
    until_s: float
    finish_by_s: float
    target_at_s: float
    on_end: "Callable[[errors.RequestError | None], None]"
    tried: set[ids.DaemonId] = msgspec.field(default_factory=set)
    region_full: bool = False
    done: bool = False


class HostModel:
    """State of a host: what its daemon knows, and what its instance runs."""

    def __init__(self, host: Host, policy: Policy, rng: random.Random):
        self.host = host
        self.registration = host.registration
        origin = load_balancing.Origin(
            self.registration.daemon,
            self.registration.site,
            self.registration.region,
        )
        self.load_balancer = load_balancing.LoadBalancer(origin, rng)
        self.ages = caller_ages.CallerAges()
        self.call_routes = call_routes.CallRouteDetector()
        queue = slot_queues.SlotQueue if policy.admission else _FirstCome
        self.queue = queue(self.registration.slots)
        self.waiting: dict[int, Attempt] = {}

    def load(self, now_s: float) -> load_balancing.LoadReport:
        """Returns the report that travels with each answer."""
        slots = self.queue.slots if self.host.is_up(now_s) else 0
        return load_balancing.LoadReport(
            slots, self.queue.running, self.queue.waiting, self.queue.mean_run_s
        )


def _way_s(a: HostModel, b: HostModel) -> float:
    """Returns the time of a message between two hosts, in seconds."""
    if a.registration.region != b.registration.region:
        return REMOTE_S
    same = a.registration.site == b.registration.site
    return SITE_S if same else REGION_S


class MeshModel:
    """Plays a pattern under a policy.

    Attributes:
        tallies: What became of the requests, by route.
        busy_s: Slot seconds of runs.
        wasted_s: Slot seconds of runs that brought no answer in time.
    """

    def __init__(self, pattern: Pattern, policy: Policy, seed: int):
        self._pattern = pattern
        self._policy = policy
        self._rng = random.Random(seed)
        self._routes = {r.name: r for r in pattern.routes}
        self._hosts = {
            h.registration.daemon: HostModel(h, policy, self._rng)
            for h in pattern.hosts
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self.tallies = {r.name: Tally() for r in pattern.routes}
        self.busy_s = 0.0
        self.wasted_s = 0.0

    def run(self) -> None:
        """Plays all of it."""
        for route in self._pattern.routes:
            if route.per_s:
                self._at(0.0, functools.partial(self._arrive, route))
        for model in self._hosts.values():
            if model.host.away is not None:
                self._at(
                    model.host.away[0], functools.partial(self._leave, model)
                )
                self._at(
                    model.host.away[1], functools.partial(self._return, model)
                )
        while self._events:
            self._now_s, _, event = heapq.heappop(self._events)
            event()

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        self._at(self._now_s + delay_s, event)

    # Callers.

    def _arrive(self, route: Route) -> None:
        if self._now_s >= self._pattern.seconds:
            return
        per_s = route.per_s * self._pattern.factor(self._now_s)
        self._after(self._rng.expovariate(per_s), lambda: self._arrive(route))
        self.tallies[route.name].asked += 1
        spread = self._rng.uniform(1 - DEADLINE_SPREAD, 1.0)
        self._ask(route, self._now_s, route.deadline_s * spread, first=True)

    def _ask(
        self, route: Route, began_s: float, deadline_s: float, first: bool
    ) -> None:
        hosts = [m for m in self._hosts.values() if m.host.is_up(self._now_s)]
        until_s = began_s + deadline_s
        if not hosts or self._now_s >= until_s:
            self.tallies[route.name].failed += 1
            return

        def on_end(exc: errors.RequestError | None) -> None:
            seconds = self._now_s + CALLER_S - began_s
            tally = self.tallies[route.name]
            if exc is None and seconds <= route.target_s:
                tally.in_time += 1
            elif exc is None:
                tally.late += 1
            elif first:
                wait_s = min(
                    exc.retry_after_s or 0.0,
                    (until_s - self._now_s) * RETURN_SHARE,
                )
                self._after(
                    wait_s + 2 * CALLER_S,
                    lambda: self._ask(route, began_s, deadline_s, first=False),
                )
            elif errors.CODE_INFO[exc.code].not_run:
                tally.refused += 1
            else:
                tally.failed += 1

        origin = self._rng.choice(hosts)
        self._after(
            CALLER_S, lambda: self._start(route, origin, until_s, on_end)
        )

    # Daemons of callers.

    def _start(
        self,
        route: Route,
        origin: HostModel,
        until_s: float,
        on_end: "Callable[[errors.RequestError | None], None]",
    ) -> None:
        now_s = self._now_s
        age_s = 0.0
        if self._policy.ages:
            age_s = origin.ages.age_s(route.name, until_s - now_s, now_s)
        finish_by_s = min(until_s, now_s + route.timeout_s)
        attempt = Attempt(
            route,
            origin,
            now_s,
            until_s,
            finish_by_s,
            now_s + route.target_s - age_s,
            on_end,
        )
        self._at(finish_by_s, lambda: self._time_out(attempt))
        self._send(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        self._end(
            attempt, errors.RequestError(errors.Code.TIMED_OUT, "no answer")
        )

    def _end(self, attempt: Attempt, exc: errors.RequestError | None) -> None:
        if attempt.done:
            return
        attempt.done = True
        if exc is not None:
            attempt.origin.ages.on_refused(attempt.route.name, self._now_s)
        attempt.on_end(exc)

    def _send(self, attempt: Attempt) -> None:
        if attempt.done:
            return
        origin = attempt.origin
        to = self._choose(attempt)
        if to is None or len(attempt.tried) > MAX_REFUSALS:
            exc = errors.RequestError(
                errors.Code.SLOTS_FULL, "no instance takes it"
            )
            exc.retry_after_s = 0.3 * self._rng.uniform(0.5, 1.5)
            self._end(attempt, exc)
            return
        attempt.tried.add(to.daemon)
        origin.load_balancer.on_sent(to)
        model = self._hosts[to.daemon]
        way_s = _way_s(origin, model)
        self._after(way_s, lambda: self._admit(attempt, model))

    def _choose(self, attempt: Attempt) -> directories.Registration | None:
        route, now_s = attempt.route, self._now_s
        candidates = [
            m.registration
            for m in self._hosts.values()
            if m.registration.service == route.service
            and m.registration.daemon not in attempt.tried
        ]
        if not self._policy.placement:
            return self._rng.choice(candidates) if candidates else None
        if attempt.origin.registration.service == route.service:
            self._report(attempt.origin, attempt.origin)
        choice = attempt.origin.load_balancer.choose(
            candidates,
            now_s,
            route.target_s,
            attempt.target_at_s - now_s,
            attempt.region_full,
        )
        for asked in choice.probes:
            model = self._hosts[asked.daemon]
            report = functools.partial(self._report, attempt.origin, model)
            self._after(2 * _way_s(attempt.origin, model), report)
        return choice.to

    def _report(self, origin: HostModel, asked: HostModel) -> None:
        load = asked.load(self._now_s)
        origin.load_balancer.on_report(asked.registration, load, self._now_s)

    # Daemons beside instances.

    def _admit(self, attempt: Attempt, model: HostModel) -> None:
        now_s, route = self._now_s, attempt.route
        if attempt.done:
            return
        if not model.host.is_up(now_s):
            self._refuse(attempt, model, errors.Code.DRAINING)
            return
        target_at_s = attempt.target_at_s
        model.call_routes.add(route.name, attempt.origin.registration.service)
        if self._policy.calls and model.call_routes.is_call_route(route.name):
            target_at_s = attempt.finish_by_s
        work = slot_queues.SlotRequest(
            route.name,
            slot_queues.Priority(route.priority, route.priority),
            attempt.until_s,
            target_at_s,
            attempt.finish_by_s,
            route.target_s,
        )
        try:
            ticket, pushed_out = model.queue.admit(now_s, work)
        except errors.RequestError:
            self._refuse(attempt, model, errors.Code.SLOTS_FULL)
            return
        model.waiting[ticket.number] = attempt
        self._refuse_all(model, pushed_out)
        if model.queue.is_running(ticket):
            self._run(model, ticket)
            return

        def give_up() -> None:
            if ticket.number in model.waiting:
                model.queue.release(ticket)
                self._refuse_all(model, [ticket])
                self._start_waiting(model)

        # Without admission, work waits until its caller gets its final answer.
        until_s = attempt.finish_by_s
        if self._policy.admission:
            until_s = ticket.start_by_s
        self._at(until_s, give_up)

    def _refuse_all(
        self, model: HostModel, tickets: list[slot_queues.Ticket]
    ) -> None:
        for ticket in tickets:
            attempt = model.waiting.pop(ticket.number, None)
            if attempt is not None:
                self._refuse(attempt, model, errors.Code.SLOTS_FULL)

    def _refuse(
        self, attempt: Attempt, model: HostModel, code: errors.Code
    ) -> None:
        load = model.load(self._now_s)

        def back() -> None:
            origin, to = attempt.origin, model.registration
            origin.load_balancer.on_report(to, load, self._now_s)
            origin.load_balancer.on_refused(to, self._now_s)
            attempt.region_full |= (
                code is errors.Code.SLOTS_FULL
                and to.region == origin.registration.region
            )
            self._send(attempt)

        self._after(_way_s(attempt.origin, model), back)

    def _start_waiting(self, model: HostModel) -> None:
        started, refused = model.queue.start_queued(self._now_s)
        for ticket in started:
            self._run(model, ticket)
        self._refuse_all(model, refused)

    # Instances.

    def _run(self, model: HostModel, ticket: slot_queues.Ticket) -> None:
        attempt = model.waiting.pop(ticket.number)
        route = attempt.route
        factor = model.host.factor
        if model.host.is_cold(self._now_s):
            factor *= COLD_FACTOR
        work_s = route.work_s * factor
        work_s *= max(0.3, self._rng.gauss(1.0, RUN_SPREAD))
        began_s = self._now_s
        ended = False

        def end(exc: errors.RequestError | None, aborted: bool = False) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            ran_s = self._now_s - began_s
            self.busy_s += ran_s
            late = self._now_s > attempt.started_s + route.target_s
            if exc is not None or late and route.per_s:
                self.wasted_s += ran_s
            failed = exc is not None and not aborted
            model.queue.release(
                ticket, None if failed else ran_s, aborted, self._now_s
            )
            load = model.load(self._now_s)

            def back() -> None:
                attempt.origin.load_balancer.on_report(
                    model.registration, load, self._now_s
                )
                self._end(attempt, exc)

            self._after(_way_s(attempt.origin, model), back)
            self._start_waiting(model)

        def abort() -> None:
            gone = errors.RequestError(errors.Code.TIMED_OUT, "cut")
            end(gone, aborted=True)

        self._at(attempt.finish_by_s, abort)
        if model.host.away is not None and began_s < model.host.away[0]:
            lost = errors.RequestError(errors.Code.UPSTREAM_FAILED, "gone")
            self._at(model.host.away[0], lambda: end(lost))
        self._work(model, attempt, work_s, end)

    def _work(
        self,
        model: HostModel,
        attempt: Attempt,
        work_s: float,
        end: "Callable[[errors.RequestError | None], None]",
    ) -> None:
        """Works, makes the calls of a run one after the other, and ends."""
        calls = 0
        if attempt.route.calls is not None:
            name, mean = attempt.route.calls
            calls = sum(self._rng.random() < mean / 2 for _ in range(2))
        part_s = work_s / (calls + 1)

        def next_part(left: int) -> None:
            if not left or attempt.done:
                end(None)
                return
            self._start(
                self._routes[name],
                model,
                min(
                    attempt.until_s,
                    self._now_s + self._routes[name].deadline_s,
                ),
                lambda exc: called(exc, left - 1),
            )

        def called(exc: errors.RequestError | None, left: int) -> None:
            if exc is not None:
                end(errors.RequestError(errors.Code.UPSTREAM_FAILED, "call"))
                return
            self._after(part_s, lambda: next_part(left))

        self._after(part_s, lambda: next_part(calls))

    def _leave(self, model: HostModel) -> None:
        self._refuse_all(model, model.queue.refuse_all())

    def _return(self, model: HostModel) -> None:
        model.queue.reset(model.registration.slots, warming=self._policy.warmup)
        self._after(COLD_S, lambda: setattr(model.queue, "warming", False))
