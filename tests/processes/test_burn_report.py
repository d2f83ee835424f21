"""Counts of requests from daemons of two regions, asked at any of them."""

import json
import pathlib
import signal
import subprocess
import sys

import pytest
import urllib3

from buckthorn_standins import fleet

ROOT = pathlib.Path(__file__).parents[2]
WAIT_S = 40.0


@pytest.fixture
def mesh(tmp_path):
    found = fleet.Fleet(
        fleet.DEPLOYMENTS["kulhus"],
        tmp_path,
        daemon_settings={"burn_report_s": 0.2},
    )
    found.instances = [
        i for i in found.instances if i.site in ("esbjerg-dok", "koege-bugt")
    ]
    found.start()
    yield found
    found.close()


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


def ask(http, instance, query=""):
    """Returns the report of a daemon, or None if there is none yet."""
    try:
        resp = http.request(
            "GET", f"http://{instance.address('admin')}/v1/burn{query}"
        )
    except urllib3.exceptions.HTTPError:
        return None
    return json.loads(resp.data) if resp.status == 200 else None


@pytest.mark.processes
def test_any_daemon_answers_for_the_fleet(mesh):
    """Guards against counts lost on the way up, or with the root."""
    run_client(mesh, "publish", f"--folder={ROOT / 'deploy' / 'kulhus'}")
    http = urllib3.PoolManager(retries=False, timeout=5.0)

    def ready() -> bool:
        states = [mesh.status(i) for i in mesh.instances]
        return all(s and s["ready"] and s["version"] for s in states)

    mesh.wait_until(ready, WAIT_S, "the first version")
    # Nobody serves these: every request is refused.
    for instance in mesh.instances:
        if instance.service == "stock-catalogue":
            mesh.signal(f"upstream-{instance.name}", signal.SIGKILL)
    sent = {i.name: 0 for i in mesh.instances}

    def refused() -> bool:
        for instance in mesh.instances:
            url = f"http://{instance.address('http')}/stock/coal"
            status = http.request("GET", url).status
            sent[instance.name] += status == 503
            http.request("GET", f"http://{instance.address('http')}/none")
        return min(sent.values()) >= 5

    mesh.wait_until(refused, WAIT_S, "refusals on all daemons")

    def burn(instance):
        report = ask(http, instance, "?service=stock-catalogue")
        return report and report["services"] and report["services"][0]

    def counted(instances, at_least) -> bool:
        found = [burn(i) for i in instances]
        return all(f and f["bad"] >= at_least for f in found)

    total = sum(sent.values())
    mesh.wait_until(lambda: counted(mesh.instances, total), WAIT_S, "counts")
    found = burn(mesh.instances[0])
    assert found["causes"][0]["name"] in ("no_upstream", "upstream_failed")
    assert found["alert"] == "fast"
    names = [s["service"] for s in ask(http, mesh.instances[0])["services"]]
    assert "none" not in names
    page = mesh.folder / "burn.html"
    printed = json.loads(run_client(mesh, "burn", "--json", f"--html={page}"))
    assert printed["services"][0]["service"] == "stock-catalogue"
    assert "<svg" in page.read_text(encoding="utf-8")
    assert "stock-catalogue" in run_client(mesh, "burn")

    old_root = ask(http, mesh.instances[-1])["root"]
    mesh.signal(old_root, signal.SIGKILL)
    left = [i for i in mesh.instances if i.name != old_root]

    def moved() -> bool:
        reports = [ask(http, i) for i in left]
        return all(r and r["root"] != old_root for r in reports)

    mesh.wait_until(moved, WAIT_S, "another root")
    mesh.wait_until(lambda: counted(left, total), WAIT_S, "the kept counts")
