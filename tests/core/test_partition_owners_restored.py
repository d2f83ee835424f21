"""Claims of operation keys when the log comes back from an older copy."""

from tests.fakes import operations as fakes

from buckthorn_core import claims

GRANTED = claims.Verdict.GRANTED
LIFETIME_S = claims.MAX_KEY_LIFETIME_MS / 1000


def claim_and_restore(backed_up=()):
    """Returns an owner and its log, which has lost a granted claim."""
    log, owner = fakes.FakeLog(), fakes.make_owner("a")
    for key in backed_up:
        claim = fakes.make_claim(key, f"t-{key}")
        assert fakes.request_claim(owner, log, claim).verdict is GRANTED
    log.back_up()
    lost = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, lost).verdict is GRANTED
    log.restore()
    return log, owner


def test_a_lost_claim_is_written_again_for_the_next_owner():
    """Guards against a request that runs twice, at an owner that starts."""
    log, owner = claim_and_restore(["k0", "k1"])
    fakes.run_for(owner, log, seconds=12.0)
    fresh = fakes.make_owner("b")
    answer = fakes.request_claim(fresh, log, fakes.make_claim("k", "t2"))
    assert answer.verdict is claims.Verdict.UNKNOWN
    other = fakes.make_claim("new", "t3")
    assert fakes.request_claim(fresh, log, other).verdict is GRANTED


def test_a_lost_outcome_is_written_again():
    """Guards against a repeated request that gets no recorded answer."""
    log, owner = fakes.FakeLog(), fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, claim).verdict is GRANTED
    log.back_up()
    assert fakes.finish(owner, log, claim, claims.Outcome.COMPLETED)
    log.restore()
    fakes.run_for(owner, log, seconds=12.0)
    fresh = fakes.make_owner("b")
    answer = fakes.request_claim(fresh, log, fakes.make_claim("k", "t2"))
    assert answer.verdict is claims.Verdict.COMPLETED
    assert answer.body == b"done"


def test_an_owner_that_knows_what_was_lost_grants_new_keys_at_once():
    """Guards against an outage of all keyed requests after a restoration."""
    log, owner = claim_and_restore()
    other = fakes.make_claim("new", "t3")
    assert fakes.request_claim(owner, log, other).verdict is GRANTED


def test_an_owner_that_does_not_know_what_was_lost_refuses_new_keys():
    """Guards against a second run when all owners were restarted."""
    log, _ = claim_and_restore()
    fresh = fakes.make_owner("b")
    claim = fakes.make_claim("k", "t2")
    answer = fakes.request_claim(fresh, log, claim)
    assert answer.verdict is claims.Verdict.UNAVAILABLE
    log.now_s += LIFETIME_S
    fakes.run_for(fresh, log, seconds=12.0)
    later = fakes.make_claim("k", "t4")
    assert fakes.request_claim(fresh, log, later).verdict is GRANTED


def test_an_owner_of_an_old_epoch_grants_new_keys():
    """Guards against a partition that is refused each time it was idle."""
    log, _ = claim_and_restore()
    fresh = fakes.make_owner("b")
    claim = fakes.make_claim("new", "t2")
    fresh.claim(claim, log.now_s, log.now_ms)
    while fresh.unknown_epoch is None:
        assert fakes.step(fresh, log)
    assert fresh.unknown_epoch == 1
    fresh.on_epoch_age(outlasts_keys=True)
    assert fresh.unknown_epoch is None
    assert fakes.request_claim(fresh, log, claim).verdict is GRANTED
    log.restore()
    newer = fakes.make_owner("c")
    fakes.request_claim(newer, log, fakes.make_claim("k", "t3"))
    assert newer.unknown_epoch == 2
    newer.on_epoch_age(outlasts_keys=False)
    assert newer.unknown_epoch is None


def test_many_lost_claims_are_written_in_spaced_batches(monkeypatch):
    """Guards against a burst of appends of all partitions."""
    monkeypatch.setattr(fakes.partition_owners, "MAX_BATCH_ITEMS", 4)
    log, owner = fakes.FakeLog(), fakes.make_owner("a")
    for n in range(20):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        assert fakes.request_claim(owner, log, claim).verdict is GRANTED
    log.restore()
    before = log.appends
    fakes.run_for(owner, log, seconds=12.0)
    appends = log.records[-(log.appends - before) :]
    assert len(appends) >= 5
    times = [r.time_ms for r in appends]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert min(gaps) >= 70
