"""Least rate of transfers with callers.

A caller that sends a body, or reads a response, slower than the least rate for
longer than a grace period is taken for stalled. An example is a caller that
sends all of a body but its last byte and keeps the connection open.
"""

# 5 Mbit/s shared by 2,400 callers leave this much to each of them, in bytes a
# second.
LEAST_RATE = 256
# Shortest time over which the rate is measured, in seconds. A receiver
# acknowledges in steps of up to 64 KB.
MIN_WINDOW_S = 3.0


class TransferRate:
    """Tells whether a transfer moves at the least rate.

    Attributes:
        since_s: Start of the time for which it has been slower, in seconds of
            the caller's clock.
    """

    __slots__ = ("_start", "since_s")

    def __init__(self, now_s: float):
        self.since_s = now_s
        self._start = 0

    def reset(self, now_s: float, total: int) -> None:
        """Starts anew, as for a new transfer or after a pause."""
        self.since_s = now_s
        self._start = total

    def is_stalled(self, now_s: float, total: int, grace_s: float) -> bool:
        """Returns whether the transfer was too slow for the grace period.

        Args:
            now_s: The time, in seconds.
            total: Bytes transferred since the first call.
            grace_s: The grace period, in seconds.
        """
        elapsed_s = now_s - self.since_s
        moved = total - self._start
        if moved >= LEAST_RATE * max(elapsed_s, MIN_WINDOW_S):
            self.reset(now_s, total)
            return False
        return elapsed_s > grace_s
