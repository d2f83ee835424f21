"""Steps of features/requests.feature."""

import pathlib
import types

import pytest
import pytest_bdd
from tests.fakes import requests

from buckthorn_core import errors
from buckthorn_core import retries

FEATURES = pathlib.Path(__file__).parents[1] / "features"
REQUESTS = 400
SEED = 7

pytest_bdd.scenarios(str(FEATURES / "requests.feature"))


@pytest_bdd.given("callers and upstreams with 4 slots each")
def _start():
    pass


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} is injected into requests at {step}"),
    target_fixture="found",
)
def _send(fault, step):
    return send_all(requests.RequestSimulation(SEED, fault, step))


def send_all(scene):
    sent = []
    for _ in range(REQUESTS):
        req = requests.Request(
            scene.rng.random() < 0.5, scene.rng.random() < 0.2
        )
        scene.send(req)
        sent.append(req)
    return scene, sent


@pytest_bdd.then("a refusal as not run means that no byte reached an upstream")
def _check_not_run(found):
    _, sent = found
    refused = [req for req in sent if req.error and req.error.info.not_run]
    assert not [req for req in refused if req.reached_upstream]


@pytest_bdd.then("a non-idempotent request ran at most once")
def _check_at_most_once(found):
    _, sent = found
    assert all(len(r.runs) <= 1 for r in sent if not r.idempotent)
    assert any(r.runs for r in sent)
    assert any(r.error for r in sent) or any(r.tries > 1 for r in sent)


@pytest_bdd.then("retries stay within the budget and at most two per request")
def _check_retry_budget(found):
    scene, sent = found
    most = retries.BUDGET_BURST + retries.BUDGET_RATIO * len(sent)
    assert scene.retries <= most
    assert max(r.tries for r in sent) <= 1 + retries.MAX_RETRIES


@pytest_bdd.then("all slots are free again")
def _check_slots_free(found):
    scene, _ = found
    scene.drain()
    assert all(gate.idle for gate in scene.admissions.values())


@pytest.mark.parametrize("step", ["body", "answer"])
def test_wrong_not_run_refusal_is_detected(monkeypatch, step):
    """Injected fault: a lost body or answer reported as not run (G5)."""
    monkeypatch.setitem(
        requests.ERROR_CODES, "kill", errors.Code.PEER_UNAVAILABLE
    )
    found = send_all(requests.RequestSimulation(SEED, "kill", step))
    with pytest.raises(AssertionError):
        _check_not_run(found)


def test_refused_retry_does_not_hide_an_attempt_that_may_have_run(
    make_mesh, monkeypatch
):
    """Guards against "not run" for a request whose first attempt failed."""
    mesh = make_mesh(1)
    node = mesh.nodes["n0"]
    egress = node.daemon._egress
    codes = [errors.Code.UPSTREAM_FAILED, errors.Code.SLOTS_FULL]
    hosts = requests.RequestSimulation(SEED, "kill", "body").endpoints

    def fail(ctx, endpoint):
        raise errors.RequestError(
            codes[len(ctx.tried_daemons) - 1], endpoint.daemon
        )

    ctx = types.SimpleNamespace(
        route=types.SimpleNamespace(service="stock"),
        exchange=types.SimpleNamespace(started=False),
        tried_daemons=set(),
        fingerprint="",
        idempotent=True,
        body_consumed=False,
    )
    monkeypatch.setattr(egress, "_attempt", fail)
    monkeypatch.setattr(
        egress,
        "_candidates",
        lambda ctx: [e for e in hosts[:2] if e.daemon not in ctx.tried_daemons],
    )
    monkeypatch.setattr(egress, "_choose", lambda c: egress._candidates(c)[0])
    with pytest.raises(errors.RequestError) as raised:
        egress._send(ctx)
    assert raised.value.code is errors.Code.UPSTREAM_FAILED
