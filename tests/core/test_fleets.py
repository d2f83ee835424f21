"""Counts of the whole fleet, and when a version is in force."""

import pytest

from buckthorn_core import acks
from buckthorn_core import bundles
from buckthorn_core import fleets


def status(
    sites: dict[str, dict[int, int]], whole: bool = True, remote: int = 2
) -> fleets.FleetStatus:
    regions = {"near-1": "near", "near-2": "near", "far-1": "far"}
    versions = acks.combine(
        [acks.VersionCounts(v, []) for v in sites.values()]
    ).counts
    return fleets.FleetStatus(
        daemon="d",
        region="near",
        counted_by="r",
        whole=whole,
        accepted=bundles.VersionId(7, ""),
        versions=versions,
        sites=[
            fleets.SiteStatus(name, regions[name], bundles.SiteState.ACTIVE, v)
            for name, v in sites.items()
        ],
        laggards=[],
        roles={},
        services=[
            fleets.ServiceStatus("near", "s", 1, 1),
            fleets.ServiceStatus("far", "s", remote, 1),
        ],
        draining_daemons=[],
        control_bytes={},
    )


@pytest.mark.parametrize(
    ("fleet", "in_force"),
    [
        (status({"near-1": {7: 3}, "far-1": {7: 2}}), True),
        (status({"near-1": {8: 3}, "far-1": {7: 2}}), True),
        (status({"near-1": {7: 2, 6: 1}, "far-1": {7: 2}}), False),
        (status({"near-1": {7: 2, 0: 1}, "far-1": {7: 2}}), False),
        (status({"near-1": {7: 3}, "far-1": {7: 2}}, whole=False), False),
        (status({"near-1": {7: 3}}), False),
        (status({"near-1": {7: 3}, "far-1": {7: 1}}), False),
        (status({"near-1": {7: 3}}, remote=0), True),
        (status({}), False),
    ],
)
def test_version_is_in_force_only_when_all_daemons_report_it(fleet, in_force):
    """Guards against a wait that ends while a region is unreachable."""
    assert fleets.is_in_force(fleet, 7) is in_force


def test_reports_stay_bounded_and_never_raise_a_version():
    """Guards against reports that grow with versions or sites."""
    parts = [
        acks.VersionCounts(
            {n: 1}, [f"d{n}"], {f"site-{n}": {n: 1}, "a": {n: 1}}
        )
        for n in range(1, 201)
    ]
    total = acks.combine(parts)
    assert len(total.sites) == acks.MAX_SITES
    assert len(total.laggards) <= acks.MAX_LAGGARDS
    for counts in (total.counts, total.sites["a"]):
        assert len(counts) == acks.MAX_VERSIONS
        assert sum(counts.values()) == 200
        assert min(counts) == 1
        assert counts[200] == 1


def test_new_root_does_not_cover_the_fleet_at_once():
    """Guards against a wait that ends on the counts of a single daemon."""
    aggregator = acks.AckAggregator("d", "near-1")
    covers_fleet = []
    for now_s, is_root in [
        (0, True),
        (6, True),
        (7, True),
        (8, False),
        (9, True),
    ]:
        aggregator.note_root(is_root, now_s)
        covers_fleet.append(aggregator.covers_fleet(now_s))
    assert covers_fleet == [False, False, True, False, False]
