"""Instances that send endless responses to a daemon with little memory."""

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


@pytest.mark.parametrize(
    ("first", "endless"),
    [
        (OK + b"X-A: ", BLOCK),
        (OK, 5_000 * b"X-A: bcd\r\n"),
        (b"", 2_000 * b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"),
        (OK + b"\r\n", BLOCK),
        (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
        (CHUNKED + b"1;a=", BLOCK),
        (b"", other_responses()),
        (b"\x00", BLOCK),
    ],
    ids=[
        "header",
        "headers",
        "interim",
        "body",
        "chunks",
        "extension",
        "others",
        "garbage",
    ],
)
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
        call.close_connection = True
        call.wfile.write(first)
        while not stopped.is_set():
            call.wfile.write(endless)

    instance.respond = respond
    results = []
    threads = [
        threading.Thread(
            target=lambda n=n: results.append(
                small_host.call(f"f-{n}", f"/browse/flood-{n}").status
            ),
            daemon=True,
        )
        for n in range(3)
    ]
    for thread in threads:
        thread.start()
    answered = [small_host.call(f"q-{n}").status for n in range(20)]
    for thread in threads:
        thread.join(standins.WAIT_S)
    stopped.set()
    assert answered == 20 * [200]
    assert len(results) == 3
    assert set(results) <= {502, 504}
    assert small_host.running()
    assert small_host.call("q-last").status == 200
