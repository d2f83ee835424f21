"""Routes by host name and path prefix, and the version in force."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum
from typing import NamedTuple

import msgspec

from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import workspace_keys


class RouteKind(enum.Enum):
    """Whether a route's requests may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    # Idempotent, with long responses.
    DOWNLOAD = "download"


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: ids.ServiceName
    weight: float


class HostRoute(msgspec.Struct, frozen=True):
    """A route of one host name.

    Attributes:
        name: The route's name.
        host: Host name in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may run more than once.
        weighted_services: Services that share the requests by weight.
        timeout_s: Longest time until a caller gets an answer, in seconds.
        target_s: Target latency, within which an answer has its full value,
            in seconds.
        priority: Priority; 0 is the highest.
        attempts: Largest number of upstreams that one request is sent to.
        public: Whether callers need no key of a workspace.
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
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits of callers' requests and connections.

    Attributes:
        max_header_bytes: Size limit of a request's headers.
        max_body_bytes: Size limit of a request's body.
        header_timeout_s: Time limit for sending the headers, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Version(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
        number: The version number.
        routes: The routes of all host names.
        health_paths: Path of the upstreams' health checks by service.
        limits: Limits of callers' requests.
        workspaces: Workspaces of callers; without any, requests need no key.
        findings: What the configuration holds and this daemon can't follow.
    """

    number: ids.VersionNumber
    routes: tuple[HostRoute, ...]
    health_paths: dict[ids.ServiceName, str]
    limits: CallerLimits
    workspaces: tuple[workspace_keys.Workspace, ...] = ()
    findings: tuple[str, ...] = ()


def find_problems(
    routes: Iterable[HostRoute], services: Collection[ids.ServiceName]
) -> list[str]:
    """Returns the reasons why routes are invalid; empty if they are valid."""
    problems = []
    matches = set()
    for route in routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            problems.append(
                f"{route.name}: prefix {route.prefix!r} does not start and end"
                " with '/'"
            )
        if (route.host, route.prefix) in matches:
            problems.append(
                f"{route.name}: {route.host}{route.prefix} is defined twice"
            )
        matches.add((route.host, route.prefix))
        if sum(max(0.0, s.weight) for s in route.weighted_services) <= 0:
            problems.append(f"{route.name}: no service has a weight above 0")
        problems.extend(
            f"{route.name}: unknown service {s.service}"
            for s in route.weighted_services
            if s.service not in services
        )
    return problems


class HostRouteIndex:
    """Finds the route of a host with the longest matching path prefix.

    A lookup shortens the path slash by slash, so its cost depends on the
    depth of the path and not on the number of routes.
    """

    def __init__(self, routes: Iterable[HostRoute]):
        self._routes = {(r.host, r.prefix): r for r in routes}

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of a request, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path and query of the request.
        """
        name = host.partition(":")[0].lower()
        prefix = path.partition("?")[0]
        while prefix:
            prefix = prefix[: prefix.rfind("/") + 1]
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None


class WeightedRoundRobin:
    """Distributes a route's requests over its services by their weights.

    Smooth weighted round robin: at any moment each service has had its share
    to within one request. Random choices deviate by more on routes with few
    requests.
    """

    def __init__(self) -> None:
        self._credits: dict[ids.RouteName, dict[ids.ServiceName, float]] = {}

    def next_service(self, route: HostRoute) -> ids.ServiceName:
        """Returns the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits_left = self._credits.get(route.name, {})
        total = sum(s.weight for s in route.weighted_services)
        current = {
            s.service: credits_left.get(s.service, 0.0) + s.weight
            for s in route.weighted_services
        }
        best = max(current, key=lambda service: current[service])
        current[best] -= total
        self._credits[route.name] = current
        return best

    def keep_only(self, names: set[ids.RouteName]) -> None:
        """Drops the state of all routes but these."""
        self._credits = {k: v for k, v in self._credits.items() if k in names}


class VersionHolder:
    """Holds the version in force; version numbers only increase."""

    def __init__(self, secret: bytes = b""):
        """Creates the holder.

        Args:
            secret: Random secret of this process, for the index of keys.
        """
        self.current: Version | None = None
        self._index = HostRouteIndex(())
        self._secret = secret
        self._keys = workspace_keys.KeyIndex((), secret)

    @property
    def number(self) -> ids.VersionNumber:
        """Number of the version in force; 0 if there is none."""
        return self.current.number if self.current else ids.VersionNumber(0)

    def apply(self, version: Version) -> bool:
        """Puts a version in force if its number is higher.

        Returns:
            Whether it was higher.
        """
        if version.number <= self.number:
            return False
        self._index = HostRouteIndex(version.routes)
        if self.current is None or self.current.workspaces != (
            version.workspaces
        ):
            self._keys = workspace_keys.KeyIndex(
                version.workspaces, self._secret
            )
        self.current = version
        return True

    def match(self, host: str, path: str) -> HostRoute | None:
        """Returns a request's route in the version in force, or None."""
        return self._index.match(host, path)

    @property
    def has_workspaces(self) -> bool:
        """Whether the version in force has workspaces."""
        return self.current is not None and bool(self.current.workspaces)

    def find_workspace(
        self, route: HostRoute, authorization: Sequence[str]
    ) -> workspace_keys.Workspace | None:
        """Returns the workspace of a request.

        Args:
            route: The route of the request.
            authorization: Values of its Authorization headers.

        Returns:
            The workspace; None for a request without a key, which is a call of
            an upstream, and for one on a public route whose key is not known.

        Raises:
            errors.RequestError: The key is malformed or not in force.
        """
        if not self.has_workspaces:
            return None
        try:
            key = workspace_keys.read_bearer_key(authorization)
            if key is None:
                return None
            workspace = self._keys.find(key)
            if workspace is None:
                raise errors.RequestError(
                    errors.Code.UNAUTHORIZED, "the key is not known"
                )
            return workspace
        except errors.RequestError:
            if route.public:
                return None
            raise
