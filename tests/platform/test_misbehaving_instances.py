"""Instances that send endless responses to a daemon with little memory."""

import contextlib
import socket
import threading

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
PREFIX = standins.PREFIX
# Memory limit of the daemon: the smallest hosts have 200 MB.
MEMORY_BYTES = 200 * 1_048_576
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = 65_536 * b"a"
LONG_CHUNK = b"%x\r\n%b\r\n" % (160 * len(BLOCK), 160 * BLOCK)


def other_responses():
    """Returns responses to requests that were never sent."""
    body = 1_000 * b"b"
    return b"".join(
        b"%b%bRequest-Id: other-%d\r\n%bResponse-Signature: s\r\n"
        b"Content-Length: %d\r\n\r\n%b"
        % (OK, PREFIX.encode(), n, PREFIX.encode(), len(body), body)
        for n in range(50)
    )


@pytest.fixture
def small_host(cleanup, tmp_path, store, instance):
    """A host whose daemon may allocate 200 MB."""
    host = standins.Host(tmp_path, "h-1", store, instance)
    cleanup(host)
    host.start()
    host.limit_memory(MEMORY_BYTES)
    standins.wait_for(lambda: host.readiness() == 200)
    assert instance.heartbeat(host.ports["control"]) == 200
    standins.wait_for(lambda: host.call("warm-up").status == 200)
    return host


ENDLESS = {
    "header": (OK + b"X-A: ", BLOCK),
    "headers": (OK, 5_000 * b"X-A: bcd\r\n"),
    "interim": (b"", 2_000 * b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"),
    "body": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "extension": (CHUNKED + b"1;a=", BLOCK),
    "others": (b"", other_responses()),
    "garbage": (b"\x00", BLOCK),
    "small-chunks": (CHUNKED, 10_000 * b"2\r\nab\r\n"),
    "trailers": (CHUNKED + LONG_CHUNK + b"0\r\n", 5_000 * b"Xa: bc\r\n"),
}


def kinds(*names):
    return pytest.mark.parametrize(
        ("first", "endless"),
        [ENDLESS[name] for name in names],
        ids=names,
    )


def flood(call, first, endless, stopped):
    """Sends an endless response until the peer closes or the test ends."""
    call.close_connection = True
    call.wfile.write(first)
    while not stopped.is_set():
        call.wfile.write(endless)


def call_beside_floods(host, path, stopped):
    """Returns the statuses of 20 calls, and of 3 with endless responses."""
    flooded = []
    threads = [
        threading.Thread(
            target=lambda n=n: flooded.append(
                host.call(f"f-{n}", f"{path}-{n}").status
            ),
            daemon=True,
        )
        for n in range(3)
    ]
    for thread in threads:
        thread.start()
    answered = [host.call(f"q-{n}").status for n in range(20)]
    for thread in threads:
        thread.join(standins.WAIT_S)
    stopped.set()
    return answered, flooded


@kinds(*ENDLESS)
def test_endless_responses_harm_no_other_caller(
    small_host, instance, first, endless
):
    """Guards against a daemon that crashes or hangs on endless responses.

    The instance sends them in all its slots but one.
    """
    stopped = threading.Event()

    def respond(call, run):
        if not run["path"].startswith("/browse/flood"):
            instance.answer(call, run)
            return
        flood(call, first, endless, stopped)

    instance.respond = respond
    answered, flooded = call_beside_floods(small_host, "/browse/flood", stopped)
    assert answered == 20 * [200]
    assert len(flooded) == 3
    assert set(flooded) <= {502, 504}
    assert small_host.running()
    assert small_host.call("q-last").status == 200


@kinds("header", "body", "small-chunks", "trailers")
def test_endless_responses_harm_no_other_daemon(
    small_host, new_host, new_instance, store, first, endless
):
    """Guards against a daemon that is filled by what another one passes on.

    The caller's daemon and the one beside the instance are on small hosts.
    """
    orders = new_instance("orders", instance="i-2")
    store.put(
        "keyed.op",
        "config",
        standins.configuration(
            3,
            standins.BROWSE,
            standins.path_entry("order", "/order/", "orders"),
        ),
    )
    second = new_host("h-2", orders)
    second.limit_memory(MEMORY_BYTES)
    standins.wait_for(lambda: second.readiness() == 200)
    assert orders.heartbeat(second.ports["control"]) == 200
    standins.wait_for(
        lambda: small_host.call("warm-up-2", "/order/1").status == 200
    )
    stopped = threading.Event()
    orders.respond = lambda call, run: flood(call, first, endless, stopped)
    answered, flooded = call_beside_floods(small_host, "/order/", stopped)
    assert answered == 20 * [200]
    assert len(flooded) == 3
    assert set(flooded) <= {502, 504}
    for host in (small_host, second):
        assert host.running()
        assert host.peak_memory() < MEMORY_BYTES
    orders.respond = None
    standins.wait_for(
        lambda: small_host.call("q-last", "/order/1").status == 200
    )


@kinds("header", "interim", "body", "small-chunks", "trailers")
def test_endless_health_checks_harm_no_caller(
    small_host, instance, first, endless
):
    """Guards against a restart that fails on an endless health check."""
    stopped = threading.Event()
    checks = []
    handle = instance.handle

    def handle_check(call):
        if call.path != "/health" or stopped.is_set():
            handle(call)
            return
        checks.append(call)
        flood(call, first, endless, stopped)

    instance.handle = handle_check
    small_host.kill()
    small_host.start()
    small_host.limit_memory(MEMORY_BYTES)
    standins.wait_for(lambda: small_host.readiness() == 200)
    assert instance.heartbeat(small_host.ports["control"]) == 200
    standins.wait_for(lambda: len(checks) >= 3)
    stopped.set()
    assert small_host.running()
    assert small_host.peak_memory() < MEMORY_BYTES
    assert instance.heartbeat(small_host.ports["control"]) == 200
    standins.wait_for(lambda: small_host.call("q-last").status == 200)


# What an instance sends of an announcement before it goes on, in bytes. Just
# under the largest body of a caller.
ANNOUNCED_BYTES = 60 * 1_048_576
CALL = b"POST /api/rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    ("first", "endless"),
    [
        (CALL + b"Content-Length: 67108864\r\n\r\n", BLOCK),
        (
            CALL + b"Transfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + BLOCK + b"\r\n",
        ),
        (CALL + b"X-A: ", BLOCK),
    ],
    ids=["length", "chunks", "header"],
)
def test_endless_announcements_harm_no_caller(host, instance, first, endless):
    """Guards against an instance that fills the memory by announcing itself.

    It sends on several connections and keeps them open. The memory is not
    limited: a failed allocation would end a connection in place of the daemon.
    """
    address, _, port = host.ports["control"].partition(":")
    socks = []
    for _ in range(6):
        sock = socket.create_connection((address, int(port)), standins.WAIT_S)
        socks.append(sock)
        with contextlib.suppress(OSError):
            sock.sendall(first)
            for _ in range(ANNOUNCED_BYTES // len(endless)):
                sock.sendall(endless)
    assert host.call("q-1").status == 200
    assert instance.heartbeat(host.ports["control"]) == 200
    for sock in socks:
        sock.close()
    assert host.running()
    assert host.peak_memory() < MEMORY_BYTES
