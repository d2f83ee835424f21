"""The owner of a partition of operation keys.

The owner grants a claim only after it has read the claim in the log's stream
and found no earlier one of the key. Two owners at once are therefore
harmless: both read the same order. Whoever drives an owner asks it for the
next step, carries the step out, and reports what came of it.
"""

import collections
import random
from typing import NamedTuple

from buckthorn_core import claims
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import key_tables
from buckthorn_core import pending_claims
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_core import stream_starts

BATCH_S = 0.02
# Ends of requests are in no hurry; most go along with a claim.
FINAL_WAIT_S = 0.2
APPEND_SPACING_S = 0.08
REFRESH_S = 1.0
ACTIVE_S = 30.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
READ_AGAIN_S = 0.01
# A read never holds more than this many records in memory.
READ_LIMIT = 64
MAX_ITEMS = 512
MAX_BATCH_BYTES = 524_288
ITEM_OVERHEAD_BYTES = 64
MAX_WAITING = 2_048
MAX_FINALS = 512
MAX_SETTLED = 4_096
MIN_POLL_MS = 5
MAX_POLL_MS = 250


class ReadStep(NamedTuple):
    """Step: read the stream from an offset on.

    Attributes:
        start: The offset.
        limit: Most records to read.
    """

    start: ids.Offset
    limit: int


class AppendStep(NamedTuple):
    """Step: append a record."""

    batch: claims.ClaimBatch


class PartitionOwner:
    """Decides on the claims of a partition.

    Args:
        partition: The partition.
        daemon: The daemon that owns it.
        key: Key that authenticates records.
        retention_ms: Time for which the log keeps records at least.
        rng: Source of ids and of jitter.

    Attributes:
        partition: The partition.
        ledger: What has been read of its stream.
    """

    def __init__(
        self,
        partition: int,
        daemon: ids.DaemonId,
        key: bytes,
        retention_ms: int,
        rng: random.Random,
    ):
        self.partition = partition
        self.key_table = key_tables.KeyTable(retention_ms)
        self._daemon = daemon
        self._key = key
        self._rng = rng
        self._waiting = pending_claims.PendingClaims()
        self._finals: dict[bytes, claims.Final] = {}
        self._finals_since_s = 0.0
        self._settled: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._sent: claims.ClaimBatch | None = None
        self._acknowledged: ids.Offset | None = None
        self._busy = False
        self._loaded = False
        self._search: stream_starts.StartOffsetSearch | None = (
            stream_starts.StartOffsetSearch()
        )
        self._read_wanted = True
        self._not_before_s = 0.0
        self._append_from_s = 0.0
        self._down_until_s = 0.0
        self._failures = 0
        self._read_s = float("-inf")
        self._used_s = float("-inf")

    # Messages of holders.

    def claim(
        self, claim: claims.Claim, now_s: float, now_ms: int
    ) -> claims.Answer:
        """Answers a claim; a holder repeats it while it is pending."""
        self._used_s = now_s
        waiter = self._waiting.get(claim.token)
        if waiter is not None and waiter.failed:
            self._waiting.drop(claim.token)
            return self._unavailable(now_s)
        answer = self._decide(claim, waiter, now_ms)
        if answer is not None:
            self._waiting.drop(claim.token)
            return answer
        if waiter is not None:
            waiter.asked_s = now_s
            return claims.Answer(
                claims.Verdict.PENDING, retry_ms=2 * MIN_POLL_MS
            )
        return self._admit(claim, now_s)

    def record_finals(
        self, finals: list[claims.Final], now_s: float
    ) -> list[bytes]:
        """Takes ends of requests; a holder repeats them until they are settled.

        Returns:
            Tokens of those that are recorded.
        """
        self._used_s = now_s
        done = []
        for final in finals:
            token = final.token
            if token in self._settled or (
                self._loaded and self.key_table.has_final(final)
            ):
                done.append(token)
            elif token not in self._finals and len(self._finals) < MAX_FINALS:
                if not self._finals:
                    self._finals_since_s = now_s
                self._finals[token] = final
        return done

    def idle_s(self, now_s: float) -> float:
        """Returns how long no holder has asked anything, in seconds."""
        return now_s - self._used_s

    @property
    def has_work(self) -> bool:
        """Whether a claim or an end of a request waits for the log."""
        queued = self._waiting.queued_since_s is not None
        return bool(queued or self._finals or self._sent)

    # Steps.

    def next_step(
        self, now_s: float, now_ms: int
    ) -> ReadStep | AppendStep | None:
        """Returns what to do now; its result must be reported."""
        if self._busy or now_s < max(self._not_before_s, self._down_until_s):
            return None
        step: ReadStep | AppendStep | None = None
        if self._must_read(now_s):
            step = (
                ReadStep(self.key_table.next_offset, READ_LIMIT)
                if self._search is None
                else ReadStep(self._search.next_offset, 1)
            )
        elif self._sent is not None:
            # Its answer was lost, and reading has not found it. Should both
            # take effect, the second changes nothing.
            if now_s >= self._append_from_s:
                step = self._append(self._sent, now_s)
        elif self._batch_due(now_s):
            step = self._make_batch(now_s, now_ms)
        if step is not None:
            self._busy = True
        return step

    def on_appended(self, offset: ids.Offset) -> None:
        """Notes that a record was appended."""
        self._busy = False
        self._acknowledged = offset
        self._read_wanted = True

    def on_append_failed(self) -> None:
        """Notes that an append failed, or that its answer was lost."""
        self._busy = False
        self._read_wanted = True

    def on_read_failed(self, now_s: float) -> None:
        """Notes that the log can't be read: no claim can be granted."""
        self._busy = False
        self._failures += 1
        most_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self._failures, 8))
        self._down_until_s = now_s + most_s * (0.5 + self._rng.random() / 2)
        self._waiting.fail_all()
        self._waiting.forget(now_s)

    def on_read(self, batch: ports.LogBatch, now_s: float) -> None:
        """Takes the records that were read."""
        self._busy = False
        self._failures = 0
        if self._search is not None:
            self._search_start(batch, self._search)
            return
        key_table = self.key_table
        if not batch.first <= key_table.next_offset <= batch.end:
            # Records were dropped, or the log has lost its end.
            key_table.skip_to(batch.first, batch.first > key_table.next_offset)
        for record in batch.records:
            if record.offset == key_table.next_offset:
                self._apply(record, now_s)
        if key_table.next_offset >= batch.end:
            self._at_end(now_s)
        self._waiting.forget(now_s)

    def _search_start(
        self, batch: ports.LogBatch, search: stream_starts.StartOffsetSearch
    ) -> None:
        search.on_read(batch)
        if search.start is not None:
            self.key_table.skip_to(search.start, search.is_truncated)
            self._search = None

    def _must_read(self, now_s: float) -> bool:
        if not self._loaded:
            return self.has_work or self.idle_s(now_s) < ACTIVE_S
        if self._read_wanted:
            return True
        return (
            self.idle_s(now_s) < ACTIVE_S and now_s - self._read_s >= REFRESH_S
        )

    def _at_end(self, now_s: float) -> None:
        self._read_s = now_s
        self._loaded = True
        self._read_wanted = False
        if self._sent is None or self._acknowledged is None:
            return
        if self.key_table.next_offset <= self._acknowledged:
            # The log's read is behind its append.
            self._read_wanted = True
            self._not_before_s = now_s + READ_AGAIN_S
            return
        # The record is gone although it was acknowledged; append it again.
        self._acknowledged = None

    def _apply(self, record: ports.LogRecord, now_s: float) -> None:
        batch = self._decode(record.data)
        lost = self.key_table.apply(record.offset, record.time_ms, batch)
        for token in lost:
            self._waiting.note_lost(token)
        if batch is None:
            return
        for item in batch.items:
            if isinstance(item, claims.Final):
                self._finals.pop(item.token, None)
                self._settled[item.token] = None
            else:
                self._waiting.note_recorded(item.token, now_s)
        while len(self._settled) > MAX_SETTLED:
            self._settled.popitem(last=False)
        if self._sent is not None and batch.id == self._sent.id:
            self._sent = None
            self._acknowledged = None

    def _decode(self, data: bytes) -> claims.ClaimBatch | None:
        try:
            record = records.decode(data)
        except errors.LogError:
            return None
        if not isinstance(record, claims.ClaimBatch):
            return None
        return record if records.has_valid_mac(record, self._key) else None

    def _decide(
        self,
        claim: claims.Claim,
        waiter: pending_claims.PendingClaim | None,
        now_ms: int,
    ) -> claims.Answer | None:
        if not self._loaded:
            return None
        lost = waiter is not None and waiter.lost
        answer = self.key_table.look_up(claim, now_ms, lost)
        if answer is None and lost:
            # The key that won has been forgotten since.
            return claims.Answer(
                claims.Verdict.UNAVAILABLE, retry_ms=key_tables.MIN_RETRY_MS
            )
        return answer

    def _admit(self, claim: claims.Claim, now_s: float) -> claims.Answer:
        if now_s < self._down_until_s:
            return self._unavailable(now_s)
        if (
            len(self._waiting) >= MAX_WAITING
            or len(self.key_table) + len(self._waiting) >= key_tables.MAX_KEYS
        ):
            return claims.Answer(
                claims.Verdict.FULL, retry_ms=key_tables.MAX_RETRY_MS
            )
        self._waiting.add(claim, now_s)
        poll_ms = int(self._waiting.decision_s * 1000)
        return claims.Answer(
            claims.Verdict.PENDING,
            retry_ms=max(MIN_POLL_MS, min(MAX_POLL_MS, poll_ms)),
        )

    def _unavailable(self, now_s: float) -> claims.Answer:
        wait_ms = int((self._down_until_s - now_s) * 1000)
        return claims.Answer(
            claims.Verdict.UNAVAILABLE,
            retry_ms=max(key_tables.MIN_RETRY_MS, wait_ms),
        )

    def _batch_due(self, now_s: float) -> bool:
        if now_s < self._append_from_s:
            return False
        oldest_s = self._waiting.queued_since_s
        if oldest_s is not None:
            return now_s >= oldest_s + BATCH_S
        return bool(self._finals) and (
            now_s >= self._finals_since_s + FINAL_WAIT_S
        )

    def _make_batch(self, now_s: float, now_ms: int) -> AppendStep | None:
        self._waiting.forget(now_s)
        items: list[claims.Claim | claims.Final] = []
        size = 0
        for final in self._finals.values():
            size += ITEM_OVERHEAD_BYTES + len(final.answer or b"")
            if size > MAX_BATCH_BYTES or len(items) >= MAX_ITEMS // 2:
                break
            items.append(final)
        for claim in self._waiting.queued():
            if len(items) >= MAX_ITEMS:
                break
            if self.key_table.look_up(claim, now_ms) is None:
                items.append(claim)
            else:
                # The stream has answered it while it waited.
                self._waiting.unqueue(claim.token)
        if not items:
            return None
        batch = claims.ClaimBatch(
            id=self._rng.randbytes(claims.TOKEN_BYTES),
            writer=self._daemon,
            read_offset=self.key_table.next_offset,
            read_time_ms=self.key_table.time_ms,
            items=items,
        )
        return self._append(batch, now_s)

    def _append(self, batch: claims.ClaimBatch, now_s: float) -> AppendStep:
        signed = records.sign(batch, self._key)
        assert isinstance(signed, claims.ClaimBatch)
        self._sent = signed
        self._acknowledged = None
        self._append_from_s = now_s + APPEND_SPACING_S
        self._finals_since_s = now_s
        return AppendStep(signed)
