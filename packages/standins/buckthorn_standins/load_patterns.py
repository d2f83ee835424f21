"""Load patterns for the mesh model, and the most that can be earned in them.

The kinds of requests and the instances are those of the Kulhus mesh; each
pattern is the part of a day on which its callers got the least.
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools

from buckthorn_core import directories
from buckthorn_core import ids
from buckthorn_standins import mesh_model

SLOTS = 18
# Run times of instances differ like this.
FACTORS = (0.6, 1.0, 1.4)
SITES = (("a1", "a"), ("b1", "b"), ("a2", "a"), ("b2", "b"))
SECONDS = 24.0
# When the trouble of a pattern begins and ends, in seconds.
TROUBLE_S = (8.0, 16.0)
# When hosts are gone for good, and off for a moment, in seconds.
GONE_S = (6.0, SECONDS * 2)
OFF_S = (8.0, 9.0)
HOSTS = 12
# Trials of the price of a slot second, for the bound.
PRICES = tuple(0.5 * n for n in range(49))

_SHOP, _DESK = ids.ServiceName("shop"), ids.ServiceName("desk")
_INDEX = ids.RouteName("index")

ROUTES = (
    mesh_model.Route(
        ids.RouteName("browse"),
        _SHOP,
        264.0,
        0.22,
        0.8,
        1.4,
        2.0,
        2,
        1.0,
        0.1,
        (_INDEX, 1.4),
    ),
    mesh_model.Route(
        ids.RouteName("book"), _SHOP, 106.0, 0.29, 0.8, 1.4, 2.0, 1, 2.0, 0.2
    ),
    mesh_model.Route(
        ids.RouteName("upload"), _DESK, 76.3, 0.15, 0.5, 0.9, 1.2, 0, 3.0, 0.3
    ),
    mesh_model.Route(
        ids.RouteName("tariff"), _DESK, 35.2, 0.18, 0.6, 1.0, 1.5, 2, 1.0, 0.1
    ),
    mesh_model.Route(_INDEX, _DESK, 0.0, 0.055, 0.2, 0.6, 0.6, 1, 0.0, 0.0),
)

Span = tuple[float, float]
Build = Callable[[], mesh_model.Pattern]
_patterns: dict[str, Build] = {}


def pattern(name: str) -> Callable[[Build], Build]:
    """Registers a pattern."""

    def register(build: Build) -> Build:
        _patterns[name] = build
        return build

    return register


def names() -> list[str]:
    """Returns the names of all patterns."""
    return list(_patterns)


def build(name: str) -> mesh_model.Pattern:
    """Returns a pattern."""
    return _patterns[name]()


def _hosts(away: Mapping[int, Span]) -> tuple[mesh_model.Host, ...]:
    """Returns the hosts, some of which are away for a while."""
    found = []
    for number in range(HOSTS):
        site, region = SITES[number % len(SITES)]
        registration = directories.Registration(
            ids.DaemonId(f"d-{number}"),
            ids.Address(f"10.0.0.{number}:7380"),
            _DESK if number % 3 == 2 else _SHOP,
            ids.SiteName(site),
            ids.RegionName(region),
            SLOTS,
        )
        factor = FACTORS[number // 3 % len(FACTORS)]
        found.append(mesh_model.Host(registration, factor, away.get(number)))
    return tuple(found)


def _burst(factor: float) -> Callable[[float], float]:
    begin_s, end_s = TROUBLE_S
    return lambda now_s: factor if begin_s <= now_s < end_s else 1.0


@pattern("burst")
def burst() -> mesh_model.Pattern:
    """Half more traffic, and two instances fewer."""
    hosts = _hosts({3: GONE_S, 5: GONE_S})
    return mesh_model.Pattern(ROUTES, hosts, SECONDS, _burst(1.5))


@pattern("called-service-lost")
def called_service_lost() -> mesh_model.Pattern:
    """A region loses the service that runs call, while traffic rises."""
    lost = [
        number
        for number, host in enumerate(_hosts({}))
        if host.registration.service == _DESK
        and host.registration.region == "b"
    ]
    hosts = _hosts(dict.fromkeys(lost, GONE_S))
    return mesh_model.Pattern(ROUTES, hosts, SECONDS, _burst(1.4))


@pattern("restart")
def restart() -> mesh_model.Pattern:
    """All hosts lose power for a second, and start cold."""
    hosts = _hosts(dict.fromkeys(range(HOSTS), OFF_S))
    return mesh_model.Pattern(ROUTES, hosts, SECONDS, lambda now_s: 1.0)


def _capacity_s(played: mesh_model.Pattern, service: ids.ServiceName) -> float:
    """Returns the work that instances can do, in seconds at speed 1."""
    total_s = 0.0
    for host in played.hosts:
        if host.registration.service != service:
            continue
        up_s = played.seconds
        if host.away is not None:
            begin_s, end_s = host.away
            cold_s = min(mesh_model.COLD_S, max(0.0, played.seconds - end_s))
            up_s -= min(end_s, played.seconds) - begin_s
            up_s -= cold_s * (1 - 1 / mesh_model.COLD_FACTOR)
        total_s += up_s * host.registration.slots / host.factor
    return total_s


def _needs_s(
    played: mesh_model.Pattern, route: mesh_model.Route
) -> dict[ids.ServiceName, float]:
    """Returns the work of a request with its calls, by service."""
    needs_s = {route.service: route.work_s}
    if route.calls is not None:
        name, times = route.calls
        called = next(r for r in played.routes if r.name == name)
        # The slot is held while the calls run.
        needs_s[route.service] += times * called.work_s
        needs_s[called.service] = times * called.work_s
    return needs_s


def bound(played: mesh_model.Pattern, asked: dict[ids.RouteName, int]) -> float:
    """Returns the most that a scheduler who knows everything could earn.

    Over the whole length, as if work could wait as long as it likes: each
    price of a slot second gives an upper bound (the dual of the linear
    program), and the least of them is taken.
    """
    services = sorted({r.service for r in played.routes})
    capacity_s = {s: _capacity_s(played, s) for s in services}
    needs_s = {r.name: _needs_s(played, r) for r in played.routes}
    best = float("inf")
    for trial in itertools.product(PRICES, repeat=len(services)):
        prices = dict(zip(services, trial, strict=True))
        total = sum(prices[s] * capacity_s[s] for s in services)
        for route in played.routes:
            cost = sum(
                prices[s] * need_s for s, need_s in needs_s[route.name].items()
            )
            total += asked[route.name] * max(0.0, route.worth - cost)
        best = min(best, total)
    return best
