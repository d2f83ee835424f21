"""Undecided claims, and the queue of those to append with the next batch."""

import collections
from collections.abc import Iterator

from buckthorn_core import claims

# A claim that was not polled for this time is dropped, in seconds. Holders poll
# far more often.
POLL_TIMEOUT_S = 5.0
INITIAL_DECISION_S = 0.04
SMOOTHING = 0.2


class PendingClaim:
    """An undecided claim.

    Attributes:
        claim: The claim.
        created_s: When it was made; monotonic time in seconds.
        polled_s: When its holder last polled; monotonic time in seconds.
        lost: Whether it is recorded, but another claim held the key.
        failed: Whether it failed because the log can't be read.
    """

    __slots__ = ("claim", "created_s", "failed", "lost", "polled_s")

    def __init__(self, claim: claims.Claim, now_s: float):
        self.claim = claim
        self.created_s = now_s
        self.polled_s = now_s
        self.lost = False
        self.failed = False


class PendingClaims:
    """The undecided claims of a partition, by token.

    Attributes:
        decision_s: Smoothed time from a claim until it is read from the log.
    """

    def __init__(self) -> None:
        self.decision_s = INITIAL_DECISION_S
        self._pending: dict[bytes, PendingClaim] = {}
        self._queue: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def queued_since_s(self) -> float | None:
        """When the oldest queued claim was made."""
        return next(iter(self._queue.values()), None)

    def get(self, token: bytes) -> PendingClaim | None:
        """Returns an undecided claim, or None."""
        return self._pending.get(token)

    def add(self, claim: claims.Claim, now_s: float) -> None:
        """Adds a claim and queues it for the next batch."""
        self._pending[claim.token] = PendingClaim(claim, now_s)
        self._queue[claim.token] = now_s

    def remove(self, token: bytes) -> None:
        """Removes a claim."""
        self._pending.pop(token, None)
        self._queue.pop(token, None)

    def queued(self) -> Iterator[claims.Claim]:
        """Yields the queued claims; they may be unqueued meanwhile."""
        for token in list(self._queue):
            yield self._pending[token].claim

    def unqueue(self, token: bytes) -> None:
        """Removes a claim from the queue only."""
        self._queue.pop(token, None)

    def note_recorded(self, token: bytes, now_s: float) -> None:
        """Marks a claim as read from the log.

        `decision_s` is measured here and not at the holder's next poll: that
        is at least the time that the holder was told to wait, so that the
        average could only grow.
        """
        queued = self._queue.pop(token, None) is not None
        pending = self._pending.get(token)
        if queued and pending is not None:
            elapsed_s = now_s - pending.created_s
            self.decision_s += SMOOTHING * (elapsed_s - self.decision_s)

    def note_lost(self, token: bytes) -> None:
        """Marks a recorded claim as lost to another claim of the key."""
        pending = self._pending.get(token)
        if pending is not None:
            pending.lost = True

    def fail_all(self) -> None:
        """Marks all claims as failed and empties the queue."""
        for pending in self._pending.values():
            pending.failed = True
        self._queue.clear()

    def remove_timed_out(self, now_s: float) -> None:
        """Removes claims whose holders no longer poll."""
        timed_out = [
            token
            for token, pending in self._pending.items()
            if now_s - pending.polled_s > POLL_TIMEOUT_S
        ]
        for token in timed_out:
            self.remove(token)
