"""Fixtures of the tests in the fault matrix."""

import loguru
import pytest
from tests.fakes import meshes

SEED = "127.0.0.1:30000"


@pytest.fixture(autouse=True)
def _no_logging():
    loguru.logger.disable("buckthorn_daemon")
    yield
    loguru.logger.enable("buckthorn_daemon")


@pytest.fixture
def make_mesh(monkeypatch):
    """Returns a function that starts a mesh with version 1 in force."""

    def make(seed: int = 1, near: int = 6, far: int = 3) -> meshes.Mesh:
        mesh = meshes.Mesh(monkeypatch, seed)
        for index in range(near):
            mesh.start(f"n{index}", ("n1", "n2")[index % 2], seeds=[SEED])
        for index in range(far):
            number = 100 + index
            mesh.start(f"f{number}", "f1", seeds=["127.0.0.1:30100"])
        assert mesh.run(120, mesh.membership_complete), mesh.summary()
        mesh.publish()
        ready = mesh.run(
            30, lambda: mesh.all_at_version(1) and mesh.roles_agree()
        )
        assert ready, mesh.summary()
        return mesh

    return make


def _covers_cell(fault: str, step: str) -> bool:
    """Returns whether a row of examples covers the matrix cell it names.

    The rows of the request table use fake hops with a fixed result for the
    sender. They check the decisions of the core, but not those of the daemon.
    Faults at publish affect a log reader, not the publishing client.
    """
    if step in ("dispatch", "body", "answer"):
        return False
    if step == "admit":
        return fault in ("kill", "silent")
    return step != "publish" or fault == "race"


def pytest_collection_modifyitems(items):
    """Marks each scenario with the matrix cell that its row names."""
    for item in items:
        params = getattr(getattr(item, "callspec", None), "params", {})
        row = params.get("_pytest_bdd_example", {})
        if {"fault", "step"} <= set(row) and _covers_cell(
            row["fault"], row["step"]
        ):
            item.add_marker(pytest.mark.cell(row["fault"], row["step"]))
