"""Tests of suspicions: fingerprints, refusal and what others are told."""

import pytest

from buckthorn_adapters import http1
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_sidecar import suspicions

BAD = ids.Fingerprint("0" * 16)
LONG = b"x" * (3 * quarantines.PREFIX_BYTES)


def make():
    """Returns suspicions and the list of what others are told."""
    known, told = suspicions.Suspicions(), []
    known.on_change = told.extend
    return known, told


def request(target="/a", body=b"", request_id="1"):
    req = http1.Request()
    req.method, req.target, req.body = "POST", target, body
    req.headers = [("X-Request-Id", request_id)]
    return req


@pytest.mark.parametrize(
    ("one", "other", "same"),
    [
        (request(), request(request_id="2"), True),
        (request(body=LONG), request(body=LONG), True),
        (request(), request("/b"), False),
        (request(body=b"1"), request(body=b"2"), False),
        # Uploads that begin alike.
        (request(body=LONG + b"1"), request(body=LONG + b"2"), False),
        (request(body=LONG), request(body=LONG + b"x"), False),
    ],
)
def test_a_request_is_known_when_it_comes_again(one, other, same):
    """Guards against a new id that hides a request, and against mix-ups."""
    found = [suspicions.fingerprint("s", "h", req) for req in (one, other)]
    assert (found[0] == found[1]) is same


def test_each_crash_is_told_and_refused_from_the_limit_on():
    """Guards against crashes at different hosts that are counted apart."""
    known, told = make()
    known.count_crash({BAD})
    assert [s.crashes for s in told] == [1]
    known.check(BAD)
    other, told_by_other = make()
    other.merge(told)
    assert told_by_other == []
    other.count_crash({BAD})
    assert [s.crashes for s in told_by_other] == [2]
    known.merge(told_by_other)
    assert known.reached_limit() == told_by_other
    for daemon in (known, other):
        with pytest.raises(errors.RequestError) as caught:
            daemon.check(BAD)
        assert caught.value.info == (503, True)
        assert caught.value.retry_after_s > 0


def test_the_end_of_a_quarantine_is_told():
    """Guards against a request that stays refused after it has completed."""
    known, told = make()
    known.count_crash({BAD})
    known.count_crash({BAD})
    other, _ = make()
    other.merge(told)
    known.complete(BAD)
    other.merge(told[-1:])
    other.check(BAD)
    assert not known.count and not other.count


def test_a_record_that_is_no_suspicion_is_rejected():
    """Guards against a follower that ends at another writer's record."""
    suspicion = suspicions.Suspicions().get(BAD)
    assert suspicions.decode(suspicions.encode(suspicion)) == suspicion
    for value in (b"", b"{}", b"[1", b"[" * 10_000):
        with pytest.raises(errors.ConfigError):
            suspicions.decode(value)
