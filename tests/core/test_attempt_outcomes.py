"""Tests of the outcomes that a daemon keeps for lost answers."""

import hypothesis
from hypothesis import strategies
import pytest

from buckthorn_core import attempt_outcomes


def attempt(number, sender="d-1/a"):
    return attempt_outcomes.attempt_id(sender, number)


def test_a_running_attempt_is_never_dropped():
    """Guards against the reply "not run" for an attempt that runs.

    It runs for longer than outcomes are kept, while other attempts end.
    """
    outcomes = attempt_outcomes.AttemptOutcomes()
    outcomes.begin(attempt(0), "running")
    for n in range(1, 2 * attempt_outcomes.MAX_ENDED):
        outcomes.begin(attempt(n), "ended")
        outcomes.end(attempt(n), n * 0.01)
    assert outcomes.get(attempt(0)) == "running"
    outcomes.end(attempt(0), 1_000.0)
    assert outcomes.get(attempt(0)) == "running"


def test_a_dropped_attempt_may_have_run():
    """Guards against a second run after the answer was lost."""
    outcomes = attempt_outcomes.AttemptOutcomes()
    for n in (3, 5):
        outcomes.begin(attempt(n), "ended")
        outcomes.end(attempt(n), 100.0)
    outcomes.begin(attempt(6), "ended")
    outcomes.end(attempt(6), 100.0 + attempt_outcomes.RETENTION_S)
    assert outcomes.get(attempt(5)) is None
    assert outcomes.may_have_dropped(attempt(3))
    assert outcomes.may_have_dropped(attempt(5))
    # A later attempt, or one of another process, can't have been dropped.
    assert not outcomes.may_have_dropped(attempt(7))
    assert not outcomes.may_have_dropped(attempt(1, sender="d-2/b"))


def test_memory_is_bounded_for_any_number_of_senders():
    """Guards against memory that grows with each restart of a daemon."""
    outcomes = attempt_outcomes.AttemptOutcomes()
    for n in range(2 * attempt_outcomes.MAX_SENDERS):
        outcomes.begin(attempt(1, sender=f"d-{n}/a"), "ended")
        outcomes.end(
            attempt(1, sender=f"d-{n}/a"), n * attempt_outcomes.RETENTION_S
        )
    assert len(outcomes._dropped) <= attempt_outcomes.MAX_SENDERS
    # An attempt of an evicted sender may have been dropped.
    assert outcomes.may_have_dropped(attempt(9, sender="d-0/a"))


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 30),
            strategies.booleans(),
            strategies.floats(0.0, 4.0),
        ),
        max_size=60,
    )
)
def test_each_begun_attempt_is_known_or_may_have_been_dropped(steps):
    """Guards against a wrong "not run", in any order of events."""
    outcomes = attempt_outcomes.AttemptOutcomes()
    begun, now_s = set(), 0.0
    for number, ends, pause_s in steps:
        now_s += pause_s
        name = attempt(number)
        if ends:
            outcomes.end(name, now_s)
        elif name not in begun:
            begun.add(name)
            outcomes.begin(name, number)
        for known in begun:
            assert outcomes.get(known) is not None or outcomes.may_have_dropped(
                known
            )


def test_an_outcome_dropped_for_its_memory_may_have_run():
    """Guards against the reply "not run" after a long response was dropped."""
    outcomes = attempt_outcomes.AttemptOutcomes()
    outcomes.begin(attempt(3), "response")
    assert not outcomes.drop(attempt(3))
    outcomes.end(attempt(3), 0.0)
    assert outcomes.drop(attempt(3))
    assert not outcomes.drop(attempt(3))
    assert outcomes.get(attempt(3)) is None
    assert outcomes.may_have_dropped(attempt(3))
    assert not outcomes.may_have_dropped(attempt(4))


@pytest.mark.parametrize("text", ["", "x", "d/1/x"])
def test_an_id_without_a_number_raises_no_error(text):
    """Guards against an exception for ids of another format."""
    assert not attempt_outcomes.AttemptOutcomes().may_have_dropped(text)


def test_outcomes_take_a_limited_number_of_bytes():
    """Guards against long responses that are kept until memory is gone."""
    outcomes = attempt_outcomes.AttemptOutcomes(max_bytes=250)
    for n in range(4):
        outcomes.begin(attempt(n), "ended")
        outcomes.end(attempt(n), 1.0, 100)
    assert outcomes.ended_bytes == 200
    assert [outcomes.get(attempt(n)) for n in range(4)] == [
        None,
        None,
        "ended",
        "ended",
    ]
    assert outcomes.may_have_dropped(attempt(1))


def test_a_forgotten_attempt_takes_no_room():
    """Guards against keeping responses that no daemon can query."""
    outcomes = attempt_outcomes.AttemptOutcomes(max_bytes=250)
    outcomes.begin(attempt(0), "ended")
    outcomes.forget(attempt(0))
    outcomes.end(attempt(0), 1.0, 100)
    assert outcomes.get(attempt(0)) is None
    assert outcomes.ended_bytes == 0
