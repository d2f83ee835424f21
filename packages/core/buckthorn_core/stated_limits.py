"""The request limit that an upstream states in its responses.

An upstream in need states how many requests a second it takes from all hosts
together, for as long as its responses say so.
"""

import enum

from buckthorn_core import event_rates


class LimitChange(enum.Enum):
    """Effect of a response on the known limit."""

    NOTHING = "nothing"
    STATED = "stated"
    ENDED = "ended"


class StatedLimit:
    """The limit of the upstream beside a daemon; times are monotonic.

    Attributes:
        per_s: Requests per second; None while no limit is known.
        since_s: When the limit was first stated, in seconds.
        requests: Requests sent to the upstream since then.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.since_s = 0.0
        self.requests = 0
        self._rate = event_rates.EventRate()

    def rate_per_s(self, now_s: float) -> float:
        """Returns the recent rate of requests, in requests per second."""
        return self._rate.per_second(now_s)

    def on_request(self, now_s: float) -> None:
        """Counts a request that is sent to the upstream."""
        self._rate.add(now_s)
        self.requests += 1

    def on_response(self, now_s: float, per_s: float | None) -> LimitChange:
        """Applies what a response of the upstream states.

        Args:
            now_s: Monotonic time in seconds.
            per_s: The stated limit; None if the response states none.
        """
        old, self.per_s = self.per_s, per_s
        if old is None and per_s is not None:
            self.since_s = now_s
            self.requests = 0
            return LimitChange.STATED
        if old is not None and per_s is None:
            return LimitChange.ENDED
        return LimitChange.NOTHING
