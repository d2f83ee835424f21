"""Holders of shards: when they lend, and how much."""

import bisect

import hypothesis
from hypothesis import strategies as st
import pytest

from buckthorn_core import cap_holders
from buckthorn_core import cap_shards
from buckthorn_core import ids

LENDING = cap_shards.terms(5.0, 0.1, 20)
ME, OTHER = ids.DaemonId("d-1"), ids.DaemonId("d-2")
NAME = ids.WorkspaceName("choir")
E1, E2 = ids.LogEpoch(1), ids.LogEpoch(2)
CAP = cap_shards.Cap(80.0, 40.0)
STATE = cap_holders.ShardState
SETTLE_S = 3.0


def new_holders(started_s=0.0, cap=CAP):
    holders = cap_holders.Holders(ME, LENDING, started_s, SETTLE_S)
    holders.set_caps({NAME: cap}, started_s)
    return holders


def update(holders, now_s, holder=ME, active=True, epoch=E1, in_epoch=E1):
    """Applies a record of shard 0 that is confirmed as of now."""
    record = cap_shards.ShardRecord(holder, active, epoch)
    holders.update({0: record}, in_epoch, now_s, now_s)


@hypothesis.given(
    rate_per_s=st.sampled_from([0.5, 3.0, 40.0]),
    capacity=st.sampled_from([1.0, 5.0, 30.0]),
    steps=st.lists(
        st.tuples(
            st.floats(0, 0.4),
            st.integers(0, 40),
            st.floats(0, 0.29),
            st.booleans(),
        ),
        max_size=60,
    ),
)
def test_a_bucket_keeps_within_rate_lease_and_capacity(
    rate_per_s, capacity, steps
):
    """Guards against tokens that returns create, or that are counted twice.

    Each grant is spent or returned as a whole at some time within its lease.
    """
    lease_s = LENDING.lease_s
    bucket = cap_holders.TokenBucket(
        cap_shards.Part(rate_per_s, capacity), lease_s, 0.0
    )
    now_s, events, spent = 0.0, [], []
    for number, (pause_s, want, held_s, returned) in enumerate(steps):
        now_s += pause_s
        for at_s, grant, tokens, back in [e for e in events if e[0] <= now_s]:
            if back:
                assert bucket.take_back(grant, tokens, at_s) == tokens
            else:
                spent += [at_s] * tokens
        events = sorted(e for e in events if e[0] > now_s)
        grant = bucket.lend(want, number, now_s)
        events.append((now_s + held_s, number, grant.tokens, returned))
        events.sort()
    spent += [at_s for at_s, _, n, back in events if not back for _ in range(n)]
    spent.sort()
    for n, start_s in enumerate(spent):
        for window_s in (0.0, 1.0, 5.0):
            count = bisect.bisect_right(spent, start_s + window_s) - n
            assert count <= capacity + rate_per_s * (lease_s + window_s) + 1e-6


def test_tokens_that_come_back_late_are_lost():
    """Guards against a token that one window counts twice."""
    bucket = cap_holders.TokenBucket(
        cap_shards.Part(10.0, 10.0), LENDING.lease_s, 0.0
    )
    grant = bucket.lend(10, 7, 1.0)
    assert grant.tokens == 10
    assert bucket.take_back(7, 4, 1.1) == 4
    assert bucket.take_back(7, 9, 1.2) == 6
    assert bucket.take_back(7, 1, 1.2) == 0
    bucket.lend(10, 8, 1.2)
    assert bucket.take_back(8, 10, 1.6) == 0


def test_borrowers_in_need_are_told_different_times():
    """Guards against daemons that all ask for the same next token."""
    bucket = cap_holders.TokenBucket(
        cap_shards.Part(10.0, 1.0), LENDING.lease_s, 0.0
    )
    hints = [bucket.lend(1, n, 0.0).next_s for n in range(4)]
    assert hints == pytest.approx([0.1, 0.2, 0.3, 0.4])


def test_a_new_holder_waits_until_no_earlier_one_lends():
    """Guards against two holders of a shard that lend at the same time."""
    holders = new_holders()
    update(holders, 100.0, active=False)
    for now_s in (100.0, 100.0 + LENDING.hold_s - 0.1):
        update(holders, now_s, active=False)
        assert holders.state(0, now_s) is STATE.HOLDING
        assert holders.lend(0, NAME, 1, now_s) == cap_holders.NOT_LENT
        assert holders.wanted_record(0, E1, now_s) is None
    now_s = 100.1 + LENDING.hold_s
    wanted = holders.wanted_record(0, E1, now_s)
    assert wanted == cap_shards.ShardRecord(ME, True, E1)
    assert holders.state(0, now_s) is STATE.HOLDING
    update(holders, now_s + 1)
    assert holders.state(0, now_s + 1) is STATE.LENDING


def test_a_restarted_holder_waits_a_lease_and_starts_empty():
    """Guards against tokens that a killed process and the next one lend."""
    holders = new_holders(started_s=50.0)
    update(holders, 50.1)
    assert holders.lend(0, NAME, 1, 50.2) == cap_holders.NOT_LENT
    start_s = 50.0 + LENDING.lease_s
    assert holders.lend(0, NAME, 9, start_s).tokens == 0
    assert 0 < holders.lend(0, NAME, 9, start_s + 0.3).tokens <= 3


def test_a_holder_without_confirmation_stops():
    """Guards against a holder that is cut off and does not know its successor.

    Its successor waits longer than that.
    """
    holders = new_holders()
    update(holders, 10.0)
    assert holders.lend(0, NAME, 1, 21.9).tokens == 1
    assert holders.state(0, 22.1) is STATE.UNCONFIRMED
    assert holders.lend(0, NAME, 1, 22.1) == cap_holders.NOT_LENT
    assert cap_shards.CONFIRM_S + LENDING.lease_s < LENDING.hold_s
    update(holders, 30.0, holder=OTHER)
    assert holders.state(0, 30.0) is None


def test_a_process_that_never_had_a_confirmation_does_not_lend():
    """Guards against a start from an old copy of the records."""
    holders = new_holders()
    record = cap_shards.ShardRecord(ME, True, E1)
    holders.update({0: record}, E1, float("-inf"), 5.0)
    assert holders.lend(0, NAME, 1, 6.0) == cap_holders.NOT_LENT


@pytest.mark.parametrize("kept", [True, False])
def test_a_holder_goes_on_over_a_restored_log(kept):
    """Guards against a pause of all rate limits after a restoration.

    Its record is missing, or of the earlier epoch, and is written again.
    """
    holders = new_holders()
    update(holders, 10.0)
    record = cap_shards.ShardRecord(ME, True, E1)
    holders.update({0: record} if kept else {}, E2, 11.0, 11.0)
    assert holders.state(0, 11.0) is STATE.LENDING
    wanted = holders.wanted_record(0, E2, 11.0)
    assert wanted == cap_shards.ShardRecord(ME, True, E2)
    # It has no longer than without the log.
    assert holders.state(0, 22.1) is STATE.UNCONFIRMED
    assert holders.wanted_record(0, E2, 22.1) is None
    holders.update({}, E2, 22.1, 22.1)
    assert holders.state(0, 22.1) is None


def test_a_restarted_holder_does_not_trust_a_record_of_an_earlier_epoch():
    """Guards against two holders after the log has lost a takeover."""
    holders = new_holders()
    update(holders, 10.0, epoch=E1, in_epoch=E2)
    assert holders.state(0, 10.0) is None
    assert holders.wanted_record(0, E2, 10.0) is None


def test_a_lowered_rate_limit_counts_at_once():
    """Guards against a bucket that keeps the tokens of the old rate limit."""
    holders = new_holders()
    update(holders, 10.0)
    update(holders, 20.0)
    holders.set_caps({NAME: cap_shards.Cap(40.0, 0.0)}, 20.0)
    assert holders.lend(0, NAME, 99, 20.0).tokens <= 2
    holders.set_caps({}, 21.0)
    assert holders.lend(0, NAME, 1, 21.0) == cap_holders.NOT_LENT


def test_a_new_division_counts_only_once_all_know_it():
    """Guards against parts of two divisions that add up to more than both."""
    shards = cap_shards.shards_of(NAME, CAP, LENDING)
    small = cap_shards.Cap(4.0, 4.0)
    others = set(shards) - set(cap_shards.shards_of(NAME, small, LENDING))
    shard = min(others)
    holders = new_holders(cap=small)
    record = cap_shards.ShardRecord(ME, True, E1)
    for now_s in (10.0, 20.0):
        holders.update({shard: record}, E1, now_s, now_s)
    holders.set_caps({NAME: CAP}, 20.0)
    assert holders.lend(shard, NAME, 1, 22.9) == cap_holders.NOT_LENT
    holders.check(23.0)
    assert holders.lend(shard, NAME, 1, 24.0).tokens == 1
