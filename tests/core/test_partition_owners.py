"""Tests of partition owners: log order, lost answers, outages, retention."""

import pytest
from tests.fakes import operations as fakes

from buckthorn_core import claims
from buckthorn_core import key_tables
from buckthorn_core import partition_owners
from buckthorn_core import stream_starts

Verdict = claims.Verdict
OUTCOMES = claims.Outcome


@pytest.fixture
def log():
    return fakes.FakeLog()


@pytest.mark.parametrize(
    ("faults", "verdict", "most_records"),
    [
        pytest.param([], Verdict.GRANTED, 1, id="no_fault"),
        pytest.param(
            ["lose"], Verdict.GRANTED, 1, id="answer_lost_after_effect"
        ),
        pytest.param(["refuse"], Verdict.GRANTED, 1, id="no_effect"),
        pytest.param(["refuse", "lose"], Verdict.GRANTED, 1, id="both"),
        pytest.param(
            ["late"], Verdict.GRANTED, 1, id="effect_after_the_answer"
        ),
    ],
)
def test_append_faults_do_not_change_the_decision(
    log, faults, verdict, most_records
):
    """Guards against refusals or second records after append faults."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, claim, faults).verdict is verdict
    assert len(log.records) <= most_records
    log.append_late()
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(owner, log, other).verdict is Verdict.IN_PROGRESS


@pytest.mark.parametrize(
    ("outcome", "wait_s", "verdict", "body"),
    [
        (None, 1.0, Verdict.IN_PROGRESS, None),
        (None, 10.0, Verdict.UNKNOWN, None),
        (OUTCOMES.COMPLETED, 10.0, Verdict.COMPLETED, b"done"),
        (OUTCOMES.UNKNOWN, 1.0, Verdict.UNKNOWN, None),
        (OUTCOMES.RELEASED, 1.0, Verdict.GRANTED, None),
        (OUTCOMES.COMPLETED, 590.0, Verdict.COMPLETED, b"done"),
        (OUTCOMES.COMPLETED, 610.0, Verdict.GRANTED, None),
    ],
)
@pytest.mark.parametrize("restarted", [False, True])
def test_second_claim_gets_the_outcome_of_the_first(
    log, outcome, wait_s, verdict, body, restarted
):
    """Guards against a second run, also after an owner's restart."""
    owner = fakes.make_owner("a")
    first = fakes.make_claim("k", "t1")
    assert fakes.request_claim(owner, log, first).verdict is Verdict.GRANTED
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
    assert verdicts == [Verdict.IN_PROGRESS, Verdict.GRANTED]


def test_claims_of_one_key_in_one_batch_are_granted_once(log):
    """Guards against two grants for claims of a key in one batch."""
    owner = fakes.make_owner("a")
    found = [fakes.make_claim("k", f"t{n}") for n in range(3)]
    for claim in found:
        owner.claim(claim, log.now_s, log.now_ms)
    fakes.run_for(owner, log)
    verdicts = [owner.claim(c, log.now_s, log.now_ms).verdict for c in found]
    assert verdicts == [
        Verdict.GRANTED,
        Verdict.IN_PROGRESS,
        Verdict.IN_PROGRESS,
    ]
    assert log.appends == 1


def test_paused_owner_does_not_extend_a_grant(log):
    """Guards against a new expiry for a claim that was granted long ago."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    granted = fakes.request_claim(owner, log, claim)
    log.now_s += 3_600
    again = owner.claim(claim, log.now_s, log.now_ms)
    assert again.expires_ms == granted.expires_ms < log.now_ms


def test_duplicate_of_a_released_claim_has_no_effect(log):
    """Guards against a second run because a message is duplicated."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    fakes.request_claim(owner, log, claim)
    assert fakes.finish(owner, log, claim, OUTCOMES.RELEASED)
    assert fakes.request_claim(owner, log, claim).verdict is Verdict.UNAVAILABLE
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(owner, log, other).verdict is Verdict.GRANTED
    assert fakes.finish(owner, log, claim, OUTCOMES.RELEASED)
    third = fakes.make_claim("k", "t3")
    assert fakes.request_claim(owner, log, third).verdict is Verdict.IN_PROGRESS


def test_release_before_a_late_append_cancels_the_claim(log):
    """Guards against a key that stays claimed by an abandoned attempt."""
    owner = fakes.make_owner("a")
    claim = fakes.make_claim("k", "t1")
    owner.claim(claim, log.now_s, log.now_ms)
    log.now_s += 0.05
    while not log.late:
        fakes.step(owner, log, "late")
    replaced = fakes.make_owner("b")
    assert fakes.finish(replaced, log, claim, OUTCOMES.RELEASED)
    log.append_late()
    other = fakes.make_claim("k", "t2")
    assert fakes.request_claim(replaced, log, other).verdict is Verdict.GRANTED


def test_claims_are_refused_at_once_during_an_outage_only(log):
    """Guards against callers that wait, or are refused, after an outage."""
    owner = fakes.make_owner("a")
    log.down = True
    claim = fakes.make_claim("k", "t1")
    answer = fakes.request_claim(owner, log, claim, seconds=0.3)
    assert answer.verdict is Verdict.UNAVAILABLE
    assert answer.retry_ms >= 1_000
    during = owner.claim(fakes.make_claim("k", "t2"), log.now_s, log.now_ms)
    assert during.verdict is Verdict.UNAVAILABLE
    log.down = False
    log.now_s += partition_owners.MAX_BACKOFF_S
    third = fakes.make_claim("k", "t3")
    assert fakes.request_claim(owner, log, third).verdict is Verdict.GRANTED


@pytest.mark.parametrize(
    ("dropped", "wait_s", "verdict"),
    [
        pytest.param(1, 0.0, Verdict.UNAVAILABLE, id="young_records_dropped"),
        pytest.param(1, 1_300.0, Verdict.GRANTED, id="later_it_recovers"),
        pytest.param(0, 0.0, Verdict.IN_PROGRESS, id="nothing_dropped"),
    ],
)
def test_keys_in_dropped_records_are_not_granted(log, dropped, wait_s, verdict):
    """Guards against grants by an owner that has not read all live claims."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    fakes.request_claim(owner, log, fakes.make_claim("other", "t2"))
    log.drop(dropped)
    log.now_s += wait_s
    restarted_owner = fakes.make_owner("b")
    claim = fakes.make_claim("k", "t3")
    assert fakes.request_claim(restarted_owner, log, claim).verdict is verdict


def test_stream_emptied_by_retention_grants_at_once(log):
    """Guards against refusals by a new owner after an hour without claims."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    log.now_s += 4_000
    log.expire(fakes.RETENTION_S)
    fakes.request_claim(owner, log, fakes.make_claim("k", "t2"))
    restarted_owner = fakes.make_owner("b")
    claim = fakes.make_claim("other", "t3")
    assert (
        fakes.request_claim(restarted_owner, log, claim).verdict
        is Verdict.GRANTED
    )


def test_new_owner_reads_only_records_of_live_keys(log, monkeypatch):
    """Guards against reading the whole retention, or too few records.

    Keys are claimed every 100 s. A key lives for 605 s, and records of the
    last 1,260 s are read.
    """
    monkeypatch.setattr(stream_starts, "SHORT_STREAM", 2)
    owner = fakes.make_owner("a")
    for n in range(30):
        fakes.request_claim(owner, log, fakes.make_claim(f"k{n}", f"t{n}"))
        log.now_s += 99
    restarted_owner = fakes.make_owner("b")
    restarted_owner.claim(fakes.make_claim("k29", "u"), log.now_s, log.now_ms)
    starts = []
    while (
        todo := restarted_owner.next_step(log.now_s, log.now_ms)
    ) is not None:
        starts.append(todo.start)
        restarted_owner.on_read(log.read(todo.start, todo.limit), log.now_s)
    assert starts[-1] == 30 - 13
    found = [
        fakes.request_claim(
            restarted_owner,
            log,
            fakes.make_claim(f"k{n}", f"u{n}"),
            seconds=0.5,
        )
        for n in range(29, 15, -1)
    ]
    verdicts = [answer.verdict for answer in found]
    assert verdicts == [Verdict.UNKNOWN] * 6 + [Verdict.GRANTED] * 8


def test_key_used_for_another_request_is_refused(log):
    """Guards against answering with the outcome of a different request."""
    owner = fakes.make_owner("a")
    fakes.request_claim(owner, log, fakes.make_claim("k", "t1"))
    other = fakes.make_claim("k", "t2", "POST /orders/2")
    assert fakes.request_claim(owner, log, other).verdict is Verdict.MISMATCH


def test_full_tables_refuse_keys_and_drop_answers(log, monkeypatch):
    """Guards against an owner that drops live keys to free memory."""
    monkeypatch.setattr(key_tables, "MAX_KEYS", 3)
    monkeypatch.setattr(key_tables, "MAX_TOTAL_ANSWER_BYTES", 8)
    owner = fakes.make_owner("a")
    for n in range(3):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        assert fakes.request_claim(owner, log, claim).verdict is Verdict.GRANTED
        assert fakes.finish(owner, log, claim, OUTCOMES.COMPLETED)
    full = fakes.request_claim(owner, log, fakes.make_claim("k3", "t3"))
    assert full.verdict is Verdict.FULL
    bodies = [
        fakes.request_claim(owner, log, fakes.make_claim(f"k{n}", f"u{n}")).body
        for n in range(3)
    ]
    assert bodies == [None, b"done", b"done"]


def test_poll_interval_does_not_grow(log):
    """Guards against a poll interval derived from the holders' polls."""
    owner = fakes.make_owner("a")
    retry_intervals_ms = []
    for n in range(20):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        retry_intervals_ms.append(
            owner.claim(claim, log.now_s, log.now_ms).retry_ms
        )
        fakes.run_for(owner, log)
        owner.claim(claim, log.now_s, log.now_ms)
    assert max(retry_intervals_ms) <= 1_000 * 2 * partition_owners.BATCH_DELAY_S


def test_appends_are_bounded_whatever_the_number_of_claims(log):
    """Guards against overloading the log with one append per claim."""
    owner = fakes.make_owner("a")
    for n in range(1_000):
        claim = fakes.make_claim(f"k{n}", f"t{n}")
        owner.claim(claim, log.now_s, log.now_ms)
        if n % 10 == 0:
            fakes.run_for(owner, log, (), 0.02)
    intervals = 2.0 / partition_owners.MIN_APPEND_INTERVAL_S
    assert log.appends <= intervals + 1
