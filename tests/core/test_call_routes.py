"""Which routes upstreams themselves send requests on."""

import random

from buckthorn_core import call_routes


def replay(seed, requests=400):
    """Callers of two services' hosts, and calls of `shop` upstreams."""
    rng = random.Random(seed)
    found = call_routes.CallRouteDetector()
    for _ in range(requests):
        found.add("upload", rng.choice(("shop", "shop", "desk")))
        found.add("index", "shop")
    return found


def test_calls_are_recognised_by_where_they_start():
    """Guards against calls that are refused like requests of callers.

    The pattern: the called service is full, and a run elsewhere is lost with
    each call that it refuses.
    """
    for seed in range(20):
        found = replay(seed)
        assert found.is_call_route("index")
        assert not found.is_call_route("upload")


def test_few_requests_tell_nothing():
    """Guards against a route of callers that is taken for calls."""
    found = replay(1, requests=call_routes.MIN_REQUESTS - 1)
    assert not found.is_call_route("index")
    assert not found.is_call_route("never seen")


def test_a_mesh_of_one_service_has_no_calls():
    """Guards against patience with all requests where all start alike."""
    found = call_routes.CallRouteDetector()
    for _ in range(200):
        found.add("browse", "shop")
        found.add("book", "shop")
    assert not found.is_call_route("browse")


def test_a_route_that_callers_begin_to_use_is_no_call_any_more():
    """Guards against a judgement that outlives a change of the routes."""
    found = replay(1)
    found.add("index", "desk")
    assert not found.is_call_route("index")
    found.keep_only({"upload"})
    assert not found.is_call_route("index")
