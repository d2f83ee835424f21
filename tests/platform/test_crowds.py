"""Crowds of callers that must neither end nor hang a daemon.

Each test checks that the process lives, that its memory and descriptors stay
under a bound, and that an ordinary request is answered beside the crowd and
after it.
"""

import contextlib
import fcntl
import pathlib
import tempfile
import time

import pytest

from tests.platform import crowds
from tests.platform import standins

pytestmark = [pytest.mark.processes, pytest.mark.alone]
MEGABYTE = 1_048_576
# Memory and descriptors that the hosts have; both are bounds of the checks.
# A daemon without load takes a third of this memory and 16 descriptors.
MEMORY_MB = 96
MAX_FDS = 128
# The limits for callers of the stated deployments.
CALLER_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 64 * MEGABYTE,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
# How long a caller sends an ordinary request again after a refusal.
RETRY_S = 20.0
LONG_BODY = 2 * MEGABYTE * b"r"
PAGE_BODY = MEGABYTE * b"p"


@pytest.fixture(autouse=True)
def _alone():
    """Waits for the tests with the mark `alone` of other runs."""
    path = pathlib.Path(tempfile.gettempdir()) / "buckthorn-tests-alone.lock"
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@pytest.fixture
def make_host(cleanup, tmp_path, store, instance):
    """Starts a host with the given limits and an instance that serves."""

    def make(**limits):
        limits = {"memoryMb": MEMORY_MB, **limits}
        store.put(
            "keyed.op",
            "config",
            standins.configuration(3, limits=CALLER_LIMITS),
        )
        host = standins.Host(tmp_path, "h-1", store, instance, limits=limits)
        cleanup(host)
        host.start()
        # Keeps a process that exceeds its bound from taking the machine's
        # memory.
        host.limit_memory(4 * MEMORY_MB * MEGABYTE)
        standins.wait_for(lambda: host.readiness() == 200)
        assert instance.heartbeat(host.ports["control"]) == 200
        standins.wait_for(lambda: host.call("warm-up").status == 200)
        standins.wait_for(
            lambda: "buckthorn_version 3" in host.metrics(),
        )
        return host

    return make


def answered(host, request_id):
    """Returns whether an ordinary request is answered; a refusal is not."""
    with contextlib.suppress(OSError, standins.http.client.HTTPException):
        return host.call(request_id).status == 200
    return False


def wait_until_idle(instance):
    """Waits until an instance has got no further request for a while."""
    count = -1
    while count < len(instance.runs):
        count = len(instance.runs)
        time.sleep(crowds.QUIET_S)


def check(host, instance, data, slow_readers=0, max_fds=4_096):
    """Lets a crowd call a host, and checks what the module's text says."""
    crowd = crowds.Crowd(host, data, slow_readers).start()
    try:
        crowd.settle()
        wait_until_idle(instance)
        crowd.peak_descriptors = max(crowd.peak_descriptors, host.descriptors())
        standins.wait_for(lambda: answered(host, "beside"), RETRY_S)
        assert host.readiness() == 200
    finally:
        crowd.close()
        if host.running():
            print("memory, MB:", host.peak_memory() / MEGABYTE)
        print("descriptors:", crowd.peak_descriptors)
        print("requests run:", len(instance.runs))
    assert host.running()
    standins.wait_for(lambda: answered(host, "after"), RETRY_S)
    assert crowd.peak_descriptors <= max_fds
    assert host.peak_memory() <= MEMORY_MB * MEGABYTE


def head(path="/book/1", method="POST", request_id="c", fields=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"{standins.PREFIX}Request-Id: {request_id}",
        f"{standins.PREFIX}Deadline-Ms: 2000",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunked(chunk, count):
    """Returns a chunked body without its end."""
    chunks = count * (b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return head(fields=["Transfer-Encoding: chunked"]) + chunks


SHORT = 4 * MEGABYTE - 1
MANY_FIELDS = [f"n{n % 90 + 10}:v{n % 90 + 10}" for n in range(1_600)]


@pytest.mark.parametrize(
    "sent",
    [
        head(fields=["Transfer-Encoding: chunked"])
        + b"%x\r\n" % (4 * MEGABYTE)
        + SHORT * b"a",
        chunked(b"a", 400_000),
        chunked(b"ab", 60_000),
        head(fields=["Content-Length: 4194304"]) + SHORT * b"a",
    ],
    ids=["large-chunks", "chunks-of-1", "chunks-of-2", "length"],
)
def test_bodies_that_stop_short(make_host, instance, sent):
    """Guards against memory that unfinished bodies of many callers take."""
    check(make_host(), instance, 24 * [sent])


def test_parts_of_heads(make_host, instance):
    """Guards against memory that unfinished heads of many callers take."""
    check(make_host(), instance, 300 * [head(fields=MANY_FIELDS)[:-2]])


def test_heads_whose_bodies_do_not_come(make_host, instance):
    """Guards against heads that count as nothing once they are complete."""
    sent = head(fields=[*MANY_FIELDS, "Content-Length: 9"])
    check(make_host(), instance, 300 * [sent])


def test_long_responses_that_are_read_slowly_or_not_at_all(make_host, instance):
    """Guards against memory that responses for slow readers take."""

    def respond(call, run):
        long = run["path"] == "/browse/long"
        instance.answer(call, run, body=LONG_BODY if long else b"short")

    instance.respond = respond
    sent = [head("/browse/long", "GET", f"r-{number}") for number in range(60)]
    check(make_host(), instance, sent, slow_readers=30)


def test_pipelined_requests_whose_responses_are_not_read(make_host, instance):
    """Guards against memory that pipelined responses take."""

    def respond(call, run):
        page = run["path"] == "/browse/page"
        instance.answer(call, run, body=PAGE_BODY if page else b"short")

    instance.respond = respond
    sent = [
        b"".join(
            head("/browse/page", "GET", f"p-{caller}-{number}")
            for number in range(40)
        )
        for caller in range(4)
    ]
    check(make_host(), instance, sent)


def test_more_connections_than_descriptors(make_host, instance):
    """Guards against idle callers that take all descriptors."""
    host = make_host(maxFds=MAX_FDS)
    host.limit_descriptors(MAX_FDS)
    # One less than the limit of the system, at which calls fail.
    check(host, instance, 400 * [b""], max_fds=MAX_FDS - 1)
