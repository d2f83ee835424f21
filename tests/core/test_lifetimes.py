"""Which announcement counts when they come late, repeated or reordered."""

import pytest

from buckthorn_core import lifetimes

READY = lifetimes.UpstreamState.READY
DRAINING = lifetimes.UpstreamState.DRAINING
GONE = lifetimes.UpstreamState.GONE
Change = lifetimes.Change


def said(sequence, state=READY, instance="i-1", born_ms=1_000, slots=18):
    return lifetimes.Announcement(
        instance, born_ms, sequence, "stock", "1.2.3.4:80", slots, state, 0.0
    )


def after(*steps):
    """Applies announcements, and ids that leave; returns the lifetimes."""
    found = lifetimes.LifetimeTracker()
    for step in steps:
        if isinstance(step, tuple):
            found.end(*step)
        else:
            found.apply_announcement(step)
    return found


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        ([], GONE),
        ([said(1)], READY),
        ([said(1), said(2, DRAINING)], DRAINING),
        # A late announcement does not open the gate again.
        ([said(2, DRAINING), said(1)], DRAINING),
        ([said(2, DRAINING), said(3)], DRAINING),
        ([said(1), ("i-1", 1_000, 0)], GONE),
        ([said(1), ("i-1", None, 0), said(2)], GONE),
        ([("i-1", 1_000, 0), said(1)], GONE),
        ([("i-1", None, 5_000), said(1)], GONE),
        # The same id in a new lifetime.
        ([said(9), ("i-1", 1_000, 0), said(1, born_ms=2_000)], READY),
        ([said(9, DRAINING), said(1, born_ms=2_000)], READY),
        # An old lifetime's words after a new one has begun.
        ([said(1, instance="i-2", born_ms=2_000), said(7, DRAINING)], READY),
        ([said(1, instance="i-2", born_ms=2_000), ("i-1", 1_000, 0)], READY),
        ([said(1, born_ms=2_000), ("i-1", 1_000, 0)], READY),
    ],
)
def test_state_after(steps, state):
    """Guards against late words that open or close the wrong lifetime."""
    assert after(*steps).state is state


def test_changes_are_told():
    """Guards against a gate that is closed without notice to the queue."""
    found = lifetimes.LifetimeTracker()
    assert found.apply_announcement(said(1)) is Change.NEW_LIFETIME
    assert found.apply_announcement(said(1)) is Change.NOTHING
    assert found.apply_announcement(said(2, slots=9)) is Change.UPDATED
    assert found.current.slots == 9
    assert found.apply_announcement(said(3, DRAINING)) is Change.CLOSED
    assert found.apply_announcement(said(4, DRAINING)) is Change.UPDATED
    assert found.end("i-1", 1_000, 0) is Change.CLOSED
    assert found.end("i-1", 1_000, 0) is Change.NOTHING


def test_health_opens_only_an_unknown_lifetime():
    """Guards against a health answer that reopens a closed gate."""
    fresh = lifetimes.LifetimeTracker()
    assert fresh.infer_from_health("i-1", 18, "a:1") is Change.NEW_LIFETIME
    assert fresh.accepts_requests
    assert fresh.apply_announcement(said(5, DRAINING)) is Change.NEW_LIFETIME
    assert fresh.state is DRAINING
    closed = after(("i-1", 1_000, 0))
    assert closed.infer_from_health("i-1", 18, "a:1") is Change.NOTHING
    known = after(said(1, DRAINING))
    assert known.infer_from_health("i-1", 18, "a:1") is Change.NOTHING
