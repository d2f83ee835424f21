"""Keeps callers from taking all memory and connections of a daemon.

When memory is short, first the reading of incomplete requests pauses, then
those that have waited are refused, then the connection that has stalled for the
longest time is closed. When all connections are taken, those are closed that
have been idle for the longest time.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from typing import Protocol

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import byte_budgets
from buckthorn_sidecar import acceptors

# Longest wait of a request for memory, in seconds. A caller that is refused
# after it still has most of its time for another daemon.
HELD_S = 1.0
# Time after which a slow transfer may be closed while memory is short, in
# seconds. Without a shortage it is the idle timeout.
STALLED_S = 8.0
# Least time for which a connection has been idle before it is closed for
# others, in seconds, and the share of the idle ones that is closed at a time.
IDLE_S = 1.0
IDLE_SHARE = 0.25

_logger = loguru.logger.bind(module=__name__)


class CallerConnection(Protocol):
    """A connection of a caller."""

    peer: str
    held_since_s: float | None
    last_activity_s: float
    has_sent: bool

    @property
    def busy(self) -> bool:
        """Whether a request or response is under way."""

    @property
    def incomplete(self) -> bool:
        """Whether part of a request has been received."""

    @property
    def held_bytes(self) -> int:
        """Memory that it takes, in bytes."""

    @property
    def stalled_since_s(self) -> float:
        """Since when its transfer has been slow."""

    def hold_reading(self) -> None:
        """Pauses reading until there is memory."""

    def release_reading(self) -> None:
        """Ends such a pause."""

    def refuse_held(self) -> None:
        """Refuses its incomplete request."""

    def is_stalled(self, now_s: float, grace_s: float) -> bool:
        """Returns whether its transfer was slow for a time."""

    def close_stalled(self) -> None:
        """Refuses what it has not sent completely, or closes it at once."""

    def close(self) -> None:
        """Closes it at once."""


class CallerGuard:
    """Pauses, refuses and closes connections of callers."""

    def __init__(
        self,
        budget: byte_budgets.ByteBudget,
        conns: Collection[CallerConnection],
        acceptor: acceptors.Acceptor,
        meter: metrics.Metrics | None = None,
    ):
        self._budget = budget
        self._conns = conns
        self._acceptor = acceptor
        self._meter = meter
        # The connection whose incomplete request may fill the rest of the
        # budget, so that at least one gets complete.
        self._first: CallerConnection | None = None
        # The connections that wait, in order.
        self._held: dict[CallerConnection, None] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        # Since when an account is short, in seconds.
        self._short_since_s: dict[str, float] = {}

    def on_incomplete(self, conn: CallerConnection) -> None:
        """Pauses a connection with part of a request, if memory is short."""
        if conn is self._first or conn in self._held:
            return
        if self._first is None or not self._first.incomplete:
            self._first = conn
            return
        self._held[conn] = None
        self._budget.on_room = self._release_all
        self._counts["paused"] += 1
        if self._meter is not None:
            self._meter.count("buckthorn_callers_paused")
        conn.hold_reading()

    def _release_all(self) -> None:
        self._budget.on_room = None
        held, self._held = self._held, {}
        for conn in held:
            conn.release_reading()

    def on_lost(self, conn: CallerConnection) -> None:
        """Forgets a connection that has ended."""
        self._held.pop(conn, None)
        if conn is self._first:
            self._first = None

    def has_room_for_response(self, size: int) -> bool:
        """Returns whether a response of a size in bytes may be kept."""
        if self._budget.has_room_for_response(size):
            return True
        self._counts["dropped"] += 1
        if self._meter is not None:
            self._meter.count("buckthorn_responses_dropped")
        return False

    def count_refused(self) -> None:
        """Counts a request that was refused for want of memory."""
        self._counts["refused"] += 1
        if self._meter is not None:
            self._meter.count("buckthorn_callers_refused")

    def count_closed(self) -> None:
        """Counts a connection that was closed as stalled or idle."""
        self._counts["closed"] += 1
        if self._meter is not None:
            self._meter.count("buckthorn_callers_closed")

    def check(self, now_s: float) -> None:
        """Refuses and closes what has waited or stalled for too long."""
        for conn in list(self._held):
            held_since_s = conn.held_since_s
            if held_since_s is None:
                self._held.pop(conn, None)
            elif now_s - held_since_s > HELD_S:
                del self._held[conn]
                conn.refuse_held()
        self._report("memory", self._budget.is_short, now_s)
        self._report("connections", self._acceptor.paused, now_s)
        if self._budget.is_short:
            self._close_oldest_stalled(now_s)
        if self._acceptor.paused:
            self._close_idle(now_s)

    def _close_oldest_stalled(self, now_s: float) -> None:
        stalled = [c for c in self._conns if c.is_stalled(now_s, STALLED_S)]
        for conn in sorted(stalled, key=lambda c: c.stalled_since_s):
            if not self._budget.is_short:
                break
            conn.close_stalled()

    def _close_idle(self, now_s: float) -> None:
        idle = [
            conn
            for conn in self._conns
            if not conn.busy and now_s - conn.last_activity_s > IDLE_S
        ]
        idle.sort(key=lambda c: (c.has_sent, c.last_activity_s))
        for conn in idle[: max(1, int(len(idle) * IDLE_SHARE))]:
            self.count_closed()
            conn.close()

    def _report(self, account: str, short: bool, now_s: float) -> None:
        """Logs when an account becomes short, and when it is not any more."""
        since_s = self._short_since_s.get(account)
        if short is (since_s is not None):
            return
        if since_s is None:
            self._short_since_s[account] = now_s
            peer, size = largest_peer(self._conns)
            _logger.warning(
                "callers_short",
                account=account,
                used_bytes=self._budget.used,
                connections=len(self._conns),
                peer=peer,
                peer_bytes=size,
            )
            return
        del self._short_since_s[account]
        counts, self._counts = self._counts, collections.Counter()
        _logger.info(
            "callers_have_room",
            account=account,
            seconds=round(now_s - since_s, 1),
            paused=counts["paused"],
            refused=counts["refused"],
            dropped=counts["dropped"],
            closed=counts["closed"],
        )


def largest_peer(conns: Iterable[CallerConnection]) -> tuple[str, int]:
    """Returns the address whose connections take most, and their bytes."""
    sizes: collections.Counter[str] = collections.Counter()
    for conn in conns:
        sizes[conn.peer] += conn.held_bytes
    return sizes.most_common(1)[0] if sizes else ("", 0)
