"""Long bodies between daemons of hosts with little memory."""

import hashlib
import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
MEGABYTE = 1_048_576
# Memory of the receiving host.
MEMORY_MB = 200
# Memory of the host that the callers send to: six uploads at once fit.
CALLERS_MEMORY_MB = 1_000
UPLOADS = 6
UPLOAD_BYTES = 16 * MEGABYTE
# How long the instance takes for each upload, in seconds.
RUN_S = 1.5
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 64 * MEGABYTE,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
BOOK = standins.path_entry(
    "book",
    "/book/",
    kind="non_idempotent",
    timeout="8000ms",
    targetLatency="4000ms",
)
FETCH = standins.path_entry(
    "fetch", "/browse/", timeout="8000ms", targetLatency="4000ms"
)


@pytest.fixture
def hosts(cleanup, tmp_path, store, new_instance):
    """A host of callers, and the host of the instance with little memory."""
    store.put(
        "keyed.op",
        "config",
        standins.configuration(3, FETCH, BOOK, limits=LIMITS),
    )
    made = []
    for name, service, memory_mb in (
        ("h-1", "orders", CALLERS_MEMORY_MB),
        ("h-2", "stock", MEMORY_MB),
    ):
        instance = new_instance(service)
        host = standins.Host(
            tmp_path,
            name,
            store,
            instance,
            limits={"memoryMb": memory_mb, "linkMbps": 1000.0},
        )
        cleanup(host)
        host.start()
        standins.wait_for(lambda host=host: host.readiness() == 200)
        assert instance.heartbeat(host.ports["control"]) == 200
        made.append((host, instance))
    standins.wait_for(lambda: made[0][0].call("warm-up").status == 200)
    return made


def test_uploads_that_come_at_once_do_not_end_a_process(hosts):
    """Guards against a daemon that ends when several long bodies arrive.

    Six uploads of 16 MB come at once to a host of 200 MB. Those that it has no
    memory for are refused as not run.
    """
    (front, _), (back, instance) = hosts

    def respond(call, run):
        if run["method"] == "POST":
            time.sleep(RUN_S)
        instance.answer(call, run)

    instance.respond = respond
    body = UPLOAD_BYTES * b"s"
    statuses = []

    def upload(number):
        reply = front.call(
            f"u-{number}", "/book/1", "POST", body, left_ms=8_000
        )
        statuses.append(reply.status)

    threads = [
        threading.Thread(target=upload, args=(n,), daemon=True)
        for n in range(UPLOADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(standins.WAIT_S)
    assert back.running()
    assert back.peak_memory() / MEGABYTE < MEMORY_MB
    assert len(statuses) == UPLOADS
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    ran = [run for run in instance.runs if run["path"] == "/book/1"]
    assert len(ran) == statuses.count(200)
    assert all(run["body"] == body for run in ran)
    assert front.call("q-last").status == 200


def test_long_bodies_arrive_unchanged(hosts):
    """Guards against bodies whose pieces are lost, doubled or mixed up."""
    (front, _), (_, instance) = hosts
    results = {}

    def respond(call, run):
        seed = run["path"].encode()
        instance.answer(call, run, body=seed * (300_000 // len(seed)))

    instance.respond = respond

    def fetch(number):
        path = f"/browse/{number}"
        reply = front.call(f"f-{number}", path, left_ms=8_000)
        expected = path.encode() * (300_000 // len(path))
        results[number] = (reply.status, reply.body == expected)

    threads = [
        threading.Thread(target=fetch, args=(n,), daemon=True) for n in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(standins.WAIT_S)
    assert results == dict.fromkeys(range(4), (200, True))


def test_cut_response_never_looks_complete(hosts):
    """Guards against a caller that takes part of a response for the whole.

    The daemon beside the instance is killed while the body is on its way.
    """
    (front, _), (back, instance) = hosts
    body = hashlib.sha256(b"a").digest() * 1_000_000
    began = threading.Event()

    def respond(call, run):
        if run["path"].startswith("/browse/long"):
            began.set()
            instance.answer(call, run, body=body)
        else:
            instance.answer(call, run)

    instance.respond = respond
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(
            front.call("l-1", "/browse/long", left_ms=4_000)
        ),
        daemon=True,
    )
    thread.start()
    assert began.wait(standins.WAIT_S)
    back.kill()
    thread.join(standins.WAIT_S)
    assert replies
    assert replies[0].status >= 500 or replies[0].body == body


def test_a_single_body_at_the_limit_is_served(hosts):
    """Guards against a limit for callers that small hosts don't keep.

    An upload of 64 MiB to an instance beside a daemon with 200 MB.
    """
    (front, _), (back, instance) = hosts
    body = LIMITS["maxBodyBytes"] * b"s"
    reply = front.call("u-1", "/book/1", "POST", body, left_ms=8_000)
    assert reply.status == 200
    assert [run["body"] == body for run in instance.runs if run["body"]] == [
        True
    ]
    assert back.peak_memory() / MEGABYTE < MEMORY_MB
