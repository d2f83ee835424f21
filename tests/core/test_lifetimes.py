"""Tests of lifetimes with late, repeated and reordered announcements."""

import pytest

from buckthorn_core import lifetimes

READY = lifetimes.UpstreamState.READY
DRAINING = lifetimes.UpstreamState.DRAINING
GONE = lifetimes.UpstreamState.GONE
Change = lifetimes.Change


def announcement(
    sequence, state=READY, instance="i-1", born_ms=1_000, slots=18
):
    return lifetimes.Announcement(
        instance, born_ms, sequence, "stock", "1.2.3.4:80", slots, state, 0.0
    )


def track(*steps):
    """Applies announcements and ends of lifetimes; returns the tracker."""
    tracker = lifetimes.LifetimeTracker()
    for step in steps:
        if isinstance(step, tuple):
            tracker.end(*step)
        else:
            tracker.apply_announcement(step)
    return tracker


@pytest.mark.parametrize(
    ("steps", "state"),
    [
        ([], GONE),
        ([announcement(1)], READY),
        ([announcement(1), announcement(2, DRAINING)], DRAINING),
        # A late announcement does not end draining.
        ([announcement(2, DRAINING), announcement(1)], DRAINING),
        ([announcement(2, DRAINING), announcement(3)], DRAINING),
        ([announcement(1), ("i-1", 1_000, 0)], GONE),
        ([announcement(1), ("i-1", None, 0), announcement(2)], GONE),
        ([("i-1", 1_000, 0), announcement(1)], GONE),
        ([("i-1", None, 5_000), announcement(1)], GONE),
        # The same id in a new lifetime.
        (
            [
                announcement(9),
                ("i-1", 1_000, 0),
                announcement(1, born_ms=2_000),
            ],
            READY,
        ),
        ([announcement(9, DRAINING), announcement(1, born_ms=2_000)], READY),
        # Messages of an old lifetime after a new one has begun.
        (
            [
                announcement(1, instance="i-2", born_ms=2_000),
                announcement(7, DRAINING),
            ],
            READY,
        ),
        (
            [announcement(1, instance="i-2", born_ms=2_000), ("i-1", 1_000, 0)],
            READY,
        ),
        ([announcement(1, born_ms=2_000), ("i-1", 1_000, 0)], READY),
    ],
)
def test_state_after(steps, state):
    """Guards against late messages that change the wrong lifetime."""
    assert track(*steps).state is state


def test_each_message_returns_its_change():
    """Guards against a drain that the queue is not notified of."""
    tracker = lifetimes.LifetimeTracker()
    assert tracker.apply_announcement(announcement(1)) is Change.NEW_LIFETIME
    assert tracker.apply_announcement(announcement(1)) is Change.NOTHING
    assert (
        tracker.apply_announcement(announcement(2, slots=9)) is Change.UPDATED
    )
    assert tracker.current.slots == 9
    assert (
        tracker.apply_announcement(announcement(3, DRAINING)) is Change.CLOSED
    )
    assert (
        tracker.apply_announcement(announcement(4, DRAINING)) is Change.UPDATED
    )
    assert tracker.end("i-1", 1_000, 0) is Change.CLOSED
    assert tracker.end("i-1", 1_000, 0) is Change.NOTHING


def test_health_check_applies_only_to_an_unknown_lifetime():
    """Guards against a health check that revives an ended lifetime."""
    fresh = lifetimes.LifetimeTracker()
    assert fresh.infer_from_health("i-1", 18, "a:1") is Change.NEW_LIFETIME
    assert fresh.accepts_requests
    assert (
        fresh.apply_announcement(announcement(5, DRAINING))
        is Change.NEW_LIFETIME
    )
    assert fresh.state is DRAINING
    closed = track(("i-1", 1_000, 0))
    assert closed.infer_from_health("i-1", 18, "a:1") is Change.NOTHING
    known = track(announcement(1, DRAINING))
    assert known.infer_from_health("i-1", 18, "a:1") is Change.NOTHING


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_an_inferred_lifetime_that_ends_stays_closed(state):
    """Guards against the late announcement of an upstream that has left.

    The daemon has started beside it and knows it from a health check only, so
    the start of the lifetime is not known when it ends.
    """
    tracker = lifetimes.LifetimeTracker()
    tracker.infer_from_health("i-1", 18, "a:1")
    assert tracker.end("i-1", None, 5_000, state) is Change.CLOSED
    assert tracker.apply_announcement(announcement(7)) is Change.NOTHING
    assert tracker.state is state
    assert tracker.last_start_ms("i-1") == 5_000
    reborn = announcement(1, born_ms=6_000)
    assert tracker.apply_announcement(reborn) is Change.NEW_LIFETIME
    assert tracker.accepts_requests


def test_an_upstream_that_leaves_twice_is_closed_once():
    """Guards against a second closing by the announcement of the first."""
    tracker = track(announcement(1))
    assert tracker.end("i-1", 1_000, 0, DRAINING) is Change.CLOSED
    assert tracker.end("i-1", 1_000, 0, DRAINING) is Change.NOTHING
    assert tracker.apply_announcement(announcement(2)) is Change.NOTHING
    assert tracker.state is DRAINING
    assert tracker.end("i-1", 1_000, 0) is Change.CLOSED
    assert tracker.state is GONE


def test_a_new_process_needs_a_health_check():
    """Guards against a late announcement of an upstream that has left.

    An earlier process acknowledged it, and was killed before its record was
    written.
    """
    tracker = track(announcement(7))
    assert not tracker.accepts_requests
    assert tracker.needs_health_check
    assert not tracker.verify("i-2")
    assert tracker.needs_health_check
    assert tracker.verify("i-1")
    assert tracker.accepts_requests
    # This process has heard all announcements of later lifetimes.
    tracker.apply_announcement(announcement(1, instance="i-2", born_ms=2_000))
    assert tracker.accepts_requests
    assert not track(announcement(1, DRAINING)).needs_health_check


def closed(*steps):
    return [tuple(c) for c in map(_fields, track(*steps).recently_closed())]


def _fields(lifetime):
    return lifetime.instance, lifetime.born_ms


def test_each_leaving_is_to_be_recorded():
    """Guards against a leaving that a restarted daemon doesn't know of.

    It must be recorded whatever this process knew of the lifetime before.
    """
    assert closed(announcement(1)) == []
    assert closed(("i-1", 1_000, 0)) == [("i-1", 1_000)]
    assert closed(("i-1", None, 5_000)) == [("i-1", 5_000)]
    assert closed(announcement(1, DRAINING)) == [("i-1", 1_000)]
    assert closed(announcement(1), announcement(2, DRAINING)) == [
        ("i-1", 1_000)
    ]
    newer = announcement(1, instance="i-2", born_ms=2_000)
    assert closed(newer, ("i-1", 1_000, 0)) == [("i-1", 1_000)]
    assert closed(newer, announcement(7, DRAINING)) == [("i-1", 1_000)]
    assert closed(("i-1", 1_000, 0), newer, ("i-2", 2_000, 0)) == [
        ("i-1", 1_000),
        ("i-2", 2_000),
    ]
    many = [(f"i-{n}", n, 0) for n in range(1, 10)]
    assert closed(*many) == [(f"i-{n}", n) for n in range(6, 10)]
    # The record of an earlier process is read again and again.
    assert closed(*many, *many[5:]) == [(f"i-{n}", n) for n in range(6, 10)]
