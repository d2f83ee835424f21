"""Plans of the next read of a topic of the log."""

import pytest

from buckthorn_core import feed_trees
from buckthorn_core import log_reads

ALWAYS, ONCE = feed_trees.ReadMode.ALWAYS, feed_trees.ReadMode.ONCE
WAIT_S = 0.8
LARGE, SMALL = True, False


@pytest.mark.parametrize("elapsed_s", [0.0, 0.3, 0.79, 0.8, 5.0])
def test_log_answers_again_before_feeds_become_stale(elapsed_s):
    """Guards against a whole region reading the log at once.

    Reading a version of 350 KB took half a second, and waiting for more
    records as long. A full long poll after that exceeds the time after which
    the feeds of other daemons become stale.
    """
    plan = log_reads.plan_read(ALWAYS, WAIT_S, elapsed_s, SMALL, True)
    assert elapsed_s + plan.wait_s <= max(WAIT_S, elapsed_s)
    assert plan.wait_s >= 0.0


def test_outdated_large_records_are_skipped():
    """Guards against a link filled with outdated versions.

    Large versions may be published faster than the link carries them.
    """
    assert log_reads.plan_read(ALWAYS, WAIT_S, 0.5, LARGE, True).skip_to_newest
    assert log_reads.plan_read(ONCE, WAIT_S, 3.0, LARGE, False).skip_to_newest
    # After a read without records, a long poll returns one version alone.
    assert not log_reads.plan_read(
        ALWAYS, WAIT_S, 0.1, LARGE, False
    ).skip_to_newest


def test_small_records_are_read_with_one_call():
    """Guards against a second call that costs more than the records."""
    for reading in (ALWAYS, ONCE):
        plan = log_reads.plan_read(reading, WAIT_S, 0.5, SMALL, True)
        assert not plan.skip_to_newest


def test_single_read_does_not_wait_for_records():
    """Guards against a long poll while the daemon's feed is stale."""
    assert log_reads.plan_read(ONCE, WAIT_S, 0.0, SMALL, False).wait_s == 0.0
