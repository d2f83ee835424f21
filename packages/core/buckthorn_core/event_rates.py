"""Rate of events, averaged with exponential decay."""

import math

# Time constant of the average, in seconds.
TIME_CONSTANT_S = 2.0


class EventRate:
    """Events per second; times are monotonic, in seconds."""

    __slots__ = ("_per_second", "_updated_s")

    def __init__(self) -> None:
        self._updated_s = 0.0
        self._per_second = 0.0

    def add(self, now_s: float) -> None:
        """Counts an event."""
        self._per_second = self.per_second(now_s) + 1 / TIME_CONSTANT_S
        self._updated_s = now_s

    def per_second(self, now_s: float) -> float:
        """Returns the average rate, in events per second."""
        return self._per_second * math.exp(
            (self._updated_s - now_s) / TIME_CONSTANT_S
        )
