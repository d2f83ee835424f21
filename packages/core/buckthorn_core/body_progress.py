"""Detection of silent connections by lack of progress."""

# A daemon shows that it is alive every 0.8 s (at most 0.96 s with jitter),
# so three seconds without a byte mean that the connection is silent.
SILENCE_TIMEOUT_S = 3.0


class BodyProgress:
    """Progress of a body, from what the receiver reports of it.

    Two kinds of silence are told apart from slow callers and slow
    upstreams: nothing is heard of the receiver, or the receiver waits for
    bytes that were sent long ago.
    """

    def __init__(self, now_s: float, silence_s: float = SILENCE_TIMEOUT_S):
        self._silence_s = silence_s
        self._heard_s = now_s
        self._sent = 0
        self._received = 0
        self._stalled_s: float | None = None

    def on_sent(self, size: int) -> None:
        """Notes bytes that have left."""
        self._sent += size

    def on_report(self, now_s: float, waiting_at: int | None = None) -> None:
        """Notes a report of the receiver.

        Args:
            now_s: The time.
            waiting_at: Bytes received, if it waits for more; None if it
                does something else, such as passing them on.
        """
        self._heard_s = now_s
        if waiting_at is None or waiting_at >= self._sent:
            self._stalled_s = None
        elif self._stalled_s is None or waiting_at != self._received:
            self._stalled_s = now_s
        self._received = waiting_at or 0

    def is_silent(self, now_s: float) -> bool:
        """Returns whether the connection is silent in some direction."""
        if now_s - self._heard_s > self._silence_s:
            return True
        stalled_s = self._stalled_s
        return stalled_s is not None and now_s - stalled_s > self._silence_s
