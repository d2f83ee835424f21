"""Shards of rate limits: division, candidates and takeover."""

import hypothesis
from hypothesis import strategies as st

from buckthorn_core import cap_shards
from buckthorn_core import ids

LENDING = cap_shards.terms(5.0, 0.1, 20)
ME, OTHER = ids.DaemonId("d-1"), ids.DaemonId("d-2")
E1, E2 = ids.LogEpoch(1), ids.LogEpoch(2)


@hypothesis.given(
    rate_per_s=st.floats(0.1, 1e6), burst=st.floats(0, 1e6), name=st.text()
)
def test_the_parts_keep_within_the_bound(rate_per_s, burst, name):
    """Guards against parts that exceed the bound when all are used up.

    In a window are spent the tokens of the window and a lease, and the buckets.
    """
    cap = cap_shards.Cap(rate_per_s, burst)
    shards = cap_shards.shards_of(ids.WorkspaceName(name), cap, LENDING)
    assert 1 <= len(set(shards)) == len(shards) <= cap_shards.SHARDS
    part = cap_shards.part_of(cap, len(shards), LENDING)
    spent = len(shards) * (
        part.capacity + part.rate_per_s * (5.0 + LENDING.lease_s)
    )
    assert spent <= (5.0 * rate_per_s + burst) * 1.1 + 20
    assert part.capacity >= 1
    assert abs(part.rate_per_s * len(shards) - rate_per_s) < 1e-6 * rate_per_s


def test_shards_are_spread_over_regions_and_zones():
    """Guards against a lost zone or region that takes most shards with it."""
    members = {
        ids.DaemonId(f"d-{n}"): cap_shards.Home(
            ids.RegionName(f"r{n % 2}"), ids.SiteName(f"z{n % 4}")
        )
        for n in range(80)
    }
    first = [cap_shards.candidates(n, members)[0] for n in range(8)]
    sites = [members[daemon].site for daemon in first]
    assert {sites.count(site) for site in sites} == {2}
    for shard in range(8):
        ranked = cap_shards.candidates(shard, members)
        assert len(set(ranked)) == len(ranked) == 8
        assert len({members[d].region for d in ranked}) == 2
    assert cap_shards.candidates(0, {}) == []


def situation(record, epoch=E1, known_s=0.0, unreached_s=0.0):
    return cap_shards.Situation(record, epoch, known_s, unreached_s)


def test_a_shard_that_nobody_held_is_active_at_once():
    """Guards against a fleet that refuses callers after its first start."""
    claim = cap_shards.takeover(ME, 0, situation(None))
    assert claim == cap_shards.ShardRecord(ME, True, E1)
    assert cap_shards.takeover(ME, 1, situation(None)) is None


def test_a_missing_record_in_a_restored_log_is_left_to_its_holder():
    """Guards against a second holder while the first one lends unrecorded."""
    assert cap_shards.takeover(ME, 0, situation(None, E2, 1.0)) is None
    claim = cap_shards.takeover(ME, 0, situation(None, E2, 10.0))
    assert claim == cap_shards.ShardRecord(ME, False, E2)


def test_a_holder_is_replaced_once_it_is_out_of_reach():
    """Guards against a shard that is moved each time its holder restarts."""
    record = cap_shards.ShardRecord(OTHER, True, E1)
    assert cap_shards.takeover(ME, 0, situation(record, E1, 99, 5.0)) is None
    claim = cap_shards.takeover(ME, 0, situation(record, E1, 99, 9.0))
    assert claim == cap_shards.ShardRecord(ME, False, E1)
    assert cap_shards.takeover(ME, 3, situation(record, E1, 99, 9.0)) is None


def test_an_own_record_of_an_earlier_epoch_is_not_trusted():
    """Guards against a restarted holder that the log has replaced since.

    The log lost the record of its successor, which may still lend.
    """
    record = cap_shards.ShardRecord(ME, True, E1)
    claim = cap_shards.takeover(ME, 0, situation(record, E2))
    assert claim == cap_shards.ShardRecord(ME, False, E2)
    assert cap_shards.takeover(ME, 0, situation(record, E1)) is None


def test_records_survive_encoding():
    """Guards against a record that other daemons can't read."""
    record = cap_shards.ShardRecord(ME, True, E2)
    assert cap_shards.decode(cap_shards.encode(record)) == record
