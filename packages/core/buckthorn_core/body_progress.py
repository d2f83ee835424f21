"""Detection of silent connections by a lack of progress."""

# A daemon sends a heartbeat every 0.8 s (at most 0.96 s with jitter), so a
# connection without a byte for three seconds is silent.
SILENCE_TIMEOUT_S = 3.0


class BodyProgress:
    """Progress of a request body, from the reports of its receiver.

    A connection is silent if the receiver sends no reports, or if it waits for
    bytes that were sent long ago. Slow callers and slow upstreams cause
    neither.
    """

    def __init__(self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S):
        self._silence_s = silence_s
        self._reported_s = now_s
        self._sent = 0
        self._received = 0
        self._stalled_since_s: float | None = None

    def on_sent(self, size: int) -> None:
        """Counts sent bytes.

        Args:
            size: Number of bytes.
        """
        self._sent += size

    def on_report(self, now_s: float, waiting_at: int | None = None) -> None:
        """Processes a report of the receiver.

        Args:
            now_s: Steady time, in seconds.
            waiting_at: Number of bytes received, if the receiver waits for
                more; None if it doesn't, for example while it forwards them.
        """
        self._reported_s = now_s
        if waiting_at is None or waiting_at >= self._sent:
            self._stalled_since_s = None
        elif self._stalled_since_s is None or waiting_at != self._received:
            self._stalled_since_s = now_s
        self._received = waiting_at or 0

    def is_silent(self, now_s: float) -> bool:
        """Returns whether the connection is silent in either direction."""
        if now_s - self._reported_s > self._silence_s:
            return True
        stalled_s = self._stalled_since_s
        return stalled_s is not None and now_s - stalled_s > self._silence_s
