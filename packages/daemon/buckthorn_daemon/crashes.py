"""Detection of upstream crashes and of the requests in flight."""

import socket
import threading
import time

import loguru

from buckthorn_core import ids
from buckthorn_core import in_flight_requests
from buckthorn_daemon import quarantine_guard

# A crashing process closes its sockets one after the other: a second probe
# finds the listening socket closed if the first one came too early.
PROBE_PAUSES_S = (0.0, 0.05)
PROBE_TIMEOUT_S = 0.2

_logger = loguru.logger.bind(module=__name__)


class InFlightRequest:
    """A request that may have reached the upstream."""


class CrashDetector:
    """Detects crashes and counts each once per request in flight.

    A lost connection alone is not a crash, since upstreams also close
    connections for other reasons. It is one if the upstream then refuses
    connections or stops sending announcements.
    """

    def __init__(self, guard: quarantine_guard.Guard):
        self._guard = guard
        self._lock = threading.Lock()
        self._requests: in_flight_requests.InFlightRequests[InFlightRequest] = (
            in_flight_requests.InFlightRequests()
        )

    def begin(self, fingerprint: ids.Fingerprint | None) -> InFlightRequest:
        """Registers a request, just before its first byte is sent.

        Args:
            fingerprint: Its fingerprint; None if the sender gave none.
        """
        request = InFlightRequest()
        if fingerprint is not None:
            with self._lock:
                self._requests.begin(request, fingerprint)
        return request

    def end(self, request: InFlightRequest) -> None:
        """Unregisters a request that is no longer in flight."""
        with self._lock:
            self._requests.end(request)

    def complete(self, request: InFlightRequest) -> None:
        """Records that a request has got a complete response."""
        with self._lock:
            fingerprint = self._requests.complete(request)
        self._guard.complete(fingerprint)

    def on_connection_lost(self, port: int) -> bool:
        """Determines whether a connection was lost in a crash.

        Args:
            port: Port of the upstream.

        Returns:
            Whether the upstream no longer accepts connections.
        """
        with self._lock:
            self._requests.mark_lost(time.monotonic())
        for pause_s in PROBE_PAUSES_S:
            time.sleep(pause_s)
            if refuses_connections(port):
                self._count_crashes()
                return True
        return False

    def on_announcements_missing(self) -> None:
        """Counts a crash after the upstream's announcements have stopped."""
        with self._lock:
            self._requests.drop_expired(time.monotonic())
        self._count_crashes()

    def _count_crashes(self) -> None:
        with self._lock:
            fingerprints = self._requests.take_lost()
        if fingerprints:
            self._guard.count_crash(fingerprints)
            _logger.warning("upstream_crashed", in_flight=len(fingerprints))


def refuses_connections(port: int) -> bool:
    """Returns whether the upstream's port refuses connections."""
    try:
        socket.create_connection(("127.0.0.1", port), PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
