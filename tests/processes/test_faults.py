"""Tests crashes, silent links and planned stops with real processes."""

import concurrent.futures
import http.client
import json
import shutil
import signal
import time

import pytest
import test_path
import urllib3

from buckthorn_adapters import interim_responses
from buckthorn_daemon import headers as daemon_headers
from buckthorn_standins import callers
from buckthorn_standins import fleet
from buckthorn_standins import judging

mesh = test_path.mesh
pytestmark = pytest.mark.processes
SILENCE_TIMEOUT_S = 3.0
# The upper bound stated in docs/decisions/silent-connections.md.
MAX_DETECTION_S = 5.0
UPLOAD_CHUNKS = 60
CHUNK_PAUSE_S = 0.1


@pytest.fixture
def ready_mesh(mesh):
    test_path.publish(mesh)
    mesh.wait_until(
        lambda: all(is_ready(mesh.status(i)) for i in mesh.instances),
        test_path.READY_S,
        "the first version",
    )
    return mesh


def is_ready(status) -> bool:
    return bool(
        status
        and status["ready"]
        and len(status["upstreams"]) == 3
        and all(u["upstream_state"] == "up" for u in status["upstreams"])
    )


def send_request(instance, method, path, **kwargs):
    http_pool = urllib3.PoolManager(retries=False, timeout=30.0)
    url = f"http://{instance.address('http')}{path}"
    return http_pool.request(method, url, **kwargs)


def set_faults(instance, **faults) -> None:
    urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{instance.address('upstream')}/faults",
        body=json.dumps(faults).encode(),
    )


def instances_of(mesh, service, site):
    return [
        i for i in mesh.instances if i.service == service and i.site == site
    ]


def upload(instance, chunks=UPLOAD_CHUNKS, on_chunk=None):
    """Sends a chunked body slowly, until its end or an early response."""
    conn = http.client.HTTPConnection(instance.address("http"), timeout=30.0)
    conn.putrequest("POST", "/scans/1")
    conn.putheader("Transfer-Encoding", "chunked")
    conn.endheaders()
    for number in range(chunks):
        conn.send(b"2000\r\n" + bytes(0x2000) + b"\r\n")
        if on_chunk:
            on_chunk(number)
        if interim_responses.is_readable(conn.sock, CHUNK_PAUSE_S):
            break
    else:
        conn.send(b"0\r\n\r\n")
    answer = conn.getresponse()
    answer.read()
    conn.close()
    return answer


def test_bad_request_crashes_two_upstreams_and_no_more(ready_mesh):
    """Guards against a request that crashes the upstreams of all regions.

    It crashes them one after the other if daemons keep retrying it.
    """
    for instance in ready_mesh.instances:
        set_faults(instance, crash_on="bad")
    near = instances_of(ready_mesh, "delivery-booking", "esbjerg-dok")[0]
    far = instances_of(ready_mesh, "delivery-booking", "koege-bugt")[0]
    crash_response = send_request(near, "GET", "/stock/bad")
    assert crash_response.status == 502
    assert "Buckthorn-Not-Run" not in crash_response.headers
    ready_mesh.wait_until(
        lambda: all(
            ready_mesh.status(i)["quarantined"] for i in ready_mesh.instances
        ),
        10.0,
        "the suspicion at all daemons",
    )
    for sender in (near, far):
        refused = send_request(sender, "GET", "/stock/bad")
        assert refused.status == 422
        assert refused.headers["Buckthorn-Not-Run"] == "quarantined"
    assert send_request(far, "GET", "/stock/good").status == 200
    # Both upstreams of this region have crashed, and summaries of the other
    # region may not have arrived yet.
    ready_mesh.wait_until(
        lambda: send_request(near, "GET", "/stock/good").status == 200,
        10.0,
        "the other region",
    )
    executed = [r for r in ready_mesh.records() if "bad" in r["path"]]
    assert len(executed) == 2


@pytest.mark.parametrize("fault", ["silent", "silent-up", "silent-down"])
def test_silent_link_is_detected_in_time(ready_mesh, fault):
    """Guards against an upload that hangs on a link that drops all bytes."""
    sender = instances_of(ready_mesh, "stock-catalogue", "esbjerg-dok")[0]
    target = instances_of(ready_mesh, "delivery-booking", "esbjerg-dok")[0]
    fault_times_s: list[float] = []

    def on_chunk(number: int) -> None:
        if number == 5:
            fault_times_s.append(time.monotonic())
            ready_mesh.set_link_fault([target.ports["http_near"]], fault)

    answer = upload(sender, on_chunk=on_chunk)
    detection_s = time.monotonic() - fault_times_s[0]
    print(f"{fault}: detected after {detection_s:.2f} s")
    assert answer.status == 504
    assert "Buckthorn-Not-Run" not in answer.headers
    assert SILENCE_TIMEOUT_S * 0.7 < detection_s < MAX_DETECTION_S


def start_planned_stop(mesh, target, stopping, folder) -> None:
    if stopping == "site":
        shutil.copytree(test_path.ROOT / "deploy" / "kulhus", folder / "deploy")
        overlay = folder / "deploy" / "overlays" / f"{target.site}.jsonc"
        overlay.write_text(
            json.dumps({"site": target.site, "state": "draining"})
        )
        test_path.publish(mesh, folder / "deploy")
    else:
        prefix = "upstream-" if stopping == "upstream" else ""
        mesh.signal(prefix + target.name, signal.SIGTERM)


@pytest.mark.parametrize("stopping", ["daemon", "upstream", "site"])
def test_planned_stop_refuses_new_and_completes_running_requests(
    ready_mesh, stopping, tmp_path
):
    """Guards against new requests 3 s after a stop, and aborted uploads."""
    sender = instances_of(ready_mesh, "stock-catalogue", "esbjerg-dok")[0]
    target = instances_of(ready_mesh, "delivery-booking", "esbjerg-dok")[0]
    stop_times_s: list[float] = []

    def on_chunk(number: int) -> None:
        if number == 5:
            start_planned_stop(ready_mesh, target, stopping, tmp_path)
            stop_times_s.append(time.time())

    with concurrent.futures.ThreadPoolExecutor() as pool:
        long_upload = pool.submit(upload, sender, on_chunk=on_chunk)
        ready_mesh.wait_until(lambda: stop_times_s, 10.0, "the stop")
        while not long_upload.done():
            booking = send_request(sender, "POST", "/bookings/1", body=b"x")
            assert (
                booking.status == 200 or "Buckthorn-Not-Run" in booking.headers
            )
        assert long_upload.result().status == 200
    if stopping != "site":
        prefix = "upstream-" if stopping == "upstream" else ""
        assert ready_mesh.wait(prefix + target.name) == 0
    late_ms = (stop_times_s[0] + 3.0) * 1000
    begin_records = [r for r in ready_mesh.records() if r["event"] == "begin"]
    late = [r for r in begin_records if r["time_ms"] > late_ms]
    assert not [r for r in late if r["upstream"] == target.name]
    assert [r for r in late if r["path"] == "/bookings/1"]


def test_second_signal_aborts_requests(ready_mesh):
    """Guards against a second signal that waits for requests in flight."""
    sender = instances_of(ready_mesh, "stock-catalogue", "esbjerg-dok")[0]
    target = instances_of(ready_mesh, "delivery-booking", "esbjerg-dok")[0]
    status: list[int] = []

    def on_chunk(number: int) -> None:
        if number in (5, 8):
            ready_mesh.signal(target.name, signal.SIGTERM)
        if number == 8:
            status.append(ready_mesh.wait(target.name, 8.0))

    answer = upload(sender, on_chunk=on_chunk)
    assert status == [4]
    assert answer.status in (502, 504)
    assert "Buckthorn-Not-Run" not in answer.headers


def test_restarted_daemon_counts_requests_of_its_predecessor(ready_mesh):
    """Guards against more requests at an upstream than it has slots.

    The upstream still executes requests of the killed daemon when the new one
    starts to admit.
    """
    target = instances_of(ready_mesh, "delivery-booking", "koege-bugt")[0]
    slots = ready_mesh.deployment.slots
    set_faults(target, delay_ms=4_000)

    def send_booking(number):
        connection = http.client.HTTPConnection(target.address("http"))
        hop = daemon_headers.hop(target.service, fleet.KEY.encode())
        headers = {"Buckthorn-Hop": hop, "Buckthorn-Deadline-Ms": "15000"}
        try:
            connection.request("POST", f"/bookings/{number}", headers=headers)
            return connection.getresponse().getheader("Buckthorn-Not-Run")
        except (OSError, http.client.HTTPException):
            return "cut"

    def begin_records():
        return [
            r
            for r in ready_mesh.records()
            if r["upstream"] == target.name and r["event"] == "begin"
        ]

    with concurrent.futures.ThreadPoolExecutor(2 * slots) as pool:
        old = [pool.submit(send_booking, n) for n in range(slots - 2)]
        ready_mesh.wait_until(
            lambda: len(begin_records()) == slots - 2,
            5.0,
            "requests of the killed daemon",
        )
        ready_mesh.signal(target.name, signal.SIGKILL)
        ready_mesh.wait(target.name)
        ready_mesh.start_daemon(target)
        ready_mesh.wait_until(
            lambda: any(
                u["daemon"] == target.name and u["upstream_state"] == "up"
                for u in (ready_mesh.status(target) or {}).get("upstreams", [])
            ),
            10.0,
            "the restart",
        )
        new = [pool.submit(send_booking, n) for n in range(slots, slots + 8)]
        answers = [f.result() for f in new]
        assert [f.result() for f in old] == ["cut"] * len(old)
    assert "upstream_shed" not in answers
    assert answers.count(None) >= 2


def test_refused_requests_were_not_executed_during_faults(ready_mesh):
    """Guards against "not run" for a request that an upstream recorded."""
    near = instances_of(ready_mesh, "stock-catalogue", "esbjerg-dok")
    booking = instances_of(ready_mesh, "delivery-booking", "esbjerg-dok")[0]
    load = callers.Callers(
        [i.address("http") for i in near],
        {
            callers.Kind.LOOKUP: "/stock/",
            callers.Kind.ORDER: "/bookings/",
            callers.Kind.UPLOAD: "/scans/",
        },
        {
            callers.Kind.LOOKUP: 6,
            callers.Kind.ORDER: 6,
            callers.Kind.UPLOAD: 3,
        },
        0.02,
        1,
    )
    load.start()
    ports = [booking.ports["http_near"]]
    for fault in ("cut", "silent-down", "silent-up"):
        ready_mesh.set_link_fault(ports, fault)
        expected_outcomes = len(load.outcomes) + 60
        ready_mesh.wait_until(
            lambda n=expected_outcomes: len(load.outcomes) > n,
            30.0,
            "more outcomes",
        )
        ready_mesh.set_link_fault(ports, "")
    name = f"upstream-{booking.name}"
    ready_mesh.signal(name, signal.SIGKILL)
    ready_mesh.wait(name)
    ready_mesh.start_upstream(booking)
    all_bookings = [
        i for i in ready_mesh.instances if i.service == "delivery-booking"
    ]
    for instance in all_bookings:
        set_faults_when_up(ready_mesh, instance, shed=True)
    shed_reasons: list[str] = []

    def is_shed() -> bool:
        # The six callers that place orders may still wait for connections on
        # links that were silent, so these requests add to theirs.
        answer = send_request(near[0], "POST", "/bookings/0", body=b"x")
        if "Buckthorn-Not-Run" in answer.headers:
            shed_reasons.append(answer.headers["Buckthorn-Not-Run"])
        refused = judging.judge(list(load.outcomes), []).refused
        return len(shed_reasons) >= 20 and refused > 0

    ready_mesh.wait_until(is_shed, 30.0, "shedding")
    for instance in all_bookings:
        set_faults_when_up(ready_mesh, instance, shed=False)
    load.close()
    verdict = judging.judge(load.outcomes, ready_mesh.records())
    print(verdict)
    assert verdict.refused > 0
    assert (verdict.lied, verdict.cut, verdict.doubled) == (0, 0, 0)


def set_faults_when_up(mesh, instance, **faults) -> None:
    def done() -> bool:
        try:
            set_faults(instance, **faults)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    mesh.wait_until(done, 10.0, "the upstream")
