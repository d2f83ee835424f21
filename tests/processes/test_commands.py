"""The operators' commands against real daemons."""

import json
import pathlib
import shutil
import signal
import subprocess
import sys

import pytest

from buckthorn_client import commands
from buckthorn_standins import fleet

ROOT = pathlib.Path(__file__).parents[2]
READY_S = 30.0


class Operator:
    """Runs buckthornctl on a copy of the example files."""

    def __init__(self, mesh: fleet.Fleet, folder: pathlib.Path):
        self._mesh = mesh
        self.folder = folder
        shutil.copytree(ROOT / "deploy" / "kulhus", folder)

    def run(self, name, *args, daemon=None):
        """Returns exit status and decoded JSON output."""
        command = [name, "--json", f"--cfg={self._mesh.client_settings()}"]
        if name in ("check", "diff", "publish", "move"):
            command.append(f"--folder={self.folder}")
        if daemon is not None:
            command.append(f"--daemon=http://{daemon.address('admin')}")
        done = subprocess.run(
            [sys.executable, "-m", "buckthorn_client.main", *command, *args],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.stdout, done.stderr
        return commands.Exit(done.returncode), json.loads(done.stdout)


@pytest.fixture
def mesh(tmp_path):
    found = fleet.Fleet(fleet.DEPLOYMENTS["kulhus"], tmp_path / "run")
    found.instances = [
        i for i in found.instances if i.site in ("esbjerg-dok", "koege-bugt")
    ]
    found.start()
    yield found
    found.close()


@pytest.fixture
def operator(mesh, tmp_path):
    return Operator(mesh, tmp_path / "files")


def count_daemons(status):
    return {s["site"]: sum(s["versions"].values()) for s in status["sites"]}


@pytest.mark.processes
def test_whole_fleet_is_seen_from_any_daemon(mesh, operator):
    """Guards against a wait or status that covers a part of the fleet."""
    done, answer = operator.run("publish", "--wait", "--wait_s=30")
    assert (done, answer["converged"]) == (commands.Exit.OK, True)

    whole = {
        "aarhus-havn": 0,
        "esbjerg-dok": 3,
        "koege-bugt": 3,
        "roskilde-nord": 0,
    }
    for instance in mesh.instances:

        def sees_all(instance: fleet.Instance = instance) -> bool:
            # A role may move while a daemon is asked, so one look is not
            # enough; that the view becomes whole is what counts.
            done, status = operator.run("status", daemon=instance)
            return (
                done is commands.Exit.OK
                and status["whole"]
                and status["daemon"] == instance.name
                and count_daemons(status) == whole
            )

        mesh.wait_until(sees_all, READY_S, f"the view of {instance.name}")


@pytest.mark.processes
def test_wait_names_a_daemon_that_lags(mesh, operator):
    """Guards against convergence that is claimed while a daemon lags."""
    operator.run("publish", "--wait", "--wait_s=30")
    stopped = mesh.instances[0]
    operator.run("move", "--from=koege-bugt", "--to=esbjerg-dok")
    mesh.signal(stopped.name, signal.SIGSTOP)
    asked = mesh.instances[1]
    done, answer = operator.run("publish", "--wait", "--wait_s=3", daemon=asked)
    mesh.signal(stopped.name, signal.SIGCONT)
    assert done is commands.Exit.NOT_CONVERGED
    assert not answer["converged"]
    done, answer = operator.run(
        "publish", "--wait", "--wait_s=30", daemon=asked
    )
    assert done is commands.Exit.OK


@pytest.mark.processes
def test_loser_of_a_race_sees_what_the_winner_changed(operator):
    """Guards against an operator who overwrites another one's change."""
    assert operator.run("publish")[0] is commands.Exit.OK
    operator.run("move", "--from=koege-bugt", "--to=esbjerg-dok")
    assert operator.run("publish", "--based_on=1")[0] is commands.Exit.OK
    done, answer = operator.run("publish", "--based_on=1")
    assert done is commands.Exit.LOST_RACE
    assert answer["version"] == 2
    assert [(c["sites"], c["path"], c["new"]) for c in answer["changes"]] == [
        (["koege-bugt"], "traffic.esbjerg-dok", "25.0"),
        (["koege-bugt"], "traffic.koege-bugt", "75.0"),
    ]
    _, listed = operator.run("history")
    assert [v["version"][0] for v in listed["versions"]] == [1, 2]
