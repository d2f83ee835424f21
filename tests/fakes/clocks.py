"""Fake clock that advances only when a test sets it."""


class Clock:
    """Replaces the module `time` in the modules of a daemon."""

    def __init__(self, now_s: float = 1_000.0):
        self.now_s = now_s

    def monotonic(self) -> float:
        return self.now_s

    def time(self) -> float:
        return self.now_s + 1.7e9

    def time_ns(self) -> int:
        return int(self.time() * 1e9)

    def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s
