"""Tests of the estimates for how long callers have waited."""

import random

import pytest

from buckthorn_core import caller_ages

INITIAL_TIMEOUT_S = 2.0


def simulate(rng, count=400, retry_share=0.0, now_s=0.0):
    """Returns the estimator, and actual and estimated ages of requests."""
    ages = caller_ages.CallerAges()
    samples = []
    for n in range(count):
        age_s = 0.0
        if rng.random() < retry_share:
            age_s = rng.uniform(0.4, 1.0)
        deadline_s = INITIAL_TIMEOUT_S * rng.uniform(
            1 - caller_ages.TIMEOUT_SPREAD, 1.0
        )
        left_s = deadline_s - age_s
        at_s = now_s + 0.01 * n
        if retry_share:
            ages.on_refused("browse", at_s)
        samples.append((age_s, ages.age_s("browse", left_s, at_s)))
    return ages, samples


def test_first_attempts_have_no_age():
    """Guards against treating first attempts as retries."""
    _, samples = simulate(random.Random(1))
    assert {estimate_s for _, estimate_s in samples} == {0.0}


@pytest.mark.parametrize("seed", range(3))
def test_retries_are_recognised(seed):
    """Guards against late answers to callers that were refused before.

    Half of the requests are second attempts.
    """
    _, samples = simulate(random.Random(seed), retry_share=0.5)
    later_samples = samples[100:]
    retried = [
        (actual_s, estimate_s)
        for actual_s, estimate_s in later_samples
        if actual_s
    ]
    first_attempts = [
        estimate_s for actual_s, estimate_s in later_samples if not actual_s
    ]
    assert max(
        abs(actual_s - estimate_s) for actual_s, estimate_s in retried
    ) <= (caller_ages.TIMEOUT_SPREAD * INITIAL_TIMEOUT_S)
    assert sum(1 for estimate_s in first_attempts if estimate_s) < 0.05 * len(
        first_attempts
    )


def test_short_timeouts_mean_no_age_without_refusals():
    """Guards against serving callers with short timeouts last."""
    ages, _ = simulate(random.Random(1))
    assert ages.age_s("browse", 0.5, 10.0) == 0.0
    ages.on_refused("browse", 10.0)
    assert ages.age_s("browse", 0.5, 10.1) > 1.0
    assert ages.age_s("browse", 0.5, 10.1 + INITIAL_TIMEOUT_S + 0.2) == 0.0


def test_single_long_timeouts_do_not_age_other_requests():
    """Guards against outliers that make all other requests seem old."""
    ages, _ = simulate(random.Random(1))
    ages.on_refused("browse", 5.0)
    for n in range(caller_ages.MAX_SAMPLES):
        ages.age_s("browse", 60.0 if n % 50 == 0 else 1.9, 5.0)
    assert ages.age_s("browse", 1.8, 5.0) == 0.0


def test_an_unknown_route_has_no_ages():
    """Guards against estimates from a few requests."""
    ages = caller_ages.CallerAges()
    ages.on_refused("new", 0.0)
    assert ages.age_s("new", 3.0, 0.0) == 0.0
    assert ages.age_s("new", 0.3, 0.0) == 0.0
