"""Steps of features/upstreams.feature."""

import pathlib

import pytest
import pytest_bdd
from tests.fakes import faults

from buckthorn_core import admission
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import gossip

FEATURES = pathlib.Path(__file__).parents[1] / "features"
TARGET = "n3"
SERVICE = "stock"
# Within this time, in seconds, a draining record reaches all daemons (G7).
LEAVE_TIMEOUT_S = 3.0

pytest_bdd.scenarios(str(FEATURES / "upstreams.feature"))


class UpstreamScenario:
    """A mesh, a fault, and the upstream of the daemon `TARGET`."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.end_fault = lambda: None
        self.admission = admission.AdmissionQueue(admission.Limits(4, 8))

    def near(self) -> list[str]:
        return [n for n in self.mesh.nodes if n[0] == "n" and n != TARGET]

    def accepts_request(self) -> bool:
        try:
            self.admission.release(self.admission.admit(0.0, 1.0))
        except errors.RequestError as exc:
            assert exc.info.not_run
            return False
        return True


@pytest_bdd.given("a mesh with a version in force", target_fixture="scene")
def _start_mesh(make_mesh):
    return UpstreamScenario(make_mesh(5))


@pytest_bdd.given("an upstream that all daemons of the region know")
def _add_upstream(scene):
    scene.mesh.upstreams[TARGET] = SERVICE
    found = scene.mesh.run(
        10, lambda: len(scene.mesh.routing_daemons(TARGET)) == len(scene.near())
    )
    assert found


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{fault} affects a daemon whose upstream announces itself"
    )
)
def _announce(scene, fault):
    scene.end_fault = faults.inject(scene.mesh, fault, TARGET)
    scene.mesh.upstreams[TARGET] = SERVICE
    scene.mesh.run(6)


@pytest_bdd.when("the fault of the announcing daemon ends")
def _end_fault(scene):
    scene.end_fault()


@pytest_bdd.then("all daemons of the region send it requests within 15 s")
def _check_listed(scene):
    def done() -> bool:
        return set(scene.mesh.routing_daemons(TARGET)) == set(scene.near())

    assert scene.mesh.run(15, done), scene.mesh.routing_daemons(TARGET)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("its daemon begins to {step} during {fault}")
)
def _leave(scene, step, fault):
    mesh = scene.mesh
    scene.fault = fault
    node = mesh.nodes[TARGET]
    faulty = "n0" if fault in ("kill", "freeze", "herd") else TARGET
    if fault != "herd":
        scene.end_fault = faults.inject(mesh, fault, faulty)
    # In the order of Daemon.drain: refuses requests first, then announces it.
    scene.admission.closed = True
    node.shared.membership.update_local(state=entries.MemberState.DRAINING)
    if step == "stop":
        mesh.run(0.6)
        node.shared.membership.update_local(state=entries.MemberState.LEFT)
        mesh.run(0.6)
        mesh.stop(TARGET)
    if fault == "herd":
        for name in scene.near():
            other = mesh.nodes[name].cfg
            mesh.stop(name)
            mesh.start(name, other.site, seeds=other.seeds)


@pytest_bdd.then("it gets no new requests after 3 s")
def _check_not_listed(scene):
    mesh = scene.mesh
    others = [n for n in scene.near() if not mesh.nodes[n].frozen]
    mesh.run(LEAVE_TIMEOUT_S)
    late = mesh.routing_daemons(TARGET, others)
    assert not late or not scene.accepts_request()
    if scene.fault in ("disorder", "log_down", "kill", "freeze"):
        assert late == []
    # Daemons that a cut keeps from receiving the record declare it dead.
    assert mesh.run(12, lambda: not mesh.routing_daemons(TARGET, others))


@pytest_bdd.then("it still gets no requests after the fault ends")
def _check_still_not_listed(scene):
    scene.end_fault()
    mesh = scene.mesh
    found = mesh.run(12, lambda: not mesh.routing_daemons(TARGET))
    assert found, mesh.routing_daemons(TARGET)
    routing = []
    mesh.run(20, lambda: bool(routing.extend(mesh.routing_daemons(TARGET))))
    assert routing == []


@pytest.mark.parametrize("state", list(entries.DEPARTED_STATES))
def test_upstream_that_is_not_removed_is_detected(
    make_mesh, monkeypatch, state
):
    """Injected fault: the check of G7 fails if the leaving record is lost."""
    scene = UpstreamScenario(make_mesh(5))
    _add_upstream(scene)
    node = scene.mesh.nodes[TARGET]
    monkeypatch.setattr(node.shared.membership, "_table", gossip.GossipTable())
    node.shared.membership.update_local(state=state)
    scene.fault = "disorder"
    with pytest.raises(AssertionError):
        _check_not_listed(scene)
