"""Search for the route of a request."""

from collections.abc import Mapping

from buckthorn_core import bundles
from buckthorn_core import ids


class RouteIndex:
    """Finds the route with the longest prefix of a path.

    A search takes one look-up for each distinct length of a prefix, however
    many routes there are.
    """

    def __init__(self, routes: Mapping[ids.RouteName, bundles.Route]):
        self._by_prefix = {route.prefix: route for route in routes.values()}
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def match(self, path: str) -> bundles.Route | None:
        """Returns the route with the longest prefix of a request's path."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
