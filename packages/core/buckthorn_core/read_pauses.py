"""Pauses between reads of a log that does not answer."""

import random
from typing import NamedTuple

from buckthorn_core import feed_trees


class Pauses(NamedTuple):
    """The first and the longest pause, in seconds; each doubles the last."""

    first_s: float
    most_s: float


# The longest pause stays well below the time in which a version must be in
# force, 2.5 s after its acceptance.
READER = Pauses(0.1, 1.0)
# When the log is away for all, those that read it for a region try often
# enough. No version has to be in force until the log has been back for 3 s.
FED = Pauses(0.4, 2.0)


class ReadPauses:
    """Doubles the pause with each failed read, and spreads those of many."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Begins with the first pause again."""
        self._failures = 0

    def next_s(self, reading: feed_trees.Reading) -> float:
        """Notes a failed read; returns the pause until the next, in seconds."""
        pauses = FED if reading is feed_trees.Reading.ONCE else READER
        pause_s = min(pauses.most_s, pauses.first_s * 2.0**self._failures)
        self._failures += 1
        return pause_s * (0.5 + 0.5 * self._rng.random())
