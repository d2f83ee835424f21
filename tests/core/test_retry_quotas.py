"""All daemons together stay within a service's retry budget."""

import random

import pytest

from buckthorn_core import retry_quotas

RATIO, CONSTANT, WINDOW_S = 0.2, 60.0, 10.0


def replay(daemons, seconds, rate, calls, rng):
    """Replays an outage in which every request asks for a retry.

    Each request makes `calls` calls to a second service on average; both
    services shed everything. Returns the most repeats in a window beyond
    what the budget allows, by service.
    """
    shares = [
        retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
        for _ in range(daemons)
    ]
    requests = {"front": [], "back": []}
    repeats = {"front": [], "back": []}

    def run(service, now_s, is_repeat):
        share = rng.choice(shares)
        share.add_request(service, now_s)
        requests[service].append(now_s)
        if is_repeat:
            repeats[service].append(now_s)
        runs = 1
        if share.try_acquire(service, now_s, daemons, may_have_run=False):
            repeats[service].append(now_s)
            runs += 1
        if service == "front":
            for n in range(runs):
                for _ in range(int(calls + rng.random())):
                    run("back", now_s, is_repeat=n > 0)

    for n in range(int(seconds * rate)):
        run("front", n / rate, is_repeat=False)
    worst = {}
    for service, times in repeats.items():
        excess = []
        for start in range(int(seconds - WINDOW_S)):
            end = start + WINDOW_S
            inside = sum(start <= t < end for t in times)
            asked = sum(start <= t < end for t in requests[service])
            excess.append(inside - RATIO * asked - CONSTANT)
        worst[service] = max(excess)
    return worst


@pytest.mark.parametrize("daemons", [3, 12, 80])
@pytest.mark.parametrize("calls", [0.0, 1.4, 3.0])
def test_budget_holds_for_all_daemons_together(daemons, calls):
    """Guards against shares that add up to more than the budget.

    The pattern: every instance sheds, so each request and each call asks for
    a retry, and repeated requests repeat their calls.
    """
    worst = replay(daemons, 24, 60, calls, random.Random(daemons))
    assert max(worst.values()) <= 0


def test_requests_that_ran_get_part_of_the_share():
    """Guards against reruns that take the slots of new requests."""
    share = retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
    for n in range(1_000):
        share.add_request("front", n / 100)
    reruns = sum(
        share.try_acquire("front", 10.0, 12, may_have_run=True)
        for _ in range(500)
    )
    sheds = sum(
        share.try_acquire("front", 10.0, 12, may_have_run=False)
        for _ in range(500)
    )
    assert 0 < reruns <= sheds + 1


def test_the_window_slides():
    """Guards against a budget that is never given back."""
    share = retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
    assert share.try_acquire("front", 0.0, 12, may_have_run=False)
    assert not share.try_acquire("front", 5.0, 12, may_have_run=False)
    assert share.try_acquire("front", 10.1, 12, may_have_run=False)
