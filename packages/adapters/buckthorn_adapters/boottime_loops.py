"""Event loop whose clock includes the time that the host is suspended.

The default clock of an event loop stops during a suspension, so that expired
deadlines and permissions would still seem valid afterwards.
"""

import asyncio
import time


class BoottimeLoop(asyncio.SelectorEventLoop):
    """Event loop on CLOCK_BOOTTIME, which also counts suspensions."""

    def time(self) -> float:
        """Returns the time since the boot of the host, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
