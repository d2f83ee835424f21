"""How long callers have waited before a request arrives."""

import random

import pytest

from buckthorn_core import caller_ages

USUAL_S = 2.0


def ages_with(rng, count=400, share_of_returns=0.0, now_s=0.0):
    """Returns ages that know a route, and the last requests' real ages."""
    ages = caller_ages.CallerAges()
    found = []
    for n in range(count):
        age_s = 0.0
        if rng.random() < share_of_returns:
            age_s = rng.uniform(0.4, 1.0)
        deadline_s = USUAL_S * rng.uniform(1 - caller_ages.SPREAD, 1.0)
        left_s = deadline_s - age_s
        at_s = now_s + 0.01 * n
        if share_of_returns:
            ages.on_refused("browse", at_s)
        found.append((age_s, ages.age_s("browse", left_s, at_s)))
    return ages, found


def test_first_attempts_have_no_age():
    """Guards against fresh requests that are taken for late ones."""
    _, found = ages_with(random.Random(1))
    assert {seen_s for _, seen_s in found} == {0.0}


@pytest.mark.parametrize("seed", range(3))
def test_callers_that_come_back_are_recognised(seed):
    """Guards against answers too late for callers who were refused before.

    The pattern: half of the requests are second attempts.
    """
    _, found = ages_with(random.Random(seed), share_of_returns=0.5)
    settled = found[100:]
    returns = [(real, seen) for real, seen in settled if real]
    fresh = [seen for real, seen in settled if not real]
    assert max(abs(real - seen) for real, seen in returns) <= (
        caller_ages.SPREAD * USUAL_S
    )
    assert sum(1 for seen in fresh if seen) < 0.05 * len(fresh)


def test_short_deadlines_are_no_sign_of_age_while_nobody_is_refused():
    """Guards against callers in a hurry who would be served last."""
    ages, _ = ages_with(random.Random(1))
    assert ages.age_s("browse", 0.5, 10.0) == 0.0
    ages.on_refused("browse", 10.0)
    assert ages.age_s("browse", 0.5, 10.1) > 1.0
    assert ages.age_s("browse", 0.5, 10.1 + USUAL_S + 0.2) == 0.0


def test_single_callers_with_much_time_do_not_age_the_others():
    """Guards against one odd caller that makes all others seem late."""
    ages, _ = ages_with(random.Random(1))
    ages.on_refused("browse", 5.0)
    for n in range(caller_ages.SAMPLES):
        ages.age_s("browse", 60.0 if n % 50 == 0 else 1.9, 5.0)
    assert ages.age_s("browse", 1.8, 5.0) == 0.0


def test_an_unknown_route_has_no_ages():
    """Guards against a judgement on a handful of requests."""
    ages = caller_ages.CallerAges()
    ages.on_refused("new", 0.0)
    assert ages.age_s("new", 3.0, 0.0) == 0.0
    assert ages.age_s("new", 0.3, 0.0) == 0.0
