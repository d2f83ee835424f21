"""Quarantine of requests, used by egress and ingress."""

from collections.abc import Mapping
import time

from buckthorn_adapters import servers
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_daemon import headers
from buckthorn_daemon import state

TICK_PERIOD_S = 5.0


def now_ms() -> int:
    """Returns the timestamp for suspicions, in ms since the epoch."""
    return time.time_ns() // 1_000_000


class Guard:
    """Refuses requests in quarantine and propagates suspicions.

    Suspicions are sent in headers of requests and responses as well as by
    gossip: a retry starts within milliseconds of a crash, long before gossip
    arrives.
    """

    def __init__(self, shared: state.State):
        self._shared = shared

    def check(self, fingerprint: ids.Fingerprint | None) -> None:
        """Refuses a request in quarantine.

        Raises:
            errors.RequestError: The request is in quarantine and has not run.
        """
        if fingerprint is not None:
            with self._shared.lock:
                self._shared.quarantines.check(fingerprint, now_ms())

    def is_quarantined(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is in quarantine."""
        with self._shared.lock:
            return self._shared.quarantines.is_quarantined(
                fingerprint, now_ms()
            )

    def suspicion_header(self, fingerprint: ids.Fingerprint) -> str:
        """Returns the header value with the suspicion of a request."""
        with self._shared.lock:
            return quarantines.encode(self._shared.quarantines.get(fingerprint))

    def record_suspicion(
        self, message_headers: Mapping[str, str]
    ) -> ids.Fingerprint | None:
        """Stores the suspicion in a message's headers.

        Returns:
            The fingerprint of the request; None without a valid header.
        """
        suspicion = quarantines.decode(
            message_headers.get(headers.SUSPICION)
            or message_headers.get(headers.SUSPICION.lower(), "")
        )
        if suspicion is None:
            return None
        if suspicion.incarnation:
            with self._shared.lock:
                self._shared.table.put(suspicion)
        return suspicion.fingerprint

    def complete(self, fingerprint: ids.Fingerprint | None) -> None:
        """Records that an upstream has completed a request."""
        if fingerprint is not None:
            with self._shared.lock:
                self._shared.quarantines.record_completion(
                    fingerprint, now_ms()
                )

    def count_crash(self, fingerprints: set[ids.Fingerprint]) -> None:
        """Counts an upstream crash for the requests in flight."""
        with self._shared.lock:
            for fingerprint in sorted(fingerprints):
                self._shared.quarantines.count_crash(fingerprint, now_ms())

    def add_suspicion_header(
        self, exchange: servers.Exchange, fingerprint: ids.Fingerprint | None
    ) -> None:
        """Adds the suspicion of a request to its response, if not started."""
        if fingerprint is not None and not exchange.started:
            exchange.add_header(
                headers.SUSPICION, self.suspicion_header(fingerprint)
            )

    def tick(self) -> None:
        """Drops expired suspicions."""
        with self._shared.lock:
            self._shared.quarantines.expire(now_ms())
