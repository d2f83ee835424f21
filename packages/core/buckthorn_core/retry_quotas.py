"""A daemon's quota of a service's retry budget.

The budget applies to all daemons together, in any window of some seconds.
A daemon can't coordinate with the others at each retry, so it keeps to a quota
that is safe whatever the others do: a fraction of its own requests, and its
part of the constant allowance.

A retried request repeats its calls, which count against the budget of the
called service. A service gets at least as many requests as calls, so half of
the ratio for each of the two services is safe if calls are one level deep.
"""

import collections

from buckthorn_core import ids

# Factor on the ratio. Below 0.5, because the windows of callers and daemons
# differ.
RATIO_FACTOR = 0.4
# Factor on the constant allowance: a retried request makes one to two calls on
# average.
CONSTANT_FACTOR = 0.25
# Share of the quota for requests that may have run: each holds a slot for a
# second run, while a request that was shed held none.
RERUN_SHARE = 0.5
# Number of daemons assumed at least, until the directory is known.
MIN_DAEMONS = 8


class RetryQuotas:
    """Counts requests and retries by service in a sliding window.

    Args:
        ratio: Budgeted retries per request.
        constant: Further budgeted retries in a window, of all daemons.
        window_s: Length of the window, in seconds.
    """

    def __init__(self, ratio: float, constant: float, window_s: float):
        self._ratio = ratio * RATIO_FACTOR
        self._constant = constant * CONSTANT_FACTOR
        self._window_s = window_s
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}
        self._reruns: dict[ids.ServiceName, collections.deque[float]] = {}

    def add_request(self, service: ids.ServiceName, now_s: float) -> None:
        """Counts a request from a caller."""
        self._in_window(self._requests, service, now_s).append(now_s)

    def try_acquire(
        self,
        service: ids.ServiceName,
        now_s: float,
        daemons: int,
        may_have_run: bool,
    ) -> bool:
        """Counts a retry if the quota allows it; returns whether it does.

        Args:
            service: Service that the retry goes to.
            now_s: Monotonic time in seconds.
            daemons: Number of daemons that share the budget.
            may_have_run: Whether the request may have run before.
        """
        requests = self._in_window(self._requests, service, now_s)
        retries = self._in_window(self._retries, service, now_s)
        constant = self._constant / max(MIN_DAEMONS, daemons)
        limit = self._ratio * len(requests) + constant
        if len(retries) + 1 > limit:
            return False
        if may_have_run:
            reruns = self._in_window(self._reruns, service, now_s)
            if len(reruns) + 1 > RERUN_SHARE * limit:
                return False
            reruns.append(now_s)
        retries.append(now_s)
        return True

    def _in_window(
        self,
        by_service: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now_s: float,
    ) -> collections.deque[float]:
        times_s = by_service.setdefault(service, collections.deque())
        while times_s and times_s[0] < now_s - self._window_s:
            times_s.popleft()
        return times_s
