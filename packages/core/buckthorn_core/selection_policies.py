"""Policies that choose an upstream. A policy is registered by name."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

from buckthorn_core import endpoints
from buckthorn_core import ids

SMOOTHING = 0.2
INITIAL_LATENCY_S = 0.01
FAILURE_PENALTY_S = 1.0
FAILURE_MEMORY_S = 10.0
REFUSAL_MEMORY_S = 0.5
REFUSAL_FACTOR = 4.0
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1


@dataclasses.dataclass
class EndpointStats:
    """What a daemon has seen of an endpoint itself.

    Attributes:
        in_flight: Own requests without an answer.
        latency_s: Smoothed latency.
        first_seen_s: When the endpoint was first seen.
        failed_s: Time of the last failure.
        refused_s: Time of the last refusal.
    """

    first_seen_s: float
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failed_s: float = float("-inf")
    refused_s: float = float("-inf")


class EndpointStatsTable:
    """Observations by endpoint."""

    def __init__(self) -> None:
        self._by_daemon: dict[ids.DaemonId, EndpointStats] = {}

    def get(self, daemon: ids.DaemonId, now_s: float) -> EndpointStats:
        """Returns the observation of an endpoint, made on first use."""
        found = self._by_daemon.get(daemon)
        if found is None:
            found = self._by_daemon[daemon] = EndpointStats(now_s)
        return found

    def keep_only(self, daemons: set[ids.DaemonId]) -> None:
        """Forgets endpoints that are gone and have no request in flight."""
        self._by_daemon = {
            daemon: seen
            for daemon, seen in self._by_daemon.items()
            if daemon in daemons or seen.in_flight > 0
        }

    def on_started(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Notes that a request was sent."""
        self.get(daemon, now_s).in_flight += 1

    def on_finished(
        self, daemon: ids.DaemonId, now_s: float, latency_s: float
    ) -> None:
        """Notes a complete answer."""
        seen = self.get(daemon, now_s)
        seen.in_flight -= 1
        seen.latency_s += SMOOTHING * (latency_s - seen.latency_s)

    def on_failed(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Notes a request without a complete answer."""
        seen = self.get(daemon, now_s)
        seen.in_flight -= 1
        seen.failed_s = now_s

    def on_refused(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Notes a request that was refused as not run."""
        seen = self.get(daemon, now_s)
        seen.in_flight -= 1
        seen.refused_s = now_s

    def on_abandoned(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Notes a request whose caller went away."""
        self.get(daemon, now_s).in_flight -= 1

    def cost(self, endpoint: endpoints.Endpoint, now_s: float) -> float:
        """Returns what one more request costs; the lowest cost is best."""
        seen = self.get(endpoint.daemon, now_s)
        # The product weighs a queue more than latency plus load would; it
        # gave one point more goodput at 0.9 of capacity with faulty instances.
        cost = seen.latency_s * (seen.in_flight + 1) / max(1, endpoint.slots)
        if now_s - seen.failed_s < FAILURE_MEMORY_S or endpoint.suspect:
            cost += FAILURE_PENALTY_S
        if now_s - seen.refused_s < REFUSAL_MEMORY_S:
            cost *= REFUSAL_FACTOR
        return cost / self.slow_start_share(endpoint, now_s)

    def slow_start_share(
        self, endpoint: endpoints.Endpoint, now_s: float
    ) -> float:
        """Returns the share of its load that an endpoint should get."""
        if not endpoint.cold:
            return 1.0
        age_s = now_s - self.get(endpoint.daemon, now_s).first_seen_s
        return max(MIN_SLOW_START_SHARE, min(1.0, age_s / SLOW_START_S))


Policy = Callable[
    [Sequence[endpoints.Endpoint], EndpointStatsTable, float, random.Random],
    endpoints.Endpoint,
]
DEFAULT_POLICY = "two_choices"
_policies: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Registers a policy."""

    def register(function: Policy) -> Policy:
        _policies[name] = function
        return function

    return register


def get(name: str) -> Policy:
    """Returns a policy.

    Raises:
        KeyError: There is no such policy.
    """
    return _policies[name]


def names() -> list[str]:
    """Returns the names of all policies."""
    return sorted(_policies)


@policy("random")
def _random(
    candidates: Sequence[endpoints.Endpoint],
    observations: EndpointStatsTable,
    now_s: float,
    rng: random.Random,
) -> endpoints.Endpoint:
    del observations, now_s
    return rng.choice(candidates)


@policy("two_choices")
def _two_choices(
    candidates: Sequence[endpoints.Endpoint],
    observations: EndpointStatsTable,
    now_s: float,
    rng: random.Random,
) -> endpoints.Endpoint:
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda e: observations.cost(e, now_s))


@policy("least_in_use")
def _least_in_use(
    candidates: Sequence[endpoints.Endpoint],
    observations: EndpointStatsTable,
    now_s: float,
    rng: random.Random,
) -> endpoints.Endpoint:
    def in_use(endpoint: endpoints.Endpoint) -> tuple[float, float]:
        seen = observations.get(endpoint.daemon, now_s)
        return (seen.in_flight / max(1, endpoint.slots), rng.random())

    return min(candidates, key=in_use)


def group_by_locality(
    candidates: Sequence[endpoints.Endpoint],
    site: ids.SiteName,
    region: ids.RegionName,
) -> list[list[endpoints.Endpoint]]:
    """Groups endpoints: the site's, the region's, then all others."""
    groups: tuple[list[endpoints.Endpoint], ...] = ([], [], [])
    for endpoint in candidates:
        if endpoint.region != region:
            groups[2].append(endpoint)
        elif endpoint.site != site:
            groups[1].append(endpoint)
        else:
            groups[0].append(endpoint)
    return [group for group in groups if group]
