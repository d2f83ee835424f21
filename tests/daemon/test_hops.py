"""Requests and responses through both daemons, with a scripted upstream."""

import socket
import threading
import time

import pairs
import pytest

from buckthorn_adapters import interim_responses
from buckthorn_core import body_progress
from buckthorn_core import entries
from buckthorn_daemon import headers
from buckthorn_daemon import ingress


@pytest.fixture
def pair(monkeypatch):
    monkeypatch.setattr(body_progress, "SILENCE_TIMEOUT_S", pairs.SILENCE_S)
    monkeypatch.setattr(ingress, "HEARTBEAT_PERIOD_S", pairs.SILENCE_S / 4)
    new_pair = pairs.Pair()
    yield new_pair
    new_pair.close()


CLOSE = b"Host: x\r\nConnection: close\r\n"
GET = b"GET /bookings/1 HTTP/1.1\r\n" + CLOSE + b"\r\n"
CHUNKED = (
    b"POST /bookings/1 HTTP/1.1\r\n"
    + CLOSE
    + b"Transfer-Encoding: chunked\r\n\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\n"
HOP = f"Buckthorn-Hop: {headers.hop(pairs.SERVICE, pairs.KEY)}\r\n".encode()
# Longer than the fixture's silence timeout and the connect timeout of 1 s.
PAUSE_S = 1.6 * pairs.SILENCE_S
LARGE = bytes(range(256)) * 20_000


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_script(*parts: bytes | float) -> pairs.Script:
    """Returns a script that sends bytes and pauses."""

    def script(conn: socket.socket, head: bytes) -> None:
        for part in parts:
            if isinstance(part, float):
                time.sleep(part)
            else:
                conn.sendall(part)

    return script


@pytest.mark.parametrize(
    ("parts", "body"),
    [
        ((HEAD, b"Content-Length: 6\r\n\r\nabc", PAUSE_S, b"def"), b"abcdef"),
        ((HEAD, PAUSE_S, b"Content-Length: 2\r\n\r\nab"), b"ab"),
        (
            (
                HEAD,
                b"Transfer-Encoding: chunked\r\n\r\n",
                chunk(b"abc"),
                PAUSE_S,
                chunk(b"def") + b"0\r\n\r\n",
            ),
            b"abcdef",
        ),
        ((HEAD, b"Content-Length: 5120000\r\n\r\n" + LARGE), LARGE),
        (
            (
                HEAD,
                b"Transfer-Encoding: chunked\r\n\r\n",
                chunk(LARGE) + b"0\r\n\r\n",
            ),
            LARGE,
        ),
        ((HEAD, b"Content-Length: 0\r\n\r\n"), b""),
        ((HEAD, b"Connection: close\r\n\r\n", b"to the end"), b"to the end"),
    ],
)
def test_whole_answers(pair, parts, body):
    """Guards against truncating responses that are slow or long."""
    pair.connect(pairs.SocketServer(make_script(*parts)))
    answer = pair.call(GET)
    assert answer.startswith(b"HTTP/1.1 200"), answer[:200]
    assert pairs.decode_body(answer) == body


@pytest.mark.parametrize(
    "parts",
    [
        (HEAD, b"Content-Length: 6\r\n\r\nabc"),
        (HEAD, b"Transfer-Encoding: chunked\r\n\r\n6\r\nabc"),
        (HEAD, b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"abc")),
    ],
)
def test_truncated_answers_do_not_look_complete(pair, parts):
    """Guards against a truncated response that looks complete."""
    pair.connect(pairs.SocketServer(make_script(*parts)))
    answer = pair.call(GET)
    if b" 200 " in answer[:20]:
        length = b"ength: 6" in answer
        assert length or not answer.endswith(b"0\r\n\r\n")
        assert not answer.endswith(b"abcdef")
    else:
        assert answer.startswith(b"HTTP/1.1 502")
        assert b"Buckthorn-Not-Run" not in answer


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (b"nonsense\r\n\r\n", b"502"),
        (HEAD + b"X: " + b"y" * 70_000 + b"\r\n\r\n", b"502"),
        (HEAD + b"X: y\r\n" * 200 + b"\r\n", b"502"),
        (b"", b"502"),
    ],
)
def test_malformed_answers(pair, answer, status):
    """Guards against an internal error, or "not run", for a bad response."""
    pair.connect(pairs.SocketServer(make_script(answer)))
    response = pair.call(GET.replace(b"GET", b"POST"))
    assert response.split(b" ")[1] == status
    assert b"Buckthorn-Outcome: unknown" in response
    assert b"Buckthorn-Not-Run" not in response


@pytest.mark.parametrize(
    ("request_bytes", "status", "reaches"),
    [
        (GET.replace(b"GET", b"HEAD"), b"200", True),
        (CHUNKED + chunk(b"x") + b"0\r\n\r\n", b"200", True),
        (CHUNKED + b"0000000000000001\r\nx\r\n0\r\n\r\n", b"200", True),
        (
            CHUNKED.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
            + b"0\r\n\r\n",
            b"200",
            True,
        ),
        (CHUNKED + b"ffffffffffffffff\r\n" + bytes(2 << 20), b"413", None),
        (CHUNKED + b"-1\r\n", b"400", None),
        (CHUNKED.replace(b"1.1", b"1.0") + chunk(b"x"), b"400", False),
        (GET[:-2] + b"Content-Length: -1\r\n\r\n", b"400", False),
        (GET[:-2] + b"Content-Length: +1\r\n\r\nx", b"400", False),
        (CHUNKED[:-2] + b"Content-Length: 1\r\n\r\n", b"400", False),
        (GET[:-2] + b"X: " + b"y" * 32_000 + b"\r\n\r\n", b"431", False),
        (GET[:-2] + b"X: " + b"y" * 90_000 + b"\r\n\r\n", b"431", False),
    ],
)
def test_request_framing(pair, request_bytes, status, reaches):
    """Guards against lengths that two HTTP parsers interpret differently."""

    def script(conn: socket.socket, head: bytes) -> None:
        if b"chunked" in head:
            while not head.endswith(b"0\r\n\r\n"):
                data = conn.recv(65_536)
                if not data:
                    return
                head += data
        conn.sendall(
            HEAD + b"Content-Length: 2\r\n\r\n"
            if head.startswith(b"HEAD")
            else pairs.OK
        )

    upstream = pairs.SocketServer(script)
    pair.connect(upstream)
    answer = pair.call(request_bytes)
    answer = answer.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert answer.split(b" ")[1] == status
    if reaches is not None:
        assert bool(upstream.received) == reaches
    assert not (upstream.received and b"Buckthorn-Not-Run" in answer)


def test_pipelined_requests_are_answered_in_order(pair):
    """Guards against a body reader that consumes bytes of the next request."""

    def script(conn: socket.socket, head: bytes) -> None:
        path = head.split(b" ")[1]
        conn.sendall(HEAD + b"Content-Length: 11\r\n\r\n" + path)

    pair.connect(pairs.SocketServer(script))
    first = GET.replace(b"Connection: close\r\n", b"")
    answers = pair.call(first + GET.replace(b"s/1", b"s/2"))
    assert answers.count(b" 200 ") == 2
    assert answers.index(b"/bookings/1") < answers.index(b"/bookings/2")


def test_early_answer_to_a_long_upload_arrives(pair):
    """Guards against losing an early response in a connection reset."""
    pair.connect(
        pairs.SocketServer(
            make_script(b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno")
        )
    )
    answer = pair.call(CHUNKED + chunk(bytes(65_536)) * 8)
    assert answer.startswith(b"HTTP/1.1 409")
    assert pairs.decode_body(answer) == b"no"


def test_refused_retry_does_not_hide_an_attempt_that_may_have_run(pair):
    """Guards against "not run" after a first attempt reached an upstream."""
    calls: list[bytes] = []

    def script(conn: socket.socket, head: bytes) -> None:
        calls.append(head)
        if len(calls) > 1:
            conn.sendall(
                b"HTTP/1.1 503 X\r\nBuckthorn-Not-Run: slots_full\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

    peer = pairs.SocketServer(script)
    pair.add_endpoint("one", peer.port)
    pair.add_endpoint("two", peer.port)
    answer = pair.call(GET)
    assert len(calls) == 2
    assert answer.startswith(b"HTTP/1.1 502")
    assert b"Buckthorn-Not-Run" not in answer


def test_failed_reused_connection_is_not_reported_as_not_run(pair):
    """Guards against "not run" for bytes sent on a reused connection."""

    def script(conn: socket.socket, head: bytes) -> None:
        conn.sendall(pairs.OK)
        upstream.received.append(conn.recv(65_536))

    upstream = pairs.SocketServer(script)
    pair.connect(upstream)
    assert pair.call(GET).startswith(b"HTTP/1.1 200")
    answer = pair.call(GET.replace(b"GET", b"POST"))
    assert len(upstream.received) == 2
    assert answer.startswith(b"HTTP/1.1 502")
    assert b"Buckthorn-Not-Run" not in answer


def test_draining_upstream_gets_no_queued_request(pair):
    """Guards against starting queued requests on a draining upstream."""
    release = threading.Event()
    running = threading.Event()

    def script(conn: socket.socket, head: bytes) -> None:
        running.set()
        release.wait(10)
        conn.sendall(pairs.OK)

    upstream = pairs.SocketServer(script)
    pair.connect(upstream, slots=1)
    answers: list[bytes] = []
    callers = [
        threading.Thread(target=lambda: answers.append(pair.call(GET)))
        for _ in range(2)
    ]
    callers[0].start()
    assert running.wait(5)
    callers[1].start()
    wait_until(lambda: pair.ingress._admission.waiting == 1)
    pair.announce(upstream.port, entries.UpstreamState.DRAINING, 1)
    wait_until(lambda: len(answers) == 1)
    assert b"Buckthorn-Not-Run: draining" in answers[0]
    release.set()
    callers[0].join(5)
    assert pairs.decode_body(answers[1]) == b"ok"
    assert len(upstream.received) == 1


def test_crash_is_counted_once_and_marks_the_upstream_down(pair):
    """Guards against a crash that is not counted, or counted twice."""
    upstream = pairs.SocketServer(lambda conn, head: upstream.stop_listening())
    pair.connect(upstream)
    answer = pair.call(GET.replace(b"GET", b"POST"))
    assert answer.startswith(b"HTTP/1.1 502")
    for shared in (pair.sender, pair.receiver):
        suspicions = [
            e
            for e in shared.table.entries.values()
            if isinstance(e, entries.CrashSuspicion)
        ]
        assert [e.crashes for e in suspicions] == [1]
    member = pair.receiver.membership.local_member
    assert member.upstream_state is entries.UpstreamState.DOWN
    second_upstream = pairs.SocketServer(
        lambda conn, head: second_upstream.stop_listening()
    )
    pair.connect(second_upstream)
    pair.call(GET.replace(b"GET", b"POST"))
    pair.connect(pairs.SocketServer(make_script(pairs.OK)))
    refused = pair.call(GET.replace(b"GET", b"POST"))
    assert refused.startswith(b"HTTP/1.1 422")
    assert b"Buckthorn-Not-Run: quarantined" in refused
    other = pair.call(GET.replace(b"GET", b"POST").replace(b"s/1", b"s/2"))
    assert other.startswith(b"HTTP/1.1 200")


def test_body_is_not_requested_while_the_request_is_queued(pair):
    """Guards against consuming the body of a request that gets no slot."""
    release = threading.Event()
    upstream = pairs.SocketServer(
        lambda conn, head: release.wait(10) and conn.sendall(pairs.OK)
    )
    pair.connect(upstream, slots=1)
    first = threading.Thread(target=pair.call, args=(GET,))
    first.start()
    wait_until(lambda: upstream.received)
    with socket.create_connection(("127.0.0.1", pair.ingress_port)) as sock:
        head = CHUNKED[:-2] + HOP
        sock.sendall(head + b"Buckthorn-Await: admission\r\n\r\n")
        sock.settimeout(5)
        assert interim_responses.read(sock, 5).startswith(
            b"HTTP/1.1 100 Continue"
        )
        release.set()
        while not interim_responses.is_admission(
            interim_response := interim_responses.read(sock, 5)
        ):
            assert interim_response.startswith(b"HTTP/1.1 100 Continue")
        sock.sendall(b"0\r\n\r\n")
    first.join(5)


def test_upstream_request_is_cancelled_when_the_sender_is_gone(pair):
    """Guards against slots occupied by requests whose sender has gone."""
    closed = threading.Event()

    def script(conn: socket.socket, head: bytes) -> None:
        if conn.recv(1) == b"":
            closed.set()

    upstream = pairs.SocketServer(script)
    pair.connect(upstream)
    with socket.create_connection(("127.0.0.1", pair.ingress_port)) as sock:
        sock.sendall(GET[:-2] + HOP + b"\r\n")
        wait_until(lambda: upstream.received)
    assert closed.wait(5)
    wait_until(lambda: pair.ingress.idle)


def test_receiver_that_does_not_read_delays_no_heartbeats(pair):
    """Guards against a blocked write that delays other requests' heartbeats.

    A request without heartbeats is given up by the sending daemon.
    """

    def script(conn: socket.socket, head: bytes) -> None:
        if b"/1 " in head:
            conn.sendall(HEAD + b"Content-Length: 99999999\r\n\r\n")
            while True:
                conn.sendall(LARGE)
        make_script(PAUSE_S, PAUSE_S, pairs.OK)(conn, head)

    upstream = pairs.SocketServer(script)
    pair.connect(upstream)
    with socket.create_connection(("127.0.0.1", pair.ingress_port)) as stuck:
        stuck.sendall(GET[:-2] + HOP + b"\r\n")
        wait_until(lambda: upstream.received)
        answer = pair.call(GET.replace(b"s/1", b"s/2"))
    assert answer.startswith(b"HTTP/1.1 200"), answer


@pytest.mark.parametrize("exc", [OSError, ValueError, KeyError])
def test_a_failed_heartbeat_ends_no_others(pair, exc):
    """Guards against requests that are given up since heartbeats have ended.

    A connection that is closed between two checks fails with ValueError.
    """

    class Broken:
        failed = threading.Event()

        def send_heartbeat(self):
            self.failed.set()
            raise exc("closed")

    broken = Broken()
    pair.ingress._in_progress[broken] = None
    assert broken.failed.wait(5.0)
    pair.connect(pairs.SocketServer(make_script(PAUSE_S, PAUSE_S, pairs.OK)))
    answer = pair.call(GET)
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert broken not in pair.ingress._in_progress


def wait_until(done, timeout_s: float = 5.0) -> None:
    end_s = time.monotonic() + timeout_s
    while not done():
        assert time.monotonic() < end_s
        time.sleep(0.01)
