"""Planned stops of a daemon while requests are in transit to it."""

import json
import signal
import threading
import time

import pytest

from tests.platform import standins
from tests.soak import proxies

pytestmark = pytest.mark.processes
# One-way delay of the link, twice that between two regions.
DELAY_S = 0.04


def test_requests_in_transit_to_a_daemon_that_stops_are_answered(
    new_host, new_instance, cleanup, store
):
    """Guards against requests with an unknown outcome after a planned stop.

    Callers keep sending while the daemon beside the instance stops. Requests
    that were sent before it closed must be answered as not run; without that
    answer they would be lost with the connection, and a request that isn't
    idempotent could not be repeated.
    """
    stock, orders = new_instance("stock"), new_instance("orders")
    links = []

    def on_append(key, value):
        if key != "h-2" or not value:
            return value
        record = json.loads(value)
        if not links:
            links.append(proxies.Proxy(record["address"]).start())
            cleanup(links[0])
        return json.dumps({**record, "address": links[0].address}).encode()

    store.on_append = on_append
    store.put(
        "keyed.op",
        "config",
        standins.configuration(
            3,
            standins.path_entry(
                "order", "/order/", "orders", kind="non_idempotent"
            ),
        ),
    )
    caller = new_host("h-1", stock)
    stopping = new_host("h-2", orders)
    for host, instance in ((caller, stock), (stopping, orders)):
        standins.wait_for(lambda h=host: h.readiness() == 200)
        assert instance.heartbeat(host.ports["control"]) == 200
    standins.wait_for(
        lambda: caller.call("warm-up", "/order/1", "POST", b"x").status == 200
    )
    links[0].delay_s = DELAY_S
    links[0].mode = proxies.Mode.DELAY
    statuses, stopped = {}, threading.Event()

    def send(worker):
        number = 0
        while not stopped.is_set():
            number += 1
            name = f"q-{worker}-{number}"
            reply = caller.call(name, "/order/1", "POST", b"x")
            statuses[name] = reply.status

    threads = [
        threading.Thread(target=send, args=(n,), daemon=True) for n in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    stopping.signal(signal.SIGTERM)
    standins.wait_for(lambda: not stopping.running())
    stopped.set()
    for thread in threads:
        thread.join(standins.WAIT_S)
    assert set(statuses.values()) == {200, 503}
    for name, status in statuses.items():
        assert orders.run_count(name) == (status == 200)


def test_a_request_late_in_the_grace_is_not_taken(host, new_host, new_instance):
    """Guards against a booking that is passed on and then cut.

    An upload that is still arriving keeps the daemon until the end of its grace
    of 6 s. On another open connection a request comes half a second before.
    """
    other = new_instance(instance="i-2")
    second = new_host("h-2", other)
    standins.wait_for(lambda: second.readiness() == 200)
    assert second and other.heartbeat(second.ports["control"]) == 200
    standins.wait_for(lambda: "buckthorn_members 2" in host.metrics())
    other.unblocked.clear()
    upload, late = host.connect(), None
    upload.sendall(request("upload", "Content-Length: 9", "abc"))
    time.sleep(0.2)
    started_s = time.monotonic()
    host.signal(signal.SIGTERM)
    time.sleep(1.5)
    late = host.connect()
    time.sleep(started_s + 5.0 - time.monotonic())
    late.sendall(request("late", "Content-Length: 1", "x"))
    late.settimeout(standins.WAIT_S)
    answer = late.recv(65536)
    other.unblocked.set()
    upload.close()
    late.close()
    assert answer.startswith(b"HTTP/1.1 503"), answer
    assert b"Retry-After" in answer
    assert not other.run_count("late")


def request(name, *lines):
    """Returns a booking; the last line is the part of its body to send."""
    *headers, body = lines
    head = [
        "POST /book/1 HTTP/1.1",
        "Host: shop.example",
        f"{standins.PREFIX}Request-Id: {name}",
        f"{standins.PREFIX}Deadline-Ms: 2000",
        *headers,
    ]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


def test_clients_that_leave_during_a_stop_cut_no_one_else(host, instance):
    """Guards against a planned stop that ends the process at once.

    Clients with unread answers leave at the moment of the stop, one after the
    other, so that some connections are reset when the daemon ends them.
    """
    leaving = standins.keep_open(host, 300)
    instance.respond = lambda call, run: (
        time.sleep(1.0),
        instance.answer(call, run),
    )
    statuses = []
    threads = [
        threading.Thread(
            target=lambda n=n: statuses.append(
                host.call(f"b-{n}", "/book/1", "POST", b"x").status
            ),
            daemon=True,
        )
        for n in range(4)
    ]
    for thread in threads:
        thread.start()
    standins.wait_for(lambda: sum("b-" in r["id"] for r in instance.runs) == 4)
    host.signal(signal.SIGTERM)
    for sock in leaving:
        sock.close()
        time.sleep(0.0001)
    for thread in threads:
        thread.join(standins.WAIT_S)
    assert statuses == 4 * [200]
    standins.wait_for(lambda: not host.running())
    assert host.exit_status() == 0
