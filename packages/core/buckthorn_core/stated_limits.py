"""The request limit that an upstream states in its responses.

An upstream in need states how many requests a second it takes from all hosts
together, for as long as its responses say so. All requests for an upstream pass
the daemon beside it, so that this daemon alone keeps within the limit.

The limit is kept by the generic cell rate algorithm: requests are spaced by
the limit's interval, except for a short burst after a pause.
"""

import enum

import msgspec

from buckthorn_core import event_rates
from buckthorn_core import ids

# Unused requests of this time may be sent at once, in seconds.
BURST_S = 0.25
# The burst is at least this many intervals, so that requests can be reserved
# for urgent callers at limits near one a second.
MIN_BURST_INTERVALS = 2
# Lower limits are treated like this one, in requests per second: without a
# request now and then, the end of the limit would not be seen.
MIN_LIMIT_PER_S = 0.2
# Timers fire slightly early or late; a request may start this much too early,
# in seconds.
EARLY_START_S = 0.0005
# Upper limit of Retry-After, in seconds.
MAX_RETRY_AFTER_S = 5.0


class LimitChange(enum.Enum):
    """Effect of a response on the known limit."""

    NOTHING = "nothing"
    STATED = "stated"
    ENDED = "ended"


class UpstreamNotice(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream has stated about itself.

    Other daemons keep it and send it with their requests, so that the daemon
    beside the upstream knows it again after a restart.

    Attributes:
        instance: Id of the instance.
        born_ms: When its lifetime started, in ms since the epoch; for a
            leaving one, lifetimes that started later are not meant.
        limit_per_s: Requests per second that it takes; None without a limit.
        leaving: Whether it is leaving.
    """

    instance: ids.InstanceId
    born_ms: int
    limit_per_s: float | None
    leaving: bool

    @property
    def interval_s(self) -> float:
        """Time between two requests, in seconds; 0 without a limit."""
        return interval_s(self.limit_per_s)


def interval_s(limit_per_s: float | None) -> float:
    """Returns the time between two requests, in seconds; 0 without a limit."""
    if limit_per_s is None:
        return 0.0
    return 1 / max(MIN_LIMIT_PER_S, limit_per_s)


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
        # When the requests so far are used up at the limit's rate.
        self._used_until_s = 0.0
        # Until when Retry-After values have been given out.
        self._promised_until_s = 0.0

    @property
    def interval_s(self) -> float:
        """Time between two requests, in seconds; 0 without a limit."""
        return interval_s(self.per_s)

    @property
    def _burst_s(self) -> float:
        """Time whose unused requests may be sent at once, in seconds."""
        return max(BURST_S, MIN_BURST_INTERVALS * self.interval_s)

    def rate_per_s(self, now_s: float) -> float:
        """Returns the recent rate of requests, in requests per second."""
        return self._rate.per_second(now_s)

    def delay_s(self, now_s: float, ahead: float = 0.0) -> float:
        """Returns how long until the limit admits a request, in seconds.

        Args:
            now_s: Monotonic time in seconds.
            ahead: Number of requests that it must leave room for.
        """
        if self.per_s is None:
            return 0.0
        used_s = max(now_s, self._used_until_s) + ahead * self.interval_s
        delay_s = used_s - self._burst_s - now_s
        return delay_s if delay_s > EARLY_START_S else 0.0

    def retry_after_s(self, now_s: float, waiting: int) -> float:
        """Returns when a refused request can expect room, in seconds.

        Each call returns a later time, so that refused callers come back at
        the rate that the limit admits.

        Args:
            now_s: Monotonic time in seconds.
            waiting: Number of requests that wait for a start.
        """
        if self.per_s is None:
            return 0.0
        place_s = max(
            self._promised_until_s, now_s + self.delay_s(now_s, waiting + 1)
        )
        if place_s - now_s > MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S
        self._promised_until_s = place_s + self.interval_s
        return place_s - now_s

    def on_request(self, now_s: float) -> None:
        """Counts a request that is sent to the upstream."""
        self._rate.add(now_s)
        self.requests += 1
        self._used_until_s = max(now_s, self._used_until_s) + self.interval_s

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
            # The requests before used up the burst.
            self._used_until_s = now_s + self._burst_s
            self._promised_until_s = now_s
            return LimitChange.STATED
        if old is not None and per_s is None:
            return LimitChange.ENDED
        if old != per_s:
            latest_s = now_s + self._burst_s + self.interval_s
            self._used_until_s = min(self._used_until_s, latest_s)
            self._promised_until_s = now_s
        return LimitChange.NOTHING
