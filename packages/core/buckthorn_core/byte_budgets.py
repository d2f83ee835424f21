"""Memory budget for the message bodies that a daemon holds.

Bodies are buffered completely, and a faulty peer may send endless bodies on
several connections. The budget covers all connections. When it is exhausted,
the largest incomplete body is evicted, so that messages of usual size proceed
beside an endless one.

The same budget covers what callers' connections hold besides: heads, requests
that run, responses that wait for slow readers, and the connections themselves.

An example is an instance on a host of 200 MB that answers on each of its slots
with an endless body, while other requests are served.
"""

from collections.abc import Callable
import sys
from typing import Protocol

# Share of the host's memory for bodies. A body of 64 MiB, the limit of callers,
# fits on a host of 200 MB. Bodies are sent on without a copy of the whole, but
# one that has just arrived exists twice while its pieces are joined.
MEMORY_SHARE = 0.33
MEGABYTE = 1_048_576
# Above this share of the limit no further incomplete message is read, so that
# messages that arrive whole still find memory.
SHORT_SHARE = 0.8
# Above this share no request is run for a caller.
FULL_SHARE = 0.95
# Share that responses may fill while their callers read. The rest is left for
# requests.
RESPONSE_SHARE = 0.9
# A response that is larger than the above is kept if all else takes less than
# this share: it is the only large one.
SINGLE_SHARE = 0.1
# Share for responses that are kept for daemons whose connection was lost.
OUTCOME_SHARE = 0.1
NO_LIMIT = sys.maxsize


def from_host_memory(memory_mb: float) -> "ByteBudget":
    """Returns the budget for a host's memory, in megabytes."""
    return ByteBudget(int(memory_mb * MEGABYTE * MEMORY_SHARE))


class BodyHolder(Protocol):
    """A message whose body is being received or held."""

    def abort_body(self) -> None:
        """Aborts the message because the budget is exhausted."""


class ByteBudget:
    """Counts the bytes of bodies by the message that holds them.

    Attributes:
        limit: Maximum size of all bodies together, in bytes.
        used: Current size of all bodies together, in bytes.
        held: The part of it that can't be evicted, in bytes.
        on_room: Called when bytes are released and the budget is not short;
            None if nobody waits for it.
    """

    def __init__(self, limit: int = NO_LIMIT):
        self.limit = limit
        self.used = 0
        self.held = 0
        self.on_room: Callable[[], None] | None = None
        self._incomplete: dict[BodyHolder, int] = {}
        self._complete: dict[object, int] = {}

    @property
    def is_short(self) -> bool:
        """Whether incomplete messages must wait."""
        return self.used > SHORT_SHARE * self.limit

    @property
    def is_full(self) -> bool:
        """Whether new requests must be refused.

        Incomplete messages don't count, since they can be evicted: an upstream
        that sends an endless response must not keep requests out.
        """
        return self.held > FULL_SHARE * self.limit

    def has_room_for_response(self, size: int) -> bool:
        """Returns whether a response may wait for its reader, in bytes."""
        return (
            self.used + size <= RESPONSE_SHARE * self.limit
            or self.used <= SINGLE_SHARE * self.limit
        )

    def add(self, holder: BodyHolder, size: int) -> list[BodyHolder]:
        """Counts received bytes.

        Returns:
            The evicted messages, which must be aborted. They no longer count.
        """
        self.used += size
        self._incomplete[holder] = self._incomplete.get(holder, 0) + size
        evicted = []
        while self.used > self.limit and self._incomplete:
            largest = max(self._incomplete, key=self._incomplete.__getitem__)
            self.release(largest)
            evicted.append(largest)
        return evicted

    def transfer(self, holder: BodyHolder, new_holder: object) -> None:
        """Transfers a complete body to a new holder; it can't be evicted."""
        size = self._incomplete.pop(holder, 0)
        if size:
            self.held += size
            self._complete[new_holder] = (
                self._complete.get(new_holder, 0) + size
            )

    def hold(self, holder: object, size: int) -> None:
        """Sets the bytes of a holder that can't be evicted.

        They may exceed the limit; the holder's owner asks for room before.
        """
        before = self._complete.pop(holder, 0)
        if size:
            self._complete[holder] = size
        self.used += size - before
        self.held += size - before
        if size < before:
            self._notify()

    def release(self, holder: object) -> None:
        """Releases the bytes of a holder."""
        size = self._complete.pop(holder, 0)
        self.held -= size
        self.used -= size
        self.used -= self._incomplete.pop(holder, 0)  # type: ignore[call-overload]
        self._notify()

    def has_room(self, size: int) -> bool:
        """Returns whether `size` further bytes are within the limit."""
        return self.used + size <= self.limit

    def add_held(self, holder: object, size: int) -> None:
        """Counts further bytes of a holder that can't be evicted."""
        self.hold(holder, self._complete.get(holder, 0) + size)

    def _notify(self) -> None:
        if self.on_room is not None and not self.is_short:
            self.on_room()
