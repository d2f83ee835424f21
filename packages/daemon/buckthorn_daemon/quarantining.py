"""Quarantine of requests, for callers' side and upstream's side."""

from collections.abc import Mapping
import time

from buckthorn_adapters import servers
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_daemon import headers
from buckthorn_daemon import state

TICK_PERIOD_S = 5.0


def now_ms() -> int:
    """Returns the time that suspicions are dated with, in ms."""
    return time.time_ns() // 1_000_000


class Guard:
    """Refuses requests in quarantine and passes suspicions on.

    Suspicions travel with requests and answers too: a retry starts within
    milliseconds of a crash, long before gossip arrives.
    """

    def __init__(self, shared: state.State):
        self._shared = shared

    def check(self, name: ids.Fingerprint | None) -> None:
        """Refuses a request in quarantine.

        Raises:
            errors.RequestError: It is in quarantine; it has not run.
        """
        if name is not None:
            with self._shared.lock:
                self._shared.quarantines.check(name, now_ms())

    def is_refused(self, name: ids.Fingerprint) -> bool:
        """Returns whether a request is in quarantine."""
        with self._shared.lock:
            return self._shared.quarantines.is_quarantined(name, now_ms())

    def header(self, name: ids.Fingerprint) -> str:
        """Returns what to tell the other daemon of a request."""
        with self._shared.lock:
            return quarantines.encode(self._shared.quarantines.get(name))

    def learn(self, found: Mapping[str, str]) -> ids.Fingerprint | None:
        """Takes in the suspicion in headers; returns its fingerprint."""
        suspicion = quarantines.decode(
            found.get(headers.SUSPICION)
            or found.get(headers.SUSPICION.lower(), "")
        )
        if suspicion is None:
            return None
        if suspicion.incarnation:
            with self._shared.lock:
                self._shared.table.put(suspicion)
        return suspicion.fingerprint

    def complete(self, name: ids.Fingerprint | None) -> None:
        """Notes that an upstream has completed a request."""
        if name is not None:
            with self._shared.lock:
                self._shared.quarantines.record_completion(name, now_ms())

    def count_crash(self, names: set[ids.Fingerprint]) -> None:
        """Counts an upstream crash for the requests in flight."""
        with self._shared.lock:
            for name in sorted(names):
                self._shared.quarantines.count_crash(name, now_ms())

    def attach(
        self, exchange: servers.Exchange, name: ids.Fingerprint | None
    ) -> None:
        """Adds the suspicion of a request to its answer."""
        if name is not None and not exchange.started:
            exchange.add_header(headers.SUSPICION, self.header(name))

    def tick(self) -> None:
        """Drops old suspicions."""
        with self._shared.lock:
            self._shared.quarantines.expire(now_ms())
