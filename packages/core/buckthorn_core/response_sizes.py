"""Mean size of the responses of each route, as a sender has seen them.

A response of 90 KB takes ten times as long on a slow link, and costs sixty
times as much between zones, as one of 1.5 KB.
"""

from buckthorn_core import ids

# Size that is assumed before the first response of a route, in bytes.
DEFAULT_BYTES = 1_500.0
# Weight of a new response in the mean.
SMOOTHING = 0.05


class ResponseSizes:
    """Smoothed mean of the response sizes, by route."""

    def __init__(self) -> None:
        self._means: dict[ids.RouteName, float] = {}

    def add(self, route: ids.RouteName, size: int) -> None:
        """Counts a response of `size` bytes."""
        mean = self._means.get(route)
        if mean is None:
            self._means[route] = float(size)
        else:
            self._means[route] = mean + SMOOTHING * (size - mean)

    def mean_bytes(self, route: ids.RouteName) -> float:
        """Returns the mean size in bytes."""
        return self._means.get(route, DEFAULT_BYTES)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Drops all routes except the given ones."""
        for route in self._means.keys() - routes:
            del self._means[route]
