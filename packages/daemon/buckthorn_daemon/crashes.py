"""Recognises crashes of the upstream and who was in flight."""

import socket
import threading
import time

import loguru

from buckthorn_core import ids
from buckthorn_daemon import quarantining

# A dying process closes its sockets one after the other; the second probe
# finds the listening socket closed if the first was too early.
PROBE_PAUSES_S = (0.0, 0.05)
PROBE_TIMEOUT_S = 0.2
# A connection lost this long before the announcements were found missing
# still belongs to that crash: 3 s of missing ones and the period of checks.
PENDING_S = 4.0

_logger = loguru.logger.bind(module=__name__)


class Flight:
    """A request that may have reached the upstream.

    Attributes:
        name: Its fingerprint, or None if the sender gave none.
        counted: Whether a crash has been counted for it.
    """

    def __init__(self, name: ids.Fingerprint | None):
        self.name = name
        self.counted = False


class CrashWatch:
    """Knows the requests in flight and counts a crash once for each.

    A lost connection alone is no crash: upstreams also close connections
    for other reasons. It is one if the upstream then refuses connections,
    or stops announcing itself.
    """

    def __init__(self, guard: quarantining.Guard):
        self._guard = guard
        self._lock = threading.Lock()
        self._flights: set[Flight] = set()
        self._pending: dict[Flight, float] = {}

    def begin(self, name: ids.Fingerprint | None) -> Flight:
        """Notes a request just before its first byte leaves."""
        flight = Flight(name)
        with self._lock:
            self._flights.add(flight)
        return flight

    def end(self, flight: Flight) -> None:
        """Notes that a request is not in flight any more."""
        with self._lock:
            self._flights.discard(flight)

    def complete(self, flight: Flight) -> None:
        """Notes a complete answer."""
        with self._lock:
            for other in [f for f in self._pending if f.name == flight.name]:
                del self._pending[other]
        self._guard.complete(flight.name)

    def lost(self, port: int) -> bool:
        """Decides whether a connection was lost in a crash.

        Args:
            port: Port of the upstream.

        Returns:
            Whether the upstream accepts no connections any more.
        """
        now_s = time.monotonic()
        with self._lock:
            for flight in self._flights:
                self._pending.setdefault(flight, now_s)
            self._forget_old(now_s)
        for pause_s in PROBE_PAUSES_S:
            time.sleep(pause_s)
            if refuses(port):
                self._count()
                return True
        return False

    def upstream_gone(self) -> None:
        """Notes that the upstream has stopped announcing itself."""
        with self._lock:
            self._forget_old(time.monotonic())
        self._count()

    def _forget_old(self, now_s: float) -> None:
        for flight, lost_s in list(self._pending.items()):
            if now_s - lost_s > PENDING_S:
                del self._pending[flight]

    def _count(self) -> None:
        with self._lock:
            found = [f for f in self._pending if not f.counted]
            self._pending.clear()
            for flight in found:
                flight.counted = True
        names = {f.name for f in found if f.name is not None}
        if names:
            self._guard.count_crash(names)
            _logger.warning("upstream_crashed", in_flight=len(names))


def refuses(port: int) -> bool:
    """Returns whether the upstream's port accepts no connections."""
    try:
        socket.create_connection(("127.0.0.1", port), PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
