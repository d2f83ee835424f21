"""How a follower reads a topic of the log next."""

import pytest

from buckthorn_core import feed_trees
from buckthorn_core import log_reads

ALWAYS, ONCE = feed_trees.ReadMode.ALWAYS, feed_trees.ReadMode.ONCE
WAIT_S = 0.8
LARGE, SMALL = True, False


@pytest.mark.parametrize("elapsed_s", [0.0, 0.3, 0.79, 0.8, 5.0])
def test_the_log_is_asked_for_its_word_before_feeds_become_stale(elapsed_s):
    """Guards against a region that reads the log all at once.

    The pattern: a version of 350 KB took half a second to read, and as long
    was waited for others; a full wait behind that is longer than the daemons
    that are fed wait for the log's word.
    """
    plan = log_reads.plan_read(ALWAYS, WAIT_S, elapsed_s, SMALL, True)
    assert elapsed_s + plan.wait_s <= max(WAIT_S, elapsed_s)
    assert plan.wait_s >= 0.0


def test_versions_that_are_out_of_date_already_are_not_read():
    """Guards against a link filled with versions that nobody needs.

    The pattern: large versions that follow each other faster than the link
    carries them.
    """
    assert log_reads.plan_read(ALWAYS, WAIT_S, 0.5, LARGE, True).skip_to_newest
    assert log_reads.plan_read(ONCE, WAIT_S, 3.0, LARGE, False).skip_to_newest
    # With nothing read before, a long read brings the next version alone.
    assert not log_reads.plan_read(
        ALWAYS, WAIT_S, 0.1, LARGE, False
    ).skip_to_newest


def test_small_records_are_read_with_one_call():
    """Guards against a second call for records that cost less than it."""
    for reading in (ALWAYS, ONCE):
        plan = log_reads.plan_read(reading, WAIT_S, 0.5, SMALL, True)
        assert not plan.skip_to_newest


def test_a_fed_daemon_does_not_wait_for_records():
    """Guards against a read that lasts while its daemon's feed is stale."""
    assert log_reads.plan_read(ONCE, WAIT_S, 0.0, SMALL, False).wait_s == 0.0
