"""HTTP client of the platform's log service."""

from collections.abc import Callable
import json
from typing import Any

import msgspec
import urllib3
import zstandard

from buckthorn_adapters import limited_responses
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_core import traffic

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
# Longest time for a whole response, in seconds.
RESPONSE_TIMEOUT_S = 30.0
MAX_BATCH_BYTES = 64 * 1_048_576
# Of all responses: rises each time the log is restored from a copy.
EPOCH_HEADER = "Log-Epoch"

CountBytes = Callable[[str, int], None]


class _WireRecord(msgspec.Struct, array_like=True):
    offset: int
    time_ms: int
    data: bytes


class _WireBatch(msgspec.Struct):
    first: int
    next: int
    records: list[_WireRecord]


class HttpLogClient:
    """Appends records to streams of the log service, and reads them.

    Records are compressed with zstd.
    """

    def __init__(
        self,
        url: str,
        control_traffic: traffic.ControlTraffic,
        scope: traffic.Scope,
    ):
        self._url = url.rstrip("/")
        self._control_traffic = control_traffic
        self._scope = scope
        self._decoder = msgspec.msgpack.Decoder(_WireBatch)
        self._pool = limited_responses.PoolManager(
            maxsize=4,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )

    def close(self) -> None:
        """Closes all connections."""
        self._pool.clear()

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends a record.

        Raises:
            errors.LogError: The append failed, or its response was lost; then
                the record may have been appended.
        """
        compressed = zstandard.compress(data)
        if len(compressed) > records.MAX_RECORD_BYTES:
            raise errors.LogError(
                errors.Code.RECORD_TOO_LARGE,
                f"record of {len(compressed)} bytes is too large",
            )
        body, _ = self._request(
            "POST", f"/v1/streams/{stream}/records", "log_append", compressed
        )
        try:
            return ids.Offset(int(json.loads(body)["offset"]))
        except (ValueError, KeyError, TypeError) as exc:
            raise errors.LogError(errors.Code.BAD_RECORD, str(exc)) from exc

    def read(
        self, stream: str, start: ids.Offset, limit: int = 256
    ) -> ports.LogBatch:
        """Reads up to `limit` records, starting at an offset.

        A record that can't be decompressed is returned unchanged, so that its
        reader reports it as malformed.

        Raises:
            errors.LogError: The log can't be read now.
        """
        body, epoch = self._request(
            "GET",
            f"/v1/streams/{stream}/records?from={start}&limit={limit}",
            "log_read",
        )
        try:
            batch = self._decoder.decode(body)
        except msgspec.DecodeError as exc:
            raise errors.LogError(errors.Code.BAD_RECORD, str(exc)) from exc
        return ports.LogBatch(
            first=ids.Offset(batch.first),
            end=ids.Offset(batch.next),
            records=[
                ports.LogRecord(
                    ids.Offset(r.offset), r.time_ms, _decompress(r.data)
                )
                for r in batch.records
            ],
            epoch=epoch,
        )

    def _request(
        self, method: str, path: str, kind: str, body: bytes = b""
    ) -> tuple[bytes, ids.LogEpoch]:
        """Returns the response's body and the log's epoch."""
        options: dict[str, Any] = {"body": body} if body else {}
        try:
            resp = self._pool.request(
                method, self._url + path, preload_content=False, **options
            )
            data = limited_responses.read_body(
                resp, MAX_BATCH_BYTES, RESPONSE_TIMEOUT_S
            )
            resp.release_conn()
        except urllib3.exceptions.HTTPError as exc:
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE, str(exc), 1.0
            ) from exc
        size = len(path) + len(body) + len(data)
        self._control_traffic.add(kind, self._scope, size)
        if resp.status != 200:
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE, f"status {resp.status}", 1.0
            )
        epoch = resp.headers.get(EPOCH_HEADER, "")
        return data, ids.LogEpoch(int(epoch) if epoch.isdecimal() else 0)


def _decompress(data: bytes) -> bytes:
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= records.MAX_RECORD_BYTES:
            return b""
        return zstandard.decompress(data)
    except zstandard.ZstdError:
        return data
