"""Circuit breaker for an upstream that has stopped answering.

An unreachable host accepts no connections and answers no requests on existing
ones; each request sent to it would wait for its whole timeout. The breaker is
open while the upstream has not answered for much longer than its requests
usually run. It then lets one request at a time through as a probe.
"""

import math

# An upstream counts as silent if it has not answered for this multiple of the
# average run time, and at least for MIN_SILENCE_S seconds. Single requests run
# five times as long as the average.
SILENCE_RUN_FACTOR = 6.0
MIN_SILENCE_S = 0.6
# Limits of the interval between probes, which doubles each time, in seconds.
MIN_PROBE_INTERVAL_S = 0.3
MAX_PROBE_INTERVAL_S = 2.0


class CircuitBreaker:
    """Circuit breaker of one upstream."""

    def __init__(self) -> None:
        self._running: dict[str, float] = {}
        self._last_answer_s = -math.inf
        self._open_until_s = -math.inf
        self._probe_interval_s = MIN_PROBE_INTERVAL_S

    def reset(self) -> None:
        """Closes the breaker, when a new lifetime has begun."""
        self._open_until_s = -math.inf
        self._probe_interval_s = MIN_PROBE_INTERVAL_S
        self._running.clear()

    def on_started(self, attempt: str, now_s: float) -> None:
        """Records a request that was sent."""
        self._running[attempt] = now_s

    def on_ended(self, attempt: str, answered: bool, now_s: float) -> None:
        """Records the end of a request, and whether the upstream answered."""
        self._running.pop(attempt, None)
        if answered:
            self._last_answer_s = now_s
            self._probe_interval_s = MIN_PROBE_INTERVAL_S
            self._open_until_s = -math.inf

    def on_unreachable(self, now_s: float) -> None:
        """Opens the breaker after a failed connection attempt."""
        self._open(now_s)

    def is_open(self, now_s: float) -> bool:
        """Returns whether all requests are rejected now."""
        return now_s < self._open_until_s

    def should_reject(self, mean_run_s: float, now_s: float) -> bool:
        """Returns whether a new request must be rejected.

        While the upstream is silent, one request per probe interval is let
        through as a probe; it opens the breaker for those after it.

        Args:
            mean_run_s: Average run time, in seconds.
            now_s: Monotonic time, in seconds.
        """
        if self.is_open(now_s):
            return True
        if not self._is_silent(mean_run_s, now_s):
            return False
        self._open(now_s)
        return False

    def _is_silent(self, mean_run_s: float, now_s: float) -> bool:
        if not self._running:
            return False
        oldest_start_s = min(self._running.values())
        silent_s = now_s - max(oldest_start_s, self._last_answer_s)
        return silent_s > max(MIN_SILENCE_S, SILENCE_RUN_FACTOR * mean_run_s)

    def _open(self, now_s: float) -> None:
        self._open_until_s = now_s + self._probe_interval_s
        self._probe_interval_s = min(
            MAX_PROBE_INTERVAL_S, 2 * self._probe_interval_s
        )
