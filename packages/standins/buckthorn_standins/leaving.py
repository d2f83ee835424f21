"""Experiment: time until a leaving upstream gets no more work."""

from collections.abc import Callable
from collections.abc import Iterable
import signal
import time
from typing import Any
from typing import NamedTuple

from buckthorn_core import bundles
from buckthorn_standins import arrivals
from buckthorn_standins import experiments
from buckthorn_standins import fleet
from buckthorn_standins import publications
from buckthorn_standins import tables
from buckthorn_standins import trials

ROUNDS = 3
RATE_PER_S = 150.0
BEFORE_S = 2.0
AFTER_S = 5.0
LOAD_S = 600.0
LINGER_S = 6.0
RETURN_TIMEOUT_S = 30.0


class Departure(NamedTuple):
    """One departure.

    Attributes:
        last_ms: Time from its start to the last request that the leaving
            upstreams began; 0 if none began after it.
        begun: Requests that they began after the start.
        answers: Requests of callers from the start on.
    """

    last_ms: float
    begun: int
    answers: list[arrivals.Answer]


def last_begin(
    records: Iterable[dict[str, Any]], names: set[str], start_ms: float
) -> tuple[float, int]:
    """Returns time of the last begin after a start, and their number."""
    late = [
        r["time_ms"] - start_ms
        for r in records
        if r["event"] == "begin"
        and r["upstream"] in names
        and r["time_ms"] > start_ms
    ]
    return float(max(late, default=0.0)), len(late)


class _Trial:
    def __init__(
        self,
        mesh: fleet.Fleet,
        publisher: publications.Publisher,
        service: str,
        options: experiments.Options,
    ):
        self._mesh = mesh
        self._publisher = publisher
        self._options = options
        self._of_service = [i for i in mesh.instances if i.service == service]

    def run(self, kind: str, round_number: int) -> Departure:
        """Lets one upstream or site leave under load, and return."""
        mesh = self._mesh
        leaver = self._of_service[round_number % len(self._of_service)]
        leave, come_back, names = self._actions(kind, leaver)
        load = arrivals.Load(
            [
                arrivals.Stream(
                    [
                        i.address("http")
                        for i in mesh.instances
                        if i.name != leaver.name
                    ],
                    mesh.deployment.lookup + "item",
                    RATE_PER_S,
                )
            ],
            LOAD_S,
            f"{self._options.seed}/{kind}/{round_number}",
        )
        started_s = time.monotonic()
        load.start()
        time.sleep(BEFORE_S)
        left_s = time.monotonic() - started_s
        start_ms = leave()
        time.sleep(AFTER_S)
        load.close()
        last_ms, begun = last_begin(mesh.records(), names, start_ms)
        come_back()
        self.wait_for_return()
        answers = [a for a in load.answers[0] if a.due_s >= left_s]
        return Departure(last_ms, begun, answers)

    def _actions(
        self, kind: str, leaver: fleet.Instance
    ) -> tuple[Callable[[], float], Callable[[], None], set[str]]:
        mesh = self._mesh
        upstream = f"upstream-{leaver.name}"
        if kind == "upstream":
            return (
                lambda: self._terminate(upstream),
                lambda: self._restart(upstream, mesh.start_upstream, leaver),
                {leaver.name},
            )
        if kind == "daemon":
            return (
                lambda: self._terminate(leaver.name),
                lambda: self._restart(leaver.name, mesh.start_daemon, leaver),
                {leaver.name},
            )
        return (
            lambda: float(
                self._publisher.publish_site_state(
                    leaver.site, bundles.SiteState.DRAINING
                ).time_ms
            ),
            lambda: self._activate(leaver.site),
            {i.name for i in mesh.instances if i.site == leaver.site},
        )

    def _terminate(self, name: str) -> float:
        now_ms = time.time() * 1000
        self._mesh.signal(name, signal.SIGTERM)
        return now_ms

    def _restart(
        self,
        name: str,
        start: Callable[[fleet.Instance], None],
        instance: fleet.Instance,
    ) -> None:
        self._mesh.wait(name)
        start(instance)

    def _activate(self, site: str) -> None:
        accepted = self._publisher.publish_site_state(
            site, bundles.SiteState.ACTIVE
        )
        self._mesh.wait_until(
            lambda: trials.all_ready(
                self._mesh, self._mesh.instances, accepted.number
            ),
            RETURN_TIMEOUT_S,
            "the return of the site",
        )

    def wait_for_return(self) -> None:
        """Waits until all daemons and upstreams are known as up."""
        mesh = self._mesh
        mesh.wait_until(
            lambda: (
                trials.all_known(mesh, mesh.instances)
                and trials.upstreams_known(
                    mesh, mesh.instances, len(mesh.instances) // 2
                )
            ),
            RETURN_TIMEOUT_S,
            "the return of the upstream",
        )


def _run(name: str, options: experiments.Options) -> None:
    deployment = fleet.DEPLOYMENTS[name]
    service = next(iter(deployment.services))
    folder = options.folder / f"leaving-{name}"
    rounds = options.rounds or ROUNDS
    found: dict[str, list[Departure]] = {}
    with trials.running(
        deployment,
        folder,
        lambda _: True,
        daemon_settings=options.daemon_settings,
        upstream_flags=[f"--linger_s={LINGER_S}"],
    ) as (mesh, publisher):
        trial = _Trial(mesh, publisher, service, options)
        trial.wait_for_return()
        for kind in ("upstream", "daemon", "site"):
            found[kind] = [trial.run(kind, n) for n in range(rounds)]
    table = tables.Table(
        f"{name}: who leaves",
        "rounds",
        "last begin p50 ms",
        "last begin max ms",
        "begun after",
        "requests",
        "answered",
        "refused",
        "failed",
    )
    for kind, departures in found.items():
        last = [d.last_ms for d in departures]
        answers = [a for d in departures for a in d.answers]
        answered = sum(a.status == 200 for a in answers)
        refused = sum(bool(a.not_run) for a in answers)
        table.add(
            kind,
            rounds,
            tables.quantile(last, 0.5),
            max(last),
            sum(d.begun for d in departures),
            len(answers),
            answered,
            refused,
            len(answers) - answered - refused,
        )
    table.print()


@experiments.experiment("leaving")
def run(options: experiments.Options) -> None:
    """Measures how soon leaving upstreams get no more work."""
    print(
        "time from SIGTERM of the upstream (which announces at once and stays"
        f" for {LINGER_S:.0f} s), from SIGTERM of its daemon, and from"
        f" acceptance of a draining overlay; {RATE_PER_S:.0f} lookups/s"
    )
    for name in options.deployments or sorted(fleet.DEPLOYMENTS):
        _run(name, options)
