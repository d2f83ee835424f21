"""Admission of requests to an upstream."""

import collections
from typing import NamedTuple

from buckthorn_core import errors

# Service time assumed before any request has finished, in seconds.
INITIAL_SERVICE_TIME_S = 0.02
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0


class Limits(NamedTuple):
    """Limits of one upstream.

    Attributes:
        slots: Number of requests that run concurrently.
        connections: Most requests in slots and in the queue together.
    """

    slots: int
    connections: int


class Ticket(NamedTuple):
    """A request's place in a slot or in the queue.

    Attributes:
        number: Sequence number of the request.
        deadline_s: Deadline of the request; monotonic time in seconds.
    """

    number: int
    deadline_s: float


class AdmissionQueue:
    """Assigns the slots of an upstream, in order of arrival.

    A request that can't start before its deadline is refused at once. The
    requests in slots and in the queue together never exceed the connections.

    Attributes:
        closed: Whether all new requests are refused because the upstream
            leaves.
    """

    def __init__(self, limits: Limits):
        self._limits = limits
        self._running: set[int] = set()
        self._waiting: collections.OrderedDict[int, Ticket] = (
            collections.OrderedDict()
        )
        self._last_number = 0
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

        The number of slots may drop to 0 while requests that another daemon
        admitted still hold them.
        """
        self._limits = limits

    def admit(self, now_s: float, deadline_s: float) -> Ticket:
        """Admits a request to a slot or to the queue.

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
        total = len(self._running) + len(self._waiting)
        if now_s + wait_s >= deadline_s or total >= self._limits.connections:
            raise errors.RequestError(
                errors.Code.SLOTS_FULL,
                f"{len(self._running)} run, {len(self._waiting)} wait",
                min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
            )
        self._last_number += 1
        ticket = Ticket(self._last_number, deadline_s)
        if not self._waiting and len(self._running) < self._limits.slots:
            self._running.add(ticket.number)
        else:
            self._waiting[ticket.number] = ticket
        return ticket

    def is_running(self, ticket: Ticket) -> bool:
        """Returns whether a request holds a slot."""
        return ticket.number in self._running

    def release(
        self, ticket: Ticket, ran_s: float | None = None
    ) -> list[Ticket]:
        """Removes a request from its slot or from the queue.

        Args:
            ticket: The request's ticket.
            ran_s: Run time in seconds; None if the request did not run.

        Returns:
            Tickets that have just got a slot.
        """
        self._running.discard(ticket.number)
        self._waiting.pop(ticket.number, None)
        if ran_s is not None:
            change = ran_s - self._service_time_s
            self._service_time_s += SERVICE_TIME_SMOOTHING * change
        return self.start_queued()

    def start_queued(self) -> list[Ticket]:
        """Assigns free slots to waiting requests and returns their tickets."""
        started = []
        while self._waiting and len(self._running) < self._limits.slots:
            _, ticket = self._waiting.popitem(last=False)
            self._running.add(ticket.number)
            started.append(ticket)
        return started

    def _expected_wait_s(self) -> float:
        excess = len(self._running) + len(self._waiting) - self._limits.slots
        if excess < 0:
            return 0.0
        slots = max(1, self._limits.slots)
        return (excess + 1) * self._service_time_s / slots
