"""Tests of the connections between sidecars."""

import asyncio
import contextlib

from buckthorn_core import directories
from buckthorn_core import feed_trees
from buckthorn_core import load_balancing
from buckthorn_sidecar import frames
from buckthorn_sidecar import links
from buckthorn_sidecar import suspicions

LOAD = load_balancing.LoadReport(4, 0, 0, 0.1)


def registration(daemon, address):
    return directories.Registration(daemon, address, "stock", "a1", "a", 4)


def link_to(daemon, server, reports):
    host, port = server.sockets[0].getsockname()[:2]
    return links.Link(
        registration(daemon, f"{host}:{port}"),
        lambda to, frame: reports.append((to.daemon, frame)),
        lambda to: None,
        lambda fed_by, frame: None,
        suspicions.Suspicions(),
        lambda service: "/health",
    )


@contextlib.asynccontextmanager
async def serve(handler):
    """Serves connections, and closes them before the event loop ends.

    A writer that is collected later reports an error from wherever the
    collection happens.
    """
    writers = []

    async def handle(reader, writer):
        writers.append(writer)
        await handler(reader, writer)

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        yield server
    finally:
        server.close()
        for writer in writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def test_broadcast_skips_connection_without_transport():
    """Guards against a slot that is never released after an exception.

    Admission closes, which broadcasts a load report, between the acceptance of
    a connection and its connection_made callback.
    """

    async def run():
        server = links.LinkServer("127.0.0.1:1", None)
        server._create_connection()
        server.broadcast(frames.Pong(LOAD, 1))

    asyncio.run(run())


def test_link_rejects_unexpected_daemon():
    """Guards against attributing a load report to the wrong daemon."""

    async def send_hello(_, writer):
        writer.write(frames.encode(frames.Hello("d-2/1", LOAD, 1)))
        await writer.drain()

    async def run(daemon):
        async with serve(send_hello) as server:
            reports = []
            link = link_to(daemon, server, reports)
            try:
                await link.connect()
                refused = False
            except links.NotSentError as exc:
                refused = exc.refused
            link.close()
            return refused, [name for name, _ in reports]

    assert asyncio.run(run("d-1")) == (True, [])
    assert asyncio.run(run("d-2")) == (False, ["d-2"])


def test_only_reroutable_requests_fail_on_unresponsive_link():
    """Guards against failing non-reroutable requests, or delaying others.

    On an unresponsive link a booking must keep waiting for its outcome, while
    a lookup must go to another daemon.
    """

    async def send_hello(_, writer):
        writer.write(frames.encode(frames.Hello("d-1/1", LOAD, 1)))
        await writer.drain()

    async def run():
        async with serve(send_hello) as server:
            link = link_to("d-1", server, [])
            waiting = asyncio.create_task(
                link.call(frames.OutcomeQuery("a", "d-1/1"))
            )
            rerouted = asyncio.create_task(
                link.call(
                    frames.OutcomeQuery("b", "d-1/1"), may_reroute=lambda: True
                )
            )
            while len(link.pending) < 2:
                await asyncio.sleep(0.01)
            now_s = asyncio.get_running_loop().time()
            link.check(now_s + links.UNRESPONSIVE_AFTER_S - 0.1)
            await asyncio.sleep(0.01)
            assert not rerouted.done()
            link.check(now_s + links.UNRESPONSIVE_AFTER_S + 0.1)
            await asyncio.wait((rerouted,), timeout=1.0)
            assert isinstance(rerouted.exception(), links.LinkUnresponsiveError)
            assert not waiting.done()
            link.close()
            await asyncio.wait((waiting,), timeout=1.0)
            assert isinstance(waiting.exception(), links.LinkLostError)

    asyncio.run(run())


def test_feed_records_do_not_keep_a_link_that_loses_requests():
    """Guards against requests sent for good on a link silent in one direction.

    The other daemon's feed records still arrive, the requests to it don't.
    """
    confirmation = feed_trees.LogConfirmation("d-1", 1, 0.0)

    async def send_feed(_, writer):
        writer.write(frames.encode(frames.Hello("d-1/1", LOAD, 1)))
        for _ in range(100):
            writer.write(frames.encode(frames.Confirm(confirmation)))
            await writer.drain()
            await asyncio.sleep(0.01)

    async def run():
        async with serve(send_feed) as server:
            link = link_to("d-1", server, [])
            waiting = asyncio.create_task(
                link.call(frames.OutcomeQuery("a", "d-1/1"))
            )
            while not link.pending:
                await asyncio.sleep(0.01)
            sent_s = asyncio.get_running_loop().time()
            await asyncio.sleep(0.5)
            link.check(sent_s + links.DEAD_AFTER_S + 0.1)
            await asyncio.wait((waiting,), timeout=1.0)
            assert waiting.done()
            assert isinstance(waiting.exception(), links.LinkLostError)

    asyncio.run(run())
