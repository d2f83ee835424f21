"""End-to-end test with real processes: publication, lookup and upload."""

import hashlib
import json
import pathlib

import pytest
import urllib3

from buckthorn_standins import fleet
from buckthorn_standins import publications

ROOT = pathlib.Path(__file__).parents[2]
KULHUS = ROOT / "deploy" / "kulhus"
READY_S = 30.0


@pytest.fixture
def mesh(tmp_path):
    deployment = fleet.DEPLOYMENTS["kulhus"]
    new_fleet = fleet.Fleet(deployment, tmp_path)
    new_fleet.instances = [
        i
        for i in new_fleet.instances
        if i.site in ("esbjerg-dok", "koege-bugt")
    ]
    new_fleet.start()
    yield new_fleet
    new_fleet.close()


def publish(mesh: fleet.Fleet, folder: pathlib.Path = KULHUS) -> None:
    publications.publish_files(folder, mesh.client_settings())


@pytest.mark.processes
def test_publication_reaches_all_and_requests_are_served(mesh):
    """Guards against a fault anywhere between publisher and upstream."""
    publish(mesh)

    def served() -> bool:
        states = [mesh.status(i) for i in mesh.instances]
        return all(
            s and s["ready"] and s["version"] == 1 and len(s["upstreams"]) == 3
            for s in states
        ) and all(
            u["upstream_state"] == "up"
            for s in states
            if s
            for u in s["upstreams"]
        )

    mesh.wait_until(served, READY_S, "the first version")
    http = urllib3.PoolManager(retries=False)
    booking = next(i for i in mesh.instances if i.service == "delivery-booking")
    url = f"http://{booking.address('http')}"
    lookup = http.request("GET", f"{url}/stock/coal")
    assert lookup.status == 200
    assert json.loads(lookup.data)["service"] == "stock-catalogue"
    scan = bytes(300_000)
    stock = next(i for i in mesh.instances if i.service == "stock-catalogue")
    upload = http.request(
        "POST", f"http://{stock.address('http')}/scans/1", body=iter([scan])
    )
    assert upload.status == 200
    answer = json.loads(upload.data)
    assert answer["bytes"] == len(scan)
    assert answer["digest"] == hashlib.sha256(scan).hexdigest()
