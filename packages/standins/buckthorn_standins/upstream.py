"""Stand-in for an upstream, which records each request that it runs.

It announces itself to the daemon beside it every second. SIGTERM makes it
drain: it announces that it leaves, finishes what it runs, and exits.
"""

import hashlib
import json
import os
import signal
import threading
import time
from typing import Any
import urllib.parse

from absl import app
from absl import flags
from cheroot import wsgi
import msgspec
import urllib3

_LISTEN = flags.DEFINE_string("listen", "127.0.0.1:21000", "IP:port.")
_ADMIN = flags.DEFINE_string("admin", "127.0.0.1:22000", "Daemon's admin.")
_NAME = flags.DEFINE_string("name", "upstream", "Name in the records.")
_SERVICE = flags.DEFINE_string("service", "echo", "Name of the service.")
_SLOTS = flags.DEFINE_integer("slots", 8, "Requests run at once.")
_CONNECTIONS = flags.DEFINE_integer("connections", 64, "Connections taken.")
_SERVICE_MS = flags.DEFINE_float("service_ms", 2.0, "Time of a request.")
_RECORD = flags.DEFINE_string("record", "", "File for the records.")
_LINGER_S = flags.DEFINE_float(
    "linger_s", 0.0, "Time between announcing the end and the end."
)

ANNOUNCE_S = 1.0
PIECE_BYTES = 65_536


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force.

    Attributes:
        delay_ms: Added to the time of each request, in ms.
        crash_on: A request whose path contains this ends the process.
        claimed_slots: Slots to announce in place of the real number.
        shed: Every request is refused as not run.
    """

    delay_ms: float = 0.0
    crash_on: str = ""
    claimed_slots: int = 0
    shed: bool = False


class Upstream:
    """A WSGI application that answers with what it received."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running = 0
        self._file = open(_RECORD.value or os.devnull, "a", buffering=1)  # noqa: SIM115
        self.faults = Faults()
        self.draining = False

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return self._running

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serves a request."""
        path = environ["PATH_INFO"]
        if path == "/faults":
            body = environ["wsgi.input"].read(
                int(environ.get("CONTENT_LENGTH") or 0)
            )
            self.faults = msgspec.json.decode(body, type=Faults)
            return _answer(start_response, "200 OK", {})
        if _has_expired(environ):
            return _refuse(start_response, "claim_expired")
        with self._lock:
            if self.faults.shed or self._running >= _SLOTS.value:
                return _refuse(start_response, "upstream_shed")
            self._running += 1
        try:
            return self._run(environ, start_response)
        finally:
            with self._lock:
                self._running -= 1

    def _run(self, environ: dict[str, Any], start_response: Any) -> Any:
        record = {
            "upstream": _NAME.value,
            "service": _SERVICE.value,
            "time_ms": time.time_ns() // 1_000_000,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "request": environ.get("HTTP_X_REQUEST_ID", ""),
            "attempt": environ.get("HTTP_X_ATTEMPT_ID", ""),
            "key": environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        }
        self._write({**record, "event": "begin"})
        if self.faults.crash_on and self.faults.crash_on in record["path"]:
            os._exit(70)
        size, digest, complete = _read_body(environ)
        time.sleep((_SERVICE_MS.value + self.faults.delay_ms) / 1000)
        result = {**record, "bytes": size, "digest": digest}
        self._write({**result, "event": "end", "complete": complete})
        if not complete:
            return _answer(start_response, "400 Bad Request", result)
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        padding = int(query.get("answer_bytes", ["0"])[0])
        return _answer(
            start_response, "200 OK", {**result, "padding": "x" * padding}
        )

    def _write(self, record: dict[str, Any]) -> None:
        line = json.dumps(record) + "\n"
        with self._lock:
            self._file.write(line)

    def announcement(self) -> dict[str, Any]:
        """Returns what to announce."""
        return {
            "service": _SERVICE.value,
            "port": int(_LISTEN.value.rsplit(":", 1)[1]),
            "state": "draining" if self.draining else "up",
            "slots": self.faults.claimed_slots or _SLOTS.value,
            "connections": _CONNECTIONS.value,
            "running": self._running,
        }


def _has_expired(environ: dict[str, Any]) -> bool:
    """Returns whether the claim of the request's operation key is over."""
    expires = environ.get("HTTP_BUCKTHORN_EXPIRES")
    return expires is not None and time.time() * 1000 >= int(expires)


def _refuse(start_response: Any, code: str) -> list[bytes]:
    start_response(
        "503 Service Unavailable",
        [
            ("Buckthorn-Not-Run", code),
            ("Retry-After", "1"),
            ("Content-Length", "0"),
        ],
    )
    return [b""]


def _answer(start_response: Any, status: str, document: Any) -> list[bytes]:
    body = json.dumps(document).encode()
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]


def _read_body(environ: dict[str, Any]) -> tuple[int, str, bool]:
    """Returns size and digest of the body, and whether it is complete."""
    stream = environ["wsgi.input"]
    length = environ.get("CONTENT_LENGTH")
    hasher = hashlib.sha256()
    size = 0
    if not length and "HTTP_TRANSFER_ENCODING" not in environ:
        return 0, hasher.hexdigest(), True
    try:
        while data := stream.read(PIECE_BYTES):
            hasher.update(data)
            size += len(data)
    except (OSError, ValueError):
        return size, hasher.hexdigest(), False
    return size, hasher.hexdigest(), not length or size == int(length)


def _announce(upstream: Upstream, pool: urllib3.PoolManager) -> None:
    try:
        pool.request(
            "POST",
            f"http://{_ADMIN.value}/v1/announce",
            body=json.dumps(upstream.announcement()).encode(),
            retries=False,
            timeout=1.0,
        )
    except urllib3.exceptions.HTTPError:
        return


def main(argv: list[str]) -> None:
    """Serves until SIGTERM."""
    del argv
    upstream = Upstream()
    host, port = _LISTEN.value.rsplit(":", 1)
    server = wsgi.Server(
        (host, int(port)), upstream, numthreads=_SLOTS.value + 4
    )
    server.keep_alive_conn_limit = 4096
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    pool = urllib3.PoolManager()
    while not stop.wait(ANNOUNCE_S):
        _announce(upstream, pool)
    upstream.draining = True
    end_s = time.monotonic() + _LINGER_S.value
    _announce(upstream, pool)
    while (left_s := end_s - time.monotonic()) > 0:
        time.sleep(min(ANNOUNCE_S, left_s))
        _announce(upstream, pool)
    while upstream.running:
        time.sleep(0.05)
    server.shutdown_timeout = 1
    server.stop()


if __name__ == "__main__":
    app.run(main)
