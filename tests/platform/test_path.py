"""Requests through real daemons, against stand-ins of the platform."""

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
    """Calls a function on a thread; returns the thread and a result list."""
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
        received = sock.recv(65536)
        if not received:
            break
        data += received
    return data


def test_a_request_reaches_the_instance_and_its_answer_the_caller(
    host, instance
):
    """Guards against altered requests and forged headers of daemons."""
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
def test_requests_without_a_route_are_refused(
    host, instance, request_id, host_name, path, status
):
    """Guards against running requests that no route allows."""
    reply = host.call(request_id, path, host=host_name)
    assert reply.status == status
    assert instance.runs == []


def test_only_newer_valid_versions_are_put_in_force(host, instance, store):
    """Guards against missing a version, or applying a bad or older one."""
    without_book = standins.configuration(5, standins.BROWSE)
    store.put("keyed.op", "config", without_book)
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


def test_a_version_in_compacted_history_is_applied(host, store):
    """Guards against missing a version whose records have expired.

    The store compacts the topic while the daemon can't reach it, so the
    offset from which the daemon reads on is no longer in the log.
    """
    store.down = True
    standins.wait_for(lambda: host.events("log_lost"))
    store.put("keyed.op", "config", standins.configuration(5, standins.BROWSE))
    store.compact("keyed.op")
    store.down = False
    standins.wait_for(lambda: host.call("q-1", "/book/1").status == 404)


def test_without_a_configuration_callers_get_503_and_retry_after(
    new_host, instance, store
):
    """Guards against a 404 or a hanging request before the first version."""
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


@pytest.mark.parametrize("announcement", ["draining", "leave"])
def test_a_leaving_instance_gets_no_requests_once_acknowledged(
    host, instance, announcement
):
    """Guards against requests to an instance that leaves.

    A delayed announcement that it is ready must not undo the leave.
    """
    control = host.ports["control"]
    if announcement == "leave":
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


def assert_closed_after_restart(host, instance):
    """Checks that a restarted daemon sends nothing to its instance.

    A delayed announcement of the instance arrives at the new process.
    """
    host.kill()
    host.start()
    standins.wait_for(lambda: host.readiness() == 200)
    control = host.ports["control"]
    assert instance.heartbeat(control, "ready", sequence=1) == 200
    time.sleep(0.5)
    assert host.call("q-1").status == 503
    assert instance.runs == []


def test_a_restarted_daemon_sends_nothing_to_a_leaving_instance(host, instance):
    """Guards against an acknowledged leave that is lost with the process.

    A delayed earlier announcement may arrive at the next process, and the
    health check of a leaving instance may still pass.
    """
    control = host.ports["control"]
    assert instance.heartbeat(control, "draining") == 200
    assert_closed_after_restart(host, instance)


@pytest.mark.parametrize("announcement", ["draining", "leave"])
def test_a_leaving_that_a_new_process_hears_first_outlives_it(
    host, instance, announcement
):
    """Guards against an acknowledged leaving that is not recorded.

    The instance leaves while its daemon is restarted, so that the new process
    hears nothing of it before.
    """
    instance.healthy = False
    host.kill()
    host.start()
    standins.wait_for(lambda: host.readiness() == 200)
    control = host.ports["control"]
    if announcement == "leave":
        assert instance.leave(control) == 200
    else:
        assert instance.heartbeat(control, "draining") == 200
    instance.healthy = True
    assert_closed_after_restart(host, instance)


def test_a_late_write_does_not_undo_a_recorded_leaving(host, instance, store):
    """Guards against a record that a lost and late write has replaced."""
    topic = "keyed.buckthorn-members"
    older = store.newest(topic)[host.name]
    assert instance.leave(host.ports["control"]) == 200
    store.put(topic, host.name, older)
    standins.wait_for(lambda: b'"i-1"' in store.newest(topic)[host.name])
    assert_closed_after_restart(host, instance)


def test_a_second_leaving_does_not_undo_the_first(host, instance):
    """Guards against a record that holds the latest leaving only."""
    control = host.ports["control"]
    assert instance.leave(control) == 200
    name, instance.instance = instance.instance, "i-0"
    assert instance.leave(control) == 200
    instance.instance = name
    assert_closed_after_restart(host, instance)


@pytest.mark.parametrize("announcement", ["draining", "leave"])
@pytest.mark.parametrize("outage", ["down", "silent"])
def test_a_leaving_confirmed_without_the_store_outlives_a_kill(
    host, instance, store, outage, announcement
):
    """Guards against a confirmed leaving that no one knows any more.

    The store takes no record, and the daemon is killed before it does. No
    other daemon has heard of the leaving.
    """
    control = host.ports["control"]
    setattr(store, outage, True)
    instance.healthy = False
    if announcement == "leave":
        assert instance.leave(control) == 200
    else:
        assert instance.heartbeat(control, "draining") == 200
    host.kill()
    setattr(store, outage, False)
    assert_closed_after_restart(host, instance)


def test_a_closing_is_recorded_when_the_store_is_back(host, instance, store):
    """Guards against a closing that the next announcement drops.

    The store is down when the instance drains, and the instance announces
    itself again before the record is written.
    """
    control = host.ports["control"]
    store.down = True
    assert instance.heartbeat(control, "draining") == 200
    assert instance.heartbeat(control, "draining", sequence=90) == 200
    store.down = False
    standins.wait_for(
        lambda: any(
            b'"i-1"' in value
            for topic in list(store._topics)
            for value in store.newest(topic).values()
        )
    )
    assert_closed_after_restart(host, instance)


def test_a_restarted_daemon_serves_before_the_next_heartbeat(host, instance):
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
    """Guards against bad input that crashes the daemon or changes the state."""
    control = host.ports["control"]
    status = instance._call(control, "instances.heartbeat", body)
    assert status == 400
    assert host.call("q-1").status == 200


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(
    host, instance
):
    """Guards against running pipelined requests one after the other."""
    instance.unblocked.clear()
    with host.connect() as sock:
        ids = ["q-1", "q-2", "q-3"]
        sock.sendall(b"".join(raw_request(i) for i in ids))
        standins.wait_for(lambda: len(instance.runs) == 3)
        instance.unblocked.set()
        data = read_until(sock, b"done q-3")
    positions = [data.index(f"done {i}".encode()) for i in ids]
    assert positions == sorted(positions)


def test_the_request_of_a_disconnected_caller_is_cancelled(host, instance):
    """Guards against an instance that keeps working on abandoned requests."""
    instance.unblocked.clear()
    with host.connect() as sock:
        sock.sendall(raw_request("q-1"))
        standins.wait_for(lambda: instance.runs)
    standins.wait_for(lambda: instance.disconnected_ids == ["q-1"], 2.0)


def test_a_request_beyond_its_routes_timeout_gets_504(host, instance):
    """Guards against a caller that waits beyond the route's timeout."""
    instance.unblocked.clear()
    started_s = time.monotonic()
    reply = host.call("q-1", "/book/1", "POST", b"", left_ms=9000)
    assert reply.status == 504
    assert 1.4 < time.monotonic() - started_s < 2.0


def test_a_full_instance_is_never_given_more_than_its_slots(host, instance):
    """Guards against overloading an instance and against hanging callers."""
    instance.unblocked.clear()
    started_s = time.monotonic()
    calls = [
        in_background(host.call, f"q-{n}", left_ms=1500) for n in range(24)
    ]
    standins.wait_for(lambda: len(instance.runs) == 4)
    # The queue admits all requests, because it expects runs of a few ms like
    # the one before. Those that can't start in time for the target of 800 ms
    # are refused when that becomes clear.
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


def answer_without_signature(call, run):
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


def answer_refusal_after_run(call, run):
    call.reply(503, b"", [(PREFIX + "Request-Id", run["id"])])


@pytest.mark.parametrize(
    "respond",
    [
        answer_truncated,
        answer_garbage,
        answer_without_signature,
        answer_nothing,
        answer_unframed_and_reset,
        answer_refusal_after_run,
    ],
)
def test_a_broken_answer_is_neither_forwarded_nor_retried(
    host, instance, respond
):
    """Guards against false success and running a booking twice."""
    instance.respond = respond
    reply = host.call("q-1", "/book/1", "POST", b"x")
    assert reply.status == 502
    assert "x-buckthornstack-response-signature" not in reply.headers
    assert instance.run_count("q-1") == 1
    instance.respond = None
    assert host.call("q-2").body == b"done q-2"


def test_a_late_answer_to_another_request_is_discarded(host, instance):
    """Guards against forwarding an answer to the wrong caller."""

    def answer_twice(call, run):
        instance.answer(call, run, body=b"late", request_id="q-0")
        instance.answer(call, run)

    instance.respond = answer_twice
    for n in range(1, 5):
        assert host.call(f"q-{n}").body == f"done q-{n}".encode()
    assert host.events("foreign_answer")


@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("status", [429, 503])
def test_a_repeated_refusal_is_not_taken_for_the_next_answer(
    host, instance, status, named
):
    """Guards against 'not run' for a booking that an instance runs.

    The instance writes an earlier refusal once more on a kept connection, with
    the id of the refused request or without any.
    """

    def refuse(call, request_id):
        headers = [(PREFIX + "Not-Executed", "1")]
        if request_id is not None:
            headers.append((PREFIX + "Request-Id", request_id))
        call.reply(status, b"", headers)

    instance.respond = lambda call, run: refuse(call, run["id"])
    assert host.call("q-0", "/book/0", "POST", b"x").status == 503

    def answer_behind_a_copy(call, run):
        refuse(call, "q-0" if named else None)
        instance.answer(call, run)

    instance.respond = answer_behind_a_copy
    connections = len(instance.connections)
    reply = host.call("q-1", "/book/1", "POST", b"x")
    assert len(instance.connections) == connections
    assert reply.status == (200 if named else 502)
    assert instance.run_count("q-1") == 1


def test_an_answer_delimited_by_its_connections_end_is_complete(host, instance):
    """Guards against treating an answer without a length as incomplete."""

    def answer_unframed(call, run):
        call.wfile.write(
            f"HTTP/1.1 200 OK\r\n{PREFIX}Request-Id: {run['id']}\r\n"
            f"{PREFIX}Response-Signature: s\r\n\r\nall of it".encode()
        )
        call.close_connection = True

    instance.respond = answer_unframed
    assert host.call("q-1").body == b"all of it"


def test_a_failure_of_the_instance_is_forwarded_with_its_signature(
    host, instance
):
    """Guards against a failure that loses the instance's signature."""
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
    """Guards against accepting oversized, ambiguous or smuggled requests."""
    with host.connect() as sock:
        sock.sendall(raw)
        assert read_until(sock, b"\r\n\r\n").split()[1] == status
    assert instance.runs == []


def test_a_planned_stop_completes_running_requests(host, instance):
    """Guards against losing requests when a daemon is stopped."""
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
    """Two hosts, the second with an instance of the service orders.

    Returns both hosts, that instance and a configuration with routes to it.
    """
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
    """Guards against needless traffic between hosts and sites."""
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


def test_a_record_with_another_daemons_address_is_tried_once(
    pair, store, instance
):
    """Guards against sending many requests to a daemon of another service.

    A host failed without removing its record, and its address was assigned to
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


def test_a_restarted_host_is_used_while_the_store_is_down(pair, store):
    """Guards against a host that waits for the store to check its instance.

    The path of the health check is part of the configuration, which the new
    process can't read.
    """
    host, other, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    store.down = True
    other.kill()
    other.start()
    assert far.heartbeat(other.ports["control"]) == 200
    standins.wait_for(lambda: host.call("q-1", "/orders/1").status == 200)
    assert other.readiness() == 503


def odd_record(**changes):
    """Returns the record of a daemon with changed fields."""
    record = {
        "daemon": "h-9",
        "address": "127.0.0.1:1",
        "service": "stock",
        "site": "z1",
        "region": "r1",
        "slots": 18,
        **changes,
    }
    return json.dumps(record).encode()


HUGE = 10**400


@pytest.mark.parametrize(
    "value",
    [
        odd_record(extra=None).replace(b"null", b"[" * 50_000),
        odd_record(slots=HUGE),
        odd_record(slots=-1),
        odd_record(closed="i-1", closed_born_ms=HUGE),
        odd_record(address="127.0.0.1:99999"),
        odd_record(address=f"127.0.0.1:{HUGE}"),
        odd_record(address="127.0.0.1"),
        odd_record(address=":"),
    ],
)
def test_an_odd_record_of_another_writer_harms_no_one(
    host, instance, store, value
):
    """Guards against a list of members that one entry makes unreadable."""
    topic = "keyed.buckthorn-members"
    # One arrives while the daemon follows, one is there when it starts.
    store.put(topic, "h-9", value)
    store.put(topic, "h-8", odd_record(daemon="h-8"))
    standins.wait_for(lambda: "buckthorn_members 2" in host.metrics())
    for n in range(20):
        assert host.call(f"q-{n}").status == 200
    host.kill()
    host.start()
    standins.wait_for(lambda: host.readiness() == 200)
    standins.wait_for(lambda: "buckthorn_members 2" in host.metrics())
    standins.wait_for(lambda: host.call("q-20").status == 200)
    assert not host.events("follower_failed")
    assert not host.events("request_handler_failed")


def heartbeat_body(**changes):
    body = {
        "address": "127.0.0.1:1",
        "born": 2_000,
        "info": {"service": "stock", "capacity": 4},
        "status": {"state": "ready", "sequence": 99},
    }
    for name, value in changes.items():
        part = next((p for p in ("info", "status") if name in body[p]), None)
        (body[part] if part else body)[name] = value
    return json.dumps(body).encode()


@pytest.mark.parametrize(
    "body",
    [
        heartbeat_body(extra=None).replace(b"null", b"[" * 50_000),
        heartbeat_body(capacity=HUGE),
        heartbeat_body(sequence=HUGE),
        heartbeat_body(born=HUGE),
        heartbeat_body(born=2**52),
        heartbeat_body(address="127.0.0.1:99999"),
    ],
)
def test_an_odd_heartbeat_of_another_writer_changes_nothing(
    host, instance, body
):
    """Guards against a heartbeat that takes the place of the instance's own."""
    control = host.ports["control"]
    assert instance._call(control, "instances.heartbeat", body) == 400
    assert host.call("q-1").status == 200
    assert not host.events("request_handler_failed")


def test_requests_go_to_a_host_of_their_service(pair, store):
    """Guards against a service that only callers on its own host reach."""
    host, _, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-1", "/orders/1").status == 200)
    [run] = [r for r in far.runs if r["id"] == "q-1"]
    assert run["headers"]["x-buckthornstack-caller-service"] == "stock"


def test_a_daemon_killed_with_a_booking_leaves_its_outcome_unknown(pair, store):
    """Guards against reporting a booking as not run, or running it twice."""
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


def test_an_instances_leave_and_return_are_sent_to_other_daemons(pair, store):
    """Guards against requests to an instance that has left.

    A daemon that isn't told of the leave finds out only by a refusal of each
    request.
    """
    host, other, far, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    assert far.heartbeat(other.ports["control"], "draining") == 200
    time.sleep(0.1)  # Time for one message on an open connection.
    assert host.call("q-1", "/orders/1").status == 503
    [line] = [e for e in host.events("request") if e["request"] == "q-1"]
    assert line["tries"] == []
    assert far.heartbeat(other.ports["control"], sequence=1, born=2_000) == 200
    time.sleep(0.1)
    assert host.call("q-2", "/orders/1").status == 200


def test_a_version_arrives_when_the_feeding_daemon_is_killed(pair, store):
    """Guards against a daemon that waits for a feed of a killed daemon.

    One daemon of a region feeds the other. Whichever is killed, the other one
    must put the next version in force in time.
    """
    host, other, _, record = pair
    store.put("keyed.op", "config", record)
    for daemon in (host, other):
        standins.wait_for(lambda d=daemon: d.events("version_in_force"))
    standins.wait_for(lambda: host.call("q-1", "/orders/1").status == 200)
    for number, killed, remaining in ((5, other, host), (6, host, other)):
        killed.kill()
        store.put("keyed.op", "config", standins.configuration(number))
        standins.wait_for(
            lambda d=remaining, n=number: any(
                e["version"] == n for e in d.events("version_in_force")
            ),
            2.5,
        )
        killed.start()
        standins.wait_for(lambda d=killed: d.readiness() == 200)


def test_a_daemon_starts_when_all_registered_hosts_are_lost(
    new_host, instance, store
):
    """Guards against a start that tries many lost hosts in sequence."""
    with socket.socket() as silent:
        # Accepts connections and never sends anything.
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


def test_a_killed_daemon_does_not_delay_callers(pair, store):
    """Guards against requests that wait for a lost host."""
    host, other, _, record = pair
    store.put("keyed.op", "config", record)
    standins.wait_for(lambda: host.call("q-0", "/orders/1").status == 200)
    other.kill()
    started_s = time.monotonic()
    reply = host.call("q-1", "/orders/1")
    assert reply.status == 503
    assert reply.retry_after_s < 2 / 3
    assert time.monotonic() - started_s < 1.0


def test_a_request_on_a_frozen_host_is_retried_on_another(
    host, new_host, new_instance, store
):
    """Guards against callers that wait for a frozen host until their deadline.

    A host freezes while it runs an idempotent request, and another host has a
    free slot.
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
    """Guards against failures that logs and metrics don't explain."""
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


def test_a_host_that_is_removed_deletes_its_record(host, instance, store):
    """Guards against a directory that fills with removed hosts."""
    topic = next(t for t in list(store._topics) if t not in ("keyed.op",))
    assert json.loads(store.newest(topic)["h-1"])["service"] == "stock"
    instance.leave(host.ports["control"])
    assert host.stop() == 0
    assert store.newest(topic) == {}
