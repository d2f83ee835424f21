"""Experiment: goodput, refusals and added latency around capacity."""

import re
import time
from typing import NamedTuple

import urllib3

from buckthorn_standins import arrivals
from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import tables
from buckthorn_standins import trials

FACTORS = (0.5, 0.9, 1.3, 2.0)
SECONDS = 15.0
# Low enough that sender and daemons on one machine are not the bottleneck.
CAPACITY_PER_S = 240.0
DIRECT_PER_S = 20.0
PAUSE_S = 3.0
DIRECT = "direct"
RETRIES = "buckthorn_retries"


class Level(NamedTuple):
    """What was measured at one load.

    Attributes:
        factor: Offered load, as a multiple of capacity.
        answers: Answers of requests through the mesh.
        direct: Answers of requests straight to an idle upstream.
        runs: Requests that upstreams began.
        retries: Further attempts of daemons.
        seconds: Length of the load.
    """

    factor: float
    answers: list[arrivals.Answer]
    direct: list[arrivals.Answer]
    runs: int
    retries: int
    seconds: float


def parse_counter(text: str, name: str) -> int:
    """Returns the sum of a counter over its labels, from an exposition."""
    found = re.findall(rf"^{name}_total(?:\{{.*\}})? (\S+)$", text, re.M)
    return int(sum(float(value) for value in found))


def _counter(mesh: fleet.Fleet, name: str) -> int:
    pool = urllib3.PoolManager(retries=False, timeout=5.0)
    total = 0
    for instance in mesh.instances:
        url = f"http://{instance.address('admin')}/metrics"
        text = pool.request("GET", url).data.decode()
        total += parse_counter(text, name)
    return total


def _runs(mesh: fleet.Fleet) -> int:
    return sum(
        r["event"] == "begin" and r["upstream"] != DIRECT
        for r in mesh.records()
    )


def _measure(
    mesh: fleet.Fleet,
    direct: fleet.Instance,
    factor: float,
    options: experiments.Options,
) -> Level:
    seconds = options.seconds or SECONDS
    path = mesh.deployment.lookup + "item"
    runs, retries = _runs(mesh), _counter(mesh, RETRIES)
    load = arrivals.Load(
        [
            arrivals.Stream(
                [i.address("http") for i in mesh.instances],
                path,
                factor * CAPACITY_PER_S,
            ),
            arrivals.Stream([direct.address("upstream")], path, DIRECT_PER_S),
        ],
        seconds,
        f"{options.seed}/{factor}",
    )
    load.start()
    load.wait()
    through, straight = load.answers
    return Level(
        factor,
        through,
        straight,
        _runs(mesh) - runs,
        _counter(mesh, RETRIES) - retries,
        seconds,
    )


def _ms(found: list[arrivals.Answer]) -> list[float]:
    return [answer.seconds * 1000 for answer in found]


def _add(table: tables.Table, level: Level) -> None:
    answered = [a for a in level.answers if a.status == 200]
    refused = [a for a in level.answers if a.not_run]
    failed = len(level.answers) - len(answered) - len(refused)
    direct = _ms([a for a in level.direct if a.status == 200])
    through = _ms(answered)
    cells: list[object] = []
    for share in (0.5, 0.99):
        base = tables.quantile(direct, share)
        with_mesh = tables.quantile(through, share)
        cells += [base, with_mesh - base, with_mesh / base]
    count = len(level.answers)
    # Queues run on after the load has ended.
    in_time = sum(a.due_s + a.seconds <= level.seconds for a in answered)
    goodput = in_time / level.seconds
    table.add(
        level.factor,
        count,
        goodput,
        goodput / CAPACITY_PER_S,
        len(refused) / count,
        failed,
        *cells,
        tables.quantile(_ms(refused), 0.5),
        tables.quantile(_ms(refused), 0.99),
        level.runs / max(1, len(answered)),
        (count + level.retries) / max(1, len(answered)),
    )


def _failures(level: Level) -> str:
    kinds: dict[str, int] = {}
    for answer in level.answers:
        if answer.status != 200:
            kind = answer.not_run or answer.error or f"status {answer.status}"
            kinds[kind] = kinds.get(kind, 0) + 1
    found = ", ".join(f"{k} {n}" for k, n in sorted(kinds.items()))
    return f"load {level.factor}: not answered: {found or 'none'}"


def _run(name: str, options: experiments.Options) -> None:
    deployment = fleet.DEPLOYMENTS[name]
    service, count = next(iter(deployment.services.items()))
    service_ms = count * deployment.slots / CAPACITY_PER_S * 1000
    print(
        f"{name}: {count} instances of {service}, {deployment.slots} slots"
        f" each, {service_ms:.0f} ms a request, so a capacity of"
        f" {CAPACITY_PER_S:.0f} requests/s; callers of all daemons"
    )
    with trials.running(
        deployment,
        options.folder / f"load-{name}",
        lambda i: i.service == service,
        service_ms=service_ms,
        daemon_settings=options.daemon_settings,
    ) as (mesh, _):
        direct = _start_direct(mesh, service)
        mesh.wait_until(
            lambda: trials.upstreams_known(mesh, mesh.instances, count // 2),
            trials.START_TIMEOUT_S,
            "the upstreams",
        )
        levels = []
        for factor in FACTORS:
            time.sleep(PAUSE_S)
            levels.append(_measure(mesh, direct, factor, options))
    _print(levels)


def _start_direct(mesh: fleet.Fleet, service: str) -> fleet.Instance:
    """Starts an upstream that only direct calls reach."""
    site, region = mesh.deployment.sites()[0]
    uses = ("upstream", "admin")
    found = fleet.Instance(
        DIRECT, region, site, service, {use: mesh.ports.take() for use in uses}
    )
    mesh.start_upstream(found)
    return found


def _print(levels: list[Level]) -> None:
    table = tables.Table(
        "load",
        "requests",
        "goodput/s",
        "of capacity",
        "refused",
        "failed",
        "direct p50 ms",
        "added p50 ms",
        "ratio p50",
        "direct p99 ms",
        "added p99 ms",
        "ratio p99",
        "refusal p50 ms",
        "refusal p99 ms",
        "runs/answer",
        "attempts/answer",
    )
    for level in levels:
        _add(table, level)
    table.print()
    for level in levels:
        print(_failures(level))


@experiments.experiment("load")
def run(options: experiments.Options) -> None:
    """Measures goodput and added latency below and above capacity."""
    for name in options.deployments or sorted(fleet.DEPLOYMENTS):
        _run(name, options)
