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
# A draining record needs this long to reach all, and no longer (G7).
LEAVE_S = 3.0

pytest_bdd.scenarios(str(FEATURES / "upstreams.feature"))


class Scene:
    """A mesh, and the upstream beside `TARGET`."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.end = lambda: None
        self.admission = admission.AdmissionQueue(admission.Limits(4, 8))

    def near(self) -> list[str]:
        return [n for n in self.mesh.nodes if n[0] == "n" and n != TARGET]

    def takes_work(self) -> bool:
        try:
            self.admission.release(self.admission.admit(0.0, 1.0))
        except errors.RequestError as exc:
            assert exc.info.not_run
            return False
        return True


@pytest_bdd.given("a mesh with a version in force", target_fixture="scene")
def _mesh(make_mesh):
    return Scene(make_mesh(5))


@pytest_bdd.given("an upstream that all know")
def _upstream(scene):
    scene.mesh.upstreams[TARGET] = SERVICE
    found = scene.mesh.run(
        10, lambda: len(scene.mesh.routing_daemons(TARGET)) == len(scene.near())
    )
    assert found


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{fault} strikes a daemon whose upstream announces itself"
    )
)
def _announce(scene, fault):
    scene.end = faults.inject(scene.mesh, fault, TARGET)
    scene.mesh.upstreams[TARGET] = SERVICE
    scene.mesh.run(6)


@pytest_bdd.when("the fault of the announcing daemon ends")
def _announce_end(scene):
    scene.end()


@pytest_bdd.then("all daemons of the region send it work within 15 s")
def _found(scene):
    def done() -> bool:
        return set(scene.mesh.routing_daemons(TARGET)) == set(scene.near())

    assert scene.mesh.run(15, done), scene.mesh.routing_daemons(TARGET)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "its daemon begins to {step} while {fault} strikes"
    )
)
def _leave(scene, step, fault):
    mesh = scene.mesh
    scene.fault = fault
    node = mesh.nodes[TARGET]
    struck = "n0" if fault in ("kill", "freeze", "herd") else TARGET
    if fault != "herd":
        scene.end = faults.inject(mesh, fault, struck)
    # As Daemon.drain does: refuse first, then tell.
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


@pytest_bdd.then("it gets no new work after 3 s")
def _alone(scene):
    mesh = scene.mesh
    others = [n for n in scene.near() if not mesh.nodes[n].frozen]
    mesh.run(LEAVE_S)
    late = mesh.routing_daemons(TARGET, others)
    assert not late or not scene.takes_work()
    if scene.fault in ("disorder", "log_down", "kill", "freeze"):
        assert late == []
    # Those that a cut keeps from hearing find that it is dead.
    assert mesh.run(12, lambda: not mesh.routing_daemons(TARGET, others))


@pytest_bdd.then("the fault ends and still nobody sends it work")
def _still(scene):
    scene.end()
    mesh = scene.mesh
    found = mesh.run(12, lambda: not mesh.routing_daemons(TARGET))
    assert found, mesh.routing_daemons(TARGET)
    seen = []
    mesh.run(20, lambda: bool(seen.extend(mesh.routing_daemons(TARGET))))
    assert seen == []


@pytest.mark.parametrize("state", list(entries.DEPARTED_STATES))
def test_listing_sees_an_upstream_that_is_not_removed(
    make_mesh, monkeypatch, state
):
    """Planted fault: the check of G7 fails when a leaving record is lost."""
    scene = Scene(make_mesh(5))
    _upstream(scene)
    node = scene.mesh.nodes[TARGET]
    monkeypatch.setattr(node.shared.membership, "_table", gossip.GossipTable())
    node.shared.membership.update_local(state=state)
    scene.fault = "disorder"
    with pytest.raises(AssertionError):
        _alone(scene)
