"""Admission to an upstream's slots: which request runs, waits or is refused.

The daemon beside an upstream never has more requests at it than it has slots,
since some upstreams never answer what they can't queue. What waits here is
ordered by urgency, and among equals by the callers' deadlines: callers that
come back after a refusal, and calls of requests that hold a slot elsewhere,
have less time left than new ones. A request is refused at once when it can't
start in time behind those that go first, and refused later only when more
urgent work arrives and pushes it back.

The queue is kept short. Slots stay busy with a few requests waiting; every
further one makes all behind it late without one more being served.
"""

import math
from typing import NamedTuple

from buckthorn_core import errors
from buckthorn_core import ids

# Average run time before anything has run, in seconds. The calls of both
# meshes take 20 to 300 ms.
INITIAL_RUN_S = 0.15
# Run time of a route before a request of it has run, as a share of its target.
INITIAL_RUN_SHARE = 0.35
# Weight of the newest run time in the average. The first ones count more.
SMOOTHING = 0.1
# An upstream that says it warms up runs this much longer, as both meshes state
# it. Until its first runs have ended, requests that would be late would take
# the slots of those that can still be in time.
WARMUP_FACTOR = 2.0
# Share of the time until a request must start that it may be expected to
# wait. Run times vary by a third, so an expected wait up to the last moment
# would make half of what waits that long late; and a caller that is refused
# early can still come back in time.
WAIT_SHARE = 0.3
# Time over which the rate of arrivals is averaged, in seconds.
RATE_S = 2.0
# More urgent work is never taken to need more than this share of the slots.
MAX_URGENT_SHARE = 0.9
# Share of its target that late work may wait: it earns little, and it must
# not be held for long and then refused.
LATE_WAIT_SHARE = 0.25
# An answer needs this long for its way back to the caller, in seconds. The
# links of the meshes take 8 ms to callers and up to 20 ms between regions.
RETURN_S = 0.03
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class SlotRequest(NamedTuple):
    """A request that asks for a slot.

    Attributes:
        route: Its route.
        priority: Rank; 0 is the most urgent.
        caller_until_s: Until then the caller waits; steady time.
        target_at_s: Until then an answer has its full value; steady time.
        finish_by_s: Until then an answer is of use; steady time.
        target_s: The route's target, in seconds.
    """

    route: ids.RouteName
    priority: int
    caller_until_s: float
    target_at_s: float
    finish_by_s: float
    target_s: float


class Ticket(NamedTuple):
    """Place of a request in a slot or in the queue.

    Attributes:
        number: Counts the requests.
        work: The request.
        late: Whether it can't meet its target any more.
        start_by_s: When it must start to be answered in time; steady time.
    """

    number: int
    request: SlotRequest
    late: bool
    start_by_s: float

    @property
    def rank(self) -> tuple[bool, int, float, int]:
        """Sort key of the queue: the smallest goes first."""
        request = self.request
        return (
            self.late,
            request.priority,
            request.caller_until_s,
            self.number,
        )


class _Average:
    """An exponential average that follows its first values closely."""

    __slots__ = ("_count", "value")

    def __init__(self, initial: float):
        self.value = initial
        self._count = 0

    def add(self, value: float) -> None:
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        self.value += weight * (value - self.value)

    def add_at_least(self, value: float) -> None:
        """Adds a run that was cut; only its least length is known."""
        if value > self.value:
            self.add(value)


class _Rate:
    """Arrivals a second, averaged with exponential decay."""

    __slots__ = ("_at_s", "_per_s")

    def __init__(self) -> None:
        self._at_s = 0.0
        self._per_s = 0.0

    def add(self, now_s: float) -> None:
        self._per_s = self.per_s(now_s) + 1 / RATE_S
        self._at_s = now_s

    def per_s(self, now_s: float) -> float:
        return self._per_s * math.exp((self._at_s - now_s) / RATE_S)


class SlotQueue:
    """Counts the slots of one upstream and orders what waits for them.

    Attributes:
        slots: How many requests the upstream runs at the same time.
        warming: Whether it says that it warms up.
    """

    def __init__(self, slots: int = 0):
        self.slots = slots
        self.warming = False
        self._running: set[int] = set()
        self._waiting: list[Ticket] = []
        self._numbers = 0
        self._run_s: dict[ids.RouteName, _Average] = {}
        self._mean = _Average(INITIAL_RUN_S)
        self._rates: dict[int, _Rate] = {}

    def reset(self, slots: int, warming: bool) -> None:
        """Forgets the run times of a lifetime that has been replaced."""
        self.slots = slots
        self.warming = warming
        self._run_s.clear()
        self._mean = _Average(INITIAL_RUN_S * self._warmup_factor)

    @property
    def _warmup_factor(self) -> float:
        return WARMUP_FACTOR if self.warming else 1.0

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
        """Returns how long a request is expected to run, in seconds."""
        found = self._run_s.get(request.route)
        return self._first_run_s(request) if found is None else found.value

    def _first_run_s(self, request: SlotRequest) -> float:
        return INITIAL_RUN_SHARE * request.target_s * self._warmup_factor

    def admit(
        self, now_s: float, request: SlotRequest
    ) -> tuple[Ticket, list[Ticket]]:
        """Takes a request in, into a slot or the queue.

        Returns:
            The ticket, and those that it pushed back too far: they have been
            removed and are to be refused.

        Raises:
            errors.RequestError: The request is refused.
        """
        self._numbers += 1
        self._rates.setdefault(request.priority, _Rate()).add(now_s)
        ticket = self._ticket(now_s, request)
        if len(self._running) < self.slots and not self._waiting:
            if now_s + RETURN_S > request.finish_by_s:
                raise self._refusal(0.0, "no time is left")
            self._running.add(ticket.number)
            return ticket, []
        self._check_wait(now_s, ticket)
        self._waiting.append(ticket)
        self._waiting.sort(key=lambda t: t.rank)
        return ticket, self._evict(now_s)

    def _ticket(self, now_s: float, request: SlotRequest) -> Ticket:
        needs_s = self.run_s(request) + RETURN_S
        start_by_s = min(request.target_at_s, request.finish_by_s) - needs_s
        late = start_by_s < now_s
        if late:
            start_by_s = min(
                request.finish_by_s - needs_s,
                now_s + LATE_WAIT_SHARE * request.target_s,
            )
        return Ticket(self._numbers, request, late, start_by_s)

    def is_running(self, ticket: Ticket) -> bool:
        """Returns whether a request has its slot."""
        return ticket.number in self._running

    def release(
        self, ticket: Ticket, ran_s: float | None = None, aborted: bool = False
    ) -> None:
        """Frees the place of a request.

        Args:
            ticket: The request's ticket.
            ran_s: How long the upstream took, in seconds; None if the request
                did not reach it, or failed early.
            aborted: Whether the run was given up. It would have taken longer:
                without it, an upstream too slow to answer in time would seem
                as fast as before it slowed down.
        """
        self._running.discard(ticket.number)
        self._waiting = [t for t in self._waiting if t.number != ticket.number]
        if ran_s is None:
            return
        request = ticket.request
        new = _Average(self._first_run_s(request))
        averages = [self._run_s.setdefault(request.route, new), self._mean]
        for average in averages:
            if aborted:
                average.add_at_least(ran_s)
            else:
                average.add(ran_s)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Forgets the run times of routes that are gone."""
        self._run_s = {k: v for k, v in self._run_s.items() if k in routes}

    def start_queued(self, now_s: float) -> tuple[list[Ticket], list[Ticket]]:
        """Gives free slots to those that wait.

        Returns:
            Tickets that have a slot now, and tickets that can't be answered
            in time any more and are to be refused.
        """
        refused = self._evict(now_s)
        started = []
        while self._waiting and len(self._running) < self.slots:
            ticket = self._waiting.pop(0)
            self._running.add(ticket.number)
            started.append(ticket)
        return started, refused

    def refuse_all(self) -> list[Ticket]:
        """Empties the queue; all that waited is to be refused."""
        refused, self._waiting = self._waiting, []
        return refused

    def wait_s(self, ahead: int) -> float:
        """Returns the expected wait behind a number of waiting requests."""
        slots = max(1, self.slots)
        busy = len(self._running) + ahead - self.slots + 1
        return max(0, busy) * self._mean.value / slots

    def retry_after_s(self) -> float:
        """Returns when room is expected for another request, in seconds."""
        wait_s = self.wait_s(len(self._waiting))
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _check_wait(self, now_s: float, ticket: Ticket) -> None:
        ahead = sum(1 for t in self._waiting if t.rank < ticket.rank)
        wait_s = self.wait_s(ahead) / (1 - self._urgent_share(now_s, ticket))
        if wait_s > WAIT_SHARE * (ticket.start_by_s - now_s):
            raise self._refusal(
                self.retry_after_s(),
                f"{self.running} run, {self.waiting} wait, {ahead} go first",
            )

    def _urgent_share(self, now_s: float, ticket: Ticket) -> float:
        """Returns the share of the slots that more urgent arrivals take."""
        per_s = sum(
            rate.per_s(now_s)
            for priority, rate in self._rates.items()
            if priority < ticket.request.priority
        )
        share = per_s * self._mean.value / max(1, self.slots)
        return min(MAX_URGENT_SHARE, share)

    def _evict(self, now_s: float) -> list[Ticket]:
        """Removes what can't start in time any more."""
        kept: list[Ticket] = []
        refused = []
        for ticket in self._waiting:
            # The first in the queue starts with the next free slot.
            wait_s = self.wait_s(len(kept) - 1)
            if now_s + wait_s > ticket.start_by_s:
                refused.append(ticket)
            else:
                kept.append(ticket)
        self._waiting = kept
        return refused

    def _refusal(self, after_s: float, why: str) -> errors.RequestError:
        return errors.RequestError(errors.Code.SLOTS_FULL, why, after_s)
