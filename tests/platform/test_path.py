"""The whole path through real daemons, against stand-ins of the platform."""

import itertools
import json
import signal
import socket
import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
PREFIX = standins.PREFIX


def in_background(function, *args, **kwargs):
    """Runs a call on a thread; returns the thread and a list for its result."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(function(*args, **kwargs)), daemon=True
    )
    thread.start()
    return thread, results


def raw_request(request_id, path="/browse/1", extra="", left_ms=2000):
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"{PREFIX}Request-Id: {request_id}\r\n"
        f"{PREFIX}Deadline-Ms: {left_ms}\r\n{extra}\r\n"
    ).encode()


def read_until(sock, text):
    data = b""
    while text not in data:
        piece = sock.recv(65536)
        if not piece:
            break
        data += piece
    return data


def test_a_request_reaches_the_instance_and_its_answer_the_caller(
    host, instance
):
    """Guards against changed requests, and headers that a caller sets."""
    reply = host.call(
        "q-1",
        "/book/7?x=%20y",
        "POST",
        b"coal",
        headers={PREFIX + "Caller-Service": "forged", "X-Own": "kept"},
    )
    assert (reply.status, reply.body) == (200, b"done q-1")
    assert reply.headers["x-buckthornstack-response-signature"] == "proof-q-1"
    [run] = instance.runs
    assert (run["method"], run["path"]) == ("POST", "/book/7?x=%20y")
    assert run["body"] == b"coal"
    headers = run["headers"]
    assert headers["x-buckthornstack-caller-service"] == "stock"
    assert headers["x-buckthornstack-target-instance"] == "i-1"
    assert headers["x-own"] == "kept"
    assert 1 <= int(headers["x-buckthornstack-deadline-ms"]) <= 2000


@pytest.mark.parametrize(
    ("request_id", "host_name", "path", "status"),
    [
        ("q-1", "shop.example", "/none/1", 404),
        ("q-1", "other.example", "/browse/1", 404),
        (None, "shop.example", "/browse/1", 400),
    ],
)
def test_requests_that_no_route_allows(
    host, instance, request_id, host_name, path, status
):
    """Guards against a run that no configuration allows."""
    reply = host.call(request_id, path, host=host_name)
    assert reply.status == status
    assert instance.runs == []


def test_a_new_version_is_in_force_and_an_older_one_is_not(
    host, instance, store
):
    """Guards against a version that is missed, bad, or older."""
    dropped = standins.configuration(5, standins.BROWSE)
    store.put("keyed.op", "config", dropped)
    standins.wait_for(lambda: host.call("q-1", "/book/1").status == 404)
    store.put("keyed.op", "config", standins.configuration(3))
    store.put("keyed.op", "config", b'{"version": "cut')
    store.put(
        "keyed.op",
        "config",
        standins.configuration(8, standins.path_entry("x", "/x/", "nowhere")),
    )
    standins.wait_for(lambda: len(host.events("bad_configuration")) >= 1)
    assert host.call("q-2", "/book/1").status == 404
    assert host.call("q-3").status == 200
    store.put("keyed.op", "config", standins.configuration(9))
    standins.wait_for(lambda: host.call("q-4", "/book/1").status == 200)


def test_history_that_was_forgotten_is_made_up_for(host, store):
    """Guards against a version lost with the store's history."""
    store.down = True
    standins.wait_for(lambda: host.events("log_lost"))
    store.put("keyed.op", "config", standins.configuration(5, standins.BROWSE))
    store.compact("keyed.op")
    store.down = False
    standins.wait_for(lambda: host.call("q-1", "/book/1").status == 404)


def test_without_a_configuration_callers_are_refused_with_a_time(
    new_host, instance, store
):
    """Guards against a 404, or a wait, while nothing is known."""
    store.down = True
    host = new_host("h-1", instance)
    assert host.readiness() == 503
    reply = host.call("q-1")
    assert reply.status == 503
    assert 0 < reply.retry_after_s < 2 / 3
    store.down = False
    standins.wait_for(lambda: host.readiness() == 200)
    instance.heartbeat(host.ports["control"])
    standins.wait_for(lambda: host.call("q-2").status == 200)


@pytest.mark.parametrize("word", ["draining", "leave"])
def test_a_leaving_instance_gets_nothing_once_acknowledged(
    host, instance, word
):
    """Guards against work for an instance that leaves, late words included."""
    control = host.ports["control"]
    if word == "leave":
        assert instance.leave(control) == 200
    else:
        assert instance.heartbeat(control, "draining") == 200
    assert instance.heartbeat(control, "ready", sequence=1) == 200
    reply = host.call("q-1")
    assert reply.status == 503
    assert reply.retry_after_s < 2 / 3
    assert instance.runs == []
    assert instance.heartbeat(control, sequence=1, born=2_000) == 200
    assert host.call("q-2").status == 200


def test_a_restarted_daemon_keeps_the_gate_closed(host, instance):
    """Guards against an acknowledgement forgotten with the process.

    A late announcement from before may arrive at the next process, and the
    health check of a leaving instance may still pass.
    """
    control = host.ports["control"]
    assert instance.heartbeat(control, "draining") == 200
    host.kill()
    host.start()
    standins.wait_for(lambda: host.readiness() == 200)
    assert instance.heartbeat(control, "ready", sequence=1) == 200
    time.sleep(0.5)
    assert host.call("q-1").status == 503
    assert instance.runs == []


def test_a_restarted_daemon_serves_without_waiting_for_a_beat(host, instance):
    """Guards against seconds without service after each restart."""
    host.kill()
    host.start()
    standins.wait_for(lambda: host.call("q-1").status == 200)
    assert host.events("upstream_assumed")


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b'{"address": 3}', b'{"status": {"state": "odd"}}', b"[]"],
)
def test_an_unreadable_announcement_changes_nothing(host, instance, body):
    """Guards against bad input that ends the process or opens the gate."""
    control = host.ports["control"]
    status = instance._call(control, "instances.heartbeat", body)
    assert status == 400
    assert host.call("q-1").status == 200


def test_requests_sent_ahead_run_at_once_and_are_answered_in_order(
    host, instance
):
    """Guards against a caller that waits for each answer in turn."""
    instance.unblocked.clear()
    with host.connect() as sock:
        ids = ["q-1", "q-2", "q-3"]
        sock.sendall(b"".join(raw_request(i) for i in ids))
        standins.wait_for(lambda: len(instance.runs) == 3)
        instance.unblocked.set()
        data = read_until(sock, b"done q-3")
    places = [data.index(f"done {i}".encode()) for i in ids]
    assert places == sorted(places)


def test_the_work_of_a_caller_that_left_is_ended(host, instance):
    """Guards against an instance that works for nobody."""
    instance.unblocked.clear()
    with host.connect() as sock:
        sock.sendall(raw_request("q-1"))
        standins.wait_for(lambda: instance.runs)
    standins.wait_for(lambda: instance.disconnected_ids == ["q-1"], 2.0)


def test_a_route_that_takes_too_long_gets_a_final_answer(host, instance):
    """Guards against a caller kept waiting beyond the route's timeout."""
    instance.unblocked.clear()
    started_s = time.monotonic()
    reply = host.call("q-1", "/book/1", "POST", b"", left_ms=9000)
    assert reply.status == 504
    assert 1.4 < time.monotonic() - started_s < 2.0


def test_a_full_instance_is_never_given_more_than_its_slots(host, instance):
    """Guards against an instance that hangs, and callers that are held."""
    instance.unblocked.clear()
    started_s = time.monotonic()
    calls = [
        in_background(host.call, f"q-{n}", left_ms=1500) for n in range(24)
    ]
    standins.wait_for(lambda: len(instance.runs) == 4)
    # The queue expects runs of a few ms, as the one before, and takes all in.
    # What has not started in time for the target of 800 ms is refused then.
    standins.wait_for(lambda: len([r for _, r in calls if r]) == 20)
    assert time.monotonic() - started_s < 1.1
    assert len(instance.runs) == 4
    instance.unblocked.set()
    for thread, _ in calls:
        thread.join(standins.WAIT_S)
    replies = [results[0] for _, results in calls]
    refused = [r for r in replies if r.status == 503]
    assert refused
    assert all(r.retry_after_s <= 0.5 for r in refused)
    assert {r.status for r in replies} == {200, 503}


def answer_truncated(call, run):
    del run
    call.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort")
    call.close_connection = True


def answer_garbage(call, run):
    del run
    call.wfile.write(b"\x00\x01 no answer\r\n\r\n")
    call.close_connection = True


def answer_without_proof(call, run):
    call.reply(200, b"forged", [(PREFIX + "Request-Id", run["id"])])


def answer_nothing(call, run):
    del run
    call.close_connection = True


def answer_unframed_and_reset(call, run):
    del run
    call.wfile.write(b"HTTP/1.1 200 OK\r\n\r\npart")
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    call.close_connection = True


def answer_refusal_that_ran(call, run):
    call.reply(503, b"", [(PREFIX + "Request-Id", run["id"])])


@pytest.mark.parametrize(
    "respond",
    [
        answer_truncated,
        answer_garbage,
        answer_without_proof,
        answer_nothing,
        answer_unframed_and_reset,
        answer_refusal_that_ran,
    ],
)
def test_a_broken_answer_is_never_passed_on_nor_run_again(
    host, instance, respond
):
    """Guards against a false success, and a second run of a booking."""
    instance.respond = respond
    reply = host.call("q-1", "/book/1", "POST", b"x")
    assert reply.status == 502
    assert "x-buckthornstack-response-signature" not in reply.headers
    assert instance.run_count("q-1") == 1
    instance.respond = None
    assert host.call("q-2").body == b"done q-2"


def test_a_late_answer_of_another_request_is_passed_over(host, instance):
    """Guards against an answer that goes to the wrong caller."""

    def answer_twice(call, run):
        instance.answer(call, run, body=b"late", request_id="q-0")
        instance.answer(call, run)

    instance.respond = answer_twice
    for n in range(1, 5):
        assert host.call(f"q-{n}").body == f"done q-{n}".encode()
    assert host.events("foreign_answer")


def test_an_answer_that_ends_with_its_connection_is_whole(host, instance):
    """Guards against an answer without a length that is taken as cut."""

    def answer_unframed(call, run):
        call.wfile.write(
            f"HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {run['id']}\r\n"
            f"{PREFIX}Response-Signature: s\r\n\r\nall of it".encode()
        )
        call.close_connection = True

    instance.respond = answer_unframed
    assert host.call("q-1").body == b"all of it"


def test_an_own_failure_of_the_instance_is_passed_on(host, instance):
    """Guards against a failure that loses the instance's proof."""
    instance.respond = lambda call, run: instance.answer(call, run, status=500)
    reply = host.call("q-1", "/book/1", "POST", b"x")
    assert reply.status == 500
    assert "x-buckthornstack-response-signature" in reply.headers
    assert instance.run_count("q-1") == 1


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (raw_request("q-1", extra="X-Big: " + 5000 * "x" + "\r\n"), b"431"),
        (raw_request("q-1", extra="Content-Length: 99999\r\n"), b"413"),
        (
            raw_request(
                "q-1",
                extra="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            ),
            b"400",
        ),
        (raw_request("q-1", extra=PREFIX + "Request-Id: q-2\r\n"), b"400"),
    ],
)
def test_what_callers_may_not_send(host, instance, raw, status):
    """Guards against oversized, ambiguous or smuggled requests."""
    with host.connect() as sock:
        sock.sendall(raw)
        assert read_until(sock, b"\r\n\r\n").split()[1] == status
    assert instance.runs == []


def test_a_planned_stop_cuts_nothing(host, instance):
    """Guards against requests lost when a daemon is stopped."""
    instance.unblocked.clear()
    thread, results = in_background(host.call, "q-1", "/book/1", "POST", b"x")
    standins.wait_for(lambda: instance.runs)
    host.signal(signal.SIGTERM)
    standins.wait_for(lambda: host.readiness() == 503)
    with host.connect() as sock:
        instance.unblocked.set()
        sock.sendall(raw_request("q-2") + raw_request("q-3"))
        data = read_until(sock, b"done q-2")
        assert b"connection: close" in data.lower()
    thread.join(standins.WAIT_S)
    assert results[0].status == 200
    standins.wait_for(lambda: not host.running())
    assert instance.run_count("q-1") == 1
    assert instance.run_count("q-3") == 0


@pytest.fixture
def pair(host, new_host, new_instance):
    """Two hosts; only the second one's instance serves orders."""
    far = new_instance("orders", instance="i-9")
    other = new_host("h-2", far, zone="z2")
    standins.wait_for(lambda: other.readiness() == 200)
    far.heartbeat(other.ports["control"])
    entry = standins.path_entry("orders", "/orders/", "orders")
    once = standins.path_entry(
        "once", "/once/", "orders", kind="non_idempotent"
    )
    return host, other, far, standins.configuration(4, entry, once)


def test_callers_are_served_on_their_own_host_while_it_is_idle(
    host, new_host, new_instance, instance, store
):
    """Guards against bytes between hosts and sites that nobody needs."""
    near = new_instance(instance="i-8")
    other = new_host("h-2", near, zone="z2")
    standins.wait_for(lambda: other.readiness() == 200)
    near.heartbeat(other.ports["control"])
    topic = "keyed.buckthorn-members"
    standins.wait_for(lambda: "h-2" in store.newest(topic))
    time.sleep(0.7)  # Until the other host is known here.
    for n in range(40):
        assert host.call(f"q-{n}").status == 200
    assert len(instance.runs) >= 36


def test_a_record_whose_address_another_daemon_has(pair, store, instance):
    """Guards against requests that are sent to a daemon of another service.

    The pattern: a host was lost without a signal, and its address was given to
    a host of another service.
    """
    host, _, _, _ = pair
    topic = "keyed.buckthorn-members"
    instance.unblocked.clear()
    calls = [in_background(host.call, f"q-{n}", left_ms=6000) for n in range(4)]
    standins.wait_for(lambda: len(instance.runs) == 4)
    standins.wait_for(lambda: "h-2" in store.newest(topic))
    record = json.loads(store.newest(topic)["h-2"])
    record.update(daemon="h-9", service="stock", slots=18)
    store.put(topic, "h-9", json.dumps(record).encode())
    time.sleep(0.7)  # Until the record is known here.
    for n in range(12):
        host.call(f"r-{n}", left_ms=300)
        time.sleep(0.15)
    instance.unblocked.set()
    for thread, _ in calls:
        thread.join(standins.WAIT_S)
    tries = [t for e in host.events("request") for t in e["tries"]]
    assert len([t for t in tries if t.startswith("h-9:")]) == 1


def test_requests_go_to_the_host_of_their_service(pair, store):
    """Guards against a service that only its own host can reach."""
    host, _, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-1", "/orders/1").status == 200)
    [run] = [r for r in far.runs if r["id"] == "q-1"]
    assert run["headers"]["x-buckthornstack-caller-service"] == "stock"


def test_a_daemon_killed_with_a_booking_leaves_its_outcome_unknown(pair, store):
    """Guards against a booking that is called not run, or run again."""
    host, other, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    far.unblocked.clear()
    thread, results = in_background(host.call, "q-1", "/once/1", "POST", b"x")
    standins.wait_for(lambda: far.run_count("q-1"))
    other.kill()
    thread.join(standins.WAIT_S)
    assert results[0].status in (502, 504)
    assert far.run_count("q-1") == 1


def test_others_hear_at_once_when_an_instance_leaves_and_returns(pair, store):
    """Guards against requests that are refused one by one where nobody works.

    Without a word of it, another daemon learns from each refusal only.
    """
    host, other, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    assert far.heartbeat(other.ports["control"], "draining") == 200
    time.sleep(0.1)  # One message on a connection that exists.
    assert host.call("q-1", "/orders/1").status == 503
    [line] = [e for e in host.events("request") if e["request"] == "q-1"]
    assert line["tries"] == []
    assert far.heartbeat(other.ports["control"], sequence=1, born=2_000) == 200
    time.sleep(0.1)
    assert host.call("q-2", "/orders/1").status == 200


def test_a_version_reaches_those_that_are_fed(pair, store):
    """Guards against a daemon that waits for a feed that is gone.

    The daemons of a region feed each other; whichever is killed, the other
    one has the next version in time.
    """
    host, other, _, record = pair
    store.put("keyed.op", "config", record)
    for daemon in (host, other):
        standins.wait_for(lambda d=daemon: d.events("version_in_force"))
    standins.wait_for(lambda: host.call("q-1", "/orders/1").status == 200)
    for number, killed, left in ((5, other, host), (6, host, other)):
        killed.kill()
        store.put("keyed.op", "config", standins.configuration(number))
        standins.wait_for(
            lambda d=left, n=number: any(
                e["version"] == n for e in d.events("version_in_force")
            ),
            2.5,
        )
        killed.start()
        standins.wait_for(lambda d=killed: d.readiness() == 200)


def test_a_daemon_starts_when_all_before_it_are_gone(new_host, instance, store):
    """Guards against a start that tries one lost host after the other."""
    with socket.socket() as silent:
        # Takes connections and never says anything.
        silent.bind(("127.0.0.1", 0))
        silent.listen(64)
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        for n in range(60):
            record = {
                "daemon": f"lost-{n}",
                "address": address,
                "service": "stock",
                "site": "z1",
                "region": "r1",
                "slots": 4,
                "link_mbps": 1000.0,
            }
            store.put(
                "keyed.buckthorn-members",
                f"lost-{n}",
                json.dumps(record).encode(),
            )
        host = new_host("h-1", instance)
        standins.wait_for(lambda: host.readiness() == 200, 4.0)


def test_a_dead_daemon_does_not_hold_up_callers(pair, store):
    """Guards against requests that wait for a host that is gone."""
    host, other, _, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    other.kill()
    started_s = time.monotonic()
    reply = host.call("q-1", "/orders/1")
    assert reply.status == 503
    assert reply.retry_after_s < 2 / 3
    assert time.monotonic() - started_s < 1.0


def test_a_request_leaves_a_host_that_is_frozen(
    host, new_host, new_instance, store
):
    """Guards against callers who wait for a lost host until their time is over.

    The pattern: a host stops with a lookup on it, and another one has room.
    """
    instances = [new_instance("orders", instance=f"i-{n}") for n in (8, 9)]
    others = [
        new_host(f"h-{n}", instance, zone="z2")
        for n, instance in zip((8, 9), instances, strict=True)
    ]
    for other, instance in zip(others, instances, strict=True):
        standins.wait_for(lambda o=other: o.readiness() == 200)
        instance.heartbeat(other.ports["control"])
    entry = standins.path_entry("orders", "/orders/", "orders")
    store.put("keyed.op", "config", standins.configuration(4, entry))
    numbers = itertools.count()
    standins.wait_for(
        lambda: (
            host.call(f"q-{next(numbers)}", "/orders/1").status == 200
            and all(i.runs for i in instances)
        )
    )
    for instance in instances:
        instance.unblocked.clear()
    thread, results = in_background(host.call, "r-1", "/orders/1")
    frozen, _ = standins.wait_for(
        lambda: next(
            (
                pair
                for pair in zip(others, instances, strict=True)
                if pair[1].run_count("r-1")
            ),
            None,
        )
    )
    frozen.signal(signal.SIGSTOP)
    try:
        for instance in instances:
            instance.unblocked.set()
        thread.join(standins.WAIT_S)
    finally:
        frozen.signal(signal.SIGCONT)
    assert results[0].status == 200
    assert sum(instance.run_count("r-1") for instance in instances) == 2


def test_a_failed_request_is_explained_by_its_id(pair, store):
    """Guards against a failure that logs and metrics can't explain."""
    host, other, _, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    other.kill()
    host.call("q-1", "/orders/1")
    [line] = [e for e in host.events("request") if e["request"] == "q-1"]
    assert line["outcome"] == "peer_unavailable"
    assert line["version"] == 4
    assert line["tries"][0].startswith("h-2:peer_unavailable:")
    assert 'code="peer_unavailable"' in host.metrics()


def test_a_host_that_leaves_for_good_removes_its_record(host, instance, store):
    """Guards against a directory that fills with hosts that are gone."""
    topic = next(t for t in list(store._topics) if t not in ("keyed.op",))
    assert json.loads(store.newest(topic)["h-1"])["service"] == "stock"
    instance.leave(host.ports["control"])
    assert host.stop() == 0
    assert store.newest(topic) == {}
