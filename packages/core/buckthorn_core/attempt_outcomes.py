"""Outcomes of attempts that reached a daemon, for later queries.

A daemon that lost the connection before an answer queries the outcome of its
attempt. The reply "not run" lets it send the request elsewhere, so it may be
given only for an attempt that never reached this daemon: not for one that
still runs, however long that takes, nor for one whose outcome was dropped.

An example is a booking that runs for longer than outcomes are kept, while the
link to its caller's daemon is silent.
"""

import collections
import sys
from typing import Generic
from typing import TypeVar

# Time for which an outcome is kept after the attempt has ended, in seconds. A
# silent link is detected within 1.5 s.
RETENTION_S = 6.0
MAX_ENDED = 8_192
# Most senders for which the highest dropped attempt number is kept.
MAX_SENDERS = 4_096

T = TypeVar("T")


def attempt_id(sender: str, number: int) -> str:
    """Returns the id of an attempt.

    Args:
        sender: Id of the sending process.
        number: Sequence number of the attempt within that process.
    """
    return f"{sender}/{number}"


class AttemptOutcomes(Generic[T]):
    """Outcomes of attempts by id; ended ones are kept for a limited time.

    Attributes:
        ended_bytes: Size of the ended outcomes, in bytes.
    """

    def __init__(self, max_bytes: int = sys.maxsize) -> None:
        """Creates the outcomes.

        Args:
            max_bytes: Most bytes of ended outcomes; the oldest are dropped.
        """
        self._max_bytes = max_bytes
        self.ended_bytes = 0
        self._running: dict[str, T] = {}
        self._ended: collections.OrderedDict[str, tuple[float, T, int]] = (
            collections.OrderedDict()
        )
        # Highest number of a dropped attempt, by sender.
        self._dropped: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._senders_evicted = False

    def get(self, attempt: str) -> T | None:
        """Returns the outcome of an attempt, or None."""
        running = self._running.get(attempt)
        if running is not None:
            return running
        ended = self._ended.get(attempt)
        return None if ended is None else ended[1]

    def begin(self, attempt: str, outcome: T) -> None:
        """Stores the outcome of a new attempt, usually as a future."""
        self._running[attempt] = outcome

    def end(self, attempt: str, now_s: float, size: int = 0) -> None:
        """Marks an attempt as ended and drops outcomes that are too old.

        Args:
            attempt: The attempt.
            now_s: The time, in seconds.
            size: Size of its outcome, in bytes.
        """
        outcome = self._running.pop(attempt, None)
        if outcome is None:
            return
        self._ended[attempt] = (now_s, outcome, size)
        self.ended_bytes += size
        while self._ended:
            oldest, (ended_s, _, oldest_size) = next(iter(self._ended.items()))
            is_recent = now_s - ended_s < RETENTION_S
            if (
                is_recent
                and len(self._ended) <= MAX_ENDED
                and self.ended_bytes <= self._max_bytes
            ):
                return
            del self._ended[oldest]
            self.ended_bytes -= oldest_size
            self._drop(oldest)

    def forget(self, attempt: str) -> None:
        """Forgets an attempt whose outcome nobody will query."""
        self._running.pop(attempt, None)

    def _drop(self, attempt: str) -> None:
        sender, number = _split(attempt)
        highest = max(number, self._dropped.pop(sender, number))
        self._dropped[sender] = highest
        while len(self._dropped) > MAX_SENDERS:
            self._dropped.popitem(last=False)
            self._senders_evicted = True

    def drop(self, attempt: str) -> bool:
        """Drops the outcome of an ended attempt to free its memory.

        Returns:
            Whether there was one.
        """
        ended = self._ended.pop(attempt, None)
        if ended is None:
            return False
        self.ended_bytes -= ended[2]
        self._drop(attempt)
        return True

    def may_have_dropped(self, attempt: str) -> bool:
        """Returns whether an unknown attempt may have reached this daemon."""
        sender, number = _split(attempt)
        highest = self._dropped.get(sender)
        if highest is None:
            return self._senders_evicted
        return number <= highest


def _split(attempt: str) -> tuple[str, int]:
    sender, _, number = attempt.rpartition("/")
    return sender, int(number) if number.isdecimal() else 0
