"""An event loop whose clock goes on while the host is suspended.

The usual clock of an event loop stands still meanwhile: after it, time limits
of callers and permissions that have run out would still seem valid.
"""

import asyncio
import time


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Measures time from the start of the host, suspensions included."""

    def time(self) -> float:
        """Returns the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
