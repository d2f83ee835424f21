"""What became of the tries that reached a daemon, for those that ask later.

A daemon that lost the connection to an answer asks what became of its try. An
answer of "not run" lets it send the request elsewhere, so it may only be given
for a try that this daemon never saw: not for one that still runs, however long
it takes, nor for one whose outcome has been dropped.

The load pattern: a booking runs for longer than outcomes are kept, and the
link to its caller's daemon goes silent meanwhile.
"""

import collections
from typing import Generic
from typing import TypeVar

# How long an outcome can be asked for after it is known, in seconds: a silent
# link is noticed within 1.5 s.
RETENTION_S = 6.0
MAX_ENDED = 8_192
# Processes whose dropped tries are remembered by number.
MAX_SENDERS = 4_096

T = TypeVar("T")


def attempt_id(sender: str, number: int) -> str:
    """Returns the id of a try.

    Args:
        sender: Names the process that sends it.
        number: Rises with each try of that process.
    """
    return f"{sender}/{number}"


class AttemptOutcomes(Generic[T]):
    """Outcomes of tries by id, the ended ones for a limited time."""

    def __init__(self) -> None:
        self._running: dict[str, T] = {}
        self._ended: collections.OrderedDict[str, tuple[float, T]] = (
            collections.OrderedDict()
        )
        # The highest number of each sender whose outcome was dropped.
        self._dropped: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._lost_senders = False

    def get(self, attempt: str) -> T | None:
        """Returns the outcome of a try, or None."""
        found = self._running.get(attempt)
        if found is not None:
            return found
        ended = self._ended.get(attempt)
        return None if ended is None else ended[1]

    def begin(self, attempt: str, outcome: T) -> None:
        """Keeps the outcome of a try until it is known and some time more."""
        self._running[attempt] = outcome

    def end(self, attempt: str, now_s: float) -> None:
        """Notes that an outcome is known."""
        outcome = self._running.pop(attempt, None)
        if outcome is None:
            return
        self._ended[attempt] = (now_s, outcome)
        while self._ended:
            first, (ended_s, _) = next(iter(self._ended.items()))
            is_kept = now_s - ended_s < RETENTION_S
            if is_kept and len(self._ended) <= MAX_ENDED:
                return
            del self._ended[first]
            self._drop(first)

    def _drop(self, attempt: str) -> None:
        sender, number = _split(attempt)
        highest = max(number, self._dropped.pop(sender, number))
        self._dropped[sender] = highest
        while len(self._dropped) > MAX_SENDERS:
            self._dropped.popitem(last=False)
            self._lost_senders = True

    def may_have_dropped(self, attempt: str) -> bool:
        """Returns whether an unknown try may have been here."""
        sender, number = _split(attempt)
        highest = self._dropped.get(sender)
        if highest is None:
            return self._lost_senders
        return number <= highest


def _split(attempt: str) -> tuple[str, int]:
    sender, _, number = attempt.rpartition("/")
    return sender, int(number) if number.isdecimal() else 0
