"""How many bytes of bodies a daemon holds."""

import hypothesis
from hypothesis import strategies

from buckthorn_core import byte_budgets


class Message:
    def __init__(self):
        self.given_up = False

    def abort_body(self):
        self.given_up = True


def test_a_body_without_end_is_given_up_and_usual_ones_go_on():
    """Guards against callers refused beside an instance in trouble."""
    budget = byte_budgets.ByteBudget(1_000)
    endless, usual = Message(), [Message() for _ in range(8)]
    for holder in usual:
        assert budget.add(holder, 30) == []
    given_up = []
    for _ in range(10):
        given_up.extend(budget.add(endless, 100))
        if given_up:
            break
    assert given_up == [endless]
    assert budget.used == 8 * 30


def test_a_body_that_is_whole_is_not_given_up():
    """Guards against a request that is ended while it runs.

    What comes beside it does not fit, however small it is.
    """
    budget = byte_budgets.ByteBudget(1_000)
    upload, req, late = Message(), object(), Message()
    budget.add(upload, 900)
    budget.transfer(upload, req)
    assert budget.add(late, 200) == [late]
    assert budget.used == 900
    budget.release(req)
    assert budget.used == 0
    assert budget.add(late, 200) == []


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["grow", "keep", "release"]),
            strategies.integers(0, 4),
            strategies.integers(1, 700),
        ),
        max_size=50,
    )
)
def test_what_is_held_never_exceeds_the_budget(steps):
    """Guards against bytes that are counted twice, or never given back."""
    budget = byte_budgets.ByteBudget(1_000)
    holders = [Message() for _ in range(5)]
    whole = [object() for _ in range(5)]
    for what, index, size in steps:
        if what == "grow":
            budget.add(holders[index], size)
        elif what == "keep":
            budget.transfer(holders[index], whole[index])
        else:
            budget.release(whole[index])
        assert 0 <= budget.used <= budget.limit
    for thing in (*holders, *whole):
        budget.release(thing)
    assert budget.used == 0
