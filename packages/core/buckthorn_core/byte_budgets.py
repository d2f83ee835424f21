"""How many bytes of bodies a daemon holds at the same time.

Bodies are held whole, and a peer in trouble may send bytes without end on
several connections. What is held is counted over all of them. When the budget
is spent, the message that holds most of what is still arriving is given up:
answers and uploads of usual size go on beside one that does not end.

The load pattern: an instance answers each of its slots with a body that does
not end, on a host of 200 MB, while callers of other requests are served.
"""

import sys
from typing import Protocol

# Share of the host's memory that bodies may take. Each is copied up to four
# times on its way: pieces, body, frame between daemons, bytes being written.
MEMORY_SHARE = 0.15
MEGABYTE = 1_048_576
NO_LIMIT = sys.maxsize


def from_host_memory(memory_mb: float) -> "ByteBudget":
    """Returns the budget of a host with an amount of memory in megabytes."""
    return ByteBudget(int(memory_mb * MEGABYTE * MEMORY_SHARE))


class BodyHolder(Protocol):
    """A message whose body is arriving or held."""

    def abort_body(self) -> None:
        """Ends the message: the budget is spent."""


class ByteBudget:
    """Bytes of bodies by the message that holds them.

    Attributes:
        limit: The most that all hold together, in bytes.
        used: What they hold, in bytes.
    """

    def __init__(self, limit: int = NO_LIMIT):
        self.limit = limit
        self.used = 0
        self._arriving: dict[BodyHolder, int] = {}
        self._whole: dict[object, int] = {}

    def add(self, holder: BodyHolder, size: int) -> list[BodyHolder]:
        """Counts bytes that have arrived.

        Returns:
            The messages to give up. They are not counted any more.
        """
        self.used += size
        self._arriving[holder] = self._arriving.get(holder, 0) + size
        given_up = []
        while self.used > self.limit and self._arriving:
            largest = max(self._arriving, key=self._arriving.__getitem__)
            self.release(largest)
            given_up.append(largest)
        return given_up

    def transfer(self, holder: BodyHolder, whole: object) -> None:
        """Counts a body that is complete for the one that holds it now."""
        size = self._arriving.pop(holder, 0)
        if size:
            self._whole[whole] = self._whole.get(whole, 0) + size

    def release(self, holder: object) -> None:
        """Notes that a body is not held any more."""
        self.used -= self._whole.pop(holder, 0)
        self.used -= self._arriving.pop(holder, 0)  # type: ignore[call-overload]
