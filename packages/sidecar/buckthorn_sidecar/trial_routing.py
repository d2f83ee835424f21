"""Routes and counts requests of services whose new version is on trial."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random

from buckthorn_adapters import metrics
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import trial_verdicts
from buckthorn_core import version_trials
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import frames
from buckthorn_sidecar import settings

# Failures of an attempt that speak against the version of its upstream. An
# upstream that sheds load does so under either version.
_FAILURES = frozenset(
    {
        errors.Code.UPSTREAM_FAILED,
        errors.Code.UPSTREAM_SILENT,
        errors.Code.TIMED_OUT,
        errors.Code.OUTCOME_UNKNOWN,
    }
)
Registrations = list[directories.Registration]


class Observation:
    """One attempt of a service whose new version is on trial.

    Attributes:
        trial: The trial.
        route: Name of the request's route.
        to: The daemon that the attempt was sent to.
        started_s: When it was sent, in seconds.
        timed: Whether its duration counts. Once all traffic is on the new
            version, there is nothing to compare it with under the same load.
    """

    def __init__(
        self,
        trial: version_trials.Trial,
        route: virtual_hosts.HostRoute,
        to: directories.Registration,
        version: str,
        on_end: "Callable[[Observation], None]",
    ):
        """Begins the observation.

        Args:
            trial: The trial.
            route: The request's route.
            to: The daemon that the attempt is sent to.
            version: Version of its upstream, as far as known.
            on_end: Called at the end.
        """
        self._on_end = on_end
        self.trial = trial
        self.route = route.name
        self.to = to
        self._target_s = route.target_s
        self._version = version
        self._is_new = version == trial.order.target
        self.started_s = asyncio.get_running_loop().time()
        self.timed = not trial.is_moved(self.started_s)
        if self._is_new:
            trial.spend(route.name, 1)
        else:
            trial.on_old += 1

    def end(
        self, result: frames.Response | frames.Failure | None, seconds: float
    ) -> None:
        """Counts the result.

        Args:
            result: The result; None if the attempt was cancelled.
            seconds: Duration of the attempt.
        """
        self._on_end(self)
        trial, name = self.trial, self.route
        if not self._is_new:
            trial.on_old -= 1
        if isinstance(result, frames.Failure):
            if self._is_new and not result.arrived:
                trial.spend(name, -1)
            if not result.arrived or result.code not in _FAILURES:
                return
        if result is None and seconds < self._target_s:
            # The caller has left early, which tells nothing.
            return
        version, timed = self._version, self.timed
        if result is not None:
            # The upstream may have been replaced since the last report.
            version = result.load.software_version or version
            timed &= not result.load.warming
        is_new = version == trial.order.target
        if is_new and not self._is_new:
            trial.spend(name, 1)
        if not trial.is_running:
            return
        counts = trial.counts
        tally = (
            counts.new_tally(name, self.to.daemon)
            if is_new
            else counts.old_tally(name)
        )
        tally.add(_tally(result, timed, seconds))


def _tally(
    result: frames.Response | frames.Failure | None,
    timed: bool,
    seconds: float,
) -> trial_verdicts.Tally:
    """Returns the counts of one answer."""
    if isinstance(result, frames.Failure) or (
        result is not None and result.status >= 500
    ):
        return trial_verdicts.Tally(1)
    bucket = trial_verdicts.UNTIMED
    if timed:
        bucket = trial_verdicts.bucket_of(seconds)
    return trial_verdicts.Tally(0, {bucket: 1})


class Routing:
    """Limits the candidates of requests by the trials of this daemon.

    Attributes:
        trials: The trials, by service.
        rejected: Versions that a later order has replaced before they were
            completed, by service.
    """

    def __init__(
        self,
        directory: directories.Directory,
        load_balancer: load_balancing.LoadBalancer,
        cfg: settings.Settings,
        meter: metrics.Metrics,
        rng: random.Random,
    ):
        self._directory = directory
        self._load_balancer = load_balancer
        self._region = cfg.region
        self._meter = meter
        self.rng = rng
        self.trials: dict[ids.ServiceName, version_trials.Trial] = {}
        self.rejected: dict[ids.ServiceName, set[str]] = {}
        # Attempts in flight on new versions.
        self._on_new: set[Observation] = set()

    def version_of(self, registration: directories.Registration) -> str:
        """Returns the version of a daemon's upstream; empty if not known."""
        load = self._load_balancer.status_of(registration).load
        return load.software_version or registration.software_version

    def is_routable(self, registration: directories.Registration) -> bool:
        """Returns whether a daemon's upstream accepts requests."""
        return self._load_balancer.status_of(registration).is_routable

    def new_instances(self, trial: version_trials.Trial) -> Registrations:
        """Returns the registered instances of the version on trial."""
        return [
            r
            for r in self._directory.for_service(trial.order.service)
            if self.version_of(r) == trial.order.target
        ]

    def groups(
        self,
        service: ids.ServiceName,
        route: ids.RouteName,
        candidates: Registrations,
        is_first: bool,
    ) -> Sequence[Registrations]:
        """Returns groups of candidates; a later one is used if none is usable.

        Args:
            service: The service.
            route: The request's route.
            candidates: All candidates.
            is_first: Whether it is the request's first attempt.
        """
        trial = self.trials.get(service)
        if trial is None:
            return (candidates,)
        now_s = asyncio.get_running_loop().time()
        phase = trial.phase
        if (
            phase is version_trials.Phase.COMPLETED
            and now_s > trial.ended_s + version_trials.AFTERMATH_S
        ):
            return (candidates,)
        target = trial.order.target
        rejected = self.rejected.get(service, set())
        new: Registrations = []
        old: Registrations = []
        others: Registrations = []
        for c in candidates:
            version = self.version_of(c)
            if version == target:
                new.append(c)
            else:
                (others if version in rejected else old).append(c)
        usable_new = [c for c in new if self.is_routable(c)]
        if usable_new and trial.may_use_new(route, now_s, is_first):
            if trial.share(now_s) < 1.0:
                usable_new = self._focus(trial, usable_new, now_s)
            return (usable_new, old)
        if self._has_old(service, target, rejected):
            return (old,)
        return (new, others, old)

    def _has_old(
        self, service: ids.ServiceName, target: str, rejected: set[str]
    ) -> bool:
        """Returns whether an instance of the old version takes requests."""
        return any(
            self.is_routable(r)
            for r in self._directory.for_service(service)
            if (version := self.version_of(r)) != target
            and version not in rejected
        )

    def _focus(
        self,
        trial: version_trials.Trial,
        usable: Registrations,
        now_s: float,
    ) -> Registrations:
        """Returns the new instances that get requests now."""
        local = [c for c in usable if c.region == self._region]
        chosen = local or usable
        focus = trial.focus(
            [c.daemon for c in chosen], len(usable) > len(chosen), now_s
        )
        return [c for c in chosen if c.daemon in focus]

    def begin(
        self,
        service: ids.ServiceName,
        route: virtual_hosts.HostRoute,
        to: directories.Registration,
    ) -> Observation | None:
        """Begins to observe an attempt; returns None without a trial."""
        trial = self.trials.get(service)
        if trial is None or not trial.is_running:
            return None
        version = self.version_of(to)
        self._meter.count(
            "buckthorn_trial_requests",
            service=service,
            side="new" if version == trial.order.target else "old",
        )
        observation = Observation(
            trial, route, to, version, self._on_new.discard
        )
        if version == trial.order.target:
            self._on_new.add(observation)
        return observation

    def pending(
        self, trial: version_trials.Trial, now_s: float
    ) -> trial_verdicts.Counts:
        """Returns the attempts in flight on a new version, by their age."""
        counts = trial_verdicts.Counts()
        for observation in self._on_new:
            load = self._load_balancer.status_of(observation.to).load
            if observation.trial is not trial or not observation.timed:
                continue
            if load.warming:
                continue
            tally = counts.new_tally(observation.route, observation.to.daemon)
            bucket = trial_verdicts.bucket_of(now_s - observation.started_s)
            tally.add(trial_verdicts.Tally(0, {bucket: 1}))
        return counts
