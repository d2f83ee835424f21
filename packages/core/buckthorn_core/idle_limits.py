"""How long a connection to an upstream may be idle and still be used.

Something between the ends may forget idle connections sooner than the
upstream says; what is sent next is reset, and for a request that must not run
twice its outcome is unknown. The limit falls below the idle time at which a
connection was lost, and grows again while none is.
"""

# Upstreams close idle connections after 10 s.
MAX_IDLE_S = 4.0
MIN_IDLE_S = 0.05
# The limit after a loss, as a share of that connection's idle time.
LOSS_SHARE = 0.5
# Time in which the limit doubles again, in seconds.
DOUBLE_S = 10.0


class IdleLimit:
    """The limit of one upstream."""

    def __init__(self) -> None:
        self._limit_s = MAX_IDLE_S
        self._set_s = 0.0

    def on_reset(self, idle_s: float, now_s: float) -> None:
        """Notes a connection that was reset after an idle time."""
        limit_s = max(MIN_IDLE_S, LOSS_SHARE * idle_s)
        self._limit_s = min(self.limit_s(now_s), limit_s)
        self._set_s = now_s

    def limit_s(self, now_s: float) -> float:
        """Returns the longest idle time, in seconds."""
        growth = 2 ** min(20.0, max(0.0, now_s - self._set_s) / DOUBLE_S)
        return min(MAX_IDLE_S, self._limit_s * growth)
