"""State of the operation keys of a partition, derived from its stream.

It depends only on the order and the log times of the records, so that all
daemons that read the stream derive the same state, whatever their clocks.
"""

import enum

from buckthorn_core import claims
from buckthorn_core import ids

# Together these take 8.3 MB when full, of the 32 MB of a daemon.
MAX_KEYS = 16_384
MAX_TOTAL_ANSWER_BYTES = 1_048_576
MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 5_000


class KeyState(enum.Enum):
    """State of a key."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    RELEASED = "released"
    UNKNOWN = "unknown"


_STATES = {
    claims.Outcome.COMPLETED: KeyState.COMPLETED,
    claims.Outcome.RELEASED: KeyState.RELEASED,
    claims.Outcome.UNKNOWN: KeyState.UNKNOWN,
}
_OUTCOMES = {state: outcome for outcome, state in _STATES.items()}

# Shared, because an empty list per key would take a tenth of a key's memory.
_NO_HEADERS: list[tuple[str, str]] = []


class KeyEntry:
    """Entry of a key; times are log times in ms.

    Attributes:
        token: The claim that holds the key.
        fingerprint: Digest of the key's request; empty if unknown.
        state: State of the key.
        grant_expires_ms: When the grant expires.
        end_ms: Latest end of the request.
        key_expires_ms: When the key is removed.
        may_have_predecessor: Whether an older claim of the key may be among
            records that the log has dropped.
        status: Recorded HTTP status.
        headers: Recorded headers, if the answer was kept.
        answer: Recorded body, if it was kept.
    """

    __slots__ = (
        "answer",
        "end_ms",
        "fingerprint",
        "grant_expires_ms",
        "headers",
        "key_expires_ms",
        "may_have_predecessor",
        "state",
        "status",
        "token",
    )

    def __init__(
        self, claim: claims.Claim, time_ms: int, may_have_predecessor: bool
    ):
        run_ms = max(0, min(claim.run_ms, claims.MAX_RUN_MS))
        self.token = claim.token
        self.fingerprint = claim.fingerprint
        self.state = KeyState.CLAIMED
        self.end_ms = time_ms + run_ms
        self.grant_expires_ms = min(
            self.end_ms, time_ms + claims.GRANT_LIFETIME_MS
        )
        self.key_expires_ms = self.end_ms + claims.LIFETIME_MS
        self.may_have_predecessor = may_have_predecessor
        self.status = 0
        self.headers = _NO_HEADERS
        self.answer: bytes | None = None


class KeyTable:
    """Keys of a partition.

    Args:
        retention_ms: Minimum retention of the log, in ms.

    Attributes:
        time_ms: Log time of the last record.
        next_offset: Offset of the next record.
        gap_until_ms: Log time until which a claim in dropped records may
            still hold its key, because the log dropped them too early.
        lost_until_ms: The same for claims that a restored log has lost.
        recorded_epoch: Latest epoch of the log in which an owner has written
            what was lost.
    """

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self.time_ms = 0
        self.next_offset = ids.Offset(0)
        self.gap_until_ms = 0
        # Both in insertion order.
        self._entries: dict[bytes, KeyEntry] = {}
        self._answer_sizes: dict[bytes, int] = {}
        self._answer_bytes = 0
        self._gap_ahead = False
        self.lost_until_ms = 0
        self.recorded_epoch = ids.FIRST_EPOCH
        # Keys whose latest state the log's present history may lack.
        self._unseen: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def skip_to(self, offset: ids.Offset, is_cut: bool) -> None:
        """Continues at an offset.

        Known keys stay: they can only lead to refusals.

        Args:
            offset: The offset.
            is_cut: Whether dropped records before it may hold live claims.
        """
        self._gap_ahead = is_cut
        self.next_offset = offset

    def enter_epoch(self) -> None:
        """Prepares for the records of a log that was restored.

        Known keys stay, and are compared with what is read.
        """
        self._unseen = set(self._entries)

    def lost_items(self) -> list[claims.Claim | claims.Final]:
        """Returns the items that bring back what the log has lost."""
        items: list[claims.Claim | claims.Final] = []
        for key in self._unseen:
            entry = self._get_live(key)
            if entry is None:
                continue
            run_ms = max(0, entry.end_ms - self.time_ms)
            items.append(
                claims.Claim(key, entry.token, entry.fingerprint, run_ms)
            )
            outcome = _OUTCOMES.get(entry.state)
            if outcome is not None:
                items.append(
                    claims.Final(
                        key,
                        entry.token,
                        outcome,
                        entry.status,
                        entry.headers,
                        entry.answer,
                    )
                )
        return items

    def apply(
        self,
        offset: ids.Offset,
        time_ms: int,
        batch: claims.ClaimBatch | None,
    ) -> list[bytes]:
        """Applies the next record; the batch is None if it is malformed.

        Returns:
            Tokens of claims whose key was held by another claim.
        """
        time_ms = max(self.time_ms, time_ms)
        if self._gap_ahead:
            self._apply_gap(offset, time_ms, batch)
        self.time_ms = time_ms
        self.next_offset = ids.Offset(offset + 1)
        self._remove_expired()
        if batch is not None:
            self.recorded_epoch = max(self.recorded_epoch, batch.epoch)
        lost = []
        for item in batch.items if batch else []:
            if isinstance(item, claims.Final):
                self._apply_final(item)
            elif not self._apply_claim(item):
                lost.append(item.token)
        return lost

    def look_up(
        self, claim: claims.Claim, now_ms: int, lost: bool = False
    ) -> claims.Answer | None:
        """Returns the answer to a claim; None if it must be recorded first.

        Args:
            claim: The claim.
            now_ms: Time in ms since the epoch.
            lost: Whether the claim is recorded, but another claim held the
                key.
        """
        entry = self._get_live(claim.key)
        if entry is None:
            return None
        if entry.token == claim.token:
            return self._answer_holder(entry)
        expired = (
            entry.state is KeyState.RELEASED or entry.key_expires_ms <= now_ms
        )
        if expired and not lost:
            return None
        if entry.fingerprint and entry.fingerprint != claim.fingerprint:
            return claims.Answer(claims.Verdict.MISMATCH)
        return _answer_non_holder(entry, now_ms)

    def has_final(self, final: claims.Final) -> bool:
        """Returns whether the final outcome of a request is recorded."""
        entry = self._get_live(final.key)
        if entry is None or entry.token != final.token:
            return False
        return entry.state is not KeyState.CLAIMED

    def _answer_holder(self, entry: KeyEntry) -> claims.Answer:
        if entry.state is KeyState.CLAIMED and not entry.may_have_predecessor:
            return claims.Answer(
                claims.Verdict.GRANTED, expires_ms=entry.grant_expires_ms
            )
        if entry.state is KeyState.COMPLETED:
            return _completed(entry)
        if entry.state is KeyState.UNKNOWN:
            return claims.Answer(claims.Verdict.UNKNOWN)
        # It was released before it was granted, or an older claim may exist.
        return claims.Answer(claims.Verdict.UNAVAILABLE, retry_ms=MAX_RETRY_MS)

    def _apply_claim(self, claim: claims.Claim) -> bool:
        entry = self._get_live(claim.key)
        if entry is not None:
            if entry.token == claim.token:
                if entry.state is KeyState.CLAIMED:
                    self._unseen.discard(claim.key)
                return True
            if entry.state is not KeyState.RELEASED:
                return False
        may_have_predecessor = self.time_ms < max(
            self.gap_until_ms, self.lost_until_ms
        )
        self._put(
            claim.key, KeyEntry(claim, self.time_ms, may_have_predecessor)
        )
        return True

    def _apply_final(self, final: claims.Final) -> None:
        entry = self._get_live(final.key)
        if entry is None:
            # The claim's append may take effect later, and must then have no
            # effect.
            claim = claims.Claim(final.key, final.token, b"", 0)
            entry = KeyEntry(claim, self.time_ms, False)
            self._put(final.key, entry)
        if entry.token == final.token:
            self._unseen.discard(final.key)
        if entry.token != final.token or entry.state is not KeyState.CLAIMED:
            return
        entry.state = _STATES[final.outcome]
        entry.key_expires_ms = max(
            entry.key_expires_ms, self.time_ms + claims.LIFETIME_MS
        )
        entry.status = final.status
        if final.answer is not None:
            entry.headers, entry.answer = final.headers, final.answer
            self._keep_answer(final.key, len(final.answer))

    def _get_live(self, key: bytes) -> KeyEntry | None:
        entry = self._entries.get(key)
        if entry is None or entry.key_expires_ms <= self.time_ms:
            return None
        return entry

    def _put(self, key: bytes, entry: KeyEntry) -> None:
        self._drop_answer(key)
        self._unseen.discard(key)
        self._entries.pop(key, None)
        self._entries[key] = entry

    def _keep_answer(self, key: bytes, size: int) -> None:
        self._answer_sizes[key] = size
        self._answer_bytes += size
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest = next(iter(self._answer_sizes))
            entry = self._entries[oldest]
            entry.headers, entry.answer = _NO_HEADERS, None
            self._drop_answer(oldest)

    def _drop_answer(self, key: bytes) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key, 0)

    def _remove_expired(self) -> None:
        """Removes expired keys.

        Entries are in the order of their claims, so an expired key may stay
        behind one that expires later; `_get_live` does not return it.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.key_expires_ms > self.time_ms:
                return
            del self._entries[key]
            self._unseen.discard(key)
            self._drop_answer(key)

    def _apply_gap(
        self,
        offset: ids.Offset,
        time_ms: int,
        batch: claims.ClaimBatch | None,
    ) -> None:
        """Computes for how long claims in dropped records may hold keys.

        The first remaining record holds the log time of the record before it,
        if its writer had read that far. A time of 0 means that the writer
        found the stream empty: the dropped records were past the retention.
        """
        self._gap_ahead = False
        newest_dropped_ms = time_ms
        if batch is not None and batch.read_offset == offset:
            newest_dropped_ms = (
                batch.read_time_ms or time_ms - self._retention_ms
            )
        self.gap_until_ms = max(
            self.gap_until_ms, newest_dropped_ms + claims.MAX_KEY_LIFETIME_MS
        )


def _answer_non_holder(entry: KeyEntry, now_ms: int) -> claims.Answer:
    if entry.state is KeyState.COMPLETED:
        return _completed(entry)
    # If the claim that held the key was released meanwhile, the key can be
    # claimed again; the caller retries as for a request in progress.
    running = entry.state is KeyState.CLAIMED and now_ms < entry.end_ms
    if running or entry.state is KeyState.RELEASED:
        return _in_progress(entry, now_ms)
    return claims.Answer(claims.Verdict.UNKNOWN)


def _completed(entry: KeyEntry) -> claims.Answer:
    return claims.Answer(
        claims.Verdict.COMPLETED,
        status=entry.status,
        headers=entry.headers,
        body=entry.answer,
    )


def _in_progress(entry: KeyEntry, now_ms: int) -> claims.Answer:
    left_ms = entry.end_ms - now_ms
    return claims.Answer(
        claims.Verdict.IN_PROGRESS,
        retry_ms=max(MIN_RETRY_MS, min(MAX_RETRY_MS, left_ms)),
    )
