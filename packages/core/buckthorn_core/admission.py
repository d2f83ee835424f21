"""Admission of requests beside the upstream."""

import collections
from typing import NamedTuple

from buckthorn_core import errors

# Before any request has finished, a slot is taken to last this long.
INITIAL_SERVICE_TIME_S = 0.02
SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Limits(NamedTuple):
    """Limits of one upstream."""

    slots: int
    connections: int


class Ticket(NamedTuple):
    """Place of a request in the queue or in a slot."""

    number: int
    deadline_s: float


class AdmissionQueue:
    """Counts slots and waiting requests exactly.

    A request that can't start before its deadline is refused at once. The
    requests in slots and in the queue together never exceed the connections.
    """

    def __init__(self, limits: Limits):
        self._limits = limits
        self._running: set[int] = set()
        self._waiting: collections.OrderedDict[int, Ticket] = (
            collections.OrderedDict()
        )
        self._numbers = 0
        self._service_time_s = INITIAL_SERVICE_TIME_S
        self.closed = False

    @property
    def running(self) -> int:
        """Number of requests in slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self._running and not self._waiting

    def set_limits(self, limits: Limits) -> None:
        """Changes the limits; requests in slots keep running.

        The slots may be none or fewer for a while, when other work takes
        them.
        """
        self._limits = limits

    def admit(self, now_s: float, deadline_s: float) -> Ticket:
        """Takes a request in, into a slot or the queue.

        Raises:
            errors.RequestError: The request is refused; it has not run.
        """
        if self.closed:
            raise errors.RequestError(
                errors.Code.DRAINING, "the upstream is leaving", 0.0
            )
        if now_s >= deadline_s:
            raise errors.RequestError(
                errors.Code.DEADLINE_PASSED, "the deadline has passed"
            )
        wait_s = self._expected_wait_s()
        held = len(self._running) + len(self._waiting)
        if now_s + wait_s >= deadline_s or held >= self._limits.connections:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                f"{len(self._running)} run, {len(self._waiting)} wait",
                min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
            )
        self._numbers += 1
        ticket = Ticket(self._numbers, deadline_s)
        if not self._waiting and len(self._running) < self._limits.slots:
            self._running.add(ticket.number)
        else:
            self._waiting[ticket.number] = ticket
        return ticket

    def is_running(self, ticket: Ticket) -> bool:
        """Returns whether a request has its slot."""
        return ticket.number in self._running

    def release(
        self, ticket: Ticket, ran_s: float | None = None
    ) -> list[Ticket]:
        """Frees the place of a request.

        Args:
            ticket: The request's ticket.
            ran_s: How long the upstream took, in seconds; None if it did
                not run.

        Returns:
            Tickets that have a slot now.
        """
        self._running.discard(ticket.number)
        self._waiting.pop(ticket.number, None)
        if ran_s is not None:
            change = ran_s - self._service_time_s
            self._service_time_s += SMOOTHING * change
        return self.start_queued()

    def start_queued(self) -> list[Ticket]:
        """Gives free slots to those that wait and returns their tickets."""
        started = []
        while self._waiting and len(self._running) < self._limits.slots:
            _, first = self._waiting.popitem(last=False)
            self._running.add(first.number)
            started.append(first)
        return started

    def _expected_wait_s(self) -> float:
        ahead = len(self._running) + len(self._waiting) - self._limits.slots
        if ahead < 0:
            return 0.0
        slots = max(1, self._limits.slots)
        return (ahead + 1) * self._service_time_s / slots
