"""Recognises an upstream that has stopped answering.

A host that is dark takes no connection and answers nothing on those it has; a
request sent to it would wait for its whole timeout. The gate is closed while
the upstream gives no sign of life for much longer than its requests run, and
one request at a time tries whether it is back.
"""

import math

# Times the average run time, and at the least in seconds, after which an
# upstream without an answer is taken for silent. Single requests run five
# times as long as the average.
RUN_FACTOR = 6.0
MIN_SILENCE_S = 0.6
# Pause between tries while it is silent or can't be reached, in seconds.
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0


class CircuitBreaker:
    """Signs of life of one upstream."""

    def __init__(self) -> None:
        self._running: dict[str, float] = {}
        self._heard_s = -math.inf
        self._closed_until_s = -math.inf
        self._pause_s = FIRST_PAUSE_S

    def reset(self) -> None:
        """Opens the gate: another lifetime has begun."""
        self._closed_until_s = -math.inf
        self._pause_s = FIRST_PAUSE_S
        self._running.clear()

    def on_started(self, attempt: str, now_s: float) -> None:
        """Notes that a request was sent."""
        self._running[attempt] = now_s

    def on_ended(self, attempt: str, heard: bool, now_s: float) -> None:
        """Notes the end of a request; `heard` if the upstream answered."""
        self._running.pop(attempt, None)
        if heard:
            self._heard_s = now_s
            self._pause_s = FIRST_PAUSE_S
            self._closed_until_s = -math.inf

    def on_unreachable(self, now_s: float) -> None:
        """Notes that no connection could be made."""
        self._rest(now_s)

    def is_open(self, now_s: float) -> bool:
        """Returns whether nothing is let through now."""
        return now_s < self._closed_until_s

    def should_reject(self, mean_run_s: float, now_s: float) -> bool:
        """Returns whether new requests are to be kept away."""
        if self.is_open(now_s):
            return True
        if not self._is_silent(mean_run_s, now_s):
            return False
        # The request that asks goes through; those after it do not.
        self._rest(now_s)
        return False

    def _is_silent(self, mean_run_s: float, now_s: float) -> bool:
        if not self._running:
            return False
        oldest_s = min(self._running.values())
        quiet_s = now_s - max(oldest_s, self._heard_s)
        return quiet_s > max(MIN_SILENCE_S, RUN_FACTOR * mean_run_s)

    def _rest(self, now_s: float) -> None:
        self._closed_until_s = now_s + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
