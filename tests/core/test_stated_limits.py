"""Tests of request limits that upstreams state."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest
from tests.core import test_slot_queues
from tests.fakes import limits

from buckthorn_core import errors
from buckthorn_core import slot_queues
from buckthorn_core import stated_limits


def limited(per_s, now_s=0.0):
    limit = stated_limits.StatedLimit()
    limit.on_response(now_s, per_s)
    return limit


def start_times(limit, arrivals_s):
    """Sends a request at each arrival that the limit admits."""
    for now_s in arrivals_s:
        if limit.delay_s(now_s) <= 0:
            limit.on_request(now_s)
            yield now_s


@pytest.mark.parametrize("per_s", [0.0, 0.2, 0.5, 1.0, 1.9, 7.3, 40.0, 500.0])
def test_no_window_exceeds_the_limit(per_s):
    """Guards against bursts that add up to more than an upstream takes."""
    rng = random.Random(1)
    arrivals_s = sorted(rng.uniform(0, 30) for _ in range(30_000))
    times_s = list(start_times(limited(per_s), arrivals_s))
    assert limits.most_in_window(times_s) <= limits.allowed(per_s)
    rate = stated_limits.MIN_LIMIT_PER_S if per_s < 0.2 else per_s
    assert len(times_s) >= 0.9 * 30 * rate


@hypothesis.given(
    stated=strategies.lists(strategies.floats(0.3, 60.0), min_size=2),
    restarts=strategies.lists(strategies.integers(0, 1_100), max_size=3),
)
def test_changing_limits_and_restarts_exceed_no_window(stated, restarts):
    """Guards against a burst at each change, or each restart of a daemon.

    The limit changes each second. The bound is that of the greatest limit.
    """
    limit = limited(stated[0])
    times_s = []
    for n in range(0, 100 * len(stated)):
        now_s = n / 100
        if n % 100 == 0:
            limit.on_response(now_s, stated[n // 100])
        if n in restarts:
            limit = limited(stated[n // 100], now_s)
        times_s.extend(start_times(limit, [now_s] * 3))
    assert limits.most_in_window(times_s) <= limits.allowed(max(stated))


def test_a_pause_saves_up_no_more_than_a_short_burst():
    """Guards against a flood after the daemon, or its callers, were paused."""
    limit = limited(20.0)
    list(start_times(limit, [0.0] * 50))
    assert len(list(start_times(limit, [60.0] * 200))) <= 20 * 0.25 + 1


def test_a_raised_limit_applies_at_once():
    """Guards against a wait of the old limit's interval."""
    limit = limited(0.2)
    list(start_times(limit, [0.0] * 5))
    limit.on_response(0.1, 100.0)
    assert limit.delay_s(0.15) <= 0.02


def test_without_a_limit_nothing_is_delayed():
    """Guards against delays once the limit has ended."""
    limit = limited(1.0)
    list(start_times(limit, [0.0] * 50))
    change = limit.on_response(0.1, None)
    assert change is stated_limits.LimitChange.ENDED
    assert limit.delay_s(0.1, 1_000) == 0.0
    assert limit.interval_s == 0.0


def test_refused_callers_are_told_different_times():
    """Guards against callers that all come back for the same place."""
    limit = limited(10.0)
    list(start_times(limit, [0.0] * 50))
    told_s = [limit.retry_after_s(0.0, 0) for _ in range(20)]
    gaps_s = [b - a for a, b in itertools.pairwise(told_s)]
    assert gaps_s == pytest.approx([0.1] * 19)
    assert told_s[0] >= limit.delay_s(0.0)
    # Places that nobody took are given out again.
    assert limit.retry_after_s(10.0, 0) < 0.2


def limited_queue(per_s, run_s=0.05, slots=18):
    queue = slot_queues.SlotQueue(slots)
    test_slot_queues.train(queue, run_s)
    queue.limit.on_response(0.0, per_s)
    return queue


def test_free_slots_do_not_exceed_the_limit():
    """Guards against requests that only free slots admit."""
    queue = limited_queue(10.0)
    tickets, _ = test_slot_queues.fill(queue, 100)
    assert queue.running <= 3
    with pytest.raises(errors.RequestError) as caught:
        queue.admit(0.0, test_slot_queues.slot_request())
    assert caught.value.code is errors.Code.SLOTS_FULL
    assert caught.value.retry_after_s >= 0.1
    # Waiting requests start when the limit admits them.
    assert queue.waiting
    delay_s = queue.next_start_delay_s(0.0)
    assert 0 < delay_s <= 0.1
    started, _ = queue.start_queued(delay_s)
    assert len(started) == 1
    assert set(started) <= set(tickets)


class LimitedReplay(test_slot_queues.Replay):
    """A replay in which the limit, too, lets waiting requests start."""

    def run(self, arrivals):
        ticks = ((n / 100, None) for n in range(2_000))
        merged = sorted([*arrivals, *ticks], key=lambda pair: pair[0])
        self.started_s = []
        for now_s, priority in merged:
            self._finish_until(now_s)
            if priority is not None:
                self._arrive(now_s, priority)
            else:
                started, refused = self.queue.start_queued(now_s)
                for ticket in started:
                    self._start(ticket, now_s)
                for ticket in refused:
                    self._count(ticket.request, "held")
        self._finish_until(float("inf"))
        return self.counts

    def _start(self, ticket, now_s):
        self.started_s.append(now_s)
        super()._start(ticket, now_s)


@pytest.mark.parametrize(
    ("per_s", "rate", "urgent_share", "least"),
    [(30.0, 60.0, 1 / 3, 0.95), (4.0, 12.0, 1 / 6, 0.9), (1.0, 8.0, 0.05, 0.7)],
)
@pytest.mark.parametrize("seed", range(5))
def test_a_limit_refuses_less_urgent_requests_first(
    per_s, rate, urgent_share, least, seed
):
    """Guards against urgent requests refused for less urgent ones.

    Requests come at two to eight times the limit; the urgent ones alone are
    within it.
    """
    rng = random.Random(seed)
    queue = limited_queue(per_s)
    replay = LimitedReplay(queue, 0.05, rng)
    arrivals = [
        (now_s, 0 if rng.random() < urgent_share else 2)
        for now_s, _ in test_slot_queues.arrivals_of(rng, 20, rate, [0])
    ]
    found = replay.run(arrivals)
    urgent, lesser = found[0], found[2]
    assert urgent["in_time"] >= least * urgent["came"]
    assert (
        lesser["in_time"] / lesser["came"] < urgent["in_time"] / urgent["came"]
    )
    assert limits.most_in_window(replay.started_s) <= limits.allowed(per_s)
    assert len(replay.started_s) >= 0.8 * 20 * per_s
    assert lesser["held"] <= 0.05 * lesser["came"]


def test_a_new_lifetime_has_no_limit():
    """Guards against the limit of an upstream that was replaced."""
    queue = limited_queue(1.0)
    queue.reset(6, warming=False)
    assert queue.limit.per_s is None
