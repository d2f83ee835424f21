"""Stand-in for the platform's log service, with faults that can be set.

Interface: `POST /v1/streams/NAME/records` appends, `GET` on the same path
with `from` and `limit` reads, `POST /v1/faults` sets `Faults`,
`POST /v1/copy` copies all streams, `POST /v1/restore` brings the copy back, and
`GET /v1/requests` returns the number of requests on streams by period of 100
ms since the epoch.
"""

import collections
import copy
import threading
import time
from typing import Any
import urllib.parse

from absl import app
from absl import flags
from cheroot import wsgi
import msgspec

_LISTEN = flags.DEFINE_string("listen", "127.0.0.1:20000", "IP:port.")
_RETENTION_S = flags.DEFINE_float("retention_s", 3600.0, "Age of a record.")
_APPENDS_PER_S = flags.DEFINE_float("appends_per_s", 300.0, "Append limit.")

MAX_BODY_BYTES = 4 * 1_048_576
COUNT_PERIOD_MS = 100


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force.

    Attributes:
        down: Every request fails.
        delay_ms: Pause before each answer, in ms.
        lose_answers: This many appends take effect but answer with an error.
        drop_before: Records below this offset are dropped in all streams.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    drop_before: int = 0


class Stream:
    """Records of one stream."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[int, int, bytes]] = []

    @property
    def end(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)

    def append(self, data: bytes) -> int:
        """Appends a record and returns its offset."""
        offset = self.end
        self.records.append((offset, time.time_ns() // 1_000_000, data))
        return offset

    def drop(self, before: int) -> None:
        """Drops records below an offset."""
        count = min(len(self.records), max(0, before - self.first))
        del self.records[:count]
        self.first += count

    def expire(self, oldest_ms: int) -> None:
        """Drops records older than a time."""
        while self.records and self.records[0][1] < oldest_ms:
            self.drop(self.first + 1)

    def read(self, start: int, limit: int) -> list[tuple[int, int, bytes]]:
        """Returns records from an offset on."""
        index = max(0, start - self.first)
        return self.records[index : index + limit]


class LogService:
    """The streams, as a WSGI application."""

    def __init__(self, retention_s: float, appends_per_s: float):
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._lock = threading.Lock()
        self._streams: dict[str, Stream] = {}
        self._tokens = appends_per_s
        self._refilled_s = time.monotonic()
        self._requests: collections.Counter[int] = collections.Counter()
        self._copy: dict[str, Stream] = {}
        self._epoch = 0
        self.faults = Faults()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serves a request."""
        status, body = self._serve(environ)
        start_response(
            status,
            [
                ("Content-Length", str(len(body))),
                ("Log-Epoch", str(self._epoch)),
            ],
        )
        return [body]

    def _serve(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        control = {
            "/v1/faults": lambda: self._set_faults(_read_body(environ)),
            "/v1/copy": self._copy_streams,
            "/v1/restore": self._restore_streams,
            "/v1/requests": self._list_requests,
        }.get(path)
        if control is not None:
            return control()
        self._count_request()
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return "503 Service Unavailable", b""
        parts = path.split("/")
        if parts[1:3] != ["v1", "streams"] or parts[-1] != "records":
            return "404 Not Found", b""
        if method == "POST":
            return self._append(parts[3], _read_body(environ))
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        start = int(query.get("from", ["0"])[0])
        limit = int(query.get("limit", ["256"])[0])
        return self._read(parts[3], start, limit)

    def _set_faults(self, body: bytes) -> tuple[str, bytes]:
        self.faults = msgspec.json.decode(body, type=Faults)
        with self._lock:
            for stream in self._streams.values():
                stream.drop(self.faults.drop_before)
        return "200 OK", b"{}"

    def _copy_streams(self) -> tuple[str, bytes]:
        with self._lock:
            self._copy = copy.deepcopy(self._streams)
        return "200 OK", b"{}"

    def _restore_streams(self) -> tuple[str, bytes]:
        """Brings the copy back: what was appended since is lost."""
        with self._lock:
            self._streams = copy.deepcopy(self._copy)
            self._epoch += 1
        return "200 OK", b"{}"

    def _list_requests(self) -> tuple[str, bytes]:
        with self._lock:
            return "200 OK", msgspec.json.encode(self._requests)

    def _count_request(self) -> None:
        period = time.time_ns() // (COUNT_PERIOD_MS * 1_000_000)
        with self._lock:
            self._requests[period] += 1

    def _append(self, name: str, data: bytes) -> tuple[str, bytes]:
        with self._lock:
            if not self._take_token():
                return "429 Too Many Requests", b""
            offset = self._streams.setdefault(name, Stream()).append(data)
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return "504 Gateway Timeout", b""
        return "200 OK", msgspec.json.encode({"offset": offset})

    def _read(self, name: str, start: int, limit: int) -> tuple[str, bytes]:
        with self._lock:
            stream = self._streams.setdefault(name, Stream())
            stream.expire(int((time.time() - self._retention_s) * 1000))
            body = msgspec.msgpack.encode(
                {
                    "first": stream.first,
                    "next": stream.end,
                    "records": stream.read(start, limit),
                }
            )
        return "200 OK", body

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * self._appends_per_s
        self._tokens = min(self._appends_per_s, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _read_body(environ: dict[str, Any]) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return bytes(environ["wsgi.input"].read(min(length, MAX_BODY_BYTES)))


def main(argv: list[str]) -> None:
    """Serves until the process is ended."""
    del argv
    host, port = _LISTEN.value.rsplit(":", 1)
    service = LogService(_RETENTION_S.value, _APPENDS_PER_S.value)
    server = wsgi.Server((host, int(port)), service, numthreads=16)
    server.keep_alive_conn_limit = 4096
    server.start()


if __name__ == "__main__":
    app.run(main)
