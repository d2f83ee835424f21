"""Tests of long bodies between sidecars, on loopback connections."""

import asyncio
import contextlib
import gc

import msgspec
import pytest

from buckthorn_core import byte_budgets
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import load_balancing
from buckthorn_sidecar import body_pieces
from buckthorn_sidecar import frames
from buckthorn_sidecar import links
from buckthorn_sidecar import suspicions

LOAD = load_balancing.LoadReport(4, 0, 0, 0.1)
LONG = bytes(range(256)) * 2_000
WAIT_S = 5.0


def request(attempt, body=b"", left_s=2.0):
    return frames.Request(
        attempt,
        "id",
        "stock",
        "orders",
        "browse",
        True,
        1,
        left_s,
        left_s,
        left_s,
        1.0,
        "POST",
        "/",
        [],
        body,
    )


def response(attempt, body):
    return frames.Response(attempt, 200, [], body, LOAD, 1)


class Handler:
    """Answers requests in place of an ingress.

    Attributes:
        body: Body of the responses.
        takes_pieces: Whether its Hello says so.
        requests: The requests that arrived.
        cancelled: Attempts that were cancelled.
        outcomes: Responses by attempt.
    """

    def __init__(self, body=b"ok", takes_pieces=True):
        self.body = body
        self.takes_pieces = takes_pieces
        self.requests = []
        self.cancelled = []
        self.outcomes = {}
        self.suspicions = suspicions.Suspicions()
        self.health_path_known = asyncio.Event()

    def hello(self):
        return frames.Hello("d-1/1", LOAD, 1, [], self.takes_pieces)

    def pong(self):
        return frames.Pong(LOAD, 1)

    def set_health_path(self, path):
        self.health_path_known.set()

    def submit(self, req):
        self.requests.append(req)
        self.outcomes[req.attempt] = response(req.attempt, self.body)
        return self.query_outcome(req)

    def query_outcome(self, frame):
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(self.outcomes[frame.attempt])
        return fut

    def cancel(self, attempt):
        self.cancelled.append(attempt)

    def lost_body(self, attempt, is_broken):
        code = errors.Code.BODIES_FULL
        if is_broken:
            code = errors.Code.PEER_UNAVAILABLE
        return frames.Failure(attempt, code, "lost", None, False, LOAD, 1)


def new_link(address, reports=None, bodies=None):
    peer = directories.Registration("d-1", address, "stock", "a1", "", 4)
    return links.Link(
        peer,
        lambda to, frame: None if reports is None else reports.append(frame),
        lambda to: None,
        lambda fed_by, frame: None,
        suspicions.Suspicions(),
        lambda service: "/health",
        bodies,
    )


class Scene:
    """A server and a link to it.

    Attributes:
        handler: Answers the requests.
        address: Address of the server.
        server: The server.
        link: The link.
        reports: Frames with load reports that the link received.
    """

    def __init__(self, handler, server_bodies, link_bodies):
        self.handler = handler
        self.server = links.LinkServer("127.0.0.1:0", handler, server_bodies)
        self.reports = []
        self.address = ""
        self._link_bodies = link_bodies
        self.link = None

    async def open(self):
        await self.server.start()
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.link = new_link(self.address, self.reports, self._link_bodies)

    async def call(self, frame):
        async with asyncio.timeout(WAIT_S):
            return await self.link.call(frame)


@contextlib.asynccontextmanager
async def opened(handler, server_bodies=None, link_bodies=None):
    scene = Scene(handler, server_bodies, link_bodies)
    await scene.open()
    try:
        yield scene
    finally:
        scene.link.close()
        scene.server.close()
        await asyncio.sleep(0.01)


class RawPeer:
    """The other end of a connection, frame by frame."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.received = []
        self._frames = frames.FrameReader()

    def send(self, *sent):
        self.writer.write(b"".join(map(frames.encode, sent)))

    async def read_until(self, condition):
        """Reads until a received frame meets the condition; returns it."""
        async with asyncio.timeout(WAIT_S):
            while True:
                for frame in self.received:
                    if condition(frame):
                        return frame
                self.received += self._frames.feed(
                    await self.reader.read(65_536)
                )


@contextlib.asynccontextmanager
async def raw_server(hello):
    """Accepts one connection and yields its queue of peers."""
    peers = asyncio.Queue()
    writers = []

    async def handle(reader, writer):
        writers.append(writer)
        peer = RawPeer(reader, writer)
        peer.send(hello)
        peers.put_nowait(peer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", peers
    finally:
        server.close()
        for writer in writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


@contextlib.asynccontextmanager
async def raw_client(scene, ping):
    reader, writer = await asyncio.open_connection(*scene.address.split(":"))
    peer = RawPeer(reader, writer)
    if ping is not None:
        peer.send(ping)
    try:
        yield peer
    finally:
        writer.close()


def is_kind(*kinds):
    return lambda frame: isinstance(frame, kinds)


def test_long_bodies_arrive_in_both_directions():
    """Guards against bodies that differ, or that are held after their end."""

    async def run():
        budgets = [byte_budgets.ByteBudget(10_000_000) for _ in range(2)]
        bodies = [
            body_pieces.HostBodies("", 100.0, budget) for budget in budgets
        ]
        handler = Handler(LONG)
        async with opened(handler, *bodies) as scene:
            result = await scene.call(request("a/1", LONG))
            assert result.body == LONG
            assert handler.requests[0].body == LONG
            assert budgets[0].used == len(LONG)
            assert budgets[1].used == len(LONG)
            reported = [
                r for r in scene.reports if isinstance(r, frames.Response)
            ]
            # The load is reported with the head, not with the last piece.
            assert [(r.body, r.body_bytes) for r in reported] == [
                (b"", len(LONG))
            ]
            reported.clear()
            handler.requests.clear()
            handler.outcomes.clear()
            del result
            scene.reports.clear()
            for _ in range(50):
                gc.collect()
                if not any(budget.used for budget in budgets):
                    break
                await asyncio.sleep(0.01)
            assert [budget.used for budget in budgets] == [0, 0]

    asyncio.run(run())


def test_times_left_shrink_while_a_body_arrives():
    """Guards against a run that starts after its caller has gone."""
    received = body_pieces.ReceivedBody(
        msgspec.structs.replace(request("a/1"), body_bytes=3)
    )
    received.start(10.0)
    assert received.add(b"abc")
    frame = received.join(11.5)
    assert frame.body == b"abc"
    assert (frame.left_s, frame.caller_left_s, frame.target_left_s) == (
        0.5,
        0.5,
        0.5,
    )


def test_small_responses_pass_long_ones():
    """Guards against a lookup that waits for a download on its connection."""

    async def run():
        handler = Handler(LONG)
        slow = body_pieces.HostBodies("", 8.0)
        async with opened(handler, slow) as scene:
            long = asyncio.create_task(scene.call(request("a/1")))
            while not handler.requests:
                await asyncio.sleep(0.005)
            handler.body = b"small"
            small = await scene.call(request("a/2"))
            assert small.body == b"small"
            assert not long.done()
            assert slow.schedule.drain_s > 0
            assert (await long).body == LONG

    asyncio.run(run())


def test_old_daemons_get_whole_bodies():
    """Guards against frames that the previous version can't decode."""

    async def run():
        async with opened(Handler(LONG)) as scene:
            for ping in (None, frames.Ping([], "/health")):
                async with raw_client(scene, ping) as old:
                    old.send(request("a/1"))
                    reply = await old.read_until(is_kind(frames.Response))
                    assert reply.body == LONG
                    assert reply.body_bytes == 0
        async with raw_server(frames.Hello("d-1/1", LOAD, 1)) as (address, new):
            link = new_link(address)
            task = asyncio.create_task(link.call(request("a/1", LONG)))
            old = await new.get()
            frame = await old.read_until(is_kind(frames.Request))
            assert frame.body == LONG
            old.send(response("a/1", LONG))
            assert (await task).body == LONG
            link.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "pieces",
    [
        [(LONG[:1_000], True)],
        [(LONG, False), (b"x", True)],
        [(b"", True)],
    ],
    ids=["short", "long", "none"],
)
def test_a_broken_body_fails_the_attempt(pieces):
    """Guards against a part of a response that is taken for the whole."""

    async def run():
        hello = frames.Hello("d-1/1", LOAD, 1, [], True)
        async with raw_server(hello) as (address, new):
            link = new_link(address)
            task = asyncio.create_task(link.call(request("a/1")))
            peer = await new.get()
            await peer.read_until(is_kind(frames.Request))
            head = response("a/1", b"")
            peer.send(
                msgspec.structs.replace(head, body_bytes=len(LONG)),
                frames.Piece("a/2", b"of another attempt", True),
                *(frames.Piece("a/1", data, last) for data, last in pieces),
            )
            result = await task
            assert isinstance(result, frames.Failure)
            assert result.arrived
            assert not errors.CODE_INFO[result.code].not_run
            link.close()

    asyncio.run(run())


def test_a_connection_that_ends_within_a_body_loses_the_attempt():
    """Guards against an attempt that never ends, or ends with a part."""

    async def run():
        hello = frames.Hello("d-1/1", LOAD, 1, [], True)
        budget = byte_budgets.ByteBudget(10_000_000)
        async with raw_server(hello) as (address, new):
            link = new_link(
                address, bodies=body_pieces.HostBodies("", 100.0, budget)
            )
            task = asyncio.create_task(link.call(request("a/1")))
            peer = await new.get()
            await peer.read_until(is_kind(frames.Request))
            head = response("a/1", b"")
            peer.send(
                msgspec.structs.replace(head, body_bytes=len(LONG)),
                frames.Piece("a/1", LONG[:100]),
            )
            await peer.read_until(is_kind(frames.PiecesReceived))
            assert budget.used == len(LONG)
            peer.writer.transport.abort()
            with pytest.raises(links.LinkLostError):
                await task
            assert budget.used == 0

    asyncio.run(run())


def test_an_outcome_can_be_queried_again_in_pieces():
    """Guards against a booking whose outcome is lost with its connection."""

    async def run():
        handler = Handler(LONG)
        async with opened(handler) as scene:
            handler.outcomes["a/1"] = response("a/1", LONG)
            query = frames.OutcomeQuery("a/1", "d-1/1")
            for _ in range(2):
                assert (await scene.call(query)).body == LONG
                scene.link.close()
                await asyncio.sleep(0.02)
            assert not handler.requests

    asyncio.run(run())


def test_a_request_that_breaks_off_never_runs():
    """Guards against a run with a part of its body."""

    async def run():
        handler = Handler()
        budget = byte_budgets.ByteBudget(10_000_000)
        bodies = body_pieces.HostBodies("", 100.0, budget)
        head = msgspec.structs.replace(request("a/1"), body_bytes=len(LONG))
        ping = frames.Ping([], "", True, "")
        async with opened(handler, bodies) as scene:
            async with raw_client(scene, ping) as peer:
                peer.send(head, frames.Piece("a/1", LONG[:500], True))
                failure = await peer.read_until(is_kind(frames.Failure))
                assert not failure.arrived
                assert errors.CODE_INFO[failure.code].not_run
                peer.send(head, frames.Piece("a/1", LONG[:500]))
                peer.send(frames.Cancel("a/1"), frames.Ping())
                await peer.read_until(is_kind(frames.Pong))
                peer.send(frames.Piece("a/1", LONG[500:], True))
                peer.send(head, frames.Piece("a/1", LONG[:500]))
            await asyncio.sleep(0.05)
            assert not handler.requests
            assert budget.used == 0

    asyncio.run(run())


def test_pieces_stop_when_the_caller_has_gone():
    """Guards against a link that is busy with what nobody waits for."""

    async def run():
        handler = Handler(20 * LONG)
        slow = body_pieces.HostBodies("", 8.0)
        async with opened(handler, slow) as scene:
            task = asyncio.create_task(scene.call(request("a/1")))
            while not slow.busy:
                await asyncio.sleep(0.005)
            task.cancel()
            for _ in range(100):
                if not slow.busy:
                    break
                await asyncio.sleep(0.01)
            assert not slow.busy
            assert slow.schedule.queued_bytes == 0
            assert handler.cancelled == ["a/1"]
            handler.body = b"next"
            assert (await scene.call(request("a/2"))).body == b"next"

    asyncio.run(run())


def test_a_late_response_is_stopped_at_its_head():
    """Guards against pieces for an attempt that was given up before."""

    async def run():
        hello = frames.Hello("d-1/1", LOAD, 1, [], True)
        async with raw_server(hello) as (address, new):
            link = new_link(address)
            await link.connect()
            peer = await new.get()
            head = response("a/9", b"")
            peer.send(msgspec.structs.replace(head, body_bytes=99_999))
            frame = await peer.read_until(is_kind(frames.Cancel))
            assert frame.attempt == "a/9"
            link.close()

    asyncio.run(run())


@pytest.mark.parametrize("takes_pieces", [True, False])
def test_requests_without_room_are_refused_as_not_run(takes_pieces):
    """Guards against a process that ends because others send long bodies.

    Those of old daemons come as whole frames.
    """

    async def run():
        handler = Handler(takes_pieces=takes_pieces)
        budget = byte_budgets.ByteBudget(3 * len(LONG))
        bodies = body_pieces.HostBodies("", 100.0, budget)
        async with opened(handler, bodies) as scene:
            too_long = 8 * LONG
            result = await scene.call(request("a/1", too_long))
            assert isinstance(result, frames.Failure)
            assert result.code is errors.Code.BODIES_FULL
            assert budget.used == 0
            assert bodies.refused == 1
            result = await scene.call(request("a/2", LONG))
            assert isinstance(result, frames.Response)
            assert [r.attempt for r in handler.requests] == ["a/2"]
            assert handler.requests[0].body == LONG

    asyncio.run(run())


@pytest.mark.parametrize("takes_pieces", [True, False])
def test_a_response_without_room_fails_its_attempt_only(takes_pieces):
    """Guards against a long response that ends the process of its caller."""

    async def run():
        handler = Handler(8 * LONG)
        budget = byte_budgets.ByteBudget(3 * len(LONG))
        bodies = body_pieces.HostBodies("", 100.0, budget)
        async with opened(handler, None, bodies) as scene:
            if takes_pieces:
                result = await scene.call(request("a/1"))
            else:
                hello = frames.Hello("d-1/1", LOAD, 1)
                async with raw_server(hello) as (address, new):
                    link = new_link(address, bodies=bodies)
                    task = asyncio.create_task(link.call(request("a/1")))
                    peer = await new.get()
                    await peer.read_until(is_kind(frames.Request))
                    peer.send(response("a/1", 8 * LONG))
                    result = await task
                    link.close()
            assert isinstance(result, frames.Failure)
            assert result.code is errors.Code.UPSTREAM_FAILED
            assert result.arrived
            assert budget.used == 0
            handler.body = b"small"
            assert (await scene.call(request("a/2"))).body == b"small"

    asyncio.run(run())


@pytest.mark.parametrize("step", [1, 7, 1_000, 65_536])
def test_refused_frames_are_skipped_at_any_split(step):
    """Guards against a reader that loses its place in the stream."""
    sent = [
        frames.Ping(),
        request("a/1", LONG),
        frames.Pong(LOAD, 1),
        response("a/2", LONG),
        frames.Ping([], "/health"),
    ]
    data = b"".join(map(frames.encode, sent))
    if step == 1:
        step = 97
    reader = frames.FrameReader(lambda size: False)
    found = []
    for start in range(0, len(data), step):
        found += reader.feed(data[start : start + step])
    lost = [f for f in found if isinstance(f, frames.LostBody)]
    assert lost == [
        frames.LostBody("a/1", True),
        frames.LostBody("a/2", False),
    ]
    rest = [f for f in found if not isinstance(f, frames.LostBody)]
    assert rest == [sent[0], sent[2], sent[4]]
