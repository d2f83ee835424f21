"""Callers: a steady mix of lookups, orders and slow uploads."""

from collections.abc import Iterator
import enum
import hashlib
import json
import random
import threading
import time
from typing import Any
import uuid

import msgspec
import urllib3

ATTEMPT_TIMEOUT_S = 20.0
GIVE_UP_S = 25.0
UPLOAD_PIECES = 20
UPLOAD_PIECE_BYTES = 8_192
NOT_RUN_HEADER = "Buckthorn-Not-Run"
OUTCOME_HEADER = "Buckthorn-Outcome"


class Kind(enum.Enum):
    """Kinds of requests."""

    LOOKUP = "lookup"
    ORDER = "order"
    UPLOAD = "upload"


class Attempt(msgspec.Struct):
    """One attempt at a request.

    Attributes:
        id: Its id, which the upstream records.
        status: Status of the answer; 0 if there was none.
        not_run: Code of the refusal, if the answer says it has not run.
        unknown: Whether the answer says that the outcome can't be known.
        error: Why there was no answer.
    """

    id: str
    status: int = 0
    not_run: str = ""
    unknown: bool = False
    error: str = ""


class Outcome(msgspec.Struct):
    """A request of a caller.

    Attributes:
        id: Its id.
        kind: Its kind.
        key: Its operation key; empty for lookups.
        digest: Digest of its body.
        attempts: All attempts.
        answered: Whether a whole and right answer has come.
        cut: Whether an answer was cut short or not its own.
        seconds: Time until the answer.
    """

    id: str
    kind: Kind
    key: str
    digest: str
    attempts: list[Attempt]
    answered: bool = False
    cut: bool = False
    seconds: float = 0.0


class Callers:
    """Sends requests from a number of threads until told to stop.

    A caller moves on to another daemon when one refuses or is gone. It repeats
    an order with the same operation key, and the answer may then be the one
    that an earlier attempt earned.

    Attributes:
        outcomes: All finished requests.
    """

    def __init__(
        self,
        addresses: list[str],
        paths: dict[Kind, str],
        threads: dict[Kind, int],
        pause_s: float,
        seed: int,
    ):
        self.outcomes: list[Outcome] = []
        self._addresses = addresses
        self._paths = paths
        self._pause_s = pause_s
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._loop,
                args=(kind, random.Random(f"{seed}/{kind.value}/{n}")),
                daemon=True,
            )
            for kind, count in threads.items()
            for n in range(count)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stops new requests and waits for those in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join(GIVE_UP_S + ATTEMPT_TIMEOUT_S)

    def _loop(self, kind: Kind, rng: random.Random) -> None:
        pool = urllib3.PoolManager(retries=False, maxsize=1)
        while not self._stop.is_set():
            outcome = self._run(kind, rng, pool)
            with self._lock:
                self.outcomes.append(outcome)
            time.sleep(self._pause_s * (0.5 + rng.random()))

    def _run(
        self, kind: Kind, rng: random.Random, pool: urllib3.PoolManager
    ) -> Outcome:
        body = _make_body(kind, rng)
        outcome = Outcome(
            id=uuid.uuid4().hex,
            kind=kind,
            key="" if kind is Kind.LOOKUP else uuid.uuid4().hex,
            digest=hashlib.sha256(body).hexdigest(),
            attempts=[],
        )
        started_s = time.monotonic()
        address = rng.choice(self._addresses)
        while time.monotonic() - started_s < GIVE_UP_S:
            attempt = Attempt(uuid.uuid4().hex)
            outcome.attempts.append(attempt)
            self._attempt(outcome, attempt, address, body, pool)
            if outcome.answered or outcome.cut:
                break
            if attempt.unknown:
                break
            address = rng.choice(self._addresses)
            time.sleep(0.1 + 0.2 * rng.random())
        outcome.seconds = time.monotonic() - started_s
        return outcome

    def _attempt(
        self,
        outcome: Outcome,
        attempt: Attempt,
        address: str,
        body: bytes,
        pool: urllib3.PoolManager,
    ) -> None:
        headers = {"X-Request-Id": outcome.id, "X-Attempt-Id": attempt.id}
        if outcome.key:
            headers["Idempotency-Key"] = outcome.key
        lookup = outcome.kind is Kind.LOOKUP
        data: Any = None if lookup else body
        if outcome.kind is Kind.UPLOAD:
            headers["Content-Length"] = str(len(body))
            data = _slowly(body)
        url = f"http://{address}{self._paths[outcome.kind]}{outcome.id}"
        try:
            resp = pool.request(
                "GET" if lookup else "POST",
                url,
                body=data,
                headers=headers,
                timeout=urllib3.Timeout(connect=2.0, read=ATTEMPT_TIMEOUT_S),
            )
        except urllib3.exceptions.NewConnectionError as exc:
            attempt.not_run = "no_connection"
            attempt.error = str(exc)
            return
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            attempt.error = f"{type(exc).__name__}: {exc}"
            return
        attempt.status = resp.status
        attempt.not_run = resp.headers.get(NOT_RUN_HEADER, "")
        attempt.unknown = resp.headers.get(OUTCOME_HEADER) == "unknown"
        if resp.status == 200:
            self._check(outcome, resp.data, len(body))

    def _check(self, outcome: Outcome, data: bytes, size: int) -> None:
        try:
            answer = json.loads(data)
        except ValueError:
            outcome.cut = True
            return
        lookup = outcome.kind is Kind.LOOKUP
        outcome.answered = (
            answer.get("request") == outcome.id
            and answer.get("attempt") in {a.id for a in outcome.attempts}
            and (lookup or answer.get("digest") == outcome.digest)
            and (lookup or answer.get("bytes") == size)
        )
        outcome.cut = not outcome.answered


def _make_body(kind: Kind, rng: random.Random) -> bytes:
    if kind is Kind.LOOKUP:
        return b""
    if kind is Kind.ORDER:
        return rng.randbytes(200)
    return rng.randbytes(UPLOAD_PIECES * UPLOAD_PIECE_BYTES)


def _slowly(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), UPLOAD_PIECE_BYTES):
        yield body[start : start + UPLOAD_PIECE_BYTES]
        time.sleep(0.1)
