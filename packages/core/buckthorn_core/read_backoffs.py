"""Delays between reads of a log that does not answer."""

import random
from typing import NamedTuple

from buckthorn_core import feed_trees


class BackoffLimits(NamedTuple):
    """The first and the longest delay, in seconds; each doubles the last."""

    initial_s: float
    max_s: float


# For the root of a region. A version must be in force 2.5 s after its
# acceptance, so the longest delay is well below that.
READER_LIMITS = BackoffLimits(0.1, 1.0)
# For daemons with a feed. If the log is down for all of them, the readers of
# the regions try often enough, and no version has to be in force until the log
# has been back for 3 s.
FED_LIMITS = BackoffLimits(0.4, 2.0)


class ReadBackoff:
    """Exponential backoff with jitter, which spreads the retries of daemons.

    The jitter takes off up to half of the delay.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Starts again with the first delay."""
        self._failures = 0

    def next_delay_s(self, mode: feed_trees.ReadMode) -> float:
        """Counts a failed read; returns the delay before the next, in seconds.

        Args:
            mode: How the topic is read.
        """
        limits = (
            FED_LIMITS if mode is feed_trees.ReadMode.ONCE else READER_LIMITS
        )
        delay_s = min(limits.max_s, limits.initial_s * 2.0**self._failures)
        self._failures += 1
        return delay_s * (0.5 + 0.5 * self._rng.random())
