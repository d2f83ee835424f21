"""Tests of admission after the start of a process."""

import asyncio

import pytest
from tests.fakes import sidecar_settings

from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import byte_budgets
from buckthorn_core import lifetimes
from buckthorn_core import link_schedules
from buckthorn_core import load_balancing
from buckthorn_platform import headers
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress

ADDRESS = sidecar_settings.ADDRESS


def make(budget=None):
    cfg = sidecar_settings.make()
    return ingress.Ingress(
        cfg,
        headers.PlatformHeaders(),
        metrics.Metrics(traffic_counters.ThreadSafeControlTraffic()),
        budget or byte_budgets.ByteBudget(),
    )


def long_response(attempt):
    return frames.Response(
        attempt,
        200,
        [],
        bytes(100_000),
        load_balancing.LoadReport(1, 0, 0, 0),
        1,
    )


def test_long_outcomes_make_room_for_bodies():
    """Guards against uploads that are refused for outcomes that nobody needs.

    A dropped outcome must not be taken for "not run".
    """

    async def run():
        started = make(byte_budgets.ByteBudget(250_000))
        for number in (1, 2):
            name = f"d-2/a/{number}"
            fut = asyncio.get_running_loop().create_future()
            frame = long_response(name)
            started._outcomes.begin(name, fut)
            started._keep_long_outcome(frame)
            fut.set_result(frame)
            started._complete(name)
        del frame, fut
        holder = object()
        assert started.bodies.reserve(holder, 100_000)
        lost, kept = [
            await started.query_outcome(
                frames.OutcomeQuery(f"d-2/a/{number}", started.boot_id)
            )
            for number in (1, 2)
        ]
        assert isinstance(lost, frames.Failure)
        assert lost.arrived
        assert isinstance(kept, frames.Response)
        del kept
        assert not started.bodies.reserve(holder, 200_000)
        started.bodies.release(holder)
        assert started.bodies.reserve(holder, 200_000)

    asyncio.run(run())


def test_kept_outcomes_count_their_headers():
    """Guards against headers that fill the memory for as long as it is kept."""

    async def run():
        limit = 1_000_000
        started = make(byte_budgets.ByteBudget(limit))
        headers = [(f"x-{n}", "v") for n in range(300)]
        for number in range(10):
            name = f"d-2/a/{number}"
            frame = frames.Response(
                name,
                200,
                headers,
                b"",
                load_balancing.LoadReport(1, 0, 0, 0),
                1,
            )
            fut = asyncio.get_running_loop().create_future()
            fut.set_result(frame)
            started._outcomes.begin(name, fut)
            started._complete(name, ingress._response_bytes(fut))
        # 300 headers take 60 KB, and outcomes a tenth of the budget.
        kept = [
            number
            for number in range(10)
            if started._outcomes.get(f"d-2/a/{number}") is not None
        ]
        assert kept == [9]

    asyncio.run(run())


def test_a_daemon_is_not_idle_while_it_sends_a_body():
    """Guards against a planned stop that cuts a long response."""

    async def run():
        started = make()

        class Connection:
            path = link_schedules.Path()
            sending = {}

            def write(self, frame):
                """Drops the frame."""

            write_piece = write

        conn = Connection()
        conn.path.is_blocked = True
        assert started.idle
        started.bodies.send(conn, long_response("d-2/a/1"))
        assert not started.idle
        assert started.load().link_drain_ms > 0
        conn.path.is_blocked = False
        started.bodies.pump()
        while not started.idle:
            started.bodies.on_received(conn, 1)
            await asyncio.sleep(0.01)
        assert started.load().link_drain_ms == 0

    asyncio.run(run())


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
