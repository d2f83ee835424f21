"""Steps of features/distribution.feature."""

import contextlib
import os
import pathlib

import pytest
import pytest_bdd
from tests.fakes import bundles
from tests.fakes import faults
from tests.fakes import meshes as fake_meshes

from buckthorn_core import acceptance
from buckthorn_core import bundles as versions
from buckthorn_core import errors
from buckthorn_core import records
from buckthorn_core import site_configs

CONFIG = records.CONFIG_STREAM
# One seed by default, which keeps the test run short.
SEEDS = range(1, 1 + int(os.environ.get("MATRIX_SEEDS", "1")))
ONE_DAEMON = frozenset(
    {"kill", "freeze", "cut_one_way", "cut_both_ways", "silent", "slow_link"}
)
FEATURES = pathlib.Path(__file__).parents[1] / "features"


@pytest.fixture(params=SEEDS)
def seed(request):
    return request.param


@pytest_bdd.scenario(FEATURES / "distribution.feature", "<fault> at <step>")
def test_distribution(seed):
    """Guards against a version that is lost or reverted by a fault."""


class DistributionScenario:
    """A mesh, a fault, and an acceptor that reads all records of the log."""

    def __init__(self, mesh: fake_meshes.Mesh):
        self.mesh = mesh
        self.end_fault = lambda: None
        self.fault = ""
        self.target_daemon = ""
        self.reference = acceptance.Acceptor(bundles.KEY, bundles.KEY)

    def target(self, step: str) -> str:
        """Returns the daemon that performs a step."""
        mesh = self.mesh
        if step == "checkpoint":
            return next(
                n.cfg.daemon_id
                for n in mesh.nodes.values()
                if n.cfg.region == "near"
                and n.shared.holds("checkpoint_writer")
            )
        if step == "relay":
            return mesh.first_relays("far")[0]
        if step == "apply":
            return next(
                n
                for n in mesh.nodes
                if n not in mesh.log_readers() and n[0] == "n"
            )
        return mesh.first_relays()[0]

    def read(self) -> None:
        """Applies new records; to be called before the log expires them."""
        batch = self.mesh.log.read(CONFIG, self.reference.next_offset, 10_000)
        for record in batch.records:
            self.reference.apply_encoded(record.offset, record.data)


@pytest_bdd.given("a mesh with a version in force", target_fixture="scene")
def _start_mesh(make_mesh, seed):
    scene = DistributionScenario(make_mesh(seed))
    scene.mesh.run(3)
    scene.read()
    return scene


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{fault} affects the daemon that performs {step}")
)
def _inject_fault(scene, fault, step):
    scene.fault = fault
    scene.target_daemon = scene.target(step)
    scene.end_fault = faults.inject(scene.mesh, fault, scene.target_daemon)
    with contextlib.suppress(errors.LogError):
        scene.read()


@pytest_bdd.when("versions are published")
def _publish(scene):
    for _ in range(3):
        with contextlib.suppress(errors.LogError):
            scene.mesh.publish(scene.reference.version)
        with contextlib.suppress(errors.LogError):
            scene.read()
        # Longer than the time until a daemon is declared dead.
        scene.mesh.run(6)


@pytest_bdd.when("the unaffected daemons have the accepted version within 10 s")
def _check_others(scene):
    """Checks the other daemons after a fault of a single one.

    The 10 s consist of 4 s to detect a dead daemon and 5 s for the version.
    """
    if scene.fault not in ONE_DAEMON:
        return
    target = scene.target_daemon
    want = scene.reference.version
    others = [n for name, n in scene.mesh.nodes.items() if name != target]

    def done() -> bool:
        return all(n.shared.holder.version == want for n in others)

    assert scene.mesh.run(4, done), (want.number, target, scene.mesh.summary())


@pytest_bdd.when("the fault ends")
def _end_fault(scene):
    scene.end_fault()
    scene.read()
    scene.mesh.publish(scene.reference.version)
    scene.read()


@pytest_bdd.then("all daemons have the accepted version in force within 30 s")
def _check_all(scene):
    want = scene.reference.version
    assert want.number >= 2

    def done() -> bool:
        return all(
            n.shared.holder.version == want and n.shared.holder.ready
            for n in scene.mesh.nodes.values()
        )

    assert scene.mesh.run(30, done), (want.number, scene.mesh.summary())
    scene.mesh.run(10)
    assert done(), scene.mesh.summary()


@pytest_bdd.then(
    "the version is complete and without dangling references on each"
)
def _check_bundles(scene):
    for node in scene.mesh.nodes.values():
        current = node.shared.holder.current
        assert versions.digest(current.raw) == current.version.digest
        assert site_configs.find_dangling_references(current.config) == []
