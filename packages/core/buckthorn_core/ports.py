"""Ports: interfaces that the core and the daemon need adapters for."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from buckthorn_core import ids


class LogRecord(NamedTuple):
    """A record as the log service returns it; time in ms since the epoch."""

    offset: ids.Offset
    time_ms: int
    data: bytes


class LogBatch(NamedTuple):
    """Result of a read.

    Attributes:
        first: First offset that the stream still holds.
        end: Offset of the next record to be appended.
        records: The records, ordered by offset.
        epoch: Epoch of the log; rises each time it is restored from a copy.
            Offsets can only be compared within an epoch.
    """

    first: ids.Offset
    end: ids.Offset
    records: Sequence[LogRecord]
    epoch: ids.LogEpoch = ids.FIRST_EPOCH


class LogService(Protocol):
    """The platform's append-only log, with a limited retention."""

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends a record.

        Raises:
            errors.LogError: The append failed, or its answer was lost; the
                record may have been appended in the latter case.
        """
        ...

    def read(
        self, stream: str, start: ids.Offset, limit: int = 256
    ) -> LogBatch:
        """Reads up to `limit` records from an offset on.

        Raises:
            errors.LogError: The log can't be read at present.
        """
        ...


class DeltaCodec(Protocol):
    """Compresses a document against an older one."""

    def encode(self, data: bytes, base: bytes | None) -> bytes:
        """Compresses data, relative to the base if there is one."""
        ...

    def decode(self, data: bytes, base: bytes | None) -> bytes:
        """Decompresses data.

        Raises:
            errors.PeerError: The data is damaged, too long, or was compressed
                relative to another base.
        """
        ...
