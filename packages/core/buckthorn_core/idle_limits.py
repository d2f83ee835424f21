"""Limit of the idle time after which an upstream connection is not reused.

A device between the ends may drop idle connections earlier than the upstream
states. The next request is then reset, and its outcome is unknown if it must
not run twice. The limit drops below the idle time at which a connection was
reset, and grows again while no further one is.
"""

# Upstreams close idle connections after 10 s.
MAX_IDLE_S = 4.0
MIN_IDLE_S = 0.05
# Limit after a reset, as a share of that connection's idle time.
RESET_FACTOR = 0.5
# Time in which the limit doubles after a reset, in seconds.
DOUBLING_TIME_S = 10.0


class IdleLimit:
    """Idle limit of the connections to one upstream."""

    def __init__(self) -> None:
        self._limit_s = MAX_IDLE_S
        self._lowered_s = 0.0

    def on_reset(self, idle_s: float, now_s: float) -> None:
        """Lowers the limit after a reset of an idle connection.

        Args:
            idle_s: Idle time of that connection, in seconds.
            now_s: Monotonic time in seconds.
        """
        limit_s = max(MIN_IDLE_S, RESET_FACTOR * idle_s)
        self._limit_s = min(self.limit_s(now_s), limit_s)
        self._lowered_s = now_s

    def limit_s(self, now_s: float) -> float:
        """Returns the current limit, in seconds."""
        growth = 2 ** min(
            20.0, max(0.0, now_s - self._lowered_s) / DOUBLING_TIME_S
        )
        return min(MAX_IDLE_S, self._limit_s * growth)
