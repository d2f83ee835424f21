"""A daemon's share of the retries that a service can bear.

The budget holds for all daemons together, in any window of some seconds. A
daemon can't ask the others at each retry, so it keeps to a share that is safe
whatever the others do: a fraction of its own requests, and its part of the
constant allowance.

A repeated request repeats its calls, which count against the budget of the
service called. A service gets at least as many requests as calls, so half of
the ratio for each of the two services is safe where calls are one deep.
"""

import collections

from buckthorn_core import ids

# Below a half, since windows of callers and daemons differ.
RATIO_SHARE = 0.4
# A repeated request makes one to two calls on average.
CONSTANT_SHARE = 0.25
# Part of the share for requests that have run: each takes another slot for a
# whole run, while a request that was shed took none.
RAN_SHARE = 0.5
# Until the directory is known, this many daemons are assumed to share.
MIN_DAEMONS = 8


class RetryQuotas:
    """Counts requests and retries by service in a sliding window."""

    def __init__(self, ratio: float, constant: float, window_s: float):
        self._ratio = ratio * RATIO_SHARE
        self._constant = constant * CONSTANT_SHARE
        self._window_s = window_s
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}
        self._reruns: dict[ids.ServiceName, collections.deque[float]] = {}

    def add_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Counts a request of a caller."""
        self._recent(self._requests, service, now_s).append(now_s)

    def try_acquire(
        self,
        service: ids.ServiceName,
        now_s: float,
        daemons: int,
        may_have_run: bool,
    ) -> bool:
        """Takes a retry from the share; returns whether there was one left.

        Args:
            service: The service that gets the retry.
            now_s: Steady time in seconds.
            daemons: How many daemons share the budget.
            may_have_run: Whether the request may have run before.
        """
        requests = self._recent(self._requests, service, now_s)
        retries = self._recent(self._retries, service, now_s)
        share = self._constant / max(MIN_DAEMONS, daemons)
        limit = self._ratio * len(requests) + share
        if len(retries) + 1 > limit:
            return False
        if may_have_run:
            reruns = self._recent(self._reruns, service, now_s)
            if len(reruns) + 1 > RAN_SHARE * limit:
                return False
            reruns.append(now_s)
        retries.append(now_s)
        return True

    def _recent(
        self,
        by_service: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now_s: float,
    ) -> collections.deque[float]:
        times = by_service.setdefault(service, collections.deque())
        while times and times[0] < now_s - self._window_s:
            times.popleft()
        return times
