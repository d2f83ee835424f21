"""Operation keys with real processes: races, a killed daemon, a log outage."""

from concurrent import futures
import json
import signal
import threading

import pytest
import test_path
import urllib3

from buckthorn_core import claims
from buckthorn_daemon import headers as daemon_headers
from buckthorn_standins import fleet

mesh = test_path.mesh
RUN_MS = 6_000
HOP = daemon_headers.hop("delivery-booking", fleet.KEY.encode())


def wait_ready(mesh: fleet.Fleet) -> None:
    test_path.publish(mesh)

    def ready() -> bool:
        states = [mesh.status(i) for i in mesh.instances]
        return all(
            s
            and s["ready"]
            and len(s["upstreams"]) == 3
            and all(u["upstream_state"] == "up" for u in s["upstreams"])
            for s in states
        )

    mesh.wait_until(ready, test_path.READY_S, "the first version")


def book(instance, key, name="1", body=b"booking"):
    # Daemons must ignore an expiry that a caller sends.
    headers = {"Buckthorn-Deadline-Ms": str(RUN_MS), "Buckthorn-Expires": "1"}
    if key:
        headers["Idempotency-Key"] = key
    return urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{instance.address('http')}/bookings/{name}",
        body=body,
        headers=headers,
        timeout=15.0,
    )


def check_expired_claim_is_refused(address, expected):
    """Sends the request of a paused holder, after its claim has expired."""
    response = urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{address}/bookings/1",
        headers={"Buckthorn-Hop": HOP, "Buckthorn-Expires": "1"},
    )
    assert (response.status, response.headers["Buckthorn-Not-Run"]) == expected


def count_runs(mesh: fleet.Fleet, key: str) -> int:
    return sum(
        r["key"] == key and r["event"] == "begin" for r in mesh.records()
    )


def key_owned_by(mesh: fleet.Fleet, owner: fleet.Instance) -> str:
    members = sorted(i.name for i in mesh.instances if i.region == owner.region)
    return next(
        key
        for key in (f"order-{n}" for n in range(1_000))
        if claims.owner_of(claims.partition_of(claims.digest_key(key)), members)
        == owner.name
    )


@pytest.mark.processes
def test_same_key_at_two_daemons_runs_once(mesh):
    """Guards against a second run in a race, also across regions.

    New keys are refused while the log is unavailable.
    """
    wait_ready(mesh)
    log_region_instance = next(
        i for i in mesh.instances if i.region == mesh.log_region
    )
    other_region_instance = next(
        i for i in mesh.instances if i.region != mesh.log_region
    )
    keys = [f"race-{n}" for n in range(12)]
    barrier = threading.Barrier(2)

    def race(instance):
        responses = {}
        for key in keys:
            barrier.wait(15.0)
            responses[key] = book(instance, key)
        return responses

    with futures.ThreadPoolExecutor(2) as pool:
        answers = list(
            pool.map(race, [log_region_instance, other_region_instance])
        )
    for key in keys:
        pair = sorted(a[key].status for a in answers)
        assert pair in ([200, 200], [200, 409]), [a[key].data for a in answers]
        assert count_runs(mesh, key) == 1
    first = next(a[keys[0]] for a in answers if a[keys[0]].status == 200)

    def repeated() -> bool:
        repeated_response = book(other_region_instance, keys[0])
        return (
            repeated_response.status == 200
            and repeated_response.data == first.data
        )

    mesh.wait_until(repeated, 5.0, "the recorded answer")
    assert book(log_region_instance, keys[0], "2").status == 422
    too_long = (bytes(65_536) for _ in range(20))
    too_long_answer = book(log_region_instance, "too-long", body=too_long)
    assert (
        too_long_answer.status,
        too_long_answer.headers.get("Buckthorn-Not-Run"),
    ) == (413, None)
    assert book(log_region_instance, "too-long").status == 409
    mesh.set_log_faults(down=True)
    refused = book(log_region_instance, "during-an-outage")
    assert refused.headers["Buckthorn-Not-Run"] == "log_unavailable"
    assert int(refused.headers["Retry-After"]) >= 1
    assert book(log_region_instance, "").status == 200
    mesh.set_log_faults(down=False)
    mesh.wait_until(
        lambda: book(log_region_instance, "during-an-outage").status == 200,
        15.0,
        "the end of the outage",
    )
    assert count_runs(mesh, "during-an-outage") == 1


@pytest.mark.processes
def test_same_key_after_the_first_daemon_was_killed_runs_once(mesh):
    """Guards against a second run after the holder, also the owner, is killed.

    A holder that was only paused sends its request after the claim has expired;
    ingress and upstream must refuse it.
    """
    wait_ready(mesh)
    first, second = [i for i in mesh.instances if i.region == mesh.log_region][
        :2
    ]
    ingress_instance = next(
        i for i in mesh.instances if i.service == "delivery-booking"
    )
    check_expired_claim_is_refused(
        ingress_instance.address("http"), (503, "claim_expired")
    )
    check_expired_claim_is_refused(
        ingress_instance.address("upstream"), (503, "claim_expired")
    )
    http = urllib3.PoolManager(retries=False)
    for instance in mesh.instances:
        http.request(
            "POST",
            f"http://{instance.address('upstream')}/faults",
            body=json.dumps({"delay_ms": 2_000}),
        )
    key = key_owned_by(mesh, first)
    caller = threading.Thread(
        target=lambda: pytest.raises(
            urllib3.exceptions.HTTPError, book, first, key
        )
    )
    caller.start()
    mesh.wait_until(lambda: count_runs(mesh, key) == 1, 10.0, "the first run")
    mesh.signal(first.name, signal.SIGKILL)
    statuses = set()

    def unknown() -> bool:
        repeated_response = book(second, key)
        statuses.add(repeated_response.status)
        return repeated_response.headers.get("Buckthorn-Outcome") == "unknown"

    mesh.wait_until(unknown, 20.0, "the unknown outcome")
    caller.join(10.0)
    assert statuses <= {409, 503}
    assert count_runs(mesh, key) == 1
