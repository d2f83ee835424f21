"""Clock of the event loop while the host is suspended."""

import asyncio
import time

from buckthorn_adapters import boottime_loops


def test_deadlines_expire_while_the_host_is_suspended(monkeypatch):
    """Guards against requests and permissions used after their deadline.

    The host is suspended for 5 s during a timeout of 3 s; CLOCK_MONOTONIC does
    not count that time.
    """
    suspended_s = [0.0]
    boot_time = time.clock_gettime

    def clock(number):
        assert number == time.CLOCK_BOOTTIME
        return boot_time(number) + suspended_s[0]

    monkeypatch.setattr(boottime_loops.time, "clock_gettime", clock)

    async def run():
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 3.0
        suspended_s[0] = 5.0
        assert loop.time() > deadline_s
        try:
            async with asyncio.timeout_at(deadline_s):
                await asyncio.sleep(1.0)
        except TimeoutError:
            return True
        return False

    with asyncio.Runner(loop_factory=boottime_loops.BoottimeLoop) as runner:
        started_s = time.monotonic()
        assert runner.run(run())
        assert time.monotonic() - started_s < 1.0
