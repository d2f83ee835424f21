"""How long callers have waited before a request arrives.

A caller that comes back after a refusal states what is left of the time that
it had at first. Its answer has the full value only within the target counted
from the first attempt; without this, those who have come back too late for it
would go before those who can still be served in time.

The load pattern: half of the requests are second attempts, since the first
ones met full upstreams.
"""

import collections

from buckthorn_core import ids

# Callers of one route give their requests times that differ by this share;
# the callers of both meshes do.
SPREAD = 0.15
# The longest of the stated times, apart from some that stand out, is what
# callers have at first.
USUAL_QUANTILE = 0.95
SAMPLES = 200
# The usual time is known, and computed again, after this many requests.
REFRESH = 20


class _Stated:
    """The times that callers of a route have stated lately."""

    __slots__ = ("_since", "_times_s", "refused_s", "usual_s")

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._since = 0
        self.usual_s = 0.0
        self.refused_s = float("-inf")

    def add(self, left_s: float) -> None:
        self._times_s.append(left_s)
        self._since += 1
        if self._since >= REFRESH:
            self._since = 0
            times_s = sorted(self._times_s)
            self.usual_s = times_s[int(USUAL_QUANTILE * len(times_s))]


class CallerAges:
    """Estimates callers' ages by route."""

    def __init__(self) -> None:
        self._stated: dict[ids.RouteName, _Stated] = {}

    def on_refused(self, route: ids.RouteName, now_s: float) -> None:
        """Notes that a caller was refused, and may come back."""
        self._stated.setdefault(route, _Stated()).refused_s = now_s

    def age_s(self, route: ids.RouteName, left_s: float, now_s: float) -> float:
        """Returns how long ago a caller began, in seconds.

        Args:
            route: The route.
            left_s: How long the caller still waits, in seconds.
            now_s: Steady time in seconds.
        """
        stated = self._stated.setdefault(route, _Stated())
        stated.add(left_s)
        # Without refusals nobody comes back, and short times are just that.
        if now_s - stated.refused_s > stated.usual_s:
            return 0.0
        if left_s >= (1 - SPREAD) * stated.usual_s:
            return 0.0
        return (1 - SPREAD / 2) * stated.usual_s - left_s

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Forgets routes that are gone."""
        self._stated = {k: v for k, v in self._stated.items() if k in routes}
