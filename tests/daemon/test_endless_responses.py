"""Upstreams that send without end, through both daemons and to the client."""

from concurrent import futures
import socket
import threading
import time
import tracemalloc

import pairs
import pytest

from buckthorn_adapters import log_clients
from buckthorn_adapters import traffic_counters
from buckthorn_client import daemons
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import traffic

MEGABYTE = 1_048_576
BLOCK = 65_536 * b"a"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
NOT_RUN = b"Buckthorn-Not-Run: upstream_shed\r\n"
SHED = OK + NOT_RUN + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"10000\r\n" + BLOCK + b"\r\n"
INTERIM = 500 * b"HTTP/1.1 100 Continue\r\nX-A: bcd\r\n\r\n"
FIELDS = 1_000 * b"Xa: bc\r\n"
ENDLESS = {
    "header": (OK + b"X-A: ", BLOCK),
    "headers": (OK, FIELDS),
    "interim": (b"", INTERIM),
    "body": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, CHUNKS),
    "small-chunks": (CHUNKED, 1_000 * b"2\r\nab\r\n"),
    "extension": (CHUNKED + b"1;a=", BLOCK),
    "trailers": (CHUNKED + b"0\r\n", FIELDS),
    "refusal": (SHED, CHUNKS),
    "garbage": (b"\x00", BLOCK),
}
GET = (
    b"GET /bookings/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    b"Buckthorn-Deadline-Ms: 1000\r\n\r\n"
)
# How long a caller reads, in seconds.
READS_S = 2.0
# Within this time, in seconds, a response ends or its upstream is cut off.
ENDS_WITHIN_S = 15.0
# What all of the test's own objects may take besides.
MEMORY_BYTES = 32 * MEGABYTE


def kinds(*names):
    return pytest.mark.parametrize(
        ("first", "endless"), [ENDLESS[n] for n in names], ids=names
    )


class Flood:
    """A server that sends without end until its peer closes.

    Attributes:
        ended: Set when a peer has closed.
    """

    def __init__(self, first, endless):
        self.ended = threading.Event()
        self._parts = (first, endless)
        self._stopped = threading.Event()
        self.server = pairs.SocketServer(self._send)

    def _send(self, conn, head):
        first, endless = self._parts
        try:
            conn.sendall(first)
            while not self._stopped.is_set():
                conn.sendall(endless)
        except OSError:
            self.ended.set()

    def close(self):
        self._stopped.set()
        self.server.stop_listening()


@pytest.fixture
def pair():
    new_pair = pairs.Pair()
    yield new_pair
    new_pair.close()


@pytest.fixture
def memory():
    """Returns a function that returns the peak of the allocated memory."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


def within_time(call):
    """Returns the result of a call, and fails if it hangs."""
    fut = futures.Future()

    def run():
        try:
            fut.set_result(call())
        except errors.BuckthornError as exc:
            fut.set_exception(exc)

    threading.Thread(target=run, daemon=True).start()
    return fut.result(ENDS_WITHIN_S)


@kinds(*ENDLESS)
def test_an_endless_response_ends(pair, memory, first, endless):
    """Guards against an upstream that fills a daemon or keeps its slot.

    The caller reads for a time that is longer than its deadline, and leaves.
    """
    flood = Flood(first, endless)
    pair.connect(flood.server, slots=1)
    with socket.create_connection(
        ("127.0.0.1", pair.port), ENDS_WITHIN_S
    ) as sock:
        sock.sendall(GET)
        received = 0
        until_s = time.monotonic() + READS_S
        while time.monotonic() < until_s and (data := sock.recv(65_536)):
            received += len(data)
    assert received > 0
    assert flood.ended.wait(ENDS_WITHIN_S)
    assert memory() < MEMORY_BYTES
    flood.close()
    sound = pairs.SocketServer(lambda conn, head: conn.sendall(pairs.OK))
    pair.connect(sound, slots=1)
    deadline_s = time.monotonic() + ENDS_WITHIN_S
    while not pair.call(GET).startswith(b"HTTP/1.1 200"):
        assert time.monotonic() < deadline_s


@kinds("header", "headers", "interim", "body", "chunks", "small-chunks")
def test_the_client_gives_up_an_endless_answer(memory, first, endless):
    """Guards against a command that never ends, or fills the memory."""
    flood = Flood(first, endless)
    client = daemons.DaemonClient(f"http://127.0.0.1:{flood.server.port}")
    with pytest.raises(errors.PeerError):
        within_time(client.fleet)
    del client
    assert flood.ended.wait(ENDS_WITHIN_S)
    assert memory() < MEMORY_BYTES
    flood.close()


@kinds("header", "headers", "interim", "small-chunks")
def test_a_reader_gives_up_an_endless_answer_of_the_log(
    monkeypatch, memory, first, endless
):
    """Guards against a log reader that never ends, or fills the memory."""
    monkeypatch.setattr(log_clients, "MAX_BATCH_BYTES", 4 * MEGABYTE)
    monkeypatch.setattr(log_clients, "RESPONSE_TIMEOUT_S", 3.0)
    flood = Flood(first, endless)
    client = log_clients.HttpLogClient(
        f"http://127.0.0.1:{flood.server.port}",
        traffic_counters.ThreadSafeControlTraffic(),
        traffic.Scope.LOCAL,
    )
    with pytest.raises(errors.LogError):
        within_time(lambda: client.read("config", ids.Offset(0)))
    client.close()
    assert flood.ended.wait(ENDS_WITHIN_S)
    assert memory() < MEMORY_BYTES
    flood.close()
