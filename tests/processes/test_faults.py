"""Crashes, silence and planned stops, with real processes."""

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
SILENT_S = 3.0
# The longest time that docs/decisions/silent-connections.md states.
FOUND_S = 5.0
UPLOAD_PIECES = 60
PIECE_PAUSE_S = 0.1


@pytest.fixture
def ready(mesh):
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


def call(instance, method, path, **kwargs):
    http_pool = urllib3.PoolManager(retries=False, timeout=30.0)
    url = f"http://{instance.address('http')}{path}"
    return http_pool.request(method, url, **kwargs)


def set_faults(instance, **faults) -> None:
    urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{instance.address('upstream')}/faults",
        body=json.dumps(faults).encode(),
    )


def of(mesh, service, site):
    return [
        i for i in mesh.instances if i.service == service and i.site == site
    ]


def upload(instance, pieces=UPLOAD_PIECES, on_piece=None):
    """Sends a body slowly, and stops when an answer comes before its end."""
    conn = http.client.HTTPConnection(instance.address("http"), timeout=30.0)
    conn.putrequest("POST", "/scans/1")
    conn.putheader("Transfer-Encoding", "chunked")
    conn.endheaders()
    for number in range(pieces):
        conn.send(b"2000\r\n" + bytes(0x2000) + b"\r\n")
        if on_piece:
            on_piece(number)
        if interim_responses.is_readable(conn.sock, PIECE_PAUSE_S):
            break
    else:
        conn.send(b"0\r\n\r\n")
    answer = conn.getresponse()
    answer.read()
    conn.close()
    return answer


def test_bad_request_crashes_two_upstreams_and_no_more(ready):
    """Guards against one request that ends every upstream, everywhere."""
    for instance in ready.instances:
        set_faults(instance, crash_on="bad")
    near = of(ready, "delivery-booking", "esbjerg-dok")[0]
    far = of(ready, "delivery-booking", "koege-bugt")[0]
    first = call(near, "GET", "/stock/bad")
    assert first.status == 502
    assert "Buckthorn-Not-Run" not in first.headers
    ready.wait_until(
        lambda: all(ready.status(i)["quarantined"] for i in ready.instances),
        10.0,
        "the spread",
    )
    for sender in (near, far):
        refused = call(sender, "GET", "/stock/bad")
        assert refused.status == 422
        assert refused.headers["Buckthorn-Not-Run"] == "quarantined"
    assert call(far, "GET", "/stock/good").status == 200
    # Both upstreams beside it are gone; summaries of the other region may
    # still be on their way after the start.
    ready.wait_until(
        lambda: call(near, "GET", "/stock/good").status == 200,
        10.0,
        "the other region",
    )
    ran = [r for r in ready.records() if "bad" in r["path"]]
    assert len(ran) == 2


@pytest.mark.parametrize("fault", ["silent", "silent-up", "silent-down"])
def test_silent_link_is_found_in_a_stated_time(ready, fault):
    """Guards against an upload that hangs on a link which lost its bytes."""
    sender = of(ready, "stock-catalogue", "esbjerg-dok")[0]
    target = of(ready, "delivery-booking", "esbjerg-dok")[0]
    began: list[float] = []

    def on_piece(number: int) -> None:
        if number == 5:
            began.append(time.monotonic())
            ready.set_link_fault([target.ports["http_near"]], fault)

    answer = upload(sender, on_piece=on_piece)
    took_s = time.monotonic() - began[0]
    print(f"{fault}: found after {took_s:.2f} s")
    assert answer.status == 504
    assert "Buckthorn-Not-Run" not in answer.headers
    assert SILENT_S * 0.7 < took_s < FOUND_S


def leave(mesh, target, leaver, folder) -> None:
    if leaver == "site":
        shutil.copytree(test_path.ROOT / "deploy" / "kulhus", folder / "deploy")
        overlay = folder / "deploy" / "overlays" / f"{target.site}.jsonc"
        overlay.write_text(
            json.dumps({"site": target.site, "state": "draining"})
        )
        test_path.publish(mesh, folder / "deploy")
    else:
        prefix = "upstream-" if leaver == "upstream" else ""
        mesh.signal(prefix + target.name, signal.SIGTERM)


@pytest.mark.parametrize("leaver", ["daemon", "upstream", "site"])
def test_planned_stop_takes_no_work_and_cuts_none(ready, leaver, tmp_path):
    """Guards against work after 3 s, and an upload cut by a stop."""
    sender = of(ready, "stock-catalogue", "esbjerg-dok")[0]
    target = of(ready, "delivery-booking", "esbjerg-dok")[0]
    stopped: list[float] = []

    def on_piece(number: int) -> None:
        if number == 5:
            leave(ready, target, leaver, tmp_path)
            stopped.append(time.time())

    with concurrent.futures.ThreadPoolExecutor() as pool:
        long = pool.submit(upload, sender, on_piece=on_piece)
        ready.wait_until(lambda: stopped, 10.0, "the stop")
        while not long.done():
            booked = call(sender, "POST", "/bookings/1", body=b"x")
            assert booked.status == 200 or "Buckthorn-Not-Run" in booked.headers
        assert long.result().status == 200
    if leaver != "site":
        prefix = "upstream-" if leaver == "upstream" else ""
        assert ready.wait(prefix + target.name) == 0
    late_ms = (stopped[0] + 3.0) * 1000
    begun = [r for r in ready.records() if r["event"] == "begin"]
    late = [r for r in begun if r["time_ms"] > late_ms]
    assert not [r for r in late if r["upstream"] == target.name]
    assert [r for r in late if r["path"] == "/bookings/1"]


def test_second_signal_cuts(ready):
    """Guards against a stop that cannot be hurried."""
    sender = of(ready, "stock-catalogue", "esbjerg-dok")[0]
    target = of(ready, "delivery-booking", "esbjerg-dok")[0]
    status: list[int] = []

    def on_piece(number: int) -> None:
        if number in (5, 8):
            ready.signal(target.name, signal.SIGTERM)
        if number == 8:
            status.append(ready.wait(target.name, 8.0))

    answer = upload(sender, on_piece=on_piece)
    assert status == [4]
    assert answer.status in (502, 504)
    assert "Buckthorn-Not-Run" not in answer.headers


def test_restarted_daemon_counts_work_of_its_predecessor(ready):
    """Guards against more requests at an upstream than it has slots."""
    target = of(ready, "delivery-booking", "koege-bugt")[0]
    slots = ready.deployment.slots
    set_faults(target, delay_ms=4_000)

    def book(number):
        connection = http.client.HTTPConnection(target.address("http"))
        hop = daemon_headers.hop(target.service, fleet.KEY.encode())
        headers = {"Buckthorn-Hop": hop, "Buckthorn-Deadline-Ms": "15000"}
        try:
            connection.request("POST", f"/bookings/{number}", headers=headers)
            return connection.getresponse().getheader("Buckthorn-Not-Run")
        except (OSError, http.client.HTTPException):
            return "cut"

    def begun():
        return [
            r
            for r in ready.records()
            if r["upstream"] == target.name and r["event"] == "begin"
        ]

    with concurrent.futures.ThreadPoolExecutor(2 * slots) as pool:
        old = [pool.submit(book, n) for n in range(slots - 2)]
        ready.wait_until(lambda: len(begun()) == slots - 2, 5.0, "old work")
        ready.signal(target.name, signal.SIGKILL)
        ready.wait(target.name)
        ready.start_daemon(target)
        ready.wait_until(
            lambda: any(
                u["daemon"] == target.name and u["upstream_state"] == "up"
                for u in (ready.status(target) or {}).get("upstreams", [])
            ),
            10.0,
            "the restart",
        )
        new = [pool.submit(book, n) for n in range(slots, slots + 8)]
        answers = [f.result() for f in new]
        assert [f.result() for f in old] == ["cut"] * len(old)
    assert "upstream_shed" not in answers
    assert answers.count(None) >= 2


def test_refusals_are_true_while_things_fail(ready):
    """Guards against "not run" for a request that an upstream recorded."""
    near = of(ready, "stock-catalogue", "esbjerg-dok")
    booking = of(ready, "delivery-booking", "esbjerg-dok")[0]
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
        ready.set_link_fault(ports, fault)
        enough = len(load.outcomes) + 60
        ready.wait_until(
            lambda n=enough: len(load.outcomes) > n, 30.0, "the load"
        )
        ready.set_link_fault(ports, "")
    name = f"upstream-{booking.name}"
    ready.signal(name, signal.SIGKILL)
    ready.wait(name)
    ready.start_upstream(booking)
    all_bookings = [
        i for i in ready.instances if i.service == "delivery-booking"
    ]
    for instance in all_bookings:
        set_faults_when_up(ready, instance, shed=True)
    shed: list[str] = []

    def is_shed() -> bool:
        # Callers of orders may still wait for links that were silent.
        # The six callers of orders are refused as often meanwhile.
        answer = call(near[0], "POST", "/bookings/0", body=b"x")
        if "Buckthorn-Not-Run" in answer.headers:
            shed.append(answer.headers["Buckthorn-Not-Run"])
        refused = judging.judge(list(load.outcomes), []).refused
        return len(shed) >= 20 and refused > 0

    ready.wait_until(is_shed, 30.0, "shedding")
    for instance in all_bookings:
        set_faults_when_up(ready, instance, shed=False)
    load.close()
    verdict = judging.judge(load.outcomes, ready.records())
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
