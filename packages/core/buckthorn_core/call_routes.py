"""Detection of routes whose requests are calls, sent by upstreams themselves.

A refused call wastes the run that made it, and is not retried by its caller. A
late call costs little, since the run has a target of its own. Requests carry
no mark that tells calls from others, but requests from callers start on the
hosts of all services, and calls only beside the service that makes them.

This matters when a called service is overloaded: each refused call fails a run
elsewhere that has held a slot for its whole time.
"""

from buckthorn_core import ids

# Requests of a route before it is classified. If a third of the hosts belongs
# to another service, the probability that none of these requests starts there
# is 10^-7.
MIN_REQUESTS = 40
# Counts of a route are halved at this sum, so that old callers lose weight.
MAX_REQUESTS = 1_000


class CallRouteDetector:
    """Counts by route where the requests for one upstream start."""

    def __init__(self) -> None:
        self._counts: dict[ids.RouteName, dict[ids.ServiceName, int]] = {}

    def add(self, route: ids.RouteName, caller: ids.ServiceName) -> None:
        """Counts a request.

        Args:
            route: Route of the request.
            caller: Service beside whose upstream the request started.
        """
        counts = self._counts.setdefault(route, {})
        counts[caller] = counts.get(caller, 0) + 1
        if sum(counts.values()) > MAX_REQUESTS:
            self._counts[route] = {
                k: n // 2 for k, n in counts.items() if n > 1
            }

    def is_call_route(self, route: ids.RouteName) -> bool:
        """Returns whether a route's requests are calls made by upstreams."""
        counts = self._counts.get(route, {})
        if len(counts) != 1 or sum(counts.values()) < MIN_REQUESTS:
            return False
        # With a single service in the mesh, all requests start beside it.
        return len(set().union(*self._counts.values())) > 1

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Removes routes that no longer exist."""
        self._counts = {k: v for k, v in self._counts.items() if k in routes}
