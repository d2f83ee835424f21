"""Owners of operation keys: log order, lost answers, outages, retention."""

import pytest
from tests.fakes import operations as fakes

from buckthorn_core import claims
from buckthorn_core import key_tables
from buckthorn_core import partition_owners
from buckthorn_core import stream_starts

V = claims.Verdict
ENDS = claims.Outcome


@pytest.fixture
def log():
    return fakes.FakeLog()


@pytest.mark.parametrize(
    ("faults", "verdict", "most_records"),
    [
        pytest.param([], V.GRANTED, 1, id="no_fault"),
        pytest.param(["lose"], V.GRANTED, 1, id="answer_lost_after_effect"),
        pytest.param(["refuse"], V.GRANTED, 1, id="no_effect"),
        pytest.param(["refuse", "lose"], V.GRANTED, 1, id="both"),
        pytest.param(["late"], V.GRANTED, 1, id="effect_after_the_answer"),
    ],
)
def test_append_faults_do_not_change_the_decision(
    log, faults, verdict, most_records
):
    """Guards against a lost append that denies, or a repeat that doubles."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, claim, faults).verdict is verdict
    assert len(log.records) <= most_records
    log.append_late()
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(owner, log, other).verdict is V.IN_PROGRESS


@pytest.mark.parametrize(
    ("outcome", "wait_s", "verdict", "body"),
    [
        (None, 1.0, V.IN_PROGRESS, None),
        (None, 10.0, V.UNKNOWN, None),
        (ENDS.COMPLETED, 10.0, V.COMPLETED, b"done"),
        (ENDS.UNKNOWN, 1.0, V.UNKNOWN, None),
        (ENDS.RELEASED, 1.0, V.GRANTED, None),
        (ENDS.COMPLETED, 590.0, V.COMPLETED, b"done"),
        (ENDS.COMPLETED, 610.0, V.GRANTED, None),
    ],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_repeat_hears_what_became_of_the_first(
    log, outcome, wait_s, verdict, body, restarted
):
    """Guards against a second run, also by an owner that has to replay."""
    owner = fakes.make_owner("a")
    first = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, first).verdict is V.GRANTED
    if outcome is not None:
        assert fakes.finish(owner, log, first, outcome)
    log.now_s += wait_s
    owner = fakes.make_owner("b") if restarted else owner
    answer = fakes.request_claim(owner, log, fakes.make_claim("k", "t2"))
    assert (answer.verdict, answer.body) == (verdict, body)


def test_log_order_decides_between_two_owners(log):
    """Guards against two grants while daemons disagree about the owner."""
    one, two = fakes.make_owner("a"), fakes.make_owner("b")
    first, second = fakes.make_claim("k", "t1"), fakes.make_claim("k", "t2")
    one.claim(first, log.now_s, log.now_ms)
    two.claim(second, log.now_s, log.now_ms)
    log.now_s += 0.05
    for _ in range(8):
        fakes.step(two, log)
        fakes.step(one, log)
    verdicts = [
        one.claim(first, log.now_s, log.now_ms).verdict,
        two.claim(second, log.now_s, log.now_ms).verdict,
    ]
    assert verdicts == [V.IN_PROGRESS, V.GRANTED]


def test_claims_of_one_key_in_one_batch_are_granted_once(log):
    """Guards against a batch that hides the earlier claim of a key."""
    owner = fakes.make_owner("a")
    found = [fakes.make_claim("k", f"t{n}") for n in range(3)]
    for claim in found:
        owner.claim(claim, log.now_s, log.now_ms)
    fakes.run_for(owner, log)
    verdicts = [owner.claim(c, log.now_s, log.now_ms).verdict for c in found]
    assert verdicts == [V.GRANTED, V.IN_PROGRESS, V.IN_PROGRESS]
    assert log.appends == 1


def test_paused_owner_gives_a_grant_that_has_expired(log):
    """Guards against an owner that wakes and extends an old claim."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    granted = fakes.request_claim(owner, log, claim)
    log.now_s += 3_600
    again = owner.claim(claim, log.now_s, log.now_ms)
    assert again.expires_ms == granted.expires_ms < log.now_ms


def test_late_duplicate_claim_of_a_released_try_stays_void(log):
    """Guards against a message that arrives twice and runs a request."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    fakes.request_claim(owner, log, claim)
    assert fakes.finish(owner, log, claim, ENDS.RELEASED)
    assert fakes.request_claim(owner, log, claim).verdict is V.UNAVAILABLE
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(owner, log, other).verdict is V.GRANTED
    assert fakes.finish(owner, log, claim, ENDS.RELEASED)
    third = fakes.make_claim("k", "t3")
    assert fakes.request_claim(owner, log, third).verdict is V.IN_PROGRESS


def test_release_before_a_late_append_voids_it(log):
    """Guards against a key that stays claimed by a try that was given up."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    owner.claim(claim, log.now_s, log.now_ms)
    log.now_s += 0.05
    while not log.late:
        fakes.step(owner, log, "late")
    replaced = fakes.make_owner("b")
    assert fakes.finish(replaced, log, claim, ENDS.RELEASED)
    log.append_late()
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(replaced, log, other).verdict is V.GRANTED


def test_outage_refuses_at_once_and_ends_by_itself(log):
    """Guards against callers held back, or refused for good, by an outage."""
    owner = fakes.make_owner("a")
    log.down = True
    claim = fakes.make_claim("k", "t1")
    answer = fakes.request_claim(owner, log, claim, seconds=0.3)
    assert answer.verdict is V.UNAVAILABLE
    assert answer.retry_ms >= 1_000
    during = owner.claim(fakes.make_claim("k", "t2"), log.now_s, log.now_ms)
    assert during.verdict is V.UNAVAILABLE
    log.down = False
    log.now_s += partition_owners.MAX_BACKOFF_S
    third = fakes.make_claim("k", "t3")
    assert fakes.request_claim(owner, log, third).verdict is V.GRANTED


@pytest.mark.parametrize(
    ("dropped", "wait_s", "verdict"),
    [
        pytest.param(1, 0.0, V.UNAVAILABLE, id="young_records_dropped"),
        pytest.param(1, 1_300.0, V.GRANTED, id="later_it_recovers"),
        pytest.param(0, 0.0, V.IN_PROGRESS, id="nothing_dropped"),
    ],
)
def test_dropped_records_are_not_taken_for_free_keys(
    log, dropped, wait_s, verdict
):
    """Guards against grants by an owner that has not seen all live claims."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    fakes.request_claim(owner, log, fakes.make_claim("other", "t2"))
    log.drop(dropped)
    log.now_s += wait_s
    fresh = fakes.make_owner("b")
    claim = fakes.make_claim("k", "t3")
    assert fakes.request_claim(fresh, log, claim).verdict is verdict


def test_quiet_stream_past_its_retention_grants_at_once(log):
    """Guards against a new owner that refuses after a quiet hour."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    log.now_s += 4_000
    log.expire(fakes.RETENTION_S)
    fakes.request_claim(owner, log, fakes.make_claim("k", "t2"))
    fresh = fakes.make_owner("b")
    claim = fakes.make_claim("other", "t3")
    assert fakes.request_claim(fresh, log, claim).verdict is V.GRANTED


def test_new_owner_reads_only_what_matters(log, monkeypatch):
    """Guards against a replay of the log's whole retention, and one too short.

    The keys are claimed every 100 s; a key lives for 605 s, and records of
    the last 1,260 s are read.
    """
    monkeypatch.setattr(stream_starts, "SHORT_STREAM", 2)
    owner = fakes.make_owner("a")
    for n in range(30):
        fakes.request_claim(owner, log, fakes.make_claim(f"k{n}", f"t{n}"))
        log.now_s += 99
    fresh = fakes.make_owner("b")
    fresh.claim(fakes.make_claim("k29", "u"), log.now_s, log.now_ms)
    starts = []
    while (todo := fresh.next_step(log.now_s, log.now_ms)) is not None:
        starts.append(todo.start)
        fresh.on_read(log.read(todo.start, todo.limit), log.now_s)
    assert starts[-1] == 30 - 13
    found = [
        fakes.request_claim(
            fresh, log, fakes.make_claim(f"k{n}", f"u{n}"), seconds=0.5
        )
        for n in range(29, 15, -1)
    ]
    verdicts = [answer.verdict for answer in found]
    assert verdicts == [V.UNKNOWN] * 6 + [V.GRANTED] * 8


def test_key_used_for_another_request_is_refused(log):
    """Guards against the recorded answer of a different request."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    other = fakes.make_claim("k", "t2", "POST /orders/2")
    assert fakes.request_claim(owner, log, other).verdict is V.MISMATCH


def test_memory_is_bounded_by_refusals_and_dropped_answers(log, monkeypatch):
    """Guards against an owner that forgets live keys to make room."""
    monkeypatch.setattr(key_tables, "MAX_KEYS", 3)
    monkeypatch.setattr(key_tables, "MAX_KEPT_ANSWER_BYTES", 8)
    owner = fakes.make_owner("a")
    for n in range(3):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        assert fakes.request_claim(owner, log, claim).verdict is V.GRANTED
        assert fakes.finish(owner, log, claim, ENDS.COMPLETED)
    full = fakes.request_claim(owner, log, fakes.make_claim("k3", "t3"))
    assert full.verdict is V.FULL
    bodies = [
        fakes.request_claim(owner, log, fakes.make_claim(f"k{n}", f"u{n}")).body
        for n in range(3)
    ]
    assert bodies == [None, b"done", b"done"]


def test_holders_are_not_told_to_wait_longer_and_longer(log):
    """Guards against a hint that is learnt from the hint itself."""
    owner = fakes.make_owner("a")
    hints = []
    for n in range(20):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        hints.append(owner.claim(claim, log.now_s, log.now_ms).retry_ms)
        fakes.run_for(owner, log)
        owner.claim(claim, log.now_s, log.now_ms)
    assert max(hints) <= 1_000 * 2 * partition_owners.BATCH_S


def test_appends_are_bounded_whatever_the_number_of_claims(log):
    """Guards against a log overloaded by many claims."""
    owner = fakes.make_owner("a")
    for n in range(1_000):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        owner.claim(claim, log.now_s, log.now_ms)
        if n % 10 == 0:
            fakes.run_for(owner, log, (), 0.02)
    spacings = 2.0 / partition_owners.APPEND_SPACING_S
    assert log.appends <= spacings + 1
