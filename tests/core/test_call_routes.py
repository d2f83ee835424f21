"""Tests of the detection of routes whose requests are calls."""

import random

from buckthorn_core import call_routes


def replay(seed, requests=400):
    """Adds requests from hosts of two services, and calls of `shop`."""
    rng = random.Random(seed)
    detector = call_routes.CallRouteDetector()
    for _ in range(requests):
        detector.add("upload", rng.choice(("shop", "shop", "desk")))
        detector.add("index", "shop")
    return detector


def test_calls_are_recognised_by_where_they_start():
    """Guards against refusing calls like requests of callers.

    If the called service is full, each call that it refuses fails a run
    elsewhere.
    """
    for seed in range(20):
        detector = replay(seed)
        assert detector.is_call_route("index")
        assert not detector.is_call_route("upload")


def test_few_requests_are_not_classified():
    """Guards against classifying a route of callers as calls."""
    detector = replay(1, requests=call_routes.MIN_REQUESTS - 1)
    assert not detector.is_call_route("index")
    assert not detector.is_call_route("never seen")


def test_a_mesh_of_one_service_has_no_calls():
    """Guards against treating all requests as calls."""
    detector = call_routes.CallRouteDetector()
    for _ in range(200):
        detector.add("browse", "shop")
        detector.add("book", "shop")
    assert not detector.is_call_route("browse")


def test_a_route_with_a_new_caller_is_no_call_route():
    """Guards against a stale result after a change of the callers."""
    detector = replay(1)
    detector.add("index", "desk")
    assert not detector.is_call_route("index")
    detector.keep_only({"upload"})
    assert not detector.is_call_route("index")
