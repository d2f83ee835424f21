"""Tests of admission after the start of a process."""

import asyncio

import pytest

from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import byte_budgets
from buckthorn_core import lifetimes
from buckthorn_platform import headers
from buckthorn_sidecar import ingress
from buckthorn_sidecar import settings

ADDRESS = "127.0.0.1:1"


def make():
    cfg = settings.Settings(
        daemon="d-1",
        site="s",
        region="r",
        service="stock",
        upstream_address=ADDRESS,
        callers_listen=ADDRESS,
        daemons_listen=ADDRESS,
        control_listen=ADDRESS,
        ready_listen=ADDRESS,
    )
    return ingress.Ingress(
        cfg,
        headers.PlatformHeaders(),
        metrics.Metrics(traffic_counters.ThreadSafeControlTraffic()),
        byte_budgets.ByteBudget(),
    )


@pytest.mark.parametrize(
    ("age_s", "open_"),
    [
        (0.0, False),
        (lifetimes.MAX_ANNOUNCEMENT_DELAY_S - 1.0, False),
        (lifetimes.MAX_ANNOUNCEMENT_DELAY_S + 1.0, True),
    ],
)
def test_an_upstream_without_a_health_check_is_used_after_a_while(age_s, open_):
    """Guards against an upstream that is never used after a restart.

    Its health check fails or has no path, and it announces itself all the time.
    """

    async def run():
        started = make()
        started.start()
        started._started_s -= age_s
        started.announce(
            lifetimes.Announcement(
                "i-1",
                1_000,
                1,
                "stock",
                ADDRESS,
                4,
                lifetimes.UpstreamState.READY,
                0.0,
            )
        )
        assert (started.load().slots > 0) is open_

    asyncio.run(run())
