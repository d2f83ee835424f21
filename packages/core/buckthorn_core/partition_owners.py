"""Owner of a partition of operation keys.

The owner grants a claim only after it has read the claim from the log's stream
and found no earlier claim of the key. Two concurrent owners are therefore
harmless: both read the same order.

When the log is restored from a copy, it lacks claims that were granted. An
owner that had read them writes them again, and says with the last of these
batches that the epoch is recorded. An owner that doesn't know what was lost,
and finds no such batch, refuses keys that are new to it for as long as a key
lives.

The class does no I/O: its caller gets the
next step from it, executes the step, and reports the result.
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

# Longest time that a claim waits for others to share its append, in seconds.
BATCH_DELAY_S = 0.02
# Outcomes of requests are not urgent; most are appended together with a claim.
MAX_FINAL_DELAY_S = 0.2
# Bounds the append rate of all partitions, see `claims.PARTITIONS`.
MIN_APPEND_INTERVAL_S = 0.08
# An owner that was used in the last ACTIVE_S seconds reads its stream at this
# interval, in seconds.
REFRESH_INTERVAL_S = 1.0
ACTIVE_S = 30.0
# Limits of the exponential backoff after failed reads, in seconds.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
READ_RETRY_DELAY_S = 0.01
# Interval at which an idle owner that knows keys reads its stream, in seconds,
# to notice that the log was restored.
IDLE_REFRESH_INTERVAL_S = 10.0
# Most records in memory at once during a read.
READ_LIMIT = 64
MAX_BATCH_ITEMS = 512
MAX_BATCH_BYTES = 524_288
ITEM_OVERHEAD_BYTES = 64
MAX_WAITING = 2_048
MAX_FINALS = 512
MAX_RECORDED_FINALS = 4_096
# Limits of the poll interval suggested to holders, in ms.
MIN_POLL_MS = 5
MAX_POLL_MS = 250


class ReadStep(NamedTuple):
    """Step that reads the stream.

    Attributes:
        start: Offset of the first record.
        limit: Maximum number of records.
    """

    start: ids.Offset
    limit: int


class AppendStep(NamedTuple):
    """Step that appends a record to the stream."""

    batch: claims.ClaimBatch


class PartitionOwner:
    """Decides the claims of a partition.

    Args:
        partition: The partition.
        daemon: The daemon that owns it.
        key: Key that authenticates records.
        retention_ms: Minimum retention of the log, in ms.
        rng: Source of record ids and of jitter.

    Attributes:
        partition: The partition.
        key_table: State of the keys, as read from the stream.
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
        self._pending = pending_claims.PendingClaims()
        self._finals: dict[bytes, claims.Final] = {}
        self._finals_since_s = 0.0
        self._recorded_finals: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._epoch = ids.FIRST_EPOCH
        # Whether all claims of earlier epochs that may be live are known here.
        self._is_complete = True
        # What the log has lost and must have again; None if that is done.
        self._rewrites: collections.deque[claims.Claim | claims.Final] | None
        self._rewrites = None
        self._epoch_age_known = True
        self._now_ms = 0
        self._unconfirmed_batch: claims.ClaimBatch | None = None
        self._acknowledged_offset: ids.Offset | None = None
        self._step_running = False
        self._loaded = False
        self._search: stream_starts.StartOffsetSearch | None = (
            stream_starts.StartOffsetSearch()
        )
        self._must_read_again = True
        self._next_step_from_s = 0.0
        self._next_append_from_s = 0.0
        self._backoff_until_s = 0.0
        self._failed_reads = 0
        self._last_read_s = float("-inf")
        self._last_used_s = float("-inf")

    # Messages from holders, the daemons that make claims.

    def claim(
        self, claim: claims.Claim, now_s: float, now_ms: int
    ) -> claims.Answer:
        """Answers a claim; its holder polls while it is pending."""
        self._last_used_s = now_s
        pending = self._pending.get(claim.token)
        if pending is not None and pending.failed:
            self._pending.remove(claim.token)
            return self._unavailable(now_s)
        answer = self._decide(claim, pending, now_ms)
        if answer is not None:
            self._pending.remove(claim.token)
            return answer
        if pending is not None:
            pending.polled_s = now_s
            return claims.Answer(
                claims.Verdict.PENDING, retry_ms=2 * MIN_POLL_MS
            )
        return self._enqueue(claim, now_s)

    def record_finals(
        self, finals: list[claims.Final], now_s: float
    ) -> list[bytes]:
        """Queues final outcomes; a holder repeats them until they are recorded.

        Returns:
            Tokens of the claims whose final outcome is recorded.
        """
        self._last_used_s = now_s
        recorded = []
        for final in finals:
            token = final.token
            if token in self._recorded_finals or (
                self._loaded and self.key_table.has_final(final)
            ):
                recorded.append(token)
            elif token not in self._finals and len(self._finals) < MAX_FINALS:
                if not self._finals:
                    self._finals_since_s = now_s
                self._finals[token] = final
        return recorded

    def idle_s(self, now_s: float) -> float:
        """Returns the time since the last message of a holder, in seconds."""
        return now_s - self._last_used_s

    @property
    def has_work(self) -> bool:
        """Whether a claim or a final outcome waits for the log."""
        return bool(
            self._pending.queued_since_s is not None
            or self._finals
            or self._unconfirmed_batch
            or self._rewrites is not None
        )

    # Steps.

    def next_step(
        self, now_s: float, now_ms: int
    ) -> ReadStep | AppendStep | None:
        """Returns the step that is due, if any; report its result.

        Args:
            now_s: Monotonic time in seconds.
            now_ms: Time in ms since the epoch.
        """
        if self._step_running or now_s < max(
            self._next_step_from_s, self._backoff_until_s
        ):
            return None
        self._now_ms = now_ms
        step: ReadStep | AppendStep | None = None
        if self._must_read(now_s):
            step = (
                ReadStep(self.key_table.next_offset, READ_LIMIT)
                if self._search is None
                else ReadStep(self._search.next_offset, 1)
            )
        elif self._unconfirmed_batch is not None:
            # The answer to the append was lost, and the record has not been
            # read. If both appends take effect, the second changes no key.
            if now_s >= self._next_append_from_s:
                step = self._append(self._unconfirmed_batch, now_s)
        elif self._rewrites is not None:
            if now_s >= self._next_append_from_s:
                step = self._append(self._next_rewrite(self._rewrites), now_s)
        elif self._batch_due(now_s):
            step = self._make_batch(now_s, now_ms)
        if step is not None:
            self._step_running = True
        return step

    def on_appended(self, offset: ids.Offset) -> None:
        """Handles a successful append."""
        self._step_running = False
        self._acknowledged_offset = offset
        self._must_read_again = True

    def on_append_failed(self) -> None:
        """Handles an append that failed, or whose answer was lost."""
        self._step_running = False
        self._must_read_again = True

    def on_read_failed(self, now_s: float) -> None:
        """Handles a failed read: fails all pending claims and backs off."""
        self._step_running = False
        self._failed_reads += 1
        max_backoff_s = min(
            MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self._failed_reads, 8)
        )
        self._backoff_until_s = now_s + max_backoff_s * (
            0.5 + self._rng.random() / 2
        )
        self._pending.fail_all()
        self._pending.remove_timed_out(now_s)

    def on_read(self, batch: ports.LogBatch, now_s: float) -> None:
        """Applies the records that were read."""
        if batch.epoch < self._epoch:
            self.on_read_failed(now_s)
            return
        self._step_running = False
        self._failed_reads = 0
        if batch.epoch > self._epoch:
            self._enter_epoch(batch.epoch)
            return
        if self._search is not None:
            self._search_start(batch, self._search)
            return
        key_table = self.key_table
        if not batch.first <= key_table.next_offset <= batch.end:
            # The log has dropped records, or has lost its latest ones.
            key_table.skip_to(batch.first, batch.first > key_table.next_offset)
        for record in batch.records:
            if record.offset == key_table.next_offset:
                self._apply(record, now_s)
        if key_table.next_offset >= batch.end:
            self._on_end_reached(now_s)
        self._pending.remove_timed_out(now_s)

    def _enter_epoch(self, epoch: ids.LogEpoch) -> None:
        """Starts to read the stream of a log that was restored."""
        self._is_complete = self._is_complete and self._loaded
        self._epoch = epoch
        self.key_table.enter_epoch()
        self._search = stream_starts.StartOffsetSearch()
        self._loaded = False
        self._rewrites = None
        self._epoch_age_known = False
        self._must_read_again = True
        # Its items are still queued; they get another offset.
        self._unconfirmed_batch = None
        self._acknowledged_offset = None

    def _search_start(
        self, batch: ports.LogBatch, search: stream_starts.StartOffsetSearch
    ) -> None:
        search.on_read(batch)
        if search.start is not None:
            self.key_table.skip_to(search.start, search.is_truncated)
            self._search = None

    def _must_read(self, now_s: float) -> bool:
        if not self._loaded:
            return (
                self.has_work
                or self.idle_s(now_s) < ACTIVE_S
                or len(self.key_table) > 0
            )
        if self._must_read_again:
            return True
        if len(self.key_table) and (
            now_s - self._last_read_s >= IDLE_REFRESH_INTERVAL_S
        ):
            return True
        return (
            self.idle_s(now_s) < ACTIVE_S
            and now_s - self._last_read_s >= REFRESH_INTERVAL_S
        )

    def _on_end_reached(self, now_s: float) -> None:
        self._last_read_s = now_s
        self._loaded = True
        self._must_read_again = False
        self._update_completeness()
        if self._unconfirmed_batch is None or self._acknowledged_offset is None:
            return
        if self.key_table.next_offset <= self._acknowledged_offset:
            # The log's reads lag behind its appends.
            self._must_read_again = True
            self._next_step_from_s = now_s + READ_RETRY_DELAY_S
            return
        # The log has lost the acknowledged record; append it again.
        self._acknowledged_offset = None

    @property
    def unknown_epoch(self) -> ids.LogEpoch | None:
        """An epoch whose age decides whether new keys can be granted."""
        if self._is_complete or self._epoch_age_known or not self._loaded:
            return None
        return self._epoch

    def on_epoch_age(self, outlasts_keys: bool) -> None:
        """Handles whether an epoch began longer ago than a key lives."""
        self._epoch_age_known = True
        if outlasts_keys:
            self._is_complete = True
            self.key_table.lost_until_ms = 0
            self._must_read_again = True

    def _update_completeness(self) -> None:
        """Decides, at the end of the stream, what its epoch lacks."""
        key_table = self.key_table
        if key_table.recorded_epoch >= self._epoch:
            self._is_complete = True
            self._rewrites = None
            key_table.lost_until_ms = 0
        elif not self._is_complete and not key_table.lost_until_ms:
            key_table.lost_until_ms = self._now_ms + claims.MAX_KEY_LIFETIME_MS
        elif not self._is_complete:
            self._is_complete = self._now_ms >= key_table.lost_until_ms
        if (
            self._is_complete
            and key_table.recorded_epoch < self._epoch
            and self._rewrites is None
        ):
            self._rewrites = collections.deque(key_table.lost_items())

    def _next_rewrite(
        self, rewrites: collections.deque[claims.Claim | claims.Final]
    ) -> claims.ClaimBatch:
        """Returns the next batch of what the log has lost."""
        items: list[claims.Claim | claims.Final] = []
        size = 0
        while rewrites and len(items) < MAX_BATCH_ITEMS:
            answer = getattr(rewrites[0], "answer", None) or b""
            size += ITEM_OVERHEAD_BYTES + len(answer)
            if items and size > MAX_BATCH_BYTES:
                break
            items.append(rewrites.popleft())
        return self._new_batch(
            items, self.key_table.recorded_epoch if rewrites else self._epoch
        )

    def _new_batch(
        self, items: list[claims.Claim | claims.Final], epoch: ids.LogEpoch
    ) -> claims.ClaimBatch:
        return claims.ClaimBatch(
            id=self._rng.randbytes(claims.TOKEN_BYTES),
            writer=self._daemon,
            read_offset=self.key_table.next_offset,
            read_time_ms=self.key_table.time_ms,
            items=items,
            epoch=epoch,
        )

    def _apply(self, record: ports.LogRecord, now_s: float) -> None:
        batch = self._decode(record.data)
        lost = self.key_table.apply(record.offset, record.time_ms, batch)
        for token in lost:
            self._pending.note_lost(token)
        if batch is None:
            return
        for item in batch.items:
            if isinstance(item, claims.Final):
                self._finals.pop(item.token, None)
                self._recorded_finals[item.token] = None
            else:
                self._pending.note_recorded(item.token, now_s)
        while len(self._recorded_finals) > MAX_RECORDED_FINALS:
            self._recorded_finals.popitem(last=False)
        if (
            self._unconfirmed_batch is not None
            and batch.id == self._unconfirmed_batch.id
        ):
            self._unconfirmed_batch = None
            self._acknowledged_offset = None

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
        pending: pending_claims.PendingClaim | None,
        now_ms: int,
    ) -> claims.Answer | None:
        if not self._loaded:
            return None
        lost = pending is not None and pending.lost
        answer = self.key_table.look_up(claim, now_ms, lost)
        if answer is None and lost:
            # The claim that held the key has expired since.
            return claims.Answer(
                claims.Verdict.UNAVAILABLE, retry_ms=key_tables.MIN_RETRY_MS
            )
        return answer

    def _enqueue(self, claim: claims.Claim, now_s: float) -> claims.Answer:
        if now_s < self._backoff_until_s:
            return self._unavailable(now_s)
        if (
            len(self._pending) >= MAX_WAITING
            or len(self.key_table) + len(self._pending) >= key_tables.MAX_KEYS
        ):
            return claims.Answer(
                claims.Verdict.FULL, retry_ms=key_tables.MAX_RETRY_MS
            )
        self._pending.add(claim, now_s)
        poll_ms = int(self._pending.decision_s * 1000)
        return claims.Answer(
            claims.Verdict.PENDING,
            retry_ms=max(MIN_POLL_MS, min(MAX_POLL_MS, poll_ms)),
        )

    def _unavailable(self, now_s: float) -> claims.Answer:
        wait_ms = int((self._backoff_until_s - now_s) * 1000)
        return claims.Answer(
            claims.Verdict.UNAVAILABLE,
            retry_ms=max(key_tables.MIN_RETRY_MS, wait_ms),
        )

    def _batch_due(self, now_s: float) -> bool:
        if now_s < self._next_append_from_s:
            return False
        queued_since_s = self._pending.queued_since_s
        if queued_since_s is not None:
            return now_s >= queued_since_s + BATCH_DELAY_S
        return bool(self._finals) and (
            now_s >= self._finals_since_s + MAX_FINAL_DELAY_S
        )

    def _make_batch(self, now_s: float, now_ms: int) -> AppendStep | None:
        self._pending.remove_timed_out(now_s)
        items: list[claims.Claim | claims.Final] = []
        size = 0
        for final in self._finals.values():
            size += ITEM_OVERHEAD_BYTES + len(final.answer or b"")
            if size > MAX_BATCH_BYTES or len(items) >= MAX_BATCH_ITEMS // 2:
                break
            items.append(final)
        for claim in self._pending.queued():
            if len(items) >= MAX_BATCH_ITEMS:
                break
            if self.key_table.look_up(claim, now_ms) is None:
                items.append(claim)
            else:
                # Records read meanwhile have decided the claim.
                self._pending.unqueue(claim.token)
        if not items:
            return None
        batch = self._new_batch(items, self.key_table.recorded_epoch)
        return self._append(batch, now_s)

    def _append(self, batch: claims.ClaimBatch, now_s: float) -> AppendStep:
        signed = records.sign(batch, self._key)
        assert isinstance(signed, claims.ClaimBatch)
        self._unconfirmed_batch = signed
        self._acknowledged_offset = None
        self._next_append_from_s = now_s + MIN_APPEND_INTERVAL_S
        self._finals_since_s = now_s
        return AppendStep(signed)
