"""Tests burn reports of daemons in two regions with real processes."""

import json
import pathlib
import signal
import subprocess
import sys

import pytest
import urllib3

from buckthorn_standins import fleet

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 40.0


@pytest.fixture
def mesh(tmp_path):
    new_mesh = fleet.Fleet(
        fleet.DEPLOYMENTS["kulhus"],
        tmp_path,
        daemon_settings={"burn_report_s": 0.2},
    )
    new_mesh.instances = [
        i for i in new_mesh.instances if i.site in ("esbjerg-dok", "koege-bugt")
    ]
    new_mesh.start()
    yield new_mesh
    new_mesh.close()


def run_client(mesh, *args):
    """Runs buckthornctl and returns what it prints."""
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "buckthorn_client.main",
            *args,
            f"--cfg={mesh.client_settings()}",
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout


def get_report(http, instance, query=""):
    """Returns the burn report from a daemon, or None if it has none yet."""
    try:
        resp = http.request(
            "GET", f"http://{instance.address('admin')}/v1/burn{query}"
        )
    except urllib3.exceptions.HTTPError:
        return None
    return json.loads(resp.data) if resp.status == 200 else None


@pytest.mark.processes
def test_any_daemon_answers_for_the_fleet(mesh):
    """Guards against counts lost between daemon and root, or with the root.

    Kills the root; its standby must report the same counts.
    """
    run_client(mesh, "publish", f"--folder={ROOT / 'deploy' / 'kulhus'}")
    http = urllib3.PoolManager(retries=False, timeout=5.0)

    def ready() -> bool:
        states = [mesh.status(i) for i in mesh.instances]
        return all(s and s["ready"] and s["version"] for s in states)

    mesh.wait_until(ready, TIMEOUT_S, "the first version")
    # Without upstreams of the service, every request for it is refused.
    for instance in mesh.instances:
        if instance.service == "stock-catalogue":
            mesh.signal(f"upstream-{instance.name}", signal.SIGKILL)
    unserved = {i.name: 0 for i in mesh.instances}

    def refused() -> bool:
        for instance in mesh.instances:
            url = f"http://{instance.address('http')}/stock/coal"
            status = http.request("GET", url).status
            unserved[instance.name] += status == 503
            http.request("GET", f"http://{instance.address('http')}/none")
        return min(unserved.values()) >= 5

    mesh.wait_until(refused, TIMEOUT_S, "refusals on all daemons")

    def get_service_burn(instance):
        report = get_report(http, instance, "?service=stock-catalogue")
        return report and report["services"] and report["services"][0]

    def all_counted(instances, at_least) -> bool:
        burns = [get_service_burn(i) for i in instances]
        return all(f and f["bad"] >= at_least for f in burns)

    total = sum(unserved.values())
    mesh.wait_until(
        lambda: all_counted(mesh.instances, total), TIMEOUT_S, "counts"
    )
    first_burn = get_service_burn(mesh.instances[0])
    assert first_burn["causes"][0]["name"] in ("no_upstream", "upstream_failed")
    assert first_burn["alert"] == "fast"
    names = [
        s["service"] for s in get_report(http, mesh.instances[0])["services"]
    ]
    assert "none" not in names
    page = mesh.folder / "burn.html"
    printed = json.loads(run_client(mesh, "burn", "--json", f"--html={page}"))
    assert printed["services"][0]["service"] == "stock-catalogue"
    assert "<svg" in page.read_text(encoding="utf-8")
    assert "stock-catalogue" in run_client(mesh, "burn")

    old_root = get_report(http, mesh.instances[-1])["root"]
    mesh.signal(old_root, signal.SIGKILL)
    remaining = [i for i in mesh.instances if i.name != old_root]

    def root_changed() -> bool:
        reports = [get_report(http, i) for i in remaining]
        return all(r and r["root"] != old_root for r in reports)

    mesh.wait_until(root_changed, TIMEOUT_S, "another root")
    mesh.wait_until(
        lambda: all_counted(remaining, total),
        TIMEOUT_S,
        "the counts at the new root",
    )
