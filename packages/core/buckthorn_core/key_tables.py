"""State of the operation keys of a partition, as a function of its stream.

Only the order and the times of the log's records count, so that all daemons
that read the stream come to the same result, whatever their clocks say.
"""

import enum

from buckthorn_core import claims
from buckthorn_core import ids

# Together 8.3 MB when full, of the 32 MB of a daemon.
MAX_KEYS = 16_384
MAX_KEPT_ANSWER_BYTES = 1_048_576
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


# Shared, because an empty list for each key would take a tenth of its memory.
_NO_HEADERS: list[tuple[str, str]] = []


class KeyEntry:
    """State of a key; times are log times in ms.

    Attributes:
        token: The claim that holds the key.
        fingerprint: What the key is used for; empty if that is not known.
        state: State of the key.
        expires_ms: When the grant expires.
        end_ms: When the request has ended at the latest.
        until_ms: When the key is forgotten.
        doubtful: Whether an older claim may have been missed.
        status: Recorded HTTP status.
        headers: Recorded headers, if the answer was kept.
        answer: Recorded body, if it was kept.
    """

    __slots__ = (
        "answer",
        "doubtful",
        "end_ms",
        "expires_ms",
        "fingerprint",
        "headers",
        "state",
        "status",
        "token",
        "until_ms",
    )

    def __init__(self, claim: claims.Claim, time_ms: int, doubtful: bool):
        run_ms = max(0, min(claim.run_ms, claims.MAX_RUN_MS))
        self.token = claim.token
        self.fingerprint = claim.fingerprint
        self.state = KeyState.CLAIMED
        self.end_ms = time_ms + run_ms
        self.expires_ms = min(self.end_ms, time_ms + claims.GRANT_LIFETIME_MS)
        self.until_ms = self.end_ms + claims.LIFETIME_MS
        self.doubtful = doubtful
        self.status = 0
        self.headers = _NO_HEADERS
        self.answer: bytes | None = None


class KeyTable:
    """The keys of a partition.

    Args:
        retention_ms: Time for which the log keeps records at least.

    Attributes:
        time_ms: Log time of the last record.
        next_offset: Offset of the next record.
        blind_until_ms: Log time until which a claim may have been missed,
            because the log dropped records earlier than agreed.
    """

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self.time_ms = 0
        self.next_offset = ids.Offset(0)
        self.blind_until_ms = 0
        # Both in the order in which they were added.
        self._entries: dict[bytes, KeyEntry] = {}
        self._kept: dict[bytes, int] = {}
        self._kept_bytes = 0
        self._gap = False

    def __len__(self) -> int:
        return len(self._entries)

    def skip_to(self, offset: ids.Offset, is_cut: bool) -> None:
        """Goes on at an offset.

        What is known of keys stays: it can only lead to refusals.

        Args:
            offset: The offset.
            is_cut: Whether records before it that matter may be missing.
        """
        self._gap = is_cut
        self.next_offset = offset

    def apply(
        self,
        offset: ids.Offset,
        time_ms: int,
        batch: claims.ClaimBatch | None,
    ) -> list[bytes]:
        """Applies the next record; None stands for one that is malformed.

        Returns:
            Tokens of claims that found the key taken.
        """
        time_ms = max(self.time_ms, time_ms)
        if self._gap:
            self._note_gap(offset, time_ms, batch)
        self.time_ms = time_ms
        self.next_offset = ids.Offset(offset + 1)
        self._forget()
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
            now_ms: The time, in ms since the epoch.
            lost: Whether the claim is recorded and found the key taken.
        """
        entry = self._live(claim.key)
        if entry is None:
            return None
        if entry.token == claim.token:
            return self._answer_holder(entry)
        expired = entry.state is KeyState.RELEASED or entry.until_ms <= now_ms
        if expired and not lost:
            return None
        if entry.fingerprint and entry.fingerprint != claim.fingerprint:
            return claims.Answer(claims.Verdict.MISMATCH)
        return _answer_other(entry, now_ms)

    def has_final(self, final: claims.Final) -> bool:
        """Returns whether the end of a request is recorded."""
        entry = self._live(final.key)
        if entry is None or entry.token != final.token:
            return False
        return entry.state is not KeyState.CLAIMED

    def _answer_holder(self, entry: KeyEntry) -> claims.Answer:
        if entry.state is KeyState.CLAIMED and not entry.doubtful:
            return claims.Answer(
                claims.Verdict.GRANTED, expires_ms=entry.expires_ms
            )
        if entry.state is KeyState.COMPLETED:
            return _completed(entry)
        if entry.state is KeyState.UNKNOWN:
            return claims.Answer(claims.Verdict.UNKNOWN)
        # Released before it was granted, or an older claim may exist.
        return claims.Answer(claims.Verdict.UNAVAILABLE, retry_ms=MAX_RETRY_MS)

    def _apply_claim(self, claim: claims.Claim) -> bool:
        entry = self._live(claim.key)
        if entry is not None:
            if entry.token == claim.token:
                return True
            if entry.state is not KeyState.RELEASED:
                return False
        doubtful = self.time_ms < self.blind_until_ms
        self._put(claim.key, KeyEntry(claim, self.time_ms, doubtful))
        return True

    def _apply_final(self, final: claims.Final) -> None:
        entry = self._live(final.key)
        if entry is None:
            # The claim's append may take effect later; then it is void.
            claim = claims.Claim(final.key, final.token, b"", 0)
            entry = KeyEntry(claim, self.time_ms, False)
            self._put(final.key, entry)
        if entry.token != final.token or entry.state is not KeyState.CLAIMED:
            return
        entry.state = _STATES[final.outcome]
        entry.until_ms = max(entry.until_ms, self.time_ms + claims.LIFETIME_MS)
        entry.status = final.status
        if final.answer is not None:
            entry.headers, entry.answer = final.headers, final.answer
            self._keep_answer(final.key, len(final.answer))

    def _live(self, key: bytes) -> KeyEntry | None:
        entry = self._entries.get(key)
        if entry is None or entry.until_ms <= self.time_ms:
            return None
        return entry

    def _put(self, key: bytes, entry: KeyEntry) -> None:
        self._drop_answer(key)
        self._entries.pop(key, None)
        self._entries[key] = entry

    def _keep_answer(self, key: bytes, size: int) -> None:
        self._kept[key] = size
        self._kept_bytes += size
        while self._kept_bytes > MAX_KEPT_ANSWER_BYTES:
            oldest = next(iter(self._kept))
            entry = self._entries[oldest]
            entry.headers, entry.answer = _NO_HEADERS, None
            self._drop_answer(oldest)

    def _drop_answer(self, key: bytes) -> None:
        self._kept_bytes -= self._kept.pop(key, 0)

    def _forget(self) -> None:
        """Frees the memory of keys whose lifetime is over.

        The order is that of the claims, so a key can wait here for one that
        lives longer; `_live` does not return it.
        """
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.until_ms > self.time_ms:
                return
            del self._entries[key]
            self._drop_answer(key)

    def _note_gap(
        self,
        offset: ids.Offset,
        time_ms: int,
        batch: claims.ClaimBatch | None,
    ) -> None:
        """Finds out how young the dropped records can be.

        The first record that is left tells the time of the one before it, if
        its writer had read that far. A time of 0 means that the writer found
        the stream empty: the dropped records had passed the log's retention.
        """
        self._gap = False
        newest_ms = time_ms
        if batch is not None and batch.read_offset == offset:
            newest_ms = batch.read_time_ms or time_ms - self._retention_ms
        self.blind_until_ms = max(
            self.blind_until_ms, newest_ms + claims.MAX_KEY_LIFETIME_MS
        )


def _answer_other(entry: KeyEntry, now_ms: int) -> claims.Answer:
    if entry.state is KeyState.COMPLETED:
        return _completed(entry)
    # A winner that was released meanwhile leaves the key free to be claimed
    # again, as one that is in progress may do.
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
