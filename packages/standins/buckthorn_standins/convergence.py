"""Experiment: time and control bytes of changes, against the baseline.

The baseline is that every daemon polls the log itself.
"""

import collections
from collections.abc import Callable
import pathlib
import random
import time
from typing import NamedTuple

import urllib3

from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import progress_logs
from buckthorn_standins import publications
from buckthorn_standins import tables
from buckthorn_standins import trials

SIZES = [12, 48, 120]
CHANGES = 20
REST_S = 15.0
CHANGE_TIMEOUT_S = 30.0
# Changes come at random phases of the daemons' periods.
PAUSE_S = 0.6
# Members are news to each other for a while after the start: the more of
# them, the longer. Messages are full at first, so that the traffic is level
# before it falls; after 30 s it was still high in a region of 56 daemons.
SETTLE_S_PER_MEMBER = 1.0
SETTLE_PERIOD_S = 4.0
SETTLE_TIMEOUT_S = 120.0
SETTLED_RATIO = 0.95
POLLERS_PER_PROCESS = 20
VERSION_HEADER = "Buckthorn-Version"


class Result(NamedTuple):
    """Figures of one fleet.

    Attributes:
        times_ms: Time of each daemon and change, in ms.
        slowest_ms: Time of the slowest daemon of each change, in ms.
        change_bytes: Bytes of a change by scope, without those at rest.
        rest_bytes_s: Bytes a second at rest by scope.
        missing: Daemons and changes without a time.
    """

    times_ms: list[float]
    slowest_ms: list[float]
    change_bytes: dict[str, float]
    rest_bytes_s: dict[str, float]
    missing: int


def control_bytes(mesh: fleet.Fleet) -> dict[str, int]:
    """Returns control bytes by scope, as the link counted them."""
    carried = mesh.control_bytes()
    return {
        scope: carried.get(f"peer/{scope}", 0) + carried.get(f"log/{scope}", 0)
        for scope in ("local", "region")
    }


def byte_rate(mesh: fleet.Fleet, seconds: float) -> dict[str, float]:
    """Returns control bytes a second by scope, over some seconds."""
    before, started_s = control_bytes(mesh), time.monotonic()
    time.sleep(seconds)
    after, spent_s = control_bytes(mesh), time.monotonic() - started_s
    return {scope: (after[scope] - before[scope]) / spent_s for scope in after}


def settle(mesh: fleet.Fleet) -> None:
    """Waits until the control bytes a second no longer fall."""
    regions = collections.Counter(i.region for i in mesh.instances)
    time.sleep(SETTLE_S_PER_MEMBER * max(regions.values()))
    end_s = time.monotonic() + SETTLE_TIMEOUT_S
    lowest = float("inf")
    stable = 0
    while stable < 2 and time.monotonic() < end_s:
        rate = sum(byte_rate(mesh, SETTLE_PERIOD_S).values())
        stable = stable + 1 if rate >= lowest * SETTLED_RATIO else 0
        lowest = min(lowest, rate)


def _upstream_count(daemons: int) -> int:
    """Returns upstreams for each service: as many as processes allow."""
    return 4 if daemons <= 12 else 1


def first_upstreams(limit: int) -> Callable[[fleet.Instance], bool]:
    """Returns a function that is true for the first daemons of a service."""
    seen: dict[str, int] = {}

    def decide(instance: fleet.Instance) -> bool:
        seen[instance.service] = seen.get(instance.service, 0) + 1
        return seen[instance.service] <= limit

    return decide


class _Meter:
    """Measures one fleet, whatever distributes the versions in it."""

    def __init__(
        self,
        mesh: fleet.Fleet,
        publisher: publications.Publisher,
        logs: progress_logs.ProgressLogs,
        rng: random.Random,
    ):
        self._mesh = mesh
        self._publisher = publisher
        self._logs = logs
        self._rng = rng

    def run(self, changes: int, rest_s: float) -> Result:
        """Measures the rest first, then changes one after another."""
        count = len(self._mesh.instances)
        settle(self._mesh)
        rest = byte_rate(self._mesh, rest_s)
        before, started_s = control_bytes(self._mesh), time.monotonic()
        accepted = [self._change(count) for _ in range(changes)]
        time.sleep(PAUSE_S)
        spent_s = time.monotonic() - started_s
        after = control_bytes(self._mesh)
        times: list[float] = []
        slowest: list[float] = []
        missing = 0
        for version in accepted:
            found = self._logs.reached(version.number).values()
            taken = [t - version.time_ms for t in found]
            times.extend(taken)
            slowest.append(max(taken, default=float("nan")))
            missing += count - len(taken)
        per_change = {
            scope: (after[scope] - before[scope] - rest[scope] * spent_s)
            / changes
            for scope in after
        }
        return Result(times, slowest, per_change, rest, missing)

    def _change(self, count: int) -> publications.Accepted:
        time.sleep(PAUSE_S * (0.5 + self._rng.random()))
        accepted = self._publisher.publish_small_change()
        end_s = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < end_s:
            self._logs.update()
            if len(self._logs.reached(accepted.number)) >= count:
                break
            time.sleep(0.1)
        return accepted


def _served_version(mesh: fleet.Fleet, lookup: str) -> list[int]:
    """Returns the version that each daemon serves a caller from."""
    pool = urllib3.PoolManager(retries=False, timeout=5.0)
    found = []
    for instance in mesh.instances:
        answer = pool.request(
            "GET", f"http://{instance.address('http')}{lookup}probe"
        )
        found.append(int(answer.headers.get(VERSION_HEADER, "0")))
    return found


def measure_mesh(
    deployment: fleet.Deployment, options: experiments.Options
) -> Result:
    """Measures daemons of a deployment."""
    size = sum(deployment.services.values())
    folder = options.folder / f"{deployment.name}-{size}"
    decide = first_upstreams(_upstream_count(size))
    with trials.running(
        deployment, folder, decide, daemon_settings=options.daemon_settings
    ) as (mesh, publisher):
        logs = progress_logs.ProgressLogs(
            {i.name: folder / f"{i.name}.log" for i in mesh.instances}
        )
        meter = _Meter(mesh, publisher, logs, random.Random(options.seed))
        result = meter.run(options.rounds or CHANGES, options.seconds or REST_S)
        served = _served_version(mesh, deployment.lookup)
        behind = sum(v <= (options.rounds or CHANGES) for v in served)
        if behind:
            print(f"{behind} daemons serve callers from an older version")
        return result


def measure_baseline(
    deployment: fleet.Deployment, options: experiments.Options
) -> Result:
    """Measures pollers in place of a deployment's daemons."""
    size = sum(deployment.services.values())
    folder = options.folder / f"{deployment.name}-{size}-baseline"
    mesh = fleet.Fleet(deployment, folder)
    try:
        mesh.start_platform()
        publications.publish_files(
            pathlib.Path("deploy") / deployment.name, mesh.client_settings()
        )
        paths = _start_pollers(mesh, options.seed)
        logs = progress_logs.ProgressLogs(paths)

        def started() -> bool:
            if not all(path.exists() for path in paths.values()):
                return False
            logs.update()
            return len(logs.reached(1)) == size

        mesh.wait_until(started, trials.START_TIMEOUT_S, "the pollers")
        publisher = publications.Publisher(mesh.direct_log_url, fleet.KEY)
        meter = _Meter(mesh, publisher, logs, random.Random(options.seed))
        return meter.run(options.rounds or CHANGES, options.seconds or REST_S)
    finally:
        mesh.close()


def _start_pollers(mesh: fleet.Fleet, seed: int) -> dict[str, pathlib.Path]:
    paths = {}
    for site, region in mesh.deployment.sites():
        names = [i.name for i in mesh.instances if i.site == site]
        for start in range(0, len(names), POLLERS_PER_PROCESS):
            part = {
                name: mesh.folder / f"{name}.poller.log"
                for name in names[start : start + POLLERS_PER_PROCESS]
            }
            paths.update(part)
            mesh.spawn(
                f"pollers-{site}-{start}",
                "buckthorn_standins.pollers",
                f"--log_url={mesh.log_url_of(region)}",
                f"--key={fleet.KEY}",
                f"--files={','.join(str(p) for p in part.values())}",
                f"--site={site}",
                f"--seed={seed}",
            )
    return paths


def _row(name: str, size: int, who: str, found: Result) -> list[object]:
    return [
        f"{name} {size} {who}",
        len(found.times_ms),
        found.missing,
        tables.quantile(found.times_ms, 0.5),
        tables.quantile(found.times_ms, 0.99),
        max(found.times_ms, default=float("nan")),
        tables.quantile(found.slowest_ms, 0.5),
        found.change_bytes["local"],
        found.change_bytes["region"],
        found.rest_bytes_s["local"],
        found.rest_bytes_s["region"],
    ]


def _ratio(a: float, b: float) -> float:
    return a / b if b else float("nan")


def _print(name: str, found: dict[int, tuple[Result, Result]]) -> None:
    table = tables.Table(
        "deployment, daemons",
        "times",
        "missing",
        "p50 ms",
        "p99 ms",
        "max ms",
        "slowest p50 ms",
        "B/change local",
        "B/change region",
        "B/s rest local",
        "B/s rest region",
    )
    ratios: list[tuple[int, list[float]]] = []
    for size, (mesh, baseline) in found.items():
        rows = [
            _row(name, size, "mesh", mesh),
            _row(name, size, "baseline", baseline),
        ]
        for row in rows:
            table.add(*row)
        pairs = zip(rows[0][3:], rows[1][3:], strict=True)
        ratios.append((size, [_ratio(a, b) for a, b in pairs]))  # type: ignore[arg-type]
    for size, values in ratios:
        table.add(f"{name} {size} ratio", "", "", *values)
    table.print()
    _print_slopes(found)


def _print_slopes(found: dict[int, tuple[Result, Result]]) -> None:
    table = tables.fit_table("daemon")
    sizes = [float(size) for size in found]
    for index, who in enumerate(("mesh", "baseline")):
        runs = [pair[index] for pair in found.values()]
        for share in (0.5, 0.99):
            values = [tables.quantile(run.times_ms, share) for run in runs]
            tables.add_fit(table, f"{who} p{share * 100:.0f} ms", sizes, values)
        for scope in ("local", "region"):
            tables.add_fit(
                table,
                f"{who} B/change {scope}",
                sizes,
                [run.change_bytes[scope] for run in runs],
            )
            tables.add_fit(
                table,
                f"{who} B/s rest {scope}",
                sizes,
                [run.rest_bytes_s[scope] for run in runs],
            )
    table.print()


@experiments.experiment("convergence")
def run(options: experiments.Options) -> None:
    """Measures time and bytes of changes for several fleet sizes."""
    for name in options.deployments or sorted(fleet.DEPLOYMENTS):
        found = {}
        for size in options.sizes or SIZES:
            deployment = trials.resize(fleet.DEPLOYMENTS[name], size)
            limit = _upstream_count(size)
            print(f"{name}: {size} daemons, {limit} upstreams per service")
            found[size] = (
                measure_mesh(deployment, options),
                measure_baseline(deployment, options),
            )
        _print(name, found)
