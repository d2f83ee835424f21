"""Tests of selection policies, retry budgets and roles in fixed cases."""

import random

import pytest

from buckthorn_core import endpoints
from buckthorn_core import ids
from buckthorn_core import roles
from buckthorn_core import selection_policies
from buckthorn_standins import amplification
from buckthorn_standins import policies


def make_endpoint(name: str, cold: bool = False) -> endpoints.Endpoint:
    return endpoints.Endpoint(
        daemon=ids.DaemonId(name),
        address=ids.Address("10.0.0.1:80"),
        region=ids.RegionName("r"),
        site=ids.SiteName("s"),
        slots=4,
        cold=cold,
    )


@pytest.mark.parametrize("policy", ["two_choices", "least_in_use"])
def test_loaded_endpoint_is_avoided(policy):
    """Guards against more requests for an instance that has not answered."""
    stats = selection_policies.EndpointStatsTable()
    candidates = [make_endpoint("busy"), make_endpoint("idle")]
    for _ in range(4):
        stats.on_started(ids.DaemonId("busy"), 0.0)
    chosen = selection_policies.get(policy)(
        candidates, stats, 0.0, random.Random(1)
    )
    assert chosen.daemon == "idle"


def test_failed_endpoint_is_avoided_for_a_time_only():
    """Guards against an instance that is excluded forever."""
    stats = selection_policies.EndpointStatsTable()
    stats.on_started(ids.DaemonId("a"), 0.0)
    stats.on_failed(ids.DaemonId("a"), 0.0)
    endpoint = make_endpoint("a")
    assert stats.cost(endpoint, 1.0) > selection_policies.FAILURE_PENALTY_S
    later_s = selection_policies.FAILURE_PENALTY_DURATION_S + 1.0
    assert stats.cost(endpoint, later_s) < selection_policies.FAILURE_PENALTY_S


def test_cold_endpoint_starts_slowly():
    """Guards against full load on an instance that has just started."""
    stats = selection_policies.EndpointStatsTable()
    cold = make_endpoint("a", cold=True)
    assert (
        stats.slow_start_share(cold, 0.0)
        == selection_policies.MIN_SLOW_START_SHARE
    )
    assert stats.slow_start_share(cold, selection_policies.SLOW_START_S) == 1.0


def test_faulty_instances_cost_no_goodput_at_half_load():
    """Guards against a policy that relies on what instances report."""
    result = policies.Model("two_choices", 0.5, 1, 2.0, True).run()
    assert result.goodput > 0.999


def test_retries_do_not_compound_over_22_calls():
    """Guards against a retry storm in a deep chain of calls."""
    chain = amplification.Chain(
        22, budget=True, pass_on=True, seed=1, refused=1.0
    )
    for _ in range(1_000):
        chain.call()
    # The budget allows a tenth more, and a burst.
    assert chain.work <= 1_100 + 10


def test_leaving_member_moves_only_its_own_children():
    """Guards against a tree that is rebuilt by each failure."""
    members = [ids.DaemonId(f"d{n}") for n in range(600)]
    gone = next(m for m in members if roles.tree_level(m) == 1)
    before = roles.DistributionTree(members)
    after = roles.DistributionTree([m for m in members if m != gone])
    for member in members:
        parent = before.parent(member)
        if member != gone and parent not in (gone, None):
            assert after.parent(member) == parent


def test_tree_has_bounded_fan_out_and_no_cycle():
    """Guards against a relay that serves a whole zone by itself."""
    members = [ids.DaemonId(f"d{n}") for n in range(1_400)]
    tree = roles.DistributionTree(members)
    children: dict[str, int] = {}
    for member in members:
        parent = tree.parent(member)
        if parent is not None:
            children[parent] = children.get(parent, 0) + 1
        depth = 0
        while parent is not None:
            parent = tree.parent(parent)
            depth += 1
        assert depth <= 5
    assert max(children.values()) <= 6 * 2**roles.TREE_BASE_BITS


def test_statistics_of_removed_endpoints_are_removed():
    """Guards against memory that grows with each replaced host."""
    stats = selection_policies.EndpointStatsTable()
    for name in ("kept", "gone", "busy"):
        stats.on_started(ids.DaemonId(name), 0.0)
    for name in ("kept", "gone"):
        stats.on_finished(ids.DaemonId(name), 1.0, 1.0)
    stats.keep_only({ids.DaemonId("kept")})
    latencies = {
        name: stats.get(ids.DaemonId(name), 2.0).latency_s
        for name in ("kept", "gone")
    }
    assert (
        latencies["kept"]
        > latencies["gone"]
        == selection_policies.INITIAL_LATENCY_S
    )
    assert stats.get(ids.DaemonId("busy"), 2.0).in_flight == 1
