"""Memory budget for the message bodies that a daemon holds.

Bodies are buffered completely, and a faulty peer may send endless bodies on
several connections. The budget covers all connections. When it is exhausted,
the largest incomplete body is evicted, so that messages of usual size proceed
beside an endless one.

An example is an instance on a host of 200 MB that answers on each of its slots
with an endless body, while other requests are served.
"""

import sys
from typing import Protocol

# Share of the host's memory for bodies. A body of 64 MiB, the limit of callers,
# fits on a host of 200 MB. Bodies are sent on without a copy of the whole, but
# one that has just arrived exists twice while its pieces are joined.
MEMORY_SHARE = 0.33
MEGABYTE = 1_048_576
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
    """

    def __init__(self, limit: int = NO_LIMIT):
        self.limit = limit
        self.used = 0
        self._incomplete: dict[BodyHolder, int] = {}
        self._complete: dict[object, int] = {}

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
            self._complete[new_holder] = (
                self._complete.get(new_holder, 0) + size
            )

    def release(self, holder: object) -> None:
        """Releases the bytes of a holder."""
        self.used -= self._complete.pop(holder, 0)
        self.used -= self._incomplete.pop(holder, 0)  # type: ignore[call-overload]

    def has_room(self, size: int) -> bool:
        """Returns whether `size` further bytes are within the limit."""
        return self.used + size <= self.limit

    def hold(self, holder: object, size: int) -> None:
        """Counts bytes that can't be evicted until they are released."""
        self.used += size
        self._complete[holder] = self._complete.get(holder, 0) + size
