"""Outcomes that a holder reports to the owner, and errors to the caller."""

import time
import types

import pytest

from buckthorn_adapters import metrics
from buckthorn_core import claims
from buckthorn_core import errors
from buckthorn_core import traffic
from buckthorn_daemon import claiming

C = errors.Code
V = claims.Verdict
OUTCOMES = claims.Outcome


class FakeOwners:
    """Owners on this daemon with scripted answers; None means no answer."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.finals = []

    def locate(self, partition):
        return None

    def claim(self, claim, region):
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            raise errors.PeerError(C.PEER_UNAVAILABLE, "no answer")
        return answer

    def record_finals(self, finals, region):
        self.finals.extend(finals)
        return types.SimpleNamespace(
            tokens=[f.token for f in finals], address=""
        )


def make_claimer(*answers, key="k"):
    cfg = types.SimpleNamespace(region="r", log_region="r", daemon_id="d")
    counters = metrics.Metrics(traffic.ControlTraffic())
    shared = types.SimpleNamespace(cfg=cfg, metrics=counters)
    owners = FakeOwners(*answers)
    exchange = types.SimpleNamespace(
        method="POST",
        path="/bookings/1",
        headers={"idempotency-key": key},
        started=False,
        status=0,
        response_headers=[],
        on_body_write=None,
    )
    ctx = types.SimpleNamespace(
        exchange=exchange,
        idempotent=False,
        deadline_s=time.monotonic() + 0.5,
        expires_ms=None,
    )
    return claiming.Claimer(shared, owners), owners, ctx


def make_send(ctx, body=b"", length=None, raises=None):
    def run():
        exchange = ctx.exchange
        if length is not None:
            exchange.started, exchange.status = True, 200
            exchange.response_headers = [("Content-Length", str(length))]
            exchange.on_body_write(body)
        if raises is not None:
            raise raises

    return run


GRANTED = claims.Answer(V.GRANTED, expires_ms=9_000)
BIG = bytes(claims.MAX_ANSWER_BYTES + 1)


@pytest.mark.parametrize(
    ("response", "outcome", "recorded"),
    [
        ({"body": b"ok", "length": 2}, OUTCOMES.COMPLETED, b"ok"),
        ({"body": BIG, "length": len(BIG)}, OUTCOMES.COMPLETED, None),
        (
            {"raises": errors.RequestError(C.SLOTS_FULL, "")},
            OUTCOMES.RELEASED,
            None,
        ),
        (
            {"raises": errors.RequestError(C.TIMED_OUT, "")},
            OUTCOMES.UNKNOWN,
            None,
        ),
        (
            {
                "body": b"o",
                "length": 2,
                "raises": errors.RequestError(C.UPSTREAM_SHED, ""),
            },
            OUTCOMES.UNKNOWN,
            None,
        ),
        (
            {"body": b"ok", "length": 2, "raises": OSError()},
            OUTCOMES.COMPLETED,
            b"ok",
        ),
        (
            {"body": b"o", "length": 2, "raises": OSError()},
            OUTCOMES.UNKNOWN,
            None,
        ),
        ({"raises": ZeroDivisionError()}, OUTCOMES.UNKNOWN, None),
    ],
)
def test_only_not_run_errors_release_a_claimed_key(response, outcome, recorded):
    """Guards against releasing a key although its request may have run."""
    claimer, owners, ctx = make_claimer(
        claims.Answer(V.PENDING, retry_ms=1), GRANTED
    )
    run = make_send(ctx, **response)
    if "raises" in response:
        with pytest.raises(type(response["raises"])):
            claimer.run(ctx, run)
    else:
        claimer.run(ctx, run)
    assert ctx.expires_ms == GRANTED.expires_ms
    claimer.flush()
    assert [(f.outcome, f.answer) for f in owners.finals] == [
        (outcome, recorded)
    ]


@pytest.mark.parametrize(
    ("answers", "code", "released"),
    [
        ([claims.Answer(V.IN_PROGRESS, retry_ms=1_000)], C.IN_PROGRESS, False),
        ([claims.Answer(V.UNKNOWN)], C.OUTCOME_UNKNOWN, False),
        ([claims.Answer(V.MISMATCH)], C.KEY_REUSED, False),
        ([claims.Answer(V.FULL, retry_ms=1_000)], C.KEYS_FULL, False),
        ([claims.Answer(V.COMPLETED, status=200)], C.ALREADY_COMPLETED, False),
        (
            [
                claims.Answer(V.PENDING, retry_ms=1),
                claims.Answer(V.UNAVAILABLE, retry_ms=1_000),
            ],
            C.LOG_UNAVAILABLE,
            True,
        ),
        ([None] * 100, C.LOG_UNAVAILABLE, True),
        ([claims.Answer(V.PENDING, retry_ms=5)] * 200, C.LOG_UNAVAILABLE, True),
    ],
)
def test_a_key_that_is_not_granted_is_not_sent(answers, code, released):
    """Guards against sending without a grant, and against leaving a claim."""
    claimer, owners, ctx = make_claimer(*answers)
    with pytest.raises(errors.RequestError) as raised:
        claimer.run(ctx, lambda: pytest.fail("sent without a grant"))
    assert raised.value.code is code
    claimer.flush()
    outcomes = [f.outcome for f in owners.finals]
    assert outcomes == ([OUTCOMES.RELEASED] if released else [])


def test_a_request_without_a_key_is_sent_without_a_claim():
    """Guards against requests without a key that depend on the log."""
    claimer, owners, ctx = make_claimer(key="")
    sent = []
    claimer.run(ctx, lambda: sent.append(1))
    assert (sent, owners.finals) == ([1], [])
