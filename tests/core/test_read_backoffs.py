"""Pauses between reads of a log that does not answer."""

import random

import pytest

from buckthorn_core import feed_trees
from buckthorn_core import read_backoffs

# A version must be in force 2.5 s after its acceptance; 0.5 s are left for the
# read itself.
MOST_S = 2.0


@pytest.mark.parametrize("reading", list(feed_trees.ReadMode))
def test_pauses_grow_and_stay_below_what_a_version_may_take(reading):
    """Guards against a daemon that sleeps while a version has to come.

    The pattern: the log is away for 8 s and returns while a daemon waits.
    """
    pauses = read_backoffs.ReadBackoff(random.Random(1))
    found = [pauses.next_delay_s(reading) for _ in range(50)]
    assert found[0] < found[3]
    assert max(found) <= MOST_S


def test_those_that_are_fed_ask_a_log_that_is_away_rarely():
    """Guards against a region that calls the log all at once, and often."""
    calls = 0
    for seed in range(12):
        pauses = read_backoffs.ReadBackoff(random.Random(seed))
        now_s = 0.0
        while now_s < 8.0:
            calls += 1
            now_s += pauses.next_delay_s(feed_trees.ReadMode.ONCE)
    assert calls <= 12 * 8


def test_an_answer_begins_with_the_first_pause_again():
    """Guards against long pauses after one failure among many answers."""
    pauses = read_backoffs.ReadBackoff(random.Random(1))
    for _ in range(9):
        pauses.next_delay_s(feed_trees.ReadMode.ONCE)
    pauses.reset()
    assert (
        pauses.next_delay_s(feed_trees.ReadMode.ONCE)
        <= read_backoffs.FED_LIMITS.initial_s
    )
