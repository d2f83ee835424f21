"""Recognises routes on which upstreams themselves send requests.

A call that is refused wastes the run that made it, and its caller does not
come back; a call that is late costs little, since the run has a target of its
own. Nothing on a request says that it is a call. But requests of callers start
on the hosts of all services, and calls only beside the service that makes
them.

The load pattern: a service called by another is overloaded; each refused call
makes a run elsewhere fail that has taken a slot for its whole time.
"""

from buckthorn_core import ids

# Requests of a route before it is judged. Where a third of the hosts belong
# to another service, all these would start at the others once in 10^7 times.
MIN_REQUESTS = 40
# Counts are halved at this sum, so that a route can change its callers.
MAX_REQUESTS = 1_000


class CallRouteDetector:
    """Counts, by route, where requests for one upstream start."""

    def __init__(self) -> None:
        self._starts: dict[ids.RouteName, dict[ids.ServiceName, int]] = {}

    def add(self, route: ids.RouteName, caller: ids.ServiceName) -> None:
        """Counts a request.

        Args:
            route: Its route.
            caller: The service beside whose upstream it started.
        """
        counts = self._starts.setdefault(route, {})
        counts[caller] = counts.get(caller, 0) + 1
        if sum(counts.values()) > MAX_REQUESTS:
            self._starts[route] = {
                k: n // 2 for k, n in counts.items() if n > 1
            }

    def is_call_route(self, route: ids.RouteName) -> bool:
        """Returns whether a route's requests are calls of upstreams."""
        counts = self._starts.get(route, {})
        if len(counts) != 1 or sum(counts.values()) < MIN_REQUESTS:
            return False
        # With a single service in the mesh, this tells nothing.
        return len(set().union(*self._starts.values())) > 1

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Forgets routes that are gone."""
        self._starts = {k: v for k, v in self._starts.items() if k in routes}
