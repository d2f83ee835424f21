"""Pauses, refusals and closings of callers when memory is short."""

import pytest

from buckthorn_core import byte_budgets
from buckthorn_sidecar import caller_guards


class Conn:
    """A connection of a caller.

    Attributes:
        done: What was done to it, in order.
    """

    def __init__(self, guard=None, peer="10.0.0.1", size=0):
        self.guard = guard
        self.peer = peer
        self.held_bytes = size
        self.held_since_s = None
        self.last_activity_s = 0.0
        self.has_sent = False
        self.busy = False
        self.incomplete = True
        self.stalled = False
        self.stalled_since_s = 0.0
        self.done = []

    def hold_reading(self):
        self.held_since_s = 0.0
        self.done.append("held")

    def release_reading(self):
        self.held_since_s = None
        self.done.append("released")

    def refuse_held(self):
        self.done.append("refused")

    def is_stalled(self, now_s, grace_s):
        return self.stalled

    def close_stalled(self):
        self.done.append("closed")
        self.guard._budget.hold(self, 0)

    def close(self):
        self.done.append("closed")


class Acceptor:
    paused = False


@pytest.fixture
def budget():
    return byte_budgets.ByteBudget(1_000)


@pytest.fixture
def conns():
    return []


@pytest.fixture
def acceptor():
    return Acceptor()


@pytest.fixture
def guard(budget, conns, acceptor):
    return caller_guards.CallerGuard(budget, conns, acceptor)


def test_one_incomplete_request_goes_on(guard, budget):
    """Guards against uploads that all wait for each other."""
    first, second, third = Conn(), Conn(), Conn()
    for conn in (first, second, third, first, second):
        guard.on_incomplete(conn)
    assert (first.done, second.done, third.done) == ([], ["held"], ["held"])
    first.incomplete = False
    other = Conn()
    guard.on_incomplete(other)
    assert other.done == []


def test_held_requests_go_on_when_there_is_room(guard, budget):
    """Guards against callers that wait although memory is free."""
    first, second = Conn(), Conn()
    budget.hold("responses", 900)
    guard.on_incomplete(first)
    guard.on_incomplete(second)
    budget.hold("responses", 100)
    assert second.done == ["held", "released"]
    guard.check(100.0)
    assert second.done == ["held", "released"]


def test_held_requests_are_refused_in_the_end(guard, budget):
    """Guards against callers that wait until their deadline."""
    budget.hold("responses", 900)
    first, second = Conn(), Conn()
    guard.on_incomplete(first)
    guard.on_incomplete(second)
    guard.check(caller_guards.HELD_S)
    assert second.done == ["held"]
    guard.check(caller_guards.HELD_S + 0.1)
    guard.check(caller_guards.HELD_S + 0.2)
    assert second.done == ["held", "refused"]
    assert first.done == []


def test_the_oldest_stalled_is_closed_first(guard, budget, conns):
    """Guards against closing more connections than the shortage asks for."""
    for since_s in (3.0, 1.0, 2.0):
        conn = Conn(guard)
        conn.stalled = True
        conn.stalled_since_s = since_s
        conns.append(conn)
        budget.hold(conn, 300)
    honest = Conn(guard)
    conns.append(honest)
    budget.hold(honest, 50)
    guard.check(10.0)
    assert [conn.done for conn in conns] == [[], ["closed"], [], []]
    guard.check(11.0)
    assert [conn.done for conn in conns] == [[], ["closed"], [], []]


def test_idle_connections_make_room_for_others(guard, conns, acceptor):
    """Guards against idle callers that keep all others out."""
    for number in range(8):
        conn = Conn()
        conn.last_activity_s = 10.0 + number / 10
        conn.has_sent = number < 4
        conn.busy = number == 4
        conns.append(conn)
    guard.check(20.0)
    assert not any(conn.done for conn in conns)
    acceptor.paused = True
    guard.check(20.0)
    closed = [n for n, conn in enumerate(conns) if conn.done]
    assert closed == [5]
    # None of them has been idle for long enough.
    guard.check(10.5)
    assert [n for n, conn in enumerate(conns) if conn.done] == closed


def test_the_largest_peer_is_named(conns):
    """Guards against a log line that names no culprit."""
    conns.extend([Conn(peer="a", size=5), Conn(peer="b", size=3)])
    conns.append(Conn(peer="b", size=4))
    assert caller_guards.largest_peer(conns) == ("b", 7)
    assert caller_guards.largest_peer([]) == ("", 0)
