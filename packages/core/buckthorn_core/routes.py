"""Route matching by path prefix."""

from collections.abc import Mapping

from buckthorn_core import bundles
from buckthorn_core import ids


class RouteIndex:
    """Index of routes by path prefix.

    A match takes one look-up per distinct prefix length, however many routes
    there are.
    """

    def __init__(self, routes: Mapping[ids.RouteName, bundles.Route]):
        self._by_prefix = {route.prefix: route for route in routes.values()}
        lengths = {len(prefix) for prefix in self._by_prefix}
        self._lengths = sorted(lengths, reverse=True)

    def match(self, path: str) -> bundles.Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None
