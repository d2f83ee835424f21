"""Counters of control bytes, by kind and scope."""

import collections
import enum


class Scope(enum.Enum):
    """Whether bytes cross regions."""

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
        """Counts one message."""
        self.messages[(kind, scope)] += 1
        self.bytes[(kind, scope)] += size

    def total(self, scope: Scope) -> int:
        """Returns all bytes of a scope."""
        return sum(n for (_, where), n in self.bytes.items() if where is scope)
