"""Experiment: memory, processor share and control bytes of a daemon."""

import os
import pathlib
import time
from typing import NamedTuple

import msgspec

from buckthorn_standins import announcers
from buckthorn_standins import arrivals
from buckthorn_standins import convergence
from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import tables
from buckthorn_standins import trials

SIZES = [6, 24, 60]
SECONDS = 20.0
BUSY_PER_S = 100.0
CHURN_SHARE_PER_S = 0.02


class Usage(NamedTuple):
    """Use of resources in one state of a fleet.

    Attributes:
        rss_mb: Resident memory of each daemon.
        pss_mb: Proportional memory of each daemon.
        cpu: Share of a core of each daemon, by name.
        bytes_s: Control bytes a second of the fleet.
    """

    rss_mb: list[float]
    pss_mb: list[float]
    cpu: dict[str, float]
    bytes_s: float


def parse_rollup(text: str) -> dict[str, float]:
    """Returns the sizes of a smaps_rollup file by name, in MB."""
    found = {}
    for line in text.splitlines()[1:]:
        name, _, rest = line.partition(":")
        parts = rest.split()
        if len(parts) == 2 and parts[1] == "kB":
            found[name] = int(parts[0]) / 1024
    return found


def parse_cpu_ticks(text: str) -> int:
    """Returns user and system time of a stat file, in clock ticks."""
    # The name in parentheses may hold spaces.
    fields = text.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def _ticks(mesh: fleet.Fleet) -> dict[str, int]:
    return {
        i.name: parse_cpu_ticks(
            pathlib.Path(f"/proc/{mesh.pid(i.name)}/stat").read_text()
        )
        for i in mesh.instances
    }


def _measure(mesh: fleet.Fleet, seconds: float) -> Usage:
    before, ticks = sum(convergence.control_bytes(mesh).values()), _ticks(mesh)
    started_s = time.monotonic()
    time.sleep(seconds)
    after, later = sum(convergence.control_bytes(mesh).values()), _ticks(mesh)
    spent_s = time.monotonic() - started_s
    per_s = os.sysconf("SC_CLK_TCK") * spent_s
    rollups = [
        parse_rollup(
            pathlib.Path(f"/proc/{mesh.pid(i.name)}/smaps_rollup").read_text()
        )
        for i in mesh.instances
    ]
    return Usage(
        [rollup["Rss"] for rollup in rollups],
        [rollup["Pss"] for rollup in rollups],
        {name: (later[name] - ticks[name]) / per_s for name in ticks},
        (after - before) / spent_s,
    )


def _busy(mesh: fleet.Fleet, seconds: float, seed: int) -> Usage:
    load = arrivals.Load(
        [
            arrivals.Stream(
                [mesh.instances[1].address("http")],
                mesh.deployment.lookup + "item",
                BUSY_PER_S,
            )
        ],
        seconds + 2.0,
        str(seed),
    )
    load.start()
    usage = _measure(mesh, seconds)
    load.wait()
    failed = sum(a.status != 200 for a in load.answers[0])
    if failed:
        print(f"{failed} of {len(load.answers[0])} lookups had no answer")
    return usage


def _one_region(deployment: fleet.Deployment, size: int) -> fleet.Deployment:
    region, sites = next(iter(deployment.regions.items()))
    return trials.resize(
        msgspec.structs.replace(deployment, regions={region: sites}), size
    )


def _run_size(
    name: str, size: int, options: experiments.Options
) -> dict[str, Usage]:
    seconds = options.seconds or SECONDS
    deployment = _one_region(fleet.DEPLOYMENTS[name], size)
    folder = options.folder / f"footprint-{size}"
    with trials.running(
        deployment,
        folder,
        convergence.first_upstreams(1),
        daemon_settings=options.daemon_settings,
    ) as (
        mesh,
        _,
    ):
        real = {mesh.instances[0].service: mesh.instances[0].name}
        for instance in mesh.instances:
            real.setdefault(instance.service, instance.name)
        others = [i for i in mesh.instances if i.name not in real.values()]
        source = announcers.Announcers(others, options.seed)
        source.start()
        convergence.settle(mesh)
        found = {"idle": _measure(mesh, seconds)}
        source.churn_per_s = CHURN_SHARE_PER_S * size
        found["churn"] = _measure(mesh, seconds)
        source.churn_per_s = 0.0
        convergence.settle(mesh)
        found["busy"] = _busy(mesh, seconds, options.seed)
        source.close()
    return found


def _row(size: int, state: str, usage: Usage) -> list[object]:
    cpu = list(usage.cpu.values())
    return [
        f"{size} {state}",
        tables.quantile(usage.rss_mb, 0.5),
        max(usage.rss_mb),
        tables.quantile(usage.pss_mb, 0.5),
        max(usage.pss_mb),
        tables.quantile(cpu, 0.5) * 100,
        max(cpu) * 100,
        usage.bytes_s / size,
    ]


@experiments.experiment("footprint")
def run(options: experiments.Options) -> None:
    """Measures what a daemon costs its host."""
    name = (options.deployments or ["kulhus"])[0]
    sizes = options.sizes or SIZES
    print(
        f"{name}, one region, {options.seconds or SECONDS:.0f} s each; two"
        " upstream processes, the others are announced only; churn:"
        f" {CHURN_SHARE_PER_S:.0%} of the upstreams restart each second;"
        f" busy: {BUSY_PER_S:.0f} lookups/s through one daemon"
    )
    found = {size: _run_size(name, size, options) for size in sizes}
    table = tables.Table(
        "daemons",
        "RSS p50 MB",
        "RSS max MB",
        "PSS p50 MB",
        "PSS max MB",
        "core p50 %",
        "core max %",
        "B/s per daemon",
    )
    for size, usages in found.items():
        for state, usage in usages.items():
            table.add(*_row(size, state, usage))
    table.print()
    slopes = tables.fit_table("daemon")
    xs = [float(size) for size in sizes]
    names = ("RSS p50 MB", "core p50 %", "B/s per daemon")
    for state in ("idle", "churn", "busy"):
        rows = [_row(size, state, found[size][state]) for size in sizes]
        for label, column in zip(names, (1, 5, 7), strict=True):
            ys = [float(str(row[column])) for row in rows]
            tables.add_fit(slopes, f"{state} {label}", xs, ys)
    slopes.print()
