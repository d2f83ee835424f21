"""A mesh's configuration as routes by host name: what callers may reach."""

from collections.abc import Collection
from collections.abc import Iterable
import enum
from typing import NamedTuple

import msgspec

from buckthorn_core import ids


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


class WeightedService(NamedTuple):
    """A service's share of a route's requests."""

    service: ids.ServiceName
    weight: float


class HostRoute(msgspec.Struct, frozen=True):
    """A route of one host name.

    Attributes:
        name: The route's name.
        host: Host name, lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: What may be repeated.
        parts: The services that share the requests.
        timeout_s: The longest that a caller is kept waiting, in seconds.
        target_s: Within this time an answer has its full value, in seconds.
        priority: Rank; 0 is the most urgent.
        attempts: The most upstreams that one request is sent to.
    """

    name: ids.RouteName
    host: str
    prefix: str
    kind: RouteKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    priority: int
    attempts: int

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Version(msgspec.Struct, frozen=True):
    """One whole version of the configuration.

    Attributes:
        number: Its number.
        routes: All routes.
        health_paths: By service, the path of its upstreams' health checks.
        limits: What callers may send.
    """

    number: ids.VersionNumber
    routes: tuple[HostRoute, ...]
    health_paths: dict[ids.ServiceName, str]
    limits: CallerLimits


def find_problems(
    routes: Iterable[HostRoute], services: Collection[ids.ServiceName]
) -> list[str]:
    """Returns all that keeps routes from being put in force."""
    found = []
    places = set()
    for route in routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            found.append(f"{route.name}: prefix {route.prefix!r}")
        if (route.host, route.prefix) in places:
            found.append(f"{route.name}: {route.host}{route.prefix} twice")
        places.add((route.host, route.prefix))
        if sum(max(0.0, part.weight) for part in route.weighted_services) <= 0:
            found.append(f"{route.name}: no part has a weight")
        found.extend(
            f"{route.name}: unknown service {part.service}"
            for part in route.weighted_services
            if part.service not in services
        )
    return found


class HostRouteIndex:
    """Finds the route with the longest prefix among those of a host.

    A search walks back over the slashes of the path, so its cost depends on
    the path's depth and not on the number of routes.
    """

    def __init__(self, routes: Iterable[HostRoute]):
        self._by_place = {(r.host, r.prefix): r for r in routes}

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route for a request, or None.

        Args:
            host: The value of the Host header; a port is ignored.
            path: The request's path and query.
        """
        name = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            route = self._by_place.get((name, prefix))
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None


class WeightedRoundRobin:
    """Deals a route's requests to its parts in proportion to the weights.

    Smooth weighted round robin: at any moment each part has had its share to
    within one request, which random draws miss on routes with few requests.
    """

    def __init__(self) -> None:
        self._credits: dict[ids.RouteName, dict[ids.ServiceName, float]] = {}

    def next_service(self, route: HostRoute) -> ids.ServiceName:
        """Returns the service that the next request of a route goes to."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits_left = self._credits.get(route.name, {})
        total = sum(part.weight for part in route.weighted_services)
        current = {
            part.service: credits_left.get(part.service, 0.0) + part.weight
            for part in route.weighted_services
        }
        best = max(current, key=lambda service: current[service])
        current[best] -= total
        self._credits[route.name] = current
        return best

    def keep_only(self, names: set[ids.RouteName]) -> None:
        """Forgets routes that are gone."""
        self._credits = {k: v for k, v in self._credits.items() if k in names}


class VersionHolder:
    """The version in force; it only moves to higher numbers."""

    def __init__(self) -> None:
        self.current: Version | None = None
        self._index = HostRouteIndex(())

    @property
    def number(self) -> ids.VersionNumber:
        """Number of the version in force; 0 if there is none."""
        return self.current.number if self.current else ids.VersionNumber(0)

    def apply(self, version: Version) -> bool:
        """Puts a version in force and returns whether it was newer."""
        if version.number <= self.number:
            return False
        self._index = HostRouteIndex(version.routes)
        self.current = version
        return True

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of the version in force for a request."""
        return self._index.match(host, path)
