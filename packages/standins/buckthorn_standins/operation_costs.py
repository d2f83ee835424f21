"""Experiment: what an operation key costs in latency and appends."""

import time

import msgspec
import urllib3

from buckthorn_core import claims
from buckthorn_standins import arrivals
from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import tables
from buckthorn_standins import trials

SECONDS = 8.0
RATES_PER_S = (5.0, 50.0, 150.0)
SLOW_LOG_MS = 50
SLOW_RATE_PER_S = 50.0
# Ends of the last requests are appended after their answers, within 0.4 s.
QUIET_S = 1.0
SETTLE_TIMEOUT_S = 30.0


class Row(msgspec.Struct, frozen=True):
    """One measurement.

    Attributes:
        callers: Name of the daemons that the callers use.
        keyed: Whether the requests have an operation key.
        rate_per_s: Requests a second.
        log_delay_ms: Delay of the log service before each answer.
    """

    callers: str
    keyed: bool
    rate_per_s: float
    log_delay_ms: int = 0


def rows() -> list[Row]:
    """Returns all measurements, in the order of the table."""
    found = [
        Row(callers, keyed, rate)
        for callers in ("log's region", "other region")
        for keyed in (False, True)
        for rate in RATES_PER_S
    ]
    found.append(Row("log's region", True, SLOW_RATE_PER_S, SLOW_LOG_MS))
    return found


def _appends(mesh: fleet.Fleet, pool: urllib3.PoolManager) -> int:
    """Returns the number of records in all streams of operations."""
    total = 0
    for partition in range(claims.PARTITIONS):
        stream = claims.stream_of(partition)
        url = f"{mesh.direct_log_url}/v1/streams/{stream}/records?limit=0"
        answer = pool.request("GET", url)
        total += int(msgspec.msgpack.decode(answer.data)["next"])
    return total


def _wait_for_ends(mesh: fleet.Fleet) -> int:
    """Waits until no more records come, and returns their number."""
    pool = urllib3.PoolManager(retries=False, timeout=5.0)
    last = -1
    changed_s = time.monotonic()

    def quiet() -> bool:
        nonlocal last, changed_s
        count = _appends(mesh, pool)
        if count != last:
            last, changed_s = count, time.monotonic()
        return time.monotonic() - changed_s > QUIET_S

    mesh.wait_until(quiet, SETTLE_TIMEOUT_S, "the end of the appends")
    return last


def _measure(
    mesh: fleet.Fleet, row: Row, options: experiments.Options
) -> tuple[list[arrivals.Answer], int]:
    near = row.callers == "log's region"
    mesh.set_log_faults(delay_ms=row.log_delay_ms)
    before = _wait_for_ends(mesh)
    load = arrivals.Load(
        [
            arrivals.Stream(
                [
                    i.address("http")
                    for i in mesh.instances
                    if (i.region == mesh.log_region) == near
                ],
                mesh.deployment.order + "1",
                row.rate_per_s,
                "POST",
                row.keyed,
            )
        ],
        options.seconds or SECONDS,
        f"{options.seed}/{row}",
    )
    load.start()
    load.wait()
    mesh.set_log_faults()
    return load.answers[0], _wait_for_ends(mesh) - before


def _add(
    table: tables.Table,
    row: Row,
    found: list[arrivals.Answer],
    appends: int,
    seconds: float,
) -> None:
    answered = [a.seconds * 1000 for a in found if a.status == 200]
    refused = sum(bool(a.not_run) for a in found)
    table.add(
        row.callers,
        "yes" if row.keyed else "no",
        row.rate_per_s,
        row.log_delay_ms,
        len(found),
        refused,
        len(found) - len(answered) - refused,
        tables.quantile(answered, 0.5),
        tables.quantile(answered, 0.99),
        appends / seconds,
        appends / max(1, len(answered)),
    )


@experiments.experiment("operations")
def run(options: experiments.Options) -> None:
    """Measures bookings with and without an operation key."""
    for name in options.deployments or ["kulhus"]:
        deployment = fleet.DEPLOYMENTS[name]
        print(f"{name}: {sum(deployment.services.values())} daemons")
        table = tables.Table(
            "callers in",
            "key",
            "rate/s",
            "log delay ms",
            "requests",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "appends/s",
            "appends/request",
        )
        with trials.running(
            deployment,
            options.folder / f"operations-{name}",
            lambda _: True,
            daemon_settings=options.daemon_settings,
        ) as (mesh, _):
            mesh.wait_until(
                lambda: trials.upstreams_known(
                    mesh, mesh.instances, len(mesh.instances) // 2
                ),
                trials.START_TIMEOUT_S,
                "the upstreams",
            )
            for row in rows():
                found, appends = _measure(mesh, row, options)
                seconds = options.seconds or SECONDS
                _add(table, row, found, appends, seconds)
        table.print()
