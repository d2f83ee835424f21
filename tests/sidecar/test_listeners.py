"""Callers' connections over real sockets."""

import asyncio
import socket
import struct

import pytest

from buckthorn_adapters import http1
from buckthorn_core import byte_budgets
from buckthorn_core import connection_limits
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import caller_guards
from buckthorn_sidecar import listeners

HEAD = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
MEGABYTE = 1_048_576


class Server:
    """A listener whose handler answers each request with the same body."""

    def __init__(self, body=b"done", budget=None, **kwargs):
        self.handled = []
        self.body = body
        self._writers = []
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
        self.port = port
        self.listener = listeners.Listener(
            f"127.0.0.1:{port}", self.handle, budget, **kwargs
        )

    async def handle(self, req):
        self.handled.append(req)
        response = http1.Response()
        response.status = 200
        response.body = self.body
        return response

    async def __aenter__(self):
        await self.listener.start()
        return self

    async def __aexit__(self, *args):
        self.listener.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0)

    async def connect(self, data=b"", limit=65_536):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=limit
        )
        writer.write(data)
        # A writer that is not referred to any more closes its connection.
        self._writers.append(writer)
        return reader, writer


async def status_of(reader):
    async with asyncio.timeout(10.0):
        line = await reader.readline()
    return int(line.split(b" ")[1]) if line else None


def short_limits(idle_timeout_s):
    return virtual_hosts.CallerLimits(
        16_384, 64 * MEGABYTE, 3.0, idle_timeout_s
    )


def test_a_body_that_stalls_is_refused_as_not_run():
    """Guards against connections that an unfinished body keeps for ever."""

    async def run():
        async with Server() as server:
            server.listener.limits = short_limits(1.0)
            reader, _ = await server.connect(HEAD % 9 + b"12345678")
            assert await status_of(reader) == 408
            assert server.handled == []
            assert server.listener.body_budget.used < 10_000

    asyncio.run(run())


def test_a_response_that_is_not_read_is_given_up():
    """Guards against memory that a caller takes by not reading."""

    async def run():
        async with Server(32 * MEGABYTE * b"r") as server:
            server.listener.limits = short_limits(1.0)
            _, writer = await server.connect(GET)
            async with asyncio.timeout(10.0):
                while not server.handled or server.listener.conns:
                    await asyncio.sleep(0.05)
            assert server.listener.body_budget.used == 0
            writer.close()

    asyncio.run(run())


def test_a_slow_but_steady_reader_gets_its_response():
    """Guards against closing callers at the end of a slow link.

    Also guards against responses whose parts are lost or out of order.
    """
    body = bytes(range(256)) * 32_768

    async def run():
        async with Server(body) as server:
            server.listener.limits = short_limits(1.0)
            reader, writer = await server.connect(GET, 4_096)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Content-Length: %d" % len(body) in head
            received = bytearray()
            while len(received) < len(body):
                received += await reader.read(65_536)
                if len(received) < 3 * MEGABYTE:
                    # About 600 KB a second, for several grace periods.
                    await asyncio.sleep(0.05)
            assert received == body
            writer.close()

    asyncio.run(run())


def test_a_full_budget_refuses_before_the_run():
    """Guards against a refusal that says "not run" of a request that ran."""

    async def run():
        budget = byte_budgets.ByteBudget(100_000)
        async with Server(budget=budget) as server:
            budget.hold("responses", 99_000)
            reader, _ = await server.connect(GET)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
            assert server.handled == []
            await reader.readline()
            budget.hold("responses", 0)
            reader, _ = await server.connect(GET)
            assert await status_of(reader) == 200

    asyncio.run(run())


def test_a_dropped_response_is_no_refusal():
    """Guards against "not run" for a request whose response finds no room."""

    async def run():
        budget = byte_budgets.ByteBudget(1_000_000)
        async with Server(500_000 * b"r", budget=budget) as server:
            budget.hold("responses", 700_000)
            reader, _ = await server.connect(GET)
            assert await status_of(reader) == 502
            assert len(server.handled) == 1

    asyncio.run(run())


def test_held_uploads_are_refused_and_others_served():
    """Guards against uploads that wait for ever, or end the others."""

    async def run():
        budget = byte_budgets.ByteBudget(1_000_000)
        async with Server(budget=budget) as server:
            reader, writer = await server.connect(HEAD % 900_000)
            writer.write(820_000 * b"x")
            while budget.used < 820_000:
                await asyncio.sleep(0.01)
            held, _ = await server.connect(HEAD % 100_000 + 50_000 * b"y")
            small, _ = await server.connect(GET)
            assert await status_of(small) == 200
            assert await status_of(held) == 503
            writer.write(80_000 * b"x")
            assert await status_of(reader) == 200
            assert len(server.handled) == 2

    asyncio.run(run())


def test_pipelined_requests_are_parsed_in_steps():
    """Guards against one read that starts thousands of requests."""

    async def run():
        async with Server(b"done\n") as server:
            started = asyncio.Event()

            async def handle(req):
                response = await server.handle(req)
                await started.wait()
                return response

            server.listener.handler = handle
            count = 5_000
            reader, writer = await server.connect(count * GET)
            await asyncio.sleep(0.3)
            assert len(server.handled) <= listeners.PARSE_SIZE // len(GET) + (
                listeners.MAX_PIPELINED_REQUESTS
            )
            started.set()
            received = 0
            async with asyncio.timeout(20.0):
                while received < count:
                    line = await reader.readline()
                    assert line
                    received += line.startswith(b"HTTP")
            writer.close()

    asyncio.run(run())


def test_unparsed_requests_are_refused_when_memory_is_full():
    """Guards against memory that pipelined requests take before they run."""

    async def run():
        budget = byte_budgets.ByteBudget(2_000_000)
        async with Server(b"done\n", budget=budget) as server:
            started = asyncio.Event()

            async def handle(req):
                response = await server.handle(req)
                await started.wait()
                return response

            server.listener.handler = handle
            readers = [
                (await server.connect(3_000 * GET))[0] for _ in range(40)
            ]
            await asyncio.sleep(0.5)
            # One read and the connections themselves may exceed it.
            conns = 40 * connection_limits.CONNECTION_BYTES
            assert budget.used <= budget.limit + 262_144 + conns
            started.set()
            statuses = set()
            async with asyncio.timeout(20.0):
                for reader in readers[-4:]:
                    while line := await reader.readline():
                        if line.startswith(b"HTTP"):
                            statuses.add(line.split(b" ")[1])
                        if statuses == {b"200", b"503"}:
                            break
            assert b"503" in statuses
            assert statuses <= {b"200", b"503"}

    asyncio.run(run())


@pytest.mark.parametrize("idle", [True, False])
def test_connections_beyond_the_limit_wait(idle):
    """Guards against accepting until the process has no descriptor left."""

    async def run():
        async with Server(max_connections=4) as server:
            listener = server.listener
            crowd = []
            for _ in range(12):
                crowd.append(await server.connect(b"" if idle else b"GET /"))
            await asyncio.sleep(0.2)
            assert len(listener.conns) == 4
            reader, _ = await server.connect(GET)
            # Idle connections, and those whose heads do not come, give way.
            async with asyncio.timeout(30.0):
                assert int((await reader.readline()).split(b" ")[1]) == 200
            assert len(listener.conns) <= 4
            for _, writer in crowd:
                writer.close()

    assert caller_guards.IDLE_S < 15.0
    asyncio.run(run())


def reset(sock):
    """Closes a client's socket so that the system sends a reset."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


async def keep_connections(server, count):
    """Returns clients' sockets whose first request has been answered."""
    socks = []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", server.port))
        socks.append(sock)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, GET)
        assert await loop.sock_recv(sock, 1_024)
    return socks


def test_clients_that_reset_do_not_end_a_drain():
    """Guards against a planned stop that ends at the first reset connection.

    The event loop has not read the resets when the drain ends the connections.
    """

    async def run():
        async with Server() as server:
            socks = await keep_connections(server, 8)
            release = asyncio.Event()

            async def handle(req):
                await release.wait()
                return await server.handle(req)

            server.listener.handler = handle
            reader, _ = await server.connect(GET)
            while not any(conn.busy for conn in server.listener.conns):
                await asyncio.sleep(0.01)
            for sock in socks[::2]:
                reset(sock)
            server.listener.drain()
            release.set()
            assert await status_of(reader) == 200
            async with asyncio.timeout(5.0):
                while server.listener.conns:
                    await asyncio.sleep(0.01)
            for sock in socks[1::2]:
                assert sock.recv(1) == b""
                sock.close()

    asyncio.run(run())


def test_held_clients_that_leave_do_not_end_the_checks():
    """Guards against timeouts that no longer apply to anyone.

    The listener does not see that a client has left while it does not read, so
    the refusal of the held request meets a closed connection.
    """

    async def run():
        budget = byte_budgets.ByteBudget(1_000_000)
        async with Server(budget=budget) as server:
            _, writer = await server.connect(HEAD % 900_000)
            writer.write(820_000 * b"x")
            while budget.used < 820_000:
                await asyncio.sleep(0.01)
            socks = []
            for _ in range(4):
                sock = socket.create_connection(("127.0.0.1", server.port))
                sock.sendall(HEAD % 100_000 + 10_000 * b"y")
                socks.append(sock)
            reader, _ = await server.connect(HEAD % 100_000 + 10_000 * b"y")
            async with asyncio.timeout(5.0):
                while (
                    sum(c.held_since_s is not None for c in listed(server)) < 5
                ):
                    await asyncio.sleep(0.01)
            for sock in socks:
                sock.close()
            assert await status_of(reader) == 503
            server.listener.limits = short_limits(1.0)
            slow, _ = await server.connect(b"GET / HTTP/1.1\r\n")
            assert await status_of(slow) == 408

    asyncio.run(run())


def listed(server):
    return list(server.listener.conns)


@pytest.mark.parametrize("step", ["check", "drain"])
def test_a_failure_of_one_connection_ends_only_that_one(monkeypatch, step):
    """Guards against a defect at one connection that leaves others alone."""

    async def run():
        async with Server() as server:
            server.listener.limits = virtual_hosts.CallerLimits(
                16_384, MEGABYTE, 0.5, 60.0
            )
            socks = await keep_connections(server, 3)
            broken = listed(server)[1]
            unbroken = getattr(listeners.ListenerConnection, step)

            def fail(conn, *args):
                if conn is broken:
                    raise ValueError("defect")
                unbroken(conn, *args)

            monkeypatch.setattr(listeners.ListenerConnection, step, fail)
            if step == "drain":
                server.listener.drain()
                async with asyncio.timeout(5.0):
                    while server.listener.conns:
                        await asyncio.sleep(0.01)
            else:
                slow, _ = await server.connect(b"GET / HTTP/1.1\r\n")
                assert await status_of(slow) == 408
                assert broken not in server.listener.conns
            for sock in socks:
                sock.close()

    asyncio.run(run())
