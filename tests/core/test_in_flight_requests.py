"""Tests of the requests that count for a crash."""

from buckthorn_core import ids
from buckthorn_core import in_flight_requests

BAD, GOOD = ids.Fingerprint("0" * 16), ids.Fingerprint("1" * 16)


def make(**fingerprints):
    requests = in_flight_requests.InFlightRequests()
    for key, fingerprint in fingerprints.items():
        requests.begin(key, fingerprint)
    return requests


def test_a_request_counts_once():
    """Guards against one crash that each lost connection counts again."""
    requests = make(a=BAD, b=BAD, c=GOOD)
    requests.mark_lost(1.0)
    assert requests.take_lost() == {BAD, GOOD}
    requests.mark_lost(1.1)
    assert requests.take_lost() == set()
    # The same key names another run later.
    requests.end("a")
    requests.begin("a", BAD)
    requests.mark_lost(1.2)
    assert requests.take_lost() == {BAD}


def test_a_completed_request_and_its_copies_do_not_count():
    """Guards against suspecting a request that the upstream has answered."""
    requests = make(a=BAD, b=GOOD, c=GOOD)
    requests.mark_lost(1.0)
    assert requests.complete("b") == GOOD
    assert requests.take_lost() == {BAD}
    # A completion clears a request that has counted before.
    assert requests.complete("a") == BAD
    assert requests.complete("a") is None


def test_requests_that_were_lost_long_ago_do_not_count():
    """Guards against blaming a request for a crash that comes much later."""
    requests = make(a=BAD)
    requests.mark_lost(1.0)
    requests.end("a")
    requests.drop_expired(1.0 + in_flight_requests.LOST_REQUEST_KEEP_S)
    requests.mark_lost(1.1 + in_flight_requests.LOST_REQUEST_KEEP_S)
    assert requests.take_lost() == set()
