"""Parsing and encoding of HTTP/1.1 messages."""

import asyncio
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from buckthorn_adapters import http1
from buckthorn_core import byte_budgets
from buckthorn_core import errors


def parse(data, splits=(), max_header_bytes=2_000, max_body_bytes=100):
    requests = []
    request_parser = http1.RequestParser(
        requests.append,
        lambda: None,
        max_header_bytes,
        max_body_bytes,
        lambda exc: None,
        byte_budgets.ByteBudget(),
    )
    start = 0
    for split in [*sorted(splits), len(data)]:
        request_parser.feed(data[start:split])
        start = max(start, split)
    return requests


TWO_REQUESTS = (
    b"GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n"
    b"PUT /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)


@hypothesis.given(
    splits=strategies.lists(
        strategies.integers(min_value=0, max_value=len(TWO_REQUESTS)),
        max_size=8,
    )
)
def test_pipelined_requests_are_parsed_at_any_split(splits):
    """Guards against a request that is truncated or merged with the next."""
    first, second = parse(TWO_REQUESTS, splits)
    assert (first.method, first.target, first.body) == ("GET", "/a?b=c", b"")
    assert first.header("x-a") == "1"
    assert (second.method, second.target) == ("PUT", "/d")
    assert second.body == b"abcde"


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"GET / HTTP/1.1\r\nHost h\r\n\r\n", errors.Code.BAD_REQUEST),
        (
            b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
            errors.Code.BODY_TOO_LARGE,
        ),
        (
            b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"80\r\n" + 128 * b"x",
            errors.Code.BODY_TOO_LARGE,
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nX: " + 3_000 * b"x" + b"\r\n\r\n",
            errors.Code.HEADERS_TOO_LARGE,
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n"
            b"Upgrade: x\r\n\r\n",
            errors.Code.BAD_REQUEST,
        ),
        (
            b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            errors.Code.BAD_REQUEST,
        ),
    ],
)
def test_invalid_requests_have_an_error_code(data, code):
    """Guards against request smuggling and requests over a limit."""
    with pytest.raises(errors.RequestError) as caught:
        parse(data)
    assert caught.value.code is code


def test_hop_by_hop_headers_are_removed():
    """Guards against a header that changes the framing on the next hop."""
    kept = http1.end_to_end(
        [
            ("Connection", "close, X-Hop"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "3"),
            ("X-Own", "2"),
        ]
    )
    assert kept == [("X-Own", "2")]


def test_a_response_to_head_has_no_body():
    """Guards against a body that the caller parses as the next response."""
    data = http1.encode_response(200, [], b"abc", False, head_only=True)
    assert data.endswith(b"Content-Length: 3\r\n\r\n")


async def _exchange(response_bytes, requests=1, head_only=False, body=b""):
    """Returns a connection and the responses to a server's raw bytes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response_bytes)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    conn = await http1.connect(address, 1.0, 1_000)
    conn.send(http1.encode_request("GET", "/", [], body), head_only)
    try:
        responses = [await conn.receive() for _ in range(requests)]
        return conn, responses
    finally:
        server.close()


@pytest.mark.parametrize(
    ("response_bytes", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", b"ab"),
        (b"HTTP/1.1 200 OK\r\n\r\nall", b"all"),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
            b"a",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\n\r\n",
            b"x",
        ),
    ],
)
def test_complete_responses(response_bytes, body):
    """Guards against a complete response that is reported as truncated."""
    _, [response] = asyncio.run(_exchange(response_bytes))
    assert response.body == body


@pytest.mark.parametrize(
    ("response_bytes", "started"),
    [
        (b"", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", True),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", True),
        (b"\x00garbage\r\n\r\n", True),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + 2000 * b"x",
            True,
        ),
    ],
)
def test_truncated_responses_are_errors(response_bytes, started):
    """Guards against a truncated response that is returned as complete."""
    with pytest.raises(http1.IncompleteResponseError) as caught:
        asyncio.run(_exchange(response_bytes))
    assert caught.value.started is started


def test_a_connection_with_surplus_bytes_is_not_reusable():
    """Guards against a second response that the next request receives."""
    response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
    conn, _ = asyncio.run(_exchange(response_bytes + response_bytes))
    assert not conn.reusable


def test_a_response_to_head_ends_with_its_headers():
    """Guards against waiting for a body that is never sent."""
    response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    _, [response] = asyncio.run(_exchange(response_bytes, head_only=True))
    assert response.body == b""
    assert not response.keep_alive


INTERIM = b"HTTP/1.1 102 Processing\r\nX-A: %s\r\n\r\n" % (50 * b"a")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FIELD = b"Xa: bc\r\n"
MEGABYTE = 1_048_576


@pytest.mark.parametrize(
    ("first_bytes", "repeated_bytes"),
    [
        (b"HTTP/1.1 200 OK\r\nX-A: ", 1_000 * b"a"),
        (b"HTTP/1.1 200 OK\r\n", 20 * b"X-A: bcd\r\n"),
        (b"HTTP/1.1 200 ", 1_000 * b"a"),
        (b"", 10 * INTERIM),
        (CHUNKED, 1_000 * b"0"),
        (CHUNKED + b"1;a=", 1_000 * b"b"),
        (CHUNKED + b"0\r\n", 20 * b"X-A: bcd\r\n"),
        (CHUNKED, b"100\r\n" + 256 * b"x" + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", 1_000 * b"x"),
    ],
)
def test_an_endless_response_closes_its_connection(first_bytes, repeated_bytes):
    """Guards against a faulty instance that exhausts the memory."""
    sent = [0]

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first_bytes)
        try:
            while True:
                writer.write(repeated_bytes)
                sent[0] += len(repeated_bytes)
                await writer.drain()
        except ConnectionError:
            pass

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        conn = await http1.connect(address, 1.0, 500_000)
        conn.send(http1.encode_request("GET", "/", [], b""))
        async with asyncio.timeout(5.0):
            with pytest.raises(http1.IncompleteResponseError) as caught:
                await conn.receive()
        server.close()
        assert not conn.reusable
        assert caught.value.started

    asyncio.run(run())
    # Includes the bytes in transit when the limit was reached.
    assert sent[0] < 20_000_000


def test_bytes_on_an_idle_connection_close_it():
    """Guards against a duplicate response that the next caller receives.

    Also guards against endless bytes on a connection that nobody reads.
    """
    response_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

    async def run():
        more = asyncio.Event()
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response_bytes)
            await more.wait()
            try:
                while True:
                    writer.write(response_bytes)
                    await writer.drain()
                    await asyncio.sleep(0.001)
            except ConnectionError:
                closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        conn = await http1.connect(address, 1.0, 1_000)
        conn.send(http1.encode_request("GET", "/", [], b""))
        await conn.receive()
        conn.end_exchange()
        assert conn.reusable
        more.set()
        async with asyncio.timeout(5.0):
            await closed.wait()
        assert not conn.reusable
        server.close()

    asyncio.run(run())


def test_request_bodies_share_a_budget():
    """Guards against concurrent uploads that exhaust the host's memory."""
    budget = byte_budgets.ByteBudget(100_000)
    refused, requests = [], []

    def make_parser():
        return http1.RequestParser(
            requests.append,
            lambda: None,
            2_000,
            200_000,
            lambda exc: refused.append(exc.code),
            budget,
        )

    head = b"PUT /d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    large, small = make_parser(), make_parser()
    large.feed(head % 90_000 + 80_000 * b"x")
    small.feed(head % 30_000 + 30_000 * b"x")
    assert refused == [errors.Code.BODIES_FULL]
    [req] = requests
    # The head and the request's objects count, too.
    heads = http1.REQUEST_BYTES + 2 * http1.HEADER_BYTES
    assert 30_000 + heads < budget.used < 30_000 + heads + 100
    # A body larger than the whole budget is refused before it is sent.
    with pytest.raises(errors.RequestError) as caught:
        make_parser().feed(head % 150_000)
    assert caught.value.code is errors.Code.BODY_TOO_LARGE
    with pytest.raises(errors.RequestError) as caught:
        make_parser().feed(head % 90_000 + 80_000 * b"x")
    assert caught.value.code is errors.Code.BODIES_FULL
    budget.release(req)
    assert budget.used == 0


CUT_HEADS = [
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
]


@pytest.mark.parametrize("head", CUT_HEADS)
def test_a_response_whose_head_is_cut_is_incomplete(head):
    """Guards against a 200 with an empty body for a head without its end."""

    async def run():
        for end in range(len(head)):
            with pytest.raises(http1.IncompleteResponseError):
                await _exchange(head[:end])

    asyncio.run(run())


def test_a_long_body_is_sent_as_the_peer_reads_it():
    """Guards against a second copy of a long body in the write buffer."""
    body = bytes(range(256)) * 40_000

    async def run():
        may_read = asyncio.Event()
        received = []

        async def serve(reader, writer):
            await may_read.wait()
            await reader.readuntil(b"\r\n\r\n")
            received.append(await reader.readexactly(len(body)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        conn = await http1.connect(address, 1.0, 1_000)
        head = http1.encode_request_head("PUT", "/", [], len(body))
        conn.send(head, body=body)
        buffered = conn._transport.get_write_buffer_size()
        assert buffered <= 2 * http1.WRITE_BYTES
        assert not conn.all_sent
        may_read.set()
        assert (await conn.receive()).body == b"a"
        assert received == [body]
        assert conn.all_sent
        conn.close()
        server.close()

    asyncio.run(run())


def test_a_closed_connection_sends_no_more_of_a_body():
    """Guards against writes to a connection that the peer has reset."""

    async def run():
        server = await asyncio.start_server(
            lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        conn = await http1.connect(address, 1.0, 1_000)
        conn.send(b"PUT / HTTP/1.1\r\n\r\n", body=bytes(10_000_000))
        with pytest.raises(http1.IncompleteResponseError):
            await conn.receive()
        conn.close()
        conn.resume_writing()
        assert not conn._unsent
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "first_line",
    [
        b"000 Nothing",
        b"099 Low",
        b"101 Switching Protocols",
        b"600 High",
        b"999 Highest",
        b"+200 OK",
        b"-200 OK",
        b"2 0 0 OK",
        b"20 OK",
        b"2000 OK",
        b" 200 OK",
        b"0200 OK",
        b"OK",
        b"",
    ],
)
def test_a_status_that_is_none_is_no_response(first_line):
    """Guards against a status that parses and is passed on to the caller."""
    data = b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\nab" % first_line
    with pytest.raises(http1.IncompleteResponseError) as caught:
        asyncio.run(_exchange(data))
    assert caught.value.started


@pytest.mark.parametrize(
    ("head", "surplus"),
    [
        (b"204 No Content\r\nContent-Length: 2", b""),
        (b"204 No Content\r\nContent-Length: 2", b"ab"),
        (b"204 No Content\r\nTransfer-Encoding: chunked", b"0\r\n\r\n"),
        (b"204 No Content", b"ab"),
        (b"304 Not Modified", b"ab"),
        (b"304 Not Modified\r\nContent-Length: 2", b"ab"),
        (
            b"304 Not Modified\r\nContent-Length: 38",
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
        (b"304 Not Modified\r\nTransfer-Encoding: chunked", b"0\r\n\r\n"),
    ],
)
def test_a_status_without_a_body_has_none(head, surplus):
    """Guards against a body that the next request gets as its response."""
    data = b"HTTP/1.1 %b\r\n\r\n%b" % (head, surplus)
    with pytest.raises(http1.IncompleteResponseError):
        asyncio.run(_exchange(data))


@pytest.mark.parametrize(
    ("head", "status", "keep_alive"),
    [
        (b"204 No Content", 204, True),
        (b"204 No Content\r\nContent-Length: 0", 204, True),
        (b"304 Not Modified", 304, True),
        # Bytes of the body may follow later.
        (b"304 Not Modified\r\nContent-Length: 9", 304, False),
        (b"200\r\nContent-Length: 0", 200, True),
        (b"200 \r\nContent-Length: 0", 200, True),
        (b"299 Odd\r\nContent-Length: 0", 299, True),
        (b"599 Odd\r\nContent-Length: 0", 599, True),
    ],
)
def test_valid_heads_without_a_body(head, status, keep_alive):
    """Guards against refusing responses that are valid but unusual."""
    data = b"HTTP/1.1 %b\r\n\r\n" % head
    conn, [response] = asyncio.run(_exchange(data))
    assert (response.status, response.body) == (status, b"")
    assert response.keep_alive is keep_alive
    del conn


def test_a_late_body_of_a_status_without_one_reaches_no_request():
    """Guards against reusing a connection on which a body may still come."""

    async def run():
        conn, [response] = await _exchange(
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"
        )
        assert response.status == 304
        conn.data_received(b"ab")
        assert not conn.reusable

    asyncio.run(run())


def test_interim_responses_without_a_final_one_are_no_response():
    """Guards against taking an interim response for the final one."""
    data = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
    with pytest.raises(http1.IncompleteResponseError):
        asyncio.run(_exchange(data))


def test_headers_in_two_parts_with_a_body_are_accepted():
    """Guards against 431 for an upload whose head comes in two reads."""
    body = 50_000 * b"x"
    data = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + body
    for split in range(1, data.index(body) + 1):
        [req] = parse(data, [split], 2_000, 60_000)
        assert req.body == body


@pytest.mark.parametrize("size", [1, 7, 16_384])
def test_small_chunks_take_no_more_than_large_ones(size):
    """Guards against an object for each chunk of a byte."""
    budget = byte_budgets.ByteBudget()
    request_parser = http1.RequestParser(
        lambda req: None, lambda: None, 2_000, 1_000_000, print, budget
    )
    chunk = b"%x\r\n%b\r\n" % (size, size * b"x")
    request_parser.feed(
        b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    head = budget.used
    count = 98_304 // size
    tracemalloc.start()
    request_parser.feed(count * chunk)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert budget.used == head + count * size
    assert taken < 1.5 * (budget.used - head) + 10_000


def test_unfinished_heads_count_in_the_budget():
    """Guards against many callers that send only part of a head."""
    budget = byte_budgets.ByteBudget()
    request_parser = http1.RequestParser(
        lambda req: None, lambda: None, 20_000, 1_000, print, budget
    )
    request_parser.feed(b"GET / HTTP/1.1\r\n" + 1_000 * b"aa: bb\r\n")
    assert budget.used > 190_000
    request_parser.close()
    assert budget.used == 0


def _received(response_bytes):
    """Returns a connection that has received part of a response."""

    class Transport:
        def is_closing(self):
            return False

        def get_extra_info(self, name):
            return None

        def write(self, data):
            pass

        def abort(self):
            pass

    async def run():
        conn = http1.Connection(MEGABYTE, byte_budgets.ByteBudget())
        conn.connection_made(Transport())
        conn.send(http1.encode_request("GET", "/", [], b""))
        for start in range(0, len(response_bytes), 65_536):
            conn.data_received(response_bytes[start : start + 65_536])
        return conn

    return asyncio.run(run())


@pytest.mark.parametrize(
    "response_bytes",
    [
        CHUNKED + 100_000 * b"2\r\nab\r\n",
        CHUNKED + b"30d40\r\n" + 200_000 * b"x" + b"\r\n0\r\n" + 9_000 * FIELD,
        b"HTTP/1.1 200 OK\r\n" + 8_000 * FIELD,
    ],
    ids=["small-chunks", "trailers", "headers"],
)
def test_a_response_takes_little_more_memory_than_it_counts(response_bytes):
    """Guards against an instance that fills the memory past its budget.

    Each small chunk, header and trailer took objects of its own: 27 times the
    size of the body for chunks of two bytes.
    """
    tracemalloc.start()
    try:
        conn = _received(response_bytes)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del conn
    # The body, its spare room, and what may be no body.
    assert taken < 2 * 200_000 + 4 * http1.MAX_RESPONSE_OVERHEAD_BYTES


def test_trailers_are_no_headers():
    """Guards against a trailer that is taken for a header, such as an id."""
    response_bytes = CHUNKED + b"1\r\na\r\n0\r\nX-Id: other\r\n\r\n"
    _, [response] = asyncio.run(_exchange(response_bytes))
    assert response.body == b"a"
    assert response.header("x-id") is None
