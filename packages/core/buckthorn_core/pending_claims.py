"""Claims that are not decided, and those of them that wait for a batch."""

import collections
from collections.abc import Iterator

from buckthorn_core import claims

# A holder asks again long before this time has passed.
FORGET_S = 5.0
FIRST_DECISION_S = 0.04
SMOOTHING = 0.2


class PendingClaim:
    """A claim that is not decided.

    Attributes:
        claim: The claim.
        first_s: When it was made.
        asked_s: When its holder last asked.
        lost: Whether it is recorded and found the key taken.
        failed: Whether it is given up because the log can't be read.
    """

    __slots__ = ("asked_s", "claim", "failed", "first_s", "lost")

    def __init__(self, claim: claims.Claim, now_s: float):
        self.claim = claim
        self.first_s = now_s
        self.asked_s = now_s
        self.lost = False
        self.failed = False


class PendingClaims:
    """The undecided claims of a partition, by token.

    Attributes:
        decision_s: Smoothed time until a claim has been read in the log.
    """

    def __init__(self) -> None:
        self.decision_s = FIRST_DECISION_S
        self._waiters: dict[bytes, PendingClaim] = {}
        self._queue: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def queued_since_s(self) -> float | None:
        """When the first claim that waits for a batch was made."""
        return next(iter(self._queue.values()), None)

    def get(self, token: bytes) -> PendingClaim | None:
        """Returns a claim that waits."""
        return self._waiters.get(token)

    def add(self, claim: claims.Claim, now_s: float) -> None:
        """Takes a claim into the queue for the next batch."""
        self._waiters[claim.token] = PendingClaim(claim, now_s)
        self._queue[claim.token] = now_s

    def drop(self, token: bytes) -> None:
        """Forgets a claim."""
        self._waiters.pop(token, None)
        self._queue.pop(token, None)

    def queued(self) -> Iterator[claims.Claim]:
        """Yields the claims for the next batch; they may be unqueued."""
        for token in list(self._queue):
            yield self._waiters[token].claim

    def unqueue(self, token: bytes) -> None:
        """Notes that a claim needs no batch."""
        self._queue.pop(token, None)

    def note_recorded(self, token: bytes, now_s: float) -> None:
        """Notes that a claim was read in the log.

        The time until a holder asks again would not do for `decision_s`: it
        is at least the time that it was told to wait, and could only grow.
        """
        queued = self._queue.pop(token, None) is not None
        waiter = self._waiters.get(token)
        if queued and waiter is not None:
            spent_s = now_s - waiter.first_s
            self.decision_s += SMOOTHING * (spent_s - self.decision_s)

    def note_lost(self, token: bytes) -> None:
        """Notes that a claim was read in the log and found the key taken."""
        waiter = self._waiters.get(token)
        if waiter is not None:
            waiter.lost = True

    def fail_all(self) -> None:
        """Gives up all claims."""
        for waiter in self._waiters.values():
            waiter.failed = True
        self._queue.clear()

    def forget(self, now_s: float) -> None:
        """Drops claims whose holders no longer ask."""
        gone = [
            token
            for token, waiter in self._waiters.items()
            if now_s - waiter.asked_s > FORGET_S
        ]
        for token in gone:
            self.drop(token)
