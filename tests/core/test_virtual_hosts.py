"""Routes by host, weighted services, and the order of versions."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from buckthorn_core import virtual_hosts

LIMITS = virtual_hosts.CallerLimits(16_384, 1 << 20, 3.0, 15.0)


def route(prefix, *weighted_services, host="a.example", name=None):
    return virtual_hosts.HostRoute(
        name or f"r{prefix}",
        host,
        prefix,
        virtual_hosts.RouteKind.IDEMPOTENT,
        tuple(
            virtual_hosts.WeightedService(*pair)
            for pair in weighted_services or [("stock", 1)]
        ),
        1.2,
        0.8,
        0,
        2,
    )


def version(number, *routes):
    return virtual_hosts.Version(number, routes, {"stock": "/health"}, LIMITS)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "/x/"),
        ("a.example", "/x/y/1?q=/x/z/", "/x/y/"),
        ("a.example", "/x/y", "/x/"),
        ("a.example", "/x", None),
        ("a.example", "/xy/1", None),
        ("A.Example:8080", "/x/1", "/x/"),
        ("b.example", "/x/1", None),
        ("a.example", "/x/y/", "/x/y/"),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, expected):
    """Guards against matching another host's route or a shorter prefix."""
    index = virtual_hosts.HostRouteIndex([route("/x/"), route("/x/y/")])
    matched = index.match(host, path)
    assert (matched and matched.prefix) == expected


@hypothesis.given(
    weights=strategies.lists(
        strategies.integers(min_value=1, max_value=99), min_size=2, max_size=5
    ),
    count=strategies.integers(min_value=1, max_value=400),
)
def test_services_get_requests_by_their_weights(weights, count):
    """Guards against a distribution that deviates from the weights."""
    split = route("/x/", *((f"s{n}", w) for n, w in enumerate(weights)))
    balancer = virtual_hosts.WeightedRoundRobin()
    requests = collections.Counter(
        balancer.next_service(split) for _ in range(count)
    )
    for weighted in split.weighted_services:
        share = count * weighted.weight / sum(weights)
        assert abs(requests[weighted.service] - share) <= len(weights)


def test_an_older_version_is_ignored():
    """Guards against replacing the version in force by an older one."""
    holder = virtual_hosts.VersionHolder()
    assert holder.apply(version(7, route("/x/")))
    assert not holder.apply(version(7, route("/y/")))
    assert not holder.apply(version(6, route("/y/")))
    assert holder.match("a.example", "/x/1") is not None
    assert holder.match("a.example", "/y/1") is None
    assert holder.number == 7


@pytest.mark.parametrize(
    ("routes", "problem"),
    [
        ([route("/x/", ("other", 1))], "unknown service other"),
        ([route("/x/"), route("/x/", name="r2")], "twice"),
        ([route("x/")], "prefix"),
        ([route("/x")], "prefix"),
        ([route("/x/", ("stock", 0))], "weight"),
    ],
)
def test_invalid_routes_are_reported(routes, problem):
    """Guards against putting invalid routes in force.

    Examples are routes to unknown services and prefixes that never match.
    """
    problems = virtual_hosts.find_problems(routes, {"stock"})
    assert len(problems) == 1
    assert problem in problems[0]
