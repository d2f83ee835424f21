"""Thread-safe counters of control traffic."""

import threading

from buckthorn_core import traffic


class ThreadSafeControlTraffic(traffic.ControlTraffic):
    """Control traffic counters that several threads update."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()

    def add(self, kind: str, scope: traffic.Scope, size: int) -> None:
        """Counts one message."""
        with self._lock:
            super().add(kind, scope, size)

    def total(self, scope: traffic.Scope) -> int:
        """Returns the number of bytes sent in a scope."""
        with self._lock:
            return super().total(scope)
