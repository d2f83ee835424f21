"""Tests of the memory budget for bodies."""

import hypothesis
from hypothesis import strategies

from buckthorn_core import byte_budgets


class Message:
    def __init__(self):
        self.aborted = False

    def abort_body(self):
        self.aborted = True


def test_an_endless_body_is_evicted_and_others_proceed():
    """Guards against refusals because of one faulty instance."""
    budget = byte_budgets.ByteBudget(1_000)
    endless, usual = Message(), [Message() for _ in range(8)]
    for holder in usual:
        assert budget.add(holder, 30) == []
    evicted = []
    for _ in range(10):
        evicted.extend(budget.add(endless, 100))
        if evicted:
            break
    assert evicted == [endless]
    assert budget.used == 8 * 30


def test_a_complete_body_is_not_evicted():
    """Guards against aborting a request while it runs.

    Another body is evicted instead, even if it is smaller.
    """
    budget = byte_budgets.ByteBudget(1_000)
    upload, req, next_message = Message(), object(), Message()
    budget.add(upload, 900)
    budget.transfer(upload, req)
    assert budget.add(next_message, 200) == [next_message]
    assert budget.used == 900
    budget.release(req)
    assert budget.used == 0
    assert budget.add(next_message, 200) == []


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["add", "transfer", "release"]),
            strategies.integers(0, 4),
            strategies.integers(1, 700),
        ),
        max_size=50,
    )
)
def test_the_budget_is_never_exceeded(steps):
    """Guards against bytes that count twice, or are never released."""
    budget = byte_budgets.ByteBudget(1_000)
    holders = [Message() for _ in range(5)]
    complete = [object() for _ in range(5)]
    for action, index, size in steps:
        if action == "add":
            budget.add(holders[index], size)
        elif action == "transfer":
            budget.transfer(holders[index], complete[index])
        else:
            budget.release(complete[index])
        assert 0 <= budget.used <= budget.limit
    for holder in (*holders, *complete):
        budget.release(holder)
    assert budget.used == 0


def test_held_bytes_take_room_until_they_are_released():
    """Guards against bodies of other daemons that count for nothing."""
    budget = byte_budgets.ByteBudget(1_000)
    holder = object()
    assert budget.has_room(1_000)
    budget.hold(holder, 600)
    budget.hold(holder, 300)
    assert budget.has_room(100)
    assert not budget.has_room(101)
    assert budget.add(Message(), 50) == []
    budget.release(holder)
    assert budget.used == 50
