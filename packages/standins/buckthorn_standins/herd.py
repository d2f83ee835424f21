"""Experiment: many daemons are killed at once and start again at once."""

import collections
import math
import random
import signal
import threading
import time
from typing import NamedTuple

import urllib3

from buckthorn_standins import convergence
from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import publications
from buckthorn_standins import tables
from buckthorn_standins import trials

SIZES = [24]
CHANGES_BEFORE = 3
SETTLE_S = 3.0
TIMEOUT_S = 90.0
LOG_DOWN_S = 15.0
SEEDS_PER_REGION = 3
SAMPLE_PAUSE_S = 0.02
POLL_S = 0.1
WHO = ("third", "site", "all")


class Recovery(NamedTuple):
    """How a fleet came back.

    Attributes:
        killed: Daemons killed.
        ready_s: Time from the restart until all are ready with the current
            version; NaN if they were not in time.
        known_s: Time until every daemon takes its whole region for up.
        bytes: Control bytes by scope from the restart on.
        peak_reads: Most requests at the log in one second.
        served: Answers to callers of restarted daemons, by kind.
    """

    killed: int
    ready_s: float
    known_s: float
    bytes: dict[str, int]
    peak_reads: int
    served: dict[str, int]


def peak_per_second(counts: dict[int, int], first: int) -> int:
    """Returns the most requests in any 10 periods of 100 ms in a row."""
    late = {period: n for period, n in counts.items() if period >= first}
    return max(
        (sum(late.get(p + i, 0) for i in range(10)) for p in late), default=0
    )


class Sampler:
    """Asks restarted daemons as a caller, and sorts their answers.

    Attributes:
        kinds: Answers by kind; `old` is one from an outdated version.
    """

    def __init__(
        self, instances: list[fleet.Instance], path: str, version: int
    ):
        self.kinds: collections.Counter[str] = collections.Counter()
        self._instances = instances
        self._path = path
        self._version = version
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._loop, daemon=True)

    def start(self) -> None:
        """Starts to ask."""
        self._thread.start()

    def close(self) -> None:
        """Stops to ask."""
        self._stop.set()
        self._thread.join()

    def _loop(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=2.0)
        while True:
            for instance in self._instances:
                if self._stop.wait(SAMPLE_PAUSE_S):
                    return
                self.kinds[self._ask(pool, instance)] += 1

    def _ask(self, pool: urllib3.PoolManager, instance: fleet.Instance) -> str:
        try:
            answer = pool.request(
                "GET", f"http://{instance.address('http')}{self._path}"
            )
        except urllib3.exceptions.HTTPError:
            return "no answer"
        version = answer.headers.get(convergence.VERSION_HEADER)
        if version is not None:
            return "current" if int(version) >= self._version else "old"
        return str(answer.headers.get("Buckthorn-Not-Run", answer.status))


def _victims(
    mesh: fleet.Fleet, who: str, rng: random.Random
) -> list[fleet.Instance]:
    if who == "all":
        return list(mesh.instances)
    if who == "site":
        site = mesh.deployment.sites()[0][0]
        return [i for i in mesh.instances if i.site == site]
    return rng.sample(mesh.instances, len(mesh.instances) // 3)


def _restart(mesh: fleet.Fleet, victims: list[fleet.Instance]) -> None:
    for instance in victims:
        mesh.signal(instance.name, signal.SIGKILL)
    for instance in victims:
        mesh.wait(instance.name)
    for instance in victims:
        mesh.start_daemon(instance)


class _Watch:
    """Notes when all daemons are ready, and when all are known."""

    def __init__(self, mesh: fleet.Fleet, version: int, started_s: float):
        self._mesh = mesh
        self._version = version
        self._started_s = started_s
        self.ready_s = math.nan
        self.known_s = math.nan

    def run(self, end_s: float, wait_for_all: bool) -> None:
        """Watches until a time, or until both have happened."""
        mesh = self._mesh
        while time.monotonic() < end_s:
            if math.isnan(self.ready_s) and trials.all_ready(
                mesh, mesh.instances, self._version
            ):
                self.ready_s = time.monotonic() - self._started_s
            if math.isnan(self.known_s) and trials.all_known(
                mesh, mesh.instances
            ):
                self.known_s = time.monotonic() - self._started_s
            done = not math.isnan(self.ready_s + self.known_s)
            if done and wait_for_all:
                return
            time.sleep(POLL_S)


def _recover(
    mesh: fleet.Fleet,
    publisher: publications.Publisher,
    victims: list[fleet.Instance],
    log_down: bool,
) -> Recovery:
    version = publisher.publish_small_change().number
    everyone = mesh.instances
    mesh.wait_until(
        lambda: trials.all_ready(mesh, everyone, version),
        TIMEOUT_S,
        "the change before the restart",
    )
    time.sleep(SETTLE_S)
    if log_down:
        mesh.set_log_faults(down=True)
    before = convergence.control_bytes(mesh)
    _restart(mesh, victims)
    started_s, first = time.monotonic(), time.time_ns() // 100_000_000
    sampler = Sampler(victims, mesh.deployment.lookup + "item", version)
    sampler.start()
    watch = _Watch(mesh, version, started_s)
    if log_down:
        watch.run(started_s + LOG_DOWN_S, wait_for_all=False)
        mesh.set_log_faults(down=False)
    watch.run(started_s + TIMEOUT_S, wait_for_all=True)
    sampler.close()
    after = convergence.control_bytes(mesh)
    return Recovery(
        len(victims),
        watch.ready_s,
        watch.known_s,
        {scope: after[scope] - before[scope] for scope in after},
        peak_per_second(mesh.log_requests(), first),
        dict(sampler.kinds),
    )


def seeds_of(
    instances: list[fleet.Instance],
) -> dict[str, list[str]]:
    """Returns addresses of the first daemons of each region."""
    found: dict[str, list[str]] = {}
    for instance in instances:
        seeds = found.setdefault(instance.region, [])
        if len(seeds) < SEEDS_PER_REGION:
            seeds.append(instance.address("peer_near"))
    return found


def _run(name: str, size: int, options: experiments.Options) -> None:
    deployment = trials.resize(fleet.DEPLOYMENTS[name], size)
    table = tables.Table(
        f"{name} {size}: killed",
        "log",
        "daemons",
        "all ready s",
        "all known s",
        "B local",
        "B region",
        "peak log requests/s",
        "answers of restarted daemons",
    )
    with trials.running(
        deployment,
        options.folder / f"herd-{name}-{size}",
        convergence.first_upstreams(1),
        seeds=seeds_of,
        daemon_settings=options.daemon_settings,
    ) as (mesh, publisher):
        rng = random.Random(options.seed)
        for _ in range(CHANGES_BEFORE):
            publisher.publish_small_change()
        for log_down in (False, True):
            for who in WHO:
                victims = _victims(mesh, who, rng)
                found = _recover(mesh, publisher, victims, log_down)
                kinds = sorted(found.served.items())
                table.add(
                    who,
                    f"down {LOG_DOWN_S:.0f} s" if log_down else "up",
                    found.killed,
                    found.ready_s,
                    found.known_s,
                    found.bytes["local"],
                    found.bytes["region"],
                    found.peak_reads,
                    ", ".join(f"{kind} {n}" for kind, n in kinds),
                )
    table.print()


@experiments.experiment("herd")
def run(options: experiments.Options) -> None:
    """Measures how a fleet comes back when many daemons restart at once."""
    print(
        "times count from the restart; `old` would be an answer from an"
        " outdated version; bytes include the rest of the fleet"
    )
    for name in options.deployments or sorted(fleet.DEPLOYMENTS):
        for size in options.sizes or SIZES:
            _run(name, size, options)
