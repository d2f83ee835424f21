"""Detection of upstream crashes and of the requests in flight."""

import socket
import threading
import time

import loguru

from buckthorn_core import ids
from buckthorn_daemon import quarantine_guard

# A crashing process closes its sockets one after the other: a second probe
# finds the listening socket closed if the first one came too early.
PROBE_PAUSES_S = (0.0, 0.05)
PROBE_TIMEOUT_S = 0.2
# Requests on connections that were lost at most this long before missing
# announcements are detected count towards that crash: 3 s
# (ingress.ANNOUNCE_TIMEOUT_S) plus the period of the check.
LOST_REQUEST_KEEP_S = 4.0

_logger = loguru.logger.bind(module=__name__)


class InFlightRequest:
    """A request that may have reached the upstream.

    Attributes:
        fingerprint: Its fingerprint; None if the sender gave none.
        counted: Whether a crash has been counted for it.
    """

    def __init__(self, fingerprint: ids.Fingerprint | None):
        self.fingerprint = fingerprint
        self.counted = False


class CrashDetector:
    """Detects crashes and counts each once per request in flight.

    A lost connection alone is not a crash, since upstreams also close
    connections for other reasons. It is one if the upstream then refuses
    connections or stops sending announcements.
    """

    def __init__(self, guard: quarantine_guard.Guard):
        self._guard = guard
        self._lock = threading.Lock()
        self._in_flight: set[InFlightRequest] = set()
        self._lost: dict[InFlightRequest, float] = {}

    def begin(self, fingerprint: ids.Fingerprint | None) -> InFlightRequest:
        """Registers a request, just before its first byte is sent."""
        request = InFlightRequest(fingerprint)
        with self._lock:
            self._in_flight.add(request)
        return request

    def end(self, request: InFlightRequest) -> None:
        """Unregisters a request that is no longer in flight."""
        with self._lock:
            self._in_flight.discard(request)

    def complete(self, request: InFlightRequest) -> None:
        """Records that a request has got a complete response."""
        with self._lock:
            for other in [
                r for r in self._lost if r.fingerprint == request.fingerprint
            ]:
                del self._lost[other]
        self._guard.complete(request.fingerprint)

    def on_connection_lost(self, port: int) -> bool:
        """Determines whether a connection was lost in a crash.

        Args:
            port: Port of the upstream.

        Returns:
            Whether the upstream no longer accepts connections.
        """
        now_s = time.monotonic()
        with self._lock:
            for request in self._in_flight:
                self._lost.setdefault(request, now_s)
            self._drop_expired(now_s)
        for pause_s in PROBE_PAUSES_S:
            time.sleep(pause_s)
            if refuses_connections(port):
                self._count_crashes()
                return True
        return False

    def on_announcements_missing(self) -> None:
        """Counts a crash after the upstream's announcements have stopped."""
        with self._lock:
            self._drop_expired(time.monotonic())
        self._count_crashes()

    def _drop_expired(self, now_s: float) -> None:
        for request, lost_s in list(self._lost.items()):
            if now_s - lost_s > LOST_REQUEST_KEEP_S:
                del self._lost[request]

    def _count_crashes(self) -> None:
        with self._lock:
            lost = [r for r in self._lost if not r.counted]
            self._lost.clear()
            for request in lost:
                request.counted = True
        fingerprints = {
            r.fingerprint for r in lost if r.fingerprint is not None
        }
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
