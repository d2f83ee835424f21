"""Stand-in for the network: forwards TCP with latency, a rate and faults.

The plan is a JSON file with `Plan`. A control port takes one JSON object a
line: `{"op": "stats"}` returns bytes by kind and scope, and
`{"op": "fault", "listens": [...], "fault": "cut"}` sets a fault.
"""

import asyncio
import collections
import json
import pathlib
from typing import Any

from absl import app
from absl import flags
import msgspec

_PLAN = flags.DEFINE_string("plan", "plan.json", "JSON file with the plan.")

PIECE_BYTES = 65_536


class Port(msgspec.Struct, forbid_unknown_fields=True):
    """A forwarded port.

    Attributes:
        listen: Where to listen.
        target: Where to forward to.
        scope: Name of the path whose rate is shared, such as `region`.
        kind: What the bytes are, such as `peer`.
        latency_ms: One-way latency, in ms.
    """

    listen: str
    target: str
    scope: str
    kind: str
    latency_ms: float


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """What to forward.

    Attributes:
        control: Address of the control port.
        ports: The forwarded ports.
        rates_mbit_s: Rate of each direction by scope, in Mbit/s.
    """

    control: str
    ports: list[Port]
    rates_mbit_s: dict[str, float] = {}


class Rate:
    """Shares a rate among all transfers of a scope and direction."""

    def __init__(self, mbit_s: float):
        self._bytes_per_s = mbit_s * 1e6 / 8
        self._free_s = 0.0

    def delay_s(self, size: int, now_s: float) -> float:
        """Returns how long the bytes take to get through, in seconds."""
        self._free_s = max(self._free_s, now_s) + size / self._bytes_per_s
        return self._free_s - now_s


class Link:
    """Forwards the ports of a plan."""

    def __init__(self, plan: Plan):
        self._plan = plan
        self._bytes: collections.Counter[str] = collections.Counter()
        self._faults: dict[str, str] = {}
        self._rates = {
            (scope, direction): Rate(rate)
            for scope, rate in plan.rates_mbit_s.items()
            for direction in ("up", "down")
        }
        self._writers: dict[str, set[asyncio.StreamWriter]] = (
            collections.defaultdict(set)
        )

    async def run(self) -> None:
        """Serves until the process is ended."""
        for port in self._plan.ports:
            host, number = port.listen.rsplit(":", 1)
            await asyncio.start_server(
                lambda r, w, p=port: self._forward(p, r, w),  # type: ignore[misc]
                host,
                int(number),
                backlog=512,
            )
        host, number = self._plan.control.rsplit(":", 1)
        server = await asyncio.start_server(self._control, host, int(number))
        await server.serve_forever()

    async def _forward(
        self,
        port: Port,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._faults.get(port.listen) == "cut":
            writer.close()
            return
        await asyncio.sleep(port.latency_ms / 1000)
        host, number = port.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(
                host, int(number)
            )
        except OSError:
            writer.close()
            return
        self._writers[port.listen] |= {writer, to_writer}
        await asyncio.gather(
            self._pump(port, "up", reader, to_writer),
            self._pump(port, "down", to_reader, writer),
        )
        self._writers[port.listen] -= {writer, to_writer}

    async def _pump(
        self,
        port: Port,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)
        sender = asyncio.create_task(_send(queue, writer))
        rate = self._rates.get((port.scope, direction))
        try:
            while True:
                data = await reader.read(PIECE_BYTES)
                fault = self._faults.get(port.listen, "")
                if fault in ("silent", f"silent-{direction}"):
                    if not data:
                        break
                    continue
                self._bytes[f"{port.kind}/{port.scope}"] += len(data)
                now_s = loop.time()
                wait_s = rate.delay_s(len(data), now_s) if rate else 0.0
                due_s = now_s + wait_s + port.latency_ms / 1000
                await queue.put((due_s, data))
                if not data:
                    break
        except OSError:
            await queue.put((loop.time(), b""))
        await sender

    async def _control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            answer = self._command(json.loads(line))
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    def _command(self, command: dict[str, Any]) -> dict[str, Any]:
        if command["op"] == "stats":
            return dict(self._bytes)
        for listen in command["listens"]:
            self._faults[listen] = command["fault"]
            if command["fault"] == "cut":
                for writer in self._writers[listen]:
                    writer.close()
        return {}


async def _send(
    queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s, data = await queue.get()
        if (wait_s := due_s - loop.time()) > 0:
            await asyncio.sleep(wait_s)
        try:
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()
        except OSError:
            writer.close()


def main(argv: list[str]) -> None:
    """Forwards until the process is ended."""
    del argv
    plan = msgspec.json.decode(
        pathlib.Path(_PLAN.value).read_bytes(), type=Plan
    )
    asyncio.run(Link(plan).run())


if __name__ == "__main__":
    app.run(main)
