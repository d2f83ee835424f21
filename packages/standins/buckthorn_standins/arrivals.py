"""Open-loop load: requests arrive at a rate, whatever became of the others.

One thread with asyncio sends thousands of requests at once, so the sender
does not slow down when the answers do.
"""

import asyncio
from collections.abc import Sequence
import random
import threading
import time
from typing import NamedTuple

GIVE_UP_S = 15.0
MAX_HEAD_BYTES = 65_536


class Stream(NamedTuple):
    """Requests to send.

    Attributes:
        addresses: Where to send them, each chosen at random.
        path: Path of each request.
        rate_per_s: Mean rate; arrivals are a Poisson process.
        method: Method of each request, which has no body.
        keyed: Whether each request gets an operation key of its own.
    """

    addresses: Sequence[str]
    path: str
    rate_per_s: float
    method: str = "GET"
    keyed: bool = False


class Answer(NamedTuple):
    """What became of a request.

    Attributes:
        due_s: When it arrived, in seconds since the start.
        seconds: Time from its arrival to the end of its answer.
        status: Status of the answer; 0 if there was none.
        not_run: Code of the refusal, if it has not run.
        error: Why there was no answer.
    """

    due_s: float
    seconds: float
    status: int = 0
    not_run: str = ""
    error: str = ""


class _Connections:
    """Idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[
            str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        ] = {}

    async def take(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self._idle.setdefault(address, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        host, port = address.rsplit(":", 1)
        return await asyncio.open_connection(host, int(port))

    def give_back(
        self,
        address: str,
        pair: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self._idle[address].append(pair)

    def close(self) -> None:
        for pairs in self._idle.values():
            for _, writer in pairs:
                writer.close()


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Returns status and headers of an answer."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return int(lines[0].split()[1]), headers


async def _ask(
    connections: _Connections, address: str, head: str
) -> tuple[int, str]:
    reader, writer = await connections.take(address)
    keep = False
    try:
        writer.write(f"{head}Host: {address}\r\n\r\n".encode())
        status = 100
        headers: dict[str, str] = {}
        while status < 200:
            found = await reader.readuntil(b"\r\n\r\n")
            status, headers = parse_head(found)
        if "content-length" in headers:
            await reader.readexactly(int(headers["content-length"]))
            keep = headers.get("connection", "").lower() != "close"
        else:
            await reader.read()
        return status, headers.get("buckthorn-not-run", "")
    finally:
        if keep:
            connections.give_back(address, (reader, writer))
        else:
            writer.close()


def _head(stream: Stream, rng: random.Random) -> str:
    head = f"{stream.method} {stream.path} HTTP/1.1\r\n"
    if stream.method != "GET":
        head += "Content-Length: 0\r\n"
    if stream.keyed:
        head += f"Idempotency-Key: {rng.getrandbits(128):032x}\r\n"
    return head


async def _send(
    stream: Stream, rng: random.Random, seconds: float, stop: threading.Event
) -> list[Answer]:
    connections = _Connections()
    answers: list[Answer] = []
    start_s = time.monotonic()

    async def one(due_s: float, address: str, head: str) -> None:
        try:
            async with asyncio.timeout(GIVE_UP_S):
                status, code = await _ask(connections, address, head)
                error = ""
        except (OSError, EOFError, ValueError) as exc:
            # TimeoutError is an OSError.
            status, code, error = 0, "", type(exc).__name__
        spent_s = time.monotonic() - start_s - due_s
        answers.append(Answer(due_s, spent_s, status, code, error))

    due_s = 0.0
    async with asyncio.TaskGroup() as group:
        while not stop.is_set():
            due_s += rng.expovariate(stream.rate_per_s)
            if due_s > seconds:
                break
            wait_s = start_s + due_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            address = rng.choice(stream.addresses)
            group.create_task(one(due_s, address, _head(stream, rng)))
    connections.close()
    return answers


class Load:
    """Sends several streams from a thread.

    Attributes:
        answers: Answers of each stream, once closed or waited for.
    """

    def __init__(self, streams: Sequence[Stream], seconds: float, seed: str):
        self.answers: list[list[Answer]] = []
        self._streams = streams
        self._seconds = seconds
        self._seed = seed
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to send."""
        self._thread.start()

    def wait(self) -> None:
        """Waits until all requests are sent and answered."""
        self._thread.join()

    def close(self) -> None:
        """Sends no more and waits for the answers."""
        self._stop.set()
        self.wait()

    def _run(self) -> None:
        asyncio.run(self._send_all())

    async def _send_all(self) -> None:
        self.answers = await asyncio.gather(
            *(
                _send(
                    stream,
                    random.Random(f"{self._seed}/{index}"),
                    self._seconds,
                    self._stop,
                )
                for index, stream in enumerate(self._streams)
            )
        )
