"""Counters of control messages between daemons, by kind and scope."""

import collections
import enum


class Scope(enum.Enum):
    """Whether a message stays in its region or crosses regions."""

    LOCAL = "local"
    REGION = "region"


class ControlTraffic:
    """Messages and bytes sent, by kind of message and scope."""

    def __init__(self) -> None:
        self.messages: collections.Counter[tuple[str, Scope]] = (
            collections.Counter()
        )
        self.bytes: collections.Counter[tuple[str, Scope]] = (
            collections.Counter()
        )

    def add(self, kind: str, scope: Scope, size: int) -> None:
        """Counts one message of `size` bytes."""
        self.messages[(kind, scope)] += 1
        self.bytes[(kind, scope)] += size

    def total(self, scope: Scope) -> int:
        """Returns the number of bytes sent within a scope."""
        return sum(n for (_, where), n in self.bytes.items() if where is scope)
