"""Delays between reads of a log that does not answer."""

import random

import pytest

from buckthorn_core import feed_trees
from buckthorn_core import read_backoffs

# A version must be in force 2.5 s after its acceptance, and the read itself may
# take 0.5 s.
MAX_DELAY_S = 2.0


@pytest.mark.parametrize("mode", list(feed_trees.ReadMode))
def test_delays_grow_and_stay_below_the_convergence_time(mode):
    """Guards against a daemon that is still waiting when a version is due.

    The log may come back after an outage of 8 s while a daemon waits.
    """
    backoff = read_backoffs.ReadBackoff(random.Random(1))
    found = [backoff.next_delay_s(mode) for _ in range(50)]
    assert found[0] < found[3]
    assert max(found) <= MAX_DELAY_S


def test_fed_daemons_retry_rarely_during_an_outage():
    """Guards against frequent calls from all daemons of a region at once."""
    calls = 0
    for seed in range(12):
        backoff = read_backoffs.ReadBackoff(random.Random(seed))
        now_s = 0.0
        while now_s < 8.0:
            calls += 1
            now_s += backoff.next_delay_s(feed_trees.ReadMode.ONCE)
    assert calls <= 12 * 8


def test_answer_resets_the_delay():
    """Guards against long delays after one failure among many answers."""
    backoff = read_backoffs.ReadBackoff(random.Random(1))
    for _ in range(9):
        backoff.next_delay_s(feed_trees.ReadMode.ONCE)
    backoff.reset()
    assert (
        backoff.next_delay_s(feed_trees.ReadMode.ONCE)
        <= read_backoffs.FED_LIMITS.initial_s
    )
