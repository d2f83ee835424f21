"""Requests that an upstream runs, and those that count for a crash of it.

A lost connection alone is not a crash. The requests that were in flight when it
was lost are kept until it is known whether the upstream has crashed.
"""

from typing import Generic
from typing import TypeVar

from buckthorn_core import ids

# Requests on connections that were lost at most this long before a crash is
# noticed count for it. Missing announcements show it after 3 s, plus the period
# of that check.
LOST_REQUEST_KEEP_S = 4.0

K = TypeVar("K")


class InFlightRequests(Generic[K]):
    """Requests in flight, by any key that names one run of a request."""

    def __init__(self) -> None:
        self._in_flight: dict[K, ids.Fingerprint] = {}
        # With the time of the loss, on a monotonic clock.
        self._lost: dict[K, tuple[float, ids.Fingerprint]] = {}
        # Those in flight that have counted for a crash.
        self._counted: set[K] = set()

    def begin(self, key: K, fingerprint: ids.Fingerprint) -> None:
        """Registers a request, just before its first byte is sent."""
        self._in_flight[key] = fingerprint

    def end(self, key: K) -> None:
        """Unregisters a request that is not in flight any more."""
        self._in_flight.pop(key, None)
        self._counted.discard(key)

    def complete(self, key: K) -> ids.Fingerprint | None:
        """Unregisters a request that has got a complete response.

        Copies of it don't count for a crash either.

        Returns:
            Its fingerprint; None if the request is not in flight.
        """
        fingerprint = self._in_flight.get(key)
        self.end(key)
        if fingerprint is not None:
            for other, (_, lost) in list(self._lost.items()):
                if lost == fingerprint:
                    del self._lost[other]
        return fingerprint

    def mark_lost(self, now_s: float) -> None:
        """Records that a connection was lost.

        Args:
            now_s: Monotonic time in seconds.
        """
        for key, fingerprint in self._in_flight.items():
            self._lost.setdefault(key, (now_s, fingerprint))
        self.drop_expired(now_s)

    def drop_expired(self, now_s: float) -> None:
        """Drops requests that were lost too long ago to count."""
        for key, (lost_s, _) in list(self._lost.items()):
            if now_s - lost_s > LOST_REQUEST_KEEP_S:
                del self._lost[key]

    def take_lost(self) -> set[ids.Fingerprint]:
        """Returns the requests that count for a crash, each run once."""
        fingerprints = {
            fingerprint
            for key, (_, fingerprint) in self._lost.items()
            if key not in self._counted
        }
        self._counted.update(k for k in self._lost if k in self._in_flight)
        self._lost.clear()
        return fingerprints
