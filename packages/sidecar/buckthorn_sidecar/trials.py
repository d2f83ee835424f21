"""Runs the trials of new software versions, from their orders to the results.

Each daemon counts the answers to its own requests and reports the counts to the
driver, one of the service's daemons. What the driver decides comes with the
replies, and unasked when it changes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import math
import time
from typing import Any
from typing import NamedTuple

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_core import trial_verdicts
from buckthorn_core import version_trials
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import settings
from buckthorn_sidecar import trial_routing

# How often trials are checked, in seconds.
CHECK_INTERVAL_S = 0.1
# Length of a slice of evidence, in seconds.
SLICE_S = 0.3
# Longest time between reports with new counts of the new version, in seconds
# and as a fraction of the time allowed for a rollback; during the shift; and
# without new counts.
REPORT_INTERVAL_S = 0.3
REPORT_FRACTION = 0.1
SHIFT_REPORT_INTERVAL_S = 0.2
IDLE_REPORT_INTERVAL_S = 1.0
# Time between reports of the old version's counts, in seconds. They are the
# larger part of a report and change with each request.
OLD_REPORT_INTERVAL_S = 0.9
# Age of a report from which on its daemon isn't waited for, in seconds. A
# daemon that can't reach the driver can't hold up the others.
REPORT_LIFETIME_S = 1.5
# How long a driver waits for reports before it knows whether all daemons have
# moved their traffic, in seconds: they notice that the last one is gone, and
# report to the next.
DRIVER_SETTLE_S = 1.2
# Pause after a failed call of the log, in seconds.
LOG_RETRY_S = 0.5
# Daemons that learn of no result for this long read it themselves, in seconds.
READ_AFTER_S = 3.0
# Orders that a process reads this long after its first record are new, in
# seconds: the first read brings all earlier ones at once.
STARTUP_S = 1.0

_logger = loguru.logger.bind(module=__name__)


LogCall = Callable[["Runner"], Coroutine[Any, Any, None]]


class Place(NamedTuple):
    """Where trials are recorded.

    Attributes:
        key_prefix: Prefix of the keys of orders and results; empty if the
            deployment has no trials.
        results: Topic of the results.
    """

    key_prefix: str
    results: str


class _Received(NamedTuple):
    """A report and when it came, in seconds."""

    report: version_trials.Report
    at_s: float


class Runner:
    """Runs the trial of one service in this daemon."""

    def __init__(
        self,
        trial: version_trials.Trial,
        now_s: float,
        source: str,
    ):
        """Creates the runner.

        Args:
            trial: The trial.
            now_s: Monotonic time in seconds.
            source: Unique id of this process.
        """
        self.trial = trial
        self.drivers = version_trials.Drivers()
        self.reports: dict[str, _Received] = {}
        self.driver_since_s: float | None = None
        self.task: asyncio.Task[None] | None = None
        self.sending: asyncio.Task[None] | None = None
        self.started_s = now_s
        self.log_pause_until_s = -math.inf
        # Result that the log has, as far as this daemon has read it, and the
        # end of the topic there.
        self.in_force: version_trials.Result | None = None
        self.log_end: ids.Offset | None = None
        self.reported_s = -math.inf
        # What the last report said of the new version.
        self.reported: tuple[int, trial_verdicts.Counts] | None = None
        self.reported_to: ids.DaemonId | None = None
        self._slice_s = now_s
        self._verdict = trial_verdicts.Verdict(trial_verdicts.Judgement.OPEN)
        self._source = source
        # When the old version's counts were last reported.
        self._old_reported_s = -math.inf

    @property
    def is_settled(self) -> bool:
        """Whether nothing is left to do."""
        return not self.trial.is_running and self.trial.recorded

    @property
    def needs_record(self) -> bool:
        """Whether the log may lack the record that the phase calls for."""
        if not self.trial.is_running:
            return not self.trial.recorded
        in_force = self.in_force
        return in_force is None or in_force.target != self.trial.order.target

    def judge(
        self,
        instances: int,
        pending: trial_verdicts.Counts,
        now_s: float,
        is_driver: bool,
    ) -> trial_verdicts.Verdict:
        """Judges the version by all known counts.

        Args:
            instances: Number of its instances.
            pending: This daemon's requests in flight on them.
            now_s: Monotonic time in seconds.
            is_driver: Whether this daemon drives the trial.
        """
        if now_s - self._slice_s < SLICE_S - CHECK_INTERVAL_S / 2:
            return self._verdict
        self._slice_s = now_s
        evidence = self.trial.evidence
        evidence.merge(self._source, self.trial.counts, pending)
        self._verdict = self.trial.judge(instances, now_s, is_driver)
        evidence.end_slice()
        return self._verdict

    def all_moved(self, now_s: float) -> bool:
        """Whether no daemon that reports has requests on old instances."""
        since_s = self.driver_since_s
        if since_s is None or now_s - since_s < DRIVER_SETTLE_S:
            return False
        fresh = [
            r.report
            for r in self.reports.values()
            if now_s - r.at_s <= REPORT_LIFETIME_S
        ]
        return self.trial.on_old == 0 and all(
            r.moved and r.on_old == 0 for r in fresh
        )

    def report(
        self, pending: trial_verdicts.Counts, now_s: float, is_first: bool
    ) -> version_trials.Report:
        """Returns this daemon's report.

        Args:
            pending: Its requests in flight on new instances.
            now_s: Monotonic time in seconds.
            is_first: Whether it is the first one to the driver.
        """
        counts = self.trial.counts
        if is_first or now_s - self._old_reported_s > OLD_REPORT_INTERVAL_S:
            self._old_reported_s = now_s
        else:
            counts = trial_verdicts.Counts({}, counts.new)
        return version_trials.Report(
            self.trial.status(now_s),
            self._source,
            counts,
            self.trial.on_old,
            self.trial.is_moved(now_s),
            pending,
        )

    def close(self) -> None:
        """Ends the tasks."""
        for task in (self.task, self.sending):
            if task is not None:
                task.cancel()


class Trials:
    """Runs the trials of all services in this daemon."""

    def __init__(
        self,
        cfg: settings.Settings,
        log: interfaces.KeyedLog,
        place: Place,
        codec: interfaces.TrialCodec | None,
        directory: directories.Directory,
        routing: trial_routing.Routing,
        link_pool: links.LinkPool,
        server: links.LinkServer,
        local: ingress.Ingress,
        meter: metrics.Metrics,
    ):
        """Creates the runner of trials.

        Args:
            cfg: The settings.
            log: The log.
            place: Where trials are recorded.
            codec: Decodes orders and results; None if there are no trials.
            directory: The members.
            routing: Routes the requests of this host's callers.
            link_pool: Connections to other daemons.
            server: Accepts the connections of other daemons.
            local: Runs requests on the upstream.
            meter: Counts changes.
        """
        self._cfg = cfg
        self._log = log
        self._place = place
        self._codec = codec
        self._directory = directory
        self._routing = routing
        self._link_pool = link_pool
        self._server = server
        self._local = local
        self._meter = meter
        self._runners: dict[ids.ServiceName, Runner] = {}
        # Place of the last order that was withdrawn, by service.
        self._withdrawn: dict[ids.ServiceName, tuple[int, int]] = {}
        self._first_record_s: float | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._report_interval_s = min(
            REPORT_INTERVAL_S, REPORT_FRACTION * cfg.rollback_s
        )
        link_pool.on_trials = self._on_statuses
        server.on_trials = self._on_reports
        meter.register_gauge(
            "buckthorn_trials",
            lambda: sum(r.trial.is_running for r in self._runners.values()),
        )

    def start(self) -> None:
        """Starts running trials."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops running trials."""
        if self._task is not None:
            self._task.cancel()
        for runner in self._runners.values():
            runner.close()

    def on_record(
        self, record: topic_tables.Record, epoch: ids.LogEpoch
    ) -> None:
        """Applies a record of the topic that holds the orders."""
        now_s = _now_s()
        if self._first_record_s is None:
            self._first_record_s = now_s
        prefix = self._place.key_prefix
        if self._codec is None or not prefix:
            return
        if not record.key.startswith(prefix):
            return
        place = (int(epoch), int(record.offset))
        if not record.value:
            service = ids.ServiceName(record.key.removeprefix(prefix))
            self._withdraw(service, place)
            return
        try:
            order = self._codec.decode_order(record.key, record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="trial")
            _logger.warning("bad_order", key=record.key, error=str(exc))
            return
        is_new = now_s - self._first_record_s > STARTUP_S
        phase = version_trials.Phase.UNKNOWN
        if is_new:
            phase = version_trials.Phase.CANARY
        self._begin(order, place, phase, now_s)

    def on_log_restored(self) -> None:
        """Has results that the log may have lost written again."""
        for runner in self._runners.values():
            runner.trial.recorded = False
            runner.in_force = runner.log_end = None
        self._wake.set()

    def _withdraw(
        self, service: ids.ServiceName, place: tuple[int, int]
    ) -> None:
        runner = self._runners.pop(service, None)
        self._routing.trials.pop(service, None)
        self._withdrawn[service] = place
        if runner is not None:
            runner.close()
            _logger.info("trial_withdrawn", service=service)

    def _begin(
        self,
        order: version_trials.Order,
        place: tuple[int, int],
        phase: version_trials.Phase,
        now_s: float,
    ) -> Runner | None:
        """Begins a trial, unless the order is known or older than that one."""
        known = self._runners.get(order.service)
        if known is not None:
            if known.trial.order.target == order.target:
                known.trial.place = max(known.trial.place, place)
                return known
            if place <= known.trial.place:
                return None
            known.close()
            self._reject(known.trial)
        elif place <= self._withdrawn.get(order.service, (-1, -1)):
            return None
        rejected = self._routing.rejected.get(order.service)
        if rejected is not None:
            rejected.discard(order.target)
        trial = version_trials.Trial(
            order,
            place,
            phase,
            now_s,
            self._cfg.canary_share,
            self._cfg.canary_slack > 0,
            self._routing.rng,
        )
        runner = Runner(trial, now_s, self._local.boot_id)
        self._runners[order.service] = runner
        self._routing.trials[order.service] = trial
        _logger.info(
            "trial_ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            phase=phase.value,
        )
        self._wake.set()
        return runner

    def _reject(self, trial: version_trials.Trial) -> None:
        """Keeps requests from a version whose trial another one replaces."""
        if trial.phase is not version_trials.Phase.COMPLETED:
            self._routing.rejected.setdefault(trial.order.service, set()).add(
                trial.order.target
            )

    def _on_reports(
        self, reports: list[version_trials.Report]
    ) -> list[version_trials.Status]:
        """Merges reports and returns what this daemon knows of the trials."""
        now_s = _now_s()
        statuses = []
        for report in reports:
            runner = self._merge(report.status, now_s)
            if runner is None:
                runner = self._runners.get(report.status.order.service)
            elif report.counts is not None:
                trial = runner.trial
                runner.reports[report.source] = _Received(report, now_s)
                if trial.is_running:
                    trial.evidence.merge(
                        report.source, report.counts, report.pending
                    )
            if runner is not None:
                statuses.append(runner.trial.status(now_s))
        return statuses

    def _on_statuses(
        self, daemon: ids.DaemonId, statuses: list[version_trials.Status]
    ) -> None:
        now_s = _now_s()
        for status in statuses:
            runner = self._merge(status, now_s)
            if runner is not None:
                runner.trial.follow(status)
                runner.drivers.on_reply(daemon)

    def _merge(
        self, status: version_trials.Status, now_s: float
    ) -> Runner | None:
        """Merges a status; returns None if it is of another order."""
        if self._codec is None:
            return None
        phase = version_trials.Phase.UNKNOWN
        runner = self._begin(status.order, status.place, phase, now_s)
        if runner is None:
            return None
        self._change(runner, lambda: runner.trial.merge(status, now_s), "told")
        return runner

    def _change(
        self, runner: Runner, change: Callable[[], object], cause: str
    ) -> bool:
        """Makes a change; logs it if the phase is another one afterwards."""
        trial = runner.trial
        before = trial.phase
        change()
        if trial.phase is before:
            return False
        self._meter.count("buckthorn_trial_changes", phase=trial.phase.value)
        _logger.info(
            "trial_changed",
            service=trial.order.service,
            target=trial.order.target,
            phase=trial.phase.value,
            cause=cause,
            reason=trial.reason,
            age_s=round(trial.age_s(_now_s()), 2),
        )
        # The next report tells the driver, or others if this is the driver.
        runner.reported_s = -math.inf
        self._wake.set()
        return True

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while True:
                open_runners = [
                    r for r in self._runners.values() if not r.is_settled
                ]
                for runner in open_runners:
                    self._check_safely(runner)
                if not open_runners:
                    break
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_safely(self, runner: Runner) -> None:
        try:
            self._check(runner, _now_s())
        except Exception:
            # A fault in one trial must not stop the others.
            _logger.exception(
                "trial_failed", service=runner.trial.order.service
            )

    def _check(self, runner: Runner, now_s: float) -> None:
        trial = runner.trial
        service = trial.order.service
        members = [r.daemon for r in self._directory.for_service(service)]
        driver = runner.drivers.first(service, members, self._cfg.daemon, now_s)
        is_driver = driver == self._cfg.daemon
        if trial.is_running:
            started_s = time.perf_counter()
            new = self._routing.new_instances(trial)
            verdict = trial_verdicts.Verdict(trial_verdicts.Judgement.OPEN)

            def decide() -> None:
                nonlocal verdict
                pending = self._routing.pending(trial, now_s)
                verdict = runner.judge(len(new), pending, now_s, is_driver)
                if is_driver:
                    usable = sum(self._routing.is_routable(r) for r in new)
                    trial.drive(verdict, usable, now_s)

            if self._change(runner, decide, "evidence"):
                self._broadcast(trial, now_s)
            self._meter.record(
                "buckthorn_trial_check", time.perf_counter() - started_s
            )
        if is_driver:
            if runner.driver_since_s is None:
                runner.driver_since_s = now_s
                _logger.info("trial_driver", service=service)
                # Daemons that have not read the order yet learn of it.
                self._broadcast(trial, now_s)
            self._drive(runner, now_s)
        elif driver is not None:
            self._report_if_due(runner, driver, now_s)
        if (
            trial.phase is version_trials.Phase.UNKNOWN
            and now_s - runner.started_s > READ_AFTER_S
        ):
            self._start_log_task(runner, self._read_result, now_s)
        if not is_driver:
            runner.driver_since_s = None

    def _broadcast(self, trial: version_trials.Trial, now_s: float) -> None:
        """Tells all daemons that are connected to this one."""
        load = self._local.load()
        self._server.broadcast(
            frames.Pong(load, self._local.version, [], [trial.status(now_s)])
        )

    def _report_if_due(
        self, runner: Runner, driver: ids.DaemonId, now_s: float
    ) -> None:
        trial = runner.trial
        pending = self._routing.pending(trial, now_s)
        news = (trial.counts.new_answers, pending)
        interval_s = IDLE_REPORT_INTERVAL_S
        if trial.phase is version_trials.Phase.SHIFTING:
            interval_s = SHIFT_REPORT_INTERVAL_S
        elif (
            news != runner.reported
            or trial.phase is version_trials.Phase.UNKNOWN
        ):
            interval_s = self._report_interval_s
        if (
            now_s - runner.reported_s < interval_s - CHECK_INTERVAL_S / 2
            and driver == runner.reported_to
        ) or (runner.sending is not None and not runner.sending.done()):
            return
        registration = self._directory.get(driver)
        if registration is None:
            return
        runner.reported_s = now_s
        is_first = driver != runner.reported_to
        runner.reported_to = driver
        runner.reported = news
        link = self._link_pool.get_or_create(registration)
        # A connection that has gone silent is replaced.
        link.close_if_dead(now_s)
        runner.drivers.on_sent(driver, now_s)
        self._meter.count("buckthorn_trial_reports")
        report = runner.report(pending, now_s, is_first)
        runner.sending = asyncio.create_task(self._send(runner, link, report))

    async def _send(
        self,
        runner: Runner,
        link: links.Link,
        report: version_trials.Report,
    ) -> None:
        try:
            await link.send(frames.Ping(trials=[report]))
        except links.NotSentError:
            runner.drivers.on_failure(link.peer.daemon, _now_s())

    def _drive(self, runner: Runner, now_s: float) -> None:
        """Reads and writes the result as far as it is due."""
        trial = runner.trial
        if trial.phase is version_trials.Phase.UNKNOWN:
            self._start_log_task(runner, self._read_result, now_s)
        elif trial.may_complete(runner.all_moved(now_s), now_s):
            self._start_log_task(runner, self._complete, now_s)
        elif runner.needs_record:
            self._start_log_task(runner, self._record, now_s)

    def _start_log_task(
        self,
        runner: Runner,
        call: LogCall,
        now_s: float,
    ) -> None:
        running = runner.task is not None and not runner.task.done()
        if running or now_s < runner.log_pause_until_s:
            return
        runner.task = asyncio.create_task(self._with_log(runner, call))

    async def _with_log(self, runner: Runner, call: LogCall) -> None:
        """Calls the log; pauses after a failure."""
        try:
            await call(runner)
        except errors.LogError as exc:
            runner.log_end = None
            if exc.code is errors.Code.LOG_MOVED_ON:
                return
            runner.log_pause_until_s = _now_s() + LOG_RETRY_S
            _logger.warning(
                "trial_not_recorded",
                service=runner.trial.order.service,
                error=str(exc),
            )

    async def _read_result(self, runner: Runner) -> None:
        """Reads the result in force and applies it.

        Raises:
            errors.LogError: The log did not answer.
        """
        trial = runner.trial
        batch = await self._log.newest(self._place.results)
        runner.in_force = self._decode_result(batch, trial.order.service)
        runner.log_end = batch.end
        phase = version_trials.Phase.CANARY
        in_force = runner.in_force
        if in_force is not None and in_force.target == trial.order.target:
            phase = in_force.phase
        self._change(runner, lambda: trial.advance(phase, _now_s()), "record")
        if phase in version_trials.FINAL:
            trial.recorded = True

    def _decode_result(
        self, batch: interfaces.Batch, service: ids.ServiceName
    ) -> version_trials.Result | None:
        """Returns the result of a service in a snapshot of the topic."""
        key = self._place.key_prefix + service
        assert self._codec is not None
        for record in batch.records:
            if record.key != key or not record.value:
                continue
            try:
                return self._codec.decode_result(record.value)
            except errors.ConfigError as exc:
                self._meter.count("buckthorn_bad_records", kind="trial")
                _logger.warning("bad_order", key=key, error=str(exc))
        return None

    async def _record(self, runner: Runner) -> None:
        """Writes the result that the log lacks.

        Raises:
            errors.LogError: The log did not take it.
        """
        if runner.log_end is None:
            await self._read_result(runner)
        trial = runner.trial
        result = version_trials.next_result(trial, runner.in_force)
        if result is not None:
            await self._append(runner, result)
        trial.recorded = (
            not trial.is_running
            and runner.in_force is not None
            and runner.in_force.phase in version_trials.FINAL
        )

    async def _complete(self, runner: Runner) -> None:
        """Writes that the trial is completed, and enters that phase.

        Raises:
            errors.LogError: The log did not take it, or its answer was lost.
        """
        trial = runner.trial
        if runner.log_end is None:
            await self._read_result(runner)
        if trial.phase is not version_trials.Phase.SHIFTING:
            return
        phase = version_trials.Phase.COMPLETED
        await self._append(
            runner, version_trials.Result(phase, trial.order.target)
        )
        trial.recorded = True
        now_s = _now_s()
        self._change(runner, lambda: trial.advance(phase, now_s), "recorded")
        self._broadcast(trial, now_s)

    async def _append(
        self, runner: Runner, result: version_trials.Result
    ) -> None:
        """Appends a result, unless the topic has changed since it was read.

        Raises:
            errors.LogError: The log did not take it, or its answer was lost.
        """
        assert self._codec is not None
        service = runner.trial.order.service
        place = await self._log.append(
            self._place.results,
            self._place.key_prefix + service,
            self._codec.encode_result(result),
            runner.log_end,
        )
        runner.log_end = ids.Offset(place.offset + 1)
        runner.in_force = result
        _logger.info(
            "trial_recorded",
            service=service,
            target=result.target,
            phase=result.phase.value,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
