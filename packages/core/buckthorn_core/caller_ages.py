"""Estimates for how long a caller has already waited when a request arrives.

A caller that retries after a refusal states only the remaining part of its
timeout. Its answer has the full value only within the target counted from the
first attempt. Without the estimate, retries that are too late for that would
precede requests that can still meet their target.

This matters when upstreams are full: half of the requests may then be retries.
"""

import collections

from buckthorn_core import ids

# Share by which the timeouts of a route's callers differ, in both meshes.
TIMEOUT_SPREAD = 0.15
# The initial timeout is estimated as this quantile of the stated remaining
# times, which leaves out single longer ones.
INITIAL_TIMEOUT_QUANTILE = 0.95
MAX_SAMPLES = 200
# The initial timeout is computed after each UPDATE_INTERVAL_REQUESTS requests.
UPDATE_INTERVAL_REQUESTS = 20


class _RouteTimes:
    """Remaining times that callers of a route have recently stated."""

    __slots__ = ("_since_update", "_times_s", "initial_timeout_s", "refused_s")

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._since_update = 0
        self.initial_timeout_s = 0.0
        self.refused_s = float("-inf")

    def add(self, left_s: float) -> None:
        self._times_s.append(left_s)
        self._since_update += 1
        if self._since_update >= UPDATE_INTERVAL_REQUESTS:
            self._since_update = 0
            times_s = sorted(self._times_s)
            self.initial_timeout_s = times_s[
                int(INITIAL_TIMEOUT_QUANTILE * len(times_s))
            ]


class CallerAges:
    """Estimates the ages of requests by route."""

    def __init__(self) -> None:
        self._routes: dict[ids.RouteName, _RouteTimes] = {}

    def on_refused(self, route: ids.RouteName, now_s: float) -> None:
        """Records a refusal, after which the caller may retry."""
        self._routes.setdefault(route, _RouteTimes()).refused_s = now_s

    def age_s(self, route: ids.RouteName, left_s: float, now_s: float) -> float:
        """Returns the estimated time since the caller's first attempt, in s.

        Args:
            route: Route of the request.
            left_s: Remaining time of the caller, in seconds.
            now_s: Monotonic time in seconds.
        """
        route_times = self._routes.setdefault(route, _RouteTimes())
        route_times.add(left_s)
        # Without recent refusals there are no retries, only short timeouts.
        if now_s - route_times.refused_s > route_times.initial_timeout_s:
            return 0.0
        if left_s >= (1 - TIMEOUT_SPREAD) * route_times.initial_timeout_s:
            return 0.0
        return (1 - TIMEOUT_SPREAD / 2) * route_times.initial_timeout_s - left_s

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Removes routes that no longer exist."""
        self._routes = {k: v for k, v in self._routes.items() if k in routes}
