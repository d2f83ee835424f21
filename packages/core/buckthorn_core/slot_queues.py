"""Admission to an upstream's slots: which requests run, wait or are refused.

The daemon beside an upstream never sends it more requests than it has slots,
since some upstreams never answer requests that they can't queue. Waiting
requests are ordered by priority and then by the callers' deadlines: retries
after a refusal, and calls made by requests that hold a slot elsewhere, have
less time left than new requests. A request is refused at once if it can't
start in time behind those ahead of it, and refused later only if more urgent
requests arrive and delay it too much.

An upstream that states a request limit gets no more requests than that, even if
slots are free. Requests then wait for their turn, or are refused, in the same
order.

The queue is kept short. A few waiting requests keep the slots busy; each
further one delays all requests behind it without raising the throughput.
"""

from typing import NamedTuple

from buckthorn_core import concurrency_limits
from buckthorn_core import errors
from buckthorn_core import event_rates
from buckthorn_core import ids
from buckthorn_core import stated_limits

# Average run time assumed before any request has run, in seconds. The requests
# of both meshes take 20 to 300 ms.
INITIAL_RUN_S = 0.15
# Run time assumed for a route without completed requests, as a share of its
# target.
INITIAL_RUN_SHARE = 0.35
# Weight of the newest run time in the average. The first ones weigh more.
RUN_TIME_SMOOTHING = 0.1
# Factor on run times while an upstream reports that it warms up, as stated for
# both meshes. Without it, until the first runs have ended, late requests would
# hold slots that others need to meet their targets.
WARMUP_FACTOR = 2.0
# Longest expected wait, as a share of the time until a request must start. Run
# times vary by a third: with a share of 1, half of the requests that wait that
# long would be late. A caller that is refused early can still retry in time.
WAIT_SHARE = 0.3
# Upper limit of the share of slots expected to go to more urgent requests.
MAX_URGENT_SHARE = 0.9
# Requests that less urgent ones leave unused in a limit's burst for more urgent
# ones, and the share of more urgent requests from which on they do: at a limit
# near one request a second, the first to come would otherwise be served.
RESERVED_REQUESTS = 2
MIN_URGENT_SHARE = 0.02
# Longest wait of a late request, as a share of its target. Its answer is worth
# little, and it must not wait for long only to be refused.
LATE_WAIT_SHARE = 0.25
# Transit time of an answer to the caller, in seconds. The links of the meshes
# take 8 ms to callers and up to 20 ms between regions.
ANSWER_TRANSIT_S = 0.03
# Share of a run that counts as its own at least, whatever its calls took: the
# time of calls is an estimate.
MIN_OWN_SHARE = 0.2
# Limits of the Retry-After value, in seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Priority(NamedTuple):
    """Priority of a request; lower values are more urgent.

    Attributes:
        workspace: Priority of the caller's workspace; without one, that of the
            route.
        route: Priority of the route.
    """

    workspace: int
    route: int


class SlotRequest(NamedTuple):
    """A request for a slot; times are monotonic, in seconds.

    Attributes:
        route: Route of the request.
        priority: Priority of the request.
        caller_until_s: When the caller stops waiting.
        target_at_s: When an answer loses its full value.
        finish_by_s: When an answer becomes useless.
        target_s: The route's target, as a duration.
    """

    route: ids.RouteName
    priority: Priority
    caller_until_s: float
    target_at_s: float
    finish_by_s: float
    target_s: float


class Ticket(NamedTuple):
    """A request's place in a slot or in the queue.

    Attributes:
        number: Sequence number of the request.
        request: The request.
        is_late: Whether it can no longer meet its target.
        start_by_s: Latest start for an answer in time; monotonic time.
    """

    number: int
    request: SlotRequest
    is_late: bool
    start_by_s: float

    @property
    def sort_key(self) -> tuple[bool, Priority, float, int]:
        """Sort key of the queue, in ascending order."""
        request = self.request
        return (
            self.is_late,
            request.priority,
            request.caller_until_s,
            self.number,
        )


class _Average:
    """Exponential average that weighs its first values more."""

    __slots__ = ("_count", "value")

    def __init__(self, initial: float):
        self.value = initial
        self._count = 0

    def add(self, value: float) -> None:
        self._count += 1
        weight = max(RUN_TIME_SMOOTHING, 1 / self._count)
        self.value += weight * (value - self.value)

    def add_lower_bound(self, value: float) -> None:
        """Adds an aborted run, which would have taken at least this long."""
        if value > self.value:
            self.add(value)


class SlotQueue:
    """Assigns the slots of one upstream and orders the waiting requests.

    Attributes:
        warming: Whether the upstream reports that it warms up.
        limit: The request limit that the upstream states.
        concurrency: The learned limit of concurrent requests.
    """

    def __init__(self, slots: int = 0, learns_limit: bool = True):
        """Creates an empty queue.

        Args:
            slots: Slots that the upstream announces.
            learns_limit: Whether fewer requests may run if run times rise.
        """
        self.concurrency = concurrency_limits.ConcurrencyLimit(
            slots, learns_limit
        )
        self.warming = False
        self.limit = stated_limits.StatedLimit()
        self._running: dict[int, concurrency_limits.Run] = {}
        self._waiting: list[Ticket] = []
        self._last_number = 0
        self._run_s: dict[ids.RouteName, _Average] = {}
        self._mean = _Average(INITIAL_RUN_S)
        self._rates: dict[Priority, event_rates.EventRate] = {}

    def reset(self, slots: int, warming: bool) -> None:
        """Discards the run times and the limit of the previous lifetime."""
        self.concurrency.reset(slots, warming)
        self.limit = stated_limits.StatedLimit()
        self.warming = warming
        self._run_s.clear()
        self._mean = _Average(INITIAL_RUN_S * self._warmup_factor)

    @property
    def _warmup_factor(self) -> float:
        return WARMUP_FACTOR if self.warming else 1.0

    @property
    def slots(self) -> int:
        """Number of requests that the upstream runs concurrently."""
        return self.concurrency.value

    def set_slots(self, slots: int) -> None:
        """Applies a changed number of announced slots."""
        self.concurrency.set_slots(slots)

    @property
    def running(self) -> int:
        """Number of requests in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def mean_run_s(self) -> float:
        """Average run time of all routes, in seconds."""
        return self._mean.value

    def run_s(self, request: SlotRequest) -> float:
        """Returns the expected run time of a request, in seconds."""
        average = self._run_s.get(request.route)
        return (
            self._initial_run_s(request) if average is None else average.value
        )

    def _initial_run_s(self, request: SlotRequest) -> float:
        return INITIAL_RUN_SHARE * request.target_s * self._warmup_factor

    def admit(
        self, now_s: float, request: SlotRequest
    ) -> tuple[Ticket, list[Ticket]]:
        """Admits a request to a slot or to the queue.

        Returns:
            The ticket of the request, and the tickets that it delays too much:
            these have been removed and must be refused.

        Raises:
            errors.RequestError: The request is refused.
        """
        self._last_number += 1
        self.concurrency.relax(now_s)
        self._rates.setdefault(request.priority, event_rates.EventRate()).add(
            now_s
        )
        ticket = self._make_ticket(now_s, request)
        if not self._waiting and self._can_start(now_s, ticket):
            if now_s + ANSWER_TRANSIT_S > request.finish_by_s:
                raise self._refusal(0.0, "no time is left")
            self._start(now_s, ticket)
            return ticket, []
        self._check_wait(now_s, ticket)
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda t: t.sort_key)
        return ticket, self._evict(now_s)

    def _can_start(self, now_s: float, ticket: Ticket) -> bool:
        return (
            len(self._running) < self.slots
            and self._limit_delay_s(now_s, ticket, 0) <= 0
        )

    def _start(self, now_s: float, ticket: Ticket) -> None:
        run = self.concurrency.start(len(self._running) + 1)
        self._running[ticket.number] = run
        self.limit.on_request(now_s)

    def _limit_delay_s(
        self, now_s: float, ticket: Ticket, requests_ahead: int
    ) -> float:
        """Returns how long the limit delays a request, in seconds."""
        if self.limit.per_s is None:
            return 0.0
        reserved = 0
        if self._urgent_share(now_s, ticket) > MIN_URGENT_SHARE:
            reserved = RESERVED_REQUESTS
        return self.limit.delay_s(now_s, requests_ahead + reserved)

    def _make_ticket(self, now_s: float, request: SlotRequest) -> Ticket:
        total_s = self.run_s(request) + ANSWER_TRANSIT_S
        start_by_s = min(request.target_at_s, request.finish_by_s) - total_s
        is_late = start_by_s < now_s
        if is_late:
            start_by_s = min(
                request.finish_by_s - total_s,
                now_s + LATE_WAIT_SHARE * request.target_s,
            )
        return Ticket(self._last_number, request, is_late, start_by_s)

    def is_running(self, ticket: Ticket) -> bool:
        """Returns whether a request holds a slot."""
        return ticket.number in self._running

    def release(
        self,
        ticket: Ticket,
        ran_s: float | None = None,
        aborted: bool = False,
        now_s: float | None = None,
        elsewhere_s: float = 0.0,
    ) -> None:
        """Removes a request from its slot or from the queue.

        Args:
            ticket: The request's ticket.
            ran_s: Run time in seconds; None if the request did not reach the
                upstream, or failed early.
            aborted: Whether the run was aborted, so that `ran_s` is a lower
                bound. Without these runs, an upstream too slow to answer in
                time would seem as fast as before.
            now_s: Monotonic time in seconds; None if the run does not count
                for the learned limit.
            elsewhere_s: Part of the run time by which calls to other services
                took longer than usual, in seconds.
        """
        running = len(self._running)
        run = self._running.pop(ticket.number, None)
        self._waiting = [t for t in self._waiting if t.number != ticket.number]
        if ran_s is None:
            return
        request = ticket.request
        if run is not None and now_s is not None:
            self.concurrency.end(
                now_s,
                run,
                running,
                request.route,
                max(MIN_OWN_SHARE * ran_s, ran_s - elsewhere_s),
                aborted,
            )
        new = _Average(self._initial_run_s(request))
        averages = [self._run_s.setdefault(request.route, new), self._mean]
        for average in averages:
            if aborted:
                average.add_lower_bound(ran_s)
            else:
                average.add(ran_s)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Discards the run times of removed routes."""
        self._run_s = {k: v for k, v in self._run_s.items() if k in routes}
        self.concurrency.keep_only(routes)

    def start_queued(self, now_s: float) -> tuple[list[Ticket], list[Ticket]]:
        """Assigns free slots to waiting requests.

        Returns:
            Tickets that hold a slot now, and removed tickets that can no
            longer be answered in time and must be refused.
        """
        refused = self._evict(now_s)
        started = []
        while self._waiting and self._can_start(now_s, self._waiting[0]):
            ticket = self._waiting.pop(0)
            self._start(now_s, ticket)
            started.append(ticket)
        return started, refused

    def next_start_delay_s(self, now_s: float) -> float | None:
        """Returns when the limit lets a waiting request start, in seconds.

        Returns:
            The delay; None if no request waits or all slots are taken.
        """
        if not self._waiting or len(self._running) >= self.slots:
            return None
        return self._limit_delay_s(now_s, self._waiting[0], 0)

    def refuse_all(self) -> list[Ticket]:
        """Empties the queue and returns its tickets, which must be refused."""
        refused, self._waiting = self._waiting, []
        return refused

    def wait_s(self, requests_ahead: int) -> float:
        """Returns the expected wait behind a queue length, in seconds."""
        slots = max(1, self.concurrency.expected)
        excess = len(self._running) + requests_ahead - self.slots + 1
        return max(0, excess) * self._mean.value / slots

    def retry_after_s(self, now_s: float) -> float:
        """Returns the expected wait of one more request, within the limits."""
        wait_s = max(
            self.wait_s(len(self._waiting)),
            self.limit.retry_after_s(now_s, len(self._waiting)),
        )
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _check_wait(self, now_s: float, ticket: Ticket) -> None:
        requests_ahead = sum(
            1 for t in self._waiting if t.sort_key < ticket.sort_key
        )
        wait_s = max(
            self.wait_s(requests_ahead),
            self._limit_delay_s(now_s, ticket, requests_ahead),
        ) / (1 - self._urgent_share(now_s, ticket))
        if wait_s > WAIT_SHARE * (ticket.start_by_s - now_s):
            limit = self.limit.per_s
            raise self._refusal(
                self.retry_after_s(now_s),
                f"{self.running} run, {self.waiting} wait,"
                f" {requests_ahead} go first"
                + ("" if limit is None else f", limit {limit:g}/s"),
            )

    def _urgent_share(self, now_s: float, ticket: Ticket) -> float:
        """Returns the expected share of capacity for more urgent requests."""
        per_second = sum(
            rate.per_second(now_s)
            for priority, rate in self._rates.items()
            if priority < ticket.request.priority
        )
        share = per_second * max(
            self._mean.value / max(1, self.slots), self.limit.interval_s
        )
        return min(MAX_URGENT_SHARE, share)

    def _evict(self, now_s: float) -> list[Ticket]:
        """Removes requests that can no longer start in time."""
        kept: list[Ticket] = []
        refused = []
        for ticket in self._waiting:
            # The first in the queue starts with the next free slot.
            wait_s = max(
                self.wait_s(len(kept) - 1),
                self._limit_delay_s(now_s, ticket, len(kept)),
            )
            if now_s + wait_s > ticket.start_by_s:
                refused.append(ticket)
            else:
                kept.append(ticket)
        self._waiting = kept
        return refused

    def _refusal(self, after_s: float, detail: str) -> errors.RequestError:
        return errors.RequestError(errors.Code.SLOTS_FULL, detail, after_s)
