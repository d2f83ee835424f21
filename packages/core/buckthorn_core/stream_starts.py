"""Search for the first record of a stream that is still relevant."""

from buckthorn_core import claims
from buckthorn_core import ids
from buckthorn_core import ports

# A stream of at most this many records is read from its first one.
SHORT_STREAM = 256
# Log times of adjacent records are out of order by less than this.
MARGIN_MS = 60_000


class StartOffsetSearch:
    """Finds by bisection the offset from which an owner has to read.

    Records that are older than the last one by more than the longest life of a
    key don't affect any live key. Without the search, a new owner of a busy
    partition would read all records that the log retains.

    Attributes:
        start: The offset to read from; None while the search goes on.
        is_truncated: Whether relevant older records may be missing.
    """

    def __init__(self) -> None:
        self.start: ids.Offset | None = None
        self.is_truncated = False
        self._low = 0
        # Offset of a relevant record; None before the first read.
        self._high: int | None = None
        self._cutoff_ms: int | None = None

    @property
    def next_offset(self) -> ids.Offset:
        """Offset of the single record to read next."""
        if self._high is None:
            return ids.Offset(0)
        if self._cutoff_ms is None:
            return ids.Offset(self._high)
        return ids.Offset((self._low + self._high) // 2)

    def on_read(self, batch: ports.LogBatch) -> None:
        """Processes what was read at `next_offset`."""
        offset = self.next_offset
        if self._high is None:
            self._low, self._high = batch.first, batch.end - 1
            if batch.end - batch.first <= SHORT_STREAM:
                self._finish(batch.first, batch.first > 0)
            return
        if not batch.records or batch.records[0].offset != offset:
            # The log dropped records meanwhile, so the search starts again.
            self._high, self._cutoff_ms = None, None
            return
        time_ms = batch.records[0].time_ms
        if self._cutoff_ms is None:
            self._cutoff_ms = time_ms - claims.MAX_KEY_LIFETIME_MS - MARGIN_MS
        elif time_ms < self._cutoff_ms:
            self._low = offset + 1
        else:
            self._high = offset
        if self._low >= self._high:
            # If no irrelevant record was found, dropped ones may be relevant.
            at_first = self._high <= batch.first
            self._finish(self._high, at_first and batch.first > 0)

    def _finish(self, start: int, is_truncated: bool) -> None:
        self.start = ids.Offset(start)
        self.is_truncated = is_truncated
