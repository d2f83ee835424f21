"""Fake log with retention, outages and lost responses."""

import collections
import copy

from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from tests.fakes import clocks


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[ports.LogRecord] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class FakeLog:
    """Implements `ports.LogService`.

    Attributes:
        down: Whether every call fails without effect.
        failures_after_append: Number of appends that take effect and then
            fail.
        read_limit: Most records of one read; a small limit makes a slow log.
        cut: Names of readers that can't reach the log.
        epoch: Rises with each restoration.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._streams: dict[str, _Stream] = collections.defaultdict(_Stream)
        self._copy: dict[str, _Stream] = {}
        self.epoch = ids.LogEpoch(0)
        self.down = False
        self.failures_after_append = 0
        self.read_limit = 256
        self.cut: set[str] = set()

    def append(self, stream: str, data: bytes) -> ids.Offset:
        self._check("")
        stored = self._streams[stream]
        offset = ids.Offset(stored.end)
        time_ms = self._clock.time_ns() // 1_000_000
        stored.records.append(ports.LogRecord(offset, time_ms, data))
        if self.failures_after_append > 0:
            self.failures_after_append -= 1
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE, "the answer was lost"
            )
        return offset

    def read(
        self, stream: str, start: ids.Offset, limit: int = 256
    ) -> ports.LogBatch:
        self._check("")
        stored = self._streams[stream]
        index = max(0, start - stored.first)
        max_records = min(limit, self.read_limit)
        return ports.LogBatch(
            ids.Offset(stored.first),
            ids.Offset(stored.end),
            stored.records[index : index + max_records],
            self.epoch,
        )

    def back_up(self) -> None:
        """Keeps a copy for `restore`."""
        self._copy = copy.deepcopy(dict(self._streams))

    def restore(self) -> None:
        """Comes back from the copy; what was appended since is lost."""
        self._streams.clear()
        self._streams.update(copy.deepcopy(self._copy))
        self.epoch = ids.LogEpoch(self.epoch + 1)

    def expire(self, stream: str, before: int) -> None:
        """Deletes the records below an offset, as retention does."""
        stored = self._streams[stream]
        count = max(0, min(len(stored.records), before - stored.first))
        del stored.records[:count]
        stored.first += count

    def end(self, stream: str) -> int:
        return self._streams[stream].end

    def view_for(self, name: str) -> ports.LogService:
        """Returns the log for one reader, which `cut` can disconnect."""
        return _ReaderView(self, name)

    def _check(self, name: str) -> None:
        if self.down or name in self.cut:
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE, "the log is down"
            )


class _ReaderView:
    def __init__(self, log: FakeLog, name: str):
        self._log = log
        self._name = name

    def append(self, stream: str, data: bytes) -> ids.Offset:
        self._log._check(self._name)
        return self._log.append(stream, data)

    def read(
        self, stream: str, start: ids.Offset, limit: int = 256
    ) -> ports.LogBatch:
        self._log._check(self._name)
        return self._log.read(stream, start, limit)

    def close(self) -> None:
        pass
