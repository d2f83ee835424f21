"""What a daemon says of tries whose answers were lost."""

import hypothesis
from hypothesis import strategies
import pytest

from buckthorn_core import attempt_outcomes


def attempt(number, sender="d-1/a"):
    return attempt_outcomes.attempt_id(sender, number)


def test_a_try_that_still_runs_is_never_forgotten():
    """Guards against a booking that runs, and is said not to have run.

    The pattern: it runs for longer than outcomes are kept, while others end.
    """
    kept = attempt_outcomes.AttemptOutcomes()
    kept.begin(attempt(0), "running")
    for n in range(1, 2 * attempt_outcomes.MAX_ENDED):
        kept.begin(attempt(n), "ended")
        kept.end(attempt(n), n * 0.01)
    assert kept.get(attempt(0)) == "running"
    kept.end(attempt(0), 1_000.0)
    assert kept.get(attempt(0)) == "running"


def test_a_dropped_try_is_not_taken_for_one_that_never_came():
    """Guards against a booking that ran twice after its answer was lost."""
    kept = attempt_outcomes.AttemptOutcomes()
    for n in (3, 5):
        kept.begin(attempt(n), "ended")
        kept.end(attempt(n), 100.0)
    kept.begin(attempt(6), "ended")
    kept.end(attempt(6), 100.0 + attempt_outcomes.RETENTION_S)
    assert kept.get(attempt(5)) is None
    assert kept.may_have_dropped(attempt(3))
    assert kept.may_have_dropped(attempt(5))
    # A later try of the same process, and one of another, were never here.
    assert not kept.may_have_dropped(attempt(7))
    assert not kept.may_have_dropped(attempt(1, sender="d-2/b"))


def test_tries_of_many_processes_do_not_grow_memory():
    """Guards against memory that grows with each restart of a daemon."""
    kept = attempt_outcomes.AttemptOutcomes()
    for n in range(2 * attempt_outcomes.MAX_SENDERS):
        kept.begin(attempt(1, sender=f"d-{n}/a"), "ended")
        kept.end(
            attempt(1, sender=f"d-{n}/a"), n * attempt_outcomes.RETENTION_S
        )
    assert len(kept._dropped) <= attempt_outcomes.MAX_SENDERS
    # Whose tries are not known any more, may have been here.
    assert kept.may_have_dropped(attempt(9, sender="d-0/a"))


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
def test_no_try_that_came_is_said_to_be_unknown(steps):
    """Guards against a false "not run" in any order of ends and questions."""
    kept = attempt_outcomes.AttemptOutcomes()
    came, now_s = set(), 0.0
    for number, ends, pause_s in steps:
        now_s += pause_s
        name = attempt(number)
        if ends:
            kept.end(name, now_s)
        elif name not in came:
            came.add(name)
            kept.begin(name, number)
        for known in came:
            assert kept.get(known) is not None or kept.may_have_dropped(known)


@pytest.mark.parametrize("text", ["", "x", "d/1/x"])
def test_an_id_without_a_number_is_no_error(text):
    """Guards against an exception for another project's ids."""
    assert not attempt_outcomes.AttemptOutcomes().may_have_dropped(text)
