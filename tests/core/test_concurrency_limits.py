"""Tests of the learned limit of concurrent requests."""

import itertools
import random

import pytest

from buckthorn_core import concurrency_limits
from buckthorn_core import errors
from buckthorn_core import slot_queues

STEP_S = 0.005
NO_PRIORITY = slot_queues.Priority(1, 1)


class Instance:
    """An instance behind a queue, on simulated time.

    Each run advances at a pace that depends on how many run and on the time.

    Attributes:
        limits: Time and limit, after each step.
        ends: Time of each completed run.
    """

    def __init__(self, slots, slowdown, rng, work_s=0.15):
        self.queue = slot_queues.SlotQueue(slots)
        self.limits = []
        self.ends = []
        self.now_s = 0.0
        self._slowdown = slowdown
        self._rng = rng
        self._work_s = work_s
        self._numbers = itertools.count()
        self._left_s = {}

    def _request(self, route):
        return slot_queues.SlotRequest(
            route,
            NO_PRIORITY,
            self.now_s + 4.0,
            self.now_s + 1.0,
            self.now_s + 3.0,
            1.0,
        )

    def _start(self, ticket):
        work_s = self._work_s * (3 if ticket.request.route == "heavy" else 1)
        spread = max(0.3, self._rng.gauss(1.0, 0.3))
        self._left_s[ticket] = (work_s * spread, self.now_s)

    def _advance(self):
        pace = STEP_S / self._slowdown(len(self._left_s), self.now_s)
        for ticket, (left_s, began_s) in list(self._left_s.items()):
            if left_s > pace:
                self._left_s[ticket] = (left_s - pace, began_s)
                continue
            del self._left_s[ticket]
            self.ends.append(self.now_s)
            self.queue.release(ticket, self.now_s - began_s, now_s=self.now_s)
        for ticket in self.queue.start_queued(self.now_s)[0]:
            self._start(ticket)

    def run(self, until_s, rate, heavy_share=lambda now_s: 0.0):
        """Plays arrivals at a rate per second, a function of the time."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._advance()
            arrivals = rate(self.now_s) * STEP_S
            count = int(arrivals) + (self._rng.random() < arrivals % 1)
            for _ in range(count):
                heavy = self._rng.random() < heavy_share(self.now_s)
                route = "heavy" if heavy else "light"
                try:
                    ticket, _ = self.queue.admit(
                        self.now_s, self._request(route)
                    )
                except errors.RequestError:
                    continue
                if self.queue.is_running(ticket):
                    self._start(ticket)
            self.limits.append((self.now_s, self.queue.slots))

    def mean_limit(self, from_s, to_s):
        """Returns the mean limit in a time span."""
        found = [n for at_s, n in self.limits if from_s <= at_s < to_s]
        return sum(found) / len(found)

    def completed(self, from_s, to_s):
        """Returns the number of runs that ended in a time span."""
        return sum(from_s <= at_s < to_s for at_s in self.ends)


def calm_then_busy(busy, calm=10.0, busy_from_s=4.0):
    """Returns a rate of arrivals that rises after a while."""
    return lambda now_s: busy if now_s >= busy_from_s else calm


def steady(running, now_s):
    """An instance that is as fast with all slots as with one."""
    del running, now_s
    return 1.0


def slower_from(knee, factor):
    """An instance that slows down beyond a number of runs."""

    def slowdown(running, now_s):
        del now_s
        return 1.0 + factor * max(0, running - knee)

    return slowdown


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("speed", [0.5, 1.0, 1.5])
def test_a_limit_stays_if_run_times_do_not_rise(speed, seed):
    """Guards against unused slots.

    Instances of one service run at speeds of 0.5, 1 and 1.5 and are
    overloaded; none gets slower as its slots fill up.
    """
    rng = random.Random(seed)
    found = Instance(9, lambda running, now_s: 1 / speed, rng)
    found.run(20, calm_then_busy(120))
    assert found.mean_limit(4, 20) == 9


@pytest.mark.parametrize("seed", range(5))
def test_slower_but_more_runs_keep_all_slots(seed):
    """Guards against a lower limit that completes fewer runs.

    Run times rise to 1.5 times as the slots fill up, as in the other
    deployments; all slots still complete the most runs per second.
    """
    found = Instance(
        18,
        lambda running, now_s: 1 + 0.5 * (running / 18) ** 2,
        random.Random(seed),
    )
    found.run(20, calm_then_busy(200, calm=30.0))
    assert found.mean_limit(4, 20) > 17


@pytest.mark.parametrize("seed", range(5))
def test_an_instance_that_slows_down_from_70_percent_on(seed):
    """Guards against a thrashing instance that is given all its slots.

    Beyond 6 of 9 slots each further run slows all others down by 0.6; with 9
    slots it completes a third of what it completes with 6.
    """
    completed = {}
    for learns in (False, True):
        found = Instance(9, slower_from(6, 0.6), random.Random(seed))
        if not learns:
            found.queue.concurrency.end = lambda *args: None
        found.run(24, calm_then_busy(80))
        completed[learns] = found.completed(8, 24)
    assert 5 <= found.mean_limit(8, 24) <= 7.5
    assert completed[True] > 1.4 * completed[False]


@pytest.mark.parametrize("seed", range(5))
def test_a_limit_rises_again_when_the_instance_has_recovered(seed):
    """Guards against a limit that is kept after its cause has ended.

    The instance thrashes beyond 4 of 9 slots for 8 s, under overload.
    """

    def slowdown(running, now_s):
        return slower_from(4, 0.8)(running, now_s) if now_s < 12 else 1.0

    found = Instance(9, slowdown, random.Random(seed))
    found.run(24, calm_then_busy(80))
    assert found.mean_limit(9, 12) < 6.5
    assert found.mean_limit(16, 24) > 8


@pytest.mark.parametrize("seed", range(5))
def test_slowness_that_comes_and_goes_costs_little(seed):
    """Guards against a limit that follows noise.

    The instance is slower by 2.5 for 600 ms of each 1.2 s, at any number of
    runs, and is overloaded.
    """
    completed = {}
    for learns in (False, True):
        found = Instance(
            5,
            lambda running, now_s: 2.5 if now_s % 1.2 < 0.6 else 1.0,
            random.Random(seed),
        )
        if not learns:
            found.queue.concurrency.end = lambda *args: None
        found.run(40, calm_then_busy(60))
        completed[learns] = found.completed(5, 40)
    assert completed[True] > 0.93 * completed[False]


@pytest.mark.parametrize("seed", range(5))
def test_a_slow_instance_keeps_its_slots(seed):
    """Guards against a lower limit where fewer runs are no faster.

    From 10 s on the instance takes 2.5 times as long at any number of runs.
    """
    found = Instance(
        9,
        lambda running, now_s: 2.5 if now_s > 10 else 1.0,
        random.Random(seed),
    )
    found.run(40, calm_then_busy(80))
    assert found.mean_limit(12, 40) > 8


@pytest.mark.parametrize("seed", range(5))
def test_heavier_requests_are_no_slow_instance(seed):
    """Guards against a limit that falls when the mix of routes changes."""
    found = Instance(9, steady, random.Random(seed))
    found.run(
        20,
        calm_then_busy(80),
        lambda now_s: 0.8 if now_s > 8 else 0.2,
    )
    assert found.mean_limit(4, 20) == 9


def test_a_limit_is_never_below_one_or_above_the_slots():
    """Guards against an instance that a limit closes."""
    found = Instance(3, slower_from(0, 3.0), random.Random(1))
    found.run(30, calm_then_busy(40, calm=1.0, busy_from_s=8.0))
    assert {n for _, n in found.limits} <= {1, 2, 3}
    found.queue.set_slots(0)
    assert found.queue.slots == 0
    found.queue.set_slots(5)
    assert found.queue.slots == 5


def test_a_cold_instance_starts_with_part_of_its_slots():
    """Guards against a burst at an instance that has just started."""
    queue = slot_queues.SlotQueue()
    queue.reset(9, warming=True)
    assert queue.slots == 7
    limit = queue.concurrency
    for _ in range(2):
        limit.end(1.0, limit.start(3), 3, "light", 0.2, False)
    assert queue.slots == 9


def test_an_unused_limit_rises():
    """Guards against a limit that outlasts the load that it was learned under.

    Without load there are no runs near the limit from which to learn.
    """
    limit = concurrency_limits.ConcurrencyLimit(9)
    limit.value = 3
    for n in range(80):
        limit.relax(0.1 * n)
    assert limit.value == 9
