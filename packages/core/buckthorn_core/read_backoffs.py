"""Pauses between reads of a log that does not answer."""

import random
from typing import NamedTuple

from buckthorn_core import feed_trees


class BackoffLimits(NamedTuple):
    """The first and the longest pause, in seconds; each doubles the last."""

    initial_s: float
    max_s: float


# The longest pause stays well below the time in which a version must be in
# force, 2.5 s after its acceptance.
READER_LIMITS = BackoffLimits(0.1, 1.0)
# When the log is away for all, those that read it for a region try often
# enough. No version has to be in force until the log has been back for 3 s.
FED_LIMITS = BackoffLimits(0.4, 2.0)


class ReadBackoff:
    """Doubles the pause with each failed read, and spreads those of many."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Begins with the first pause again."""
        self._failures = 0

    def next_delay_s(self, reading: feed_trees.ReadMode) -> float:
        """Notes a failed read; returns the pause until the next, in seconds."""
        pauses = (
            FED_LIMITS if reading is feed_trees.ReadMode.ONCE else READER_LIMITS
        )
        pause_s = min(pauses.max_s, pauses.initial_s * 2.0**self._failures)
        self._failures += 1
        return pause_s * (0.5 + 0.5 * self._rng.random())
