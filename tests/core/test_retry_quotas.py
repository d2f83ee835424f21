"""Tests that all daemons together keep to a service's retry budget."""

import random

import pytest

from buckthorn_core import retry_quotas

RATIO, CONSTANT, WINDOW_S = 0.2, 60.0, 10.0


def replay(daemons, seconds, rate, calls, rng):
    """Simulates an outage in which every request is retried if allowed.

    Each request makes `calls` calls to a second service on average; both
    services shed all requests. Returns by service by how much the retries in
    a window exceed the budget at most.
    """
    quotas = [
        retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
        for _ in range(daemons)
    ]
    requests = {"front": [], "back": []}
    retried_at_s = {"front": [], "back": []}

    def run(service, now_s, is_retry):
        quota = rng.choice(quotas)
        quota.add_request(service, now_s)
        requests[service].append(now_s)
        if is_retry:
            retried_at_s[service].append(now_s)
        runs = 1
        if quota.try_acquire(service, now_s, daemons, may_have_run=False):
            retried_at_s[service].append(now_s)
            runs += 1
        if service == "front":
            for n in range(runs):
                for _ in range(int(calls + rng.random())):
                    run("back", now_s, is_retry=n > 0)

    for n in range(int(seconds * rate)):
        run("front", n / rate, is_retry=False)
    worst = {}
    for service, times in retried_at_s.items():
        excess = []
        for start in range(int(seconds - WINDOW_S)):
            end = start + WINDOW_S
            retried = sum(start <= t < end for t in times)
            total = sum(start <= t < end for t in requests[service])
            excess.append(retried - RATIO * total - CONSTANT)
        worst[service] = max(excess)
    return worst


@pytest.mark.parametrize("daemons", [3, 12, 80])
@pytest.mark.parametrize("calls", [0.0, 1.4, 3.0])
def test_budget_holds_for_all_daemons_together(daemons, calls):
    """Guards against quotas that add up to more than the budget.

    Every instance sheds, so each request and each call is retried, and
    retried requests repeat their calls.
    """
    worst = replay(daemons, 24, 60, calls, random.Random(daemons))
    assert max(worst.values()) <= 0


def test_requests_that_may_have_run_get_part_of_the_quota():
    """Guards against second runs that hold the slots of new requests."""
    quota = retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
    for n in range(1_000):
        quota.add_request("front", n / 100)
    reruns = sum(
        quota.try_acquire("front", 10.0, 12, may_have_run=True)
        for _ in range(500)
    )
    retries = sum(
        quota.try_acquire("front", 10.0, 12, may_have_run=False)
        for _ in range(500)
    )
    assert 0 < reruns <= retries + 1


def test_the_window_slides():
    """Guards against retries that count after the window has passed."""
    quota = retry_quotas.RetryQuotas(RATIO, CONSTANT, WINDOW_S)
    assert quota.try_acquire("front", 0.0, 12, may_have_run=False)
    assert not quota.try_acquire("front", 5.0, 12, may_have_run=False)
    assert quota.try_acquire("front", 10.1, 12, may_have_run=False)
