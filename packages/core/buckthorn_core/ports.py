"""Ports: what the core and the daemon need from the outside."""

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
    """Records of one read.

    Attributes:
        first: First offset that the stream still holds.
        end: Offset that the next append will get.
        records: Records in order.
    """

    first: ids.Offset
    end: ids.Offset
    records: Sequence[LogRecord]


class LogService(Protocol):
    """The platform's append-only log, which keeps records for a time."""

    def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends a record.

        Raises:
            errors.LogError: The append failed, or its answer was lost, in
                which case the record may have been appended.
        """
        ...

    def read(
        self, stream: str, start: ids.Offset, limit: int = 256
    ) -> LogBatch:
        """Reads records from an offset on.

        Raises:
            errors.LogError: The log can't be read now.
        """
        ...


class DeltaCodec(Protocol):
    """Compresses a document against an older one."""

    def encode(self, data: bytes, base: bytes | None) -> bytes:
        """Compresses data, against the base if there is one."""
        ...

    def decode(self, data: bytes, base: bytes | None) -> bytes:
        """Restores data.

        Raises:
            errors.PeerError: The data is damaged, too long, or compressed
                against another base.
        """
        ...
