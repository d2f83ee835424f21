"""Planned stops of a sidecar in which a step fails."""

import asyncio

import pytest
from tests.fakes import keyed_logs
from tests.fakes import sidecar_settings

from buckthorn_platform import configurations
from buckthorn_platform import headers
from buckthorn_sidecar import sidecar


@pytest.mark.parametrize(
    ("part", "step"),
    [
        ("_caps", "drain"),
        ("callers", "drain"),
        ("_registrar", "withdraw"),
        ("ingress", "stop_admitting"),
        ("callers", "stop_listening"),
    ],
)
def test_requests_in_flight_outlive_a_failed_step(monkeypatch, part, step):
    """Guards against a defect in one step that cuts requests in flight."""
    monkeypatch.setattr(sidecar, "READINESS_PROPAGATION_S", 0.0)

    async def run():
        cfg = sidecar_settings.make()
        daemon = sidecar.Sidecar(
            cfg,
            headers.PlatformHeaders(),
            keyed_logs.Log([]),
            sidecar.Topics("configurations", "config", "members"),
            configurations.decode,
        )
        failed = []

        def fail():
            failed.append(step)
            raise OSError("defect")

        monkeypatch.setattr(getattr(daemon, part), step, fail)
        in_flight = asyncio.get_running_loop().create_future()
        monkeypatch.setattr(
            type(daemon.callers),
            "busy",
            property(lambda _: not in_flight.done()),
        )
        draining = asyncio.create_task(daemon.drain())
        await asyncio.sleep(3 * sidecar.PEER_NOTICE_S)
        assert failed
        assert not draining.done()
        in_flight.set_result(None)
        await draining

    asyncio.run(run())
