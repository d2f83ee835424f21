"""Time of an event loop over a suspension of the host."""

import asyncio
import time

from buckthorn_adapters import boottime_loops


def test_time_limits_run_out_while_the_host_is_suspended(monkeypatch):
    """Guards against a request run, or a word trusted, after its time.

    The host stands still for 5 s while a limit of 3 s runs; its usual steady
    clock does not count that time.
    """
    suspended_s = [0.0]
    boot_time = time.clock_gettime

    def clock(number):
        assert number == time.CLOCK_BOOTTIME
        return boot_time(number) + suspended_s[0]

    monkeypatch.setattr(boottime_loops.time, "clock_gettime", clock)

    async def run():
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + 3.0
        suspended_s[0] = 5.0
        assert loop.time() > limit_s
        try:
            async with asyncio.timeout_at(limit_s):
                await asyncio.sleep(1.0)
        except TimeoutError:
            return True
        return False

    with asyncio.Runner(loop_factory=boottime_loops.BoottimeLoop) as runner:
        started_s = time.monotonic()
        assert runner.run(run())
        assert time.monotonic() - started_s < 1.0
