"""Who feeds whom, and when a feed is no longer trusted."""

import collections

import pytest

from buckthorn_core import feed_trees

CHILD = feed_trees.Place("d-1", 1)


def members(count):
    return {f"d-{n}": 7.0 for n in range(count)}


def parent_of(member, everyone):
    return feed_trees.place_of(member, everyone).parent


@pytest.mark.parametrize("count", [1, 2, 9, 80, 3_100])
def test_all_but_one_are_fed_and_nobody_feeds_many(count):
    """Guards against calls to the log that grow with the fleet, or a cycle."""
    everyone = members(count)
    sample = list(everyone)[:: max(1, count // 200)]
    parents = {m: parent_of(m, everyone) for m in sample}
    fed_by = collections.Counter(p for p in parents.values() if p)
    assert max(fed_by.values(), default=0) <= feed_trees.FAN_OUT
    for member in sample[:20]:
        above, hops = member, 0
        while above is not None:
            above = parent_of(above, everyone)
            hops += 1
        assert hops <= 6
        assert hops == feed_trees.place_of(member, everyone).depth + 1


def test_exactly_one_reads_the_log():
    """Guards against a region that nobody feeds, or two that read."""
    everyone = members(40)
    parents = [parent_of(m, everyone) for m in everyone]
    assert parents.count(None) == 1


def test_a_daemon_that_is_not_listed_yet_finds_its_place():
    """Guards against a start that fails before the own record is seen."""
    everyone = members(5)
    assert parent_of("d-new", everyone) in everyone


def test_hosts_with_wide_links_feed_the_others():
    """Guards against a thin link that carries a region's configuration."""
    everyone = {**members(60), "d-wide": 140.0}
    assert parent_of("d-wide", everyone) is None
    fed = [parent_of(m, everyone) for m in members(60)]
    assert fed.count("d-wide") == feed_trees.FAN_OUT


def test_a_silent_feed_becomes_stale():
    """Guards against a daemon that trusts a feed cut off from the log."""
    state = feed_trees.FeedState()
    assert state.follow(CHILD, 100.0)
    assert not state.is_stale(101.0)
    state.confirm(0.5, 101.0)
    assert not state.is_stale(101.0)
    assert state.is_stale(100.5 + feed_trees.STALE_S + 0.1)
    # The age that a feed states counts, not when its word arrived.
    state.confirm(3.0, 110.0)
    assert state.is_stale(110.0)


def test_those_next_to_the_first_read_the_log_before_the_others():
    """Guards against a region that reads the log all at once.

    The pattern: the first daemon of a region is slow for 2 s.
    """
    near, far = feed_trees.FeedState(), feed_trees.FeedState()
    near.follow(CHILD, 100.0)
    far.follow(feed_trees.Place("d-2", 2), 100.0)
    assert near.is_stale(101.7)
    assert not far.is_stale(101.7)
    assert far.is_stale(102.3)


def test_a_failed_feed_rests():
    """Guards against a return to the daemon that has just failed."""
    state = feed_trees.FeedState()
    state.follow(CHILD, 100.0)
    state.fail(100.0)
    assert state.parent is None
    assert state.resting(101.0) == {"d-1"}
    assert state.resting(100.0 + feed_trees.REST_S) == frozenset()


def test_a_host_that_is_gone_is_tried_ever_more_rarely():
    """Guards against a region that waits for a lost host again and again."""
    state = feed_trees.FeedState()
    now_s, tries = 0.0, 0
    while now_s < 600.0:
        if "d-1" not in state.resting(now_s):
            state.follow(CHILD, now_s)
            state.fail(now_s + feed_trees.STALE_S)
            tries += 1
        now_s += 1.0
    assert tries <= 8
    state.follow(CHILD, now_s)
    state.confirm(0.1, now_s)
    state.fail(now_s)
    assert state.resting(now_s + feed_trees.REST_S) == frozenset()


def test_the_reader_of_the_log_is_never_stale():
    """Guards against a first daemon that waits for a feed."""
    state = feed_trees.FeedState()
    assert not state.follow(feed_trees.FIRST, 100.0)
    assert not state.is_stale(1_000.0)
