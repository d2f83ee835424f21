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
    budget.add_held(holder, 600)
    budget.add_held(holder, 300)
    assert budget.has_room(100)
    assert not budget.has_room(101)
    assert budget.add(Message(), 50) == []
    budget.release(holder)
    assert budget.used == 50


def test_held_bytes_leave_less_for_incomplete_messages():
    """Guards against responses for slow readers that count as nothing."""
    budget = byte_budgets.ByteBudget(1_000)
    response, upload = object(), Message()
    budget.hold(response, 700)
    assert budget.add(upload, 200) == []
    assert budget.is_short
    assert budget.add(upload, 200) == [upload]
    budget.hold(response, 100)
    assert budget.used == 100
    budget.hold(response, 0)
    assert budget.used == 0


def test_room_is_announced_once_the_budget_is_not_short():
    """Guards against uploads that wait for ever after a shortage."""
    budget = byte_budgets.ByteBudget(1_000)
    calls = []
    budget.on_room = lambda: calls.append(budget.used)
    first, second = object(), object()
    budget.hold(first, 900)
    budget.hold(second, 50)
    budget.release(second)
    assert calls == []
    budget.hold(first, 500)
    assert calls == [500]


def test_a_single_response_has_room_whatever_its_size():
    """Guards against a limit that a caller meets without any others."""
    budget = byte_budgets.ByteBudget(1_000)
    assert budget.has_room_for_response(990)
    budget.hold("conns", 90)
    assert budget.has_room_for_response(990)
    budget.hold("other", 300)
    assert budget.has_room_for_response(400)
    assert not budget.has_room_for_response(600)


def test_endless_messages_keep_no_request_out():
    """Guards against refusals while an upstream sends an endless response."""
    budget = byte_budgets.ByteBudget(1_000)
    endless, req = Message(), object()
    budget.add(endless, 990)
    assert budget.is_short
    assert not budget.is_full
    budget.transfer(endless, req)
    assert budget.is_full
    budget.release(req)
    assert (budget.used, budget.held) == (0, 0)
