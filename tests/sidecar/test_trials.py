"""Orders, results and routing of trials, without a network."""

import asyncio
import json
import random
import types

import pytest
from tests.fakes import keyed_logs

from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import topic_tables
from buckthorn_core import version_trials
from buckthorn_sidecar import frames
from buckthorn_sidecar import settings
from buckthorn_sidecar import trial_routing
from buckthorn_sidecar import trials

Phase = version_trials.Phase
SERVICE = ids.ServiceName("stock")
BROWSE = ids.RouteName("browse")
ROUTE = types.SimpleNamespace(name=BROWSE, target_s=0.5)
ADDRESS = ids.Address("127.0.0.1:1")
REPORT = load_balancing.LoadReport(4, 0, 0, 0.1)


class Codec:
    """Orders and results as JSON lists."""

    def decode_order(self, key, value):
        try:
            target, duration_s = json.loads(value)
        except ValueError as exc:
            raise errors.ConfigError(errors.Code.BAD_RECORD, "bad") from exc
        return version_trials.Order(SERVICE, target, duration_s)

    def decode_result(self, value):
        phase, target = json.loads(value)
        return version_trials.Result(Phase(phase), target)

    def encode_result(self, result):
        return json.dumps([result.phase.value, result.target]).encode()


class Log(keyed_logs.Log):
    """A log of results that can be away, or lose its answers.

    Attributes:
        down: Whether calls fail.
        loses_answer: Whether the next append takes effect but seems to fail.
    """

    def __init__(self):
        super().__init__([])
        self.down = False
        self.loses_answer = False

    async def newest(self, topic):
        if self.down:
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "down")
        return await super().newest(topic)

    async def append(self, topic, key, value, at=None):
        if self.down:
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "down")
        place = await super().append(topic, key, value, at)
        if self.loses_answer:
            self.loses_answer = False
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "lost")
        return place

    def states(self):
        return [json.loads(r.value)[0] for r in self.records]


class Daemon:
    """The trials of one daemon, whose links lead nowhere.

    Attributes:
        trials: The trials.
        routing: Routes its requests.
        sent: Frames that were broadcast.
    """

    def __init__(self, name, log, instances):
        cfg = settings.Settings(
            daemon=ids.DaemonId(name),
            site=ids.SiteName("z"),
            region=ids.RegionName("r"),
            service=SERVICE,
            upstream_address=ADDRESS,
            callers_listen=ADDRESS,
            daemons_listen=ADDRESS,
            control_listen=ADDRESS,
            ready_listen=ADDRESS,
        )
        rng = random.Random(1)
        self.balancer = load_balancing.LoadBalancer(
            load_balancing.Origin(cfg.daemon, cfg.site, cfg.region), rng
        )
        self.directory = directories.Directory()
        for daemon, version in instances.items():
            self.directory.put(
                directories.Registration(
                    ids.DaemonId(daemon),
                    ADDRESS,
                    SERVICE,
                    cfg.site,
                    cfg.region,
                    4,
                    software_version=version,
                )
            )
        meter = metrics.Metrics(traffic_counters.ThreadSafeControlTraffic())
        self.routing = trial_routing.Routing(
            self.directory, self.balancer, cfg, meter, rng
        )
        self.sent = []
        local = types.SimpleNamespace(
            boot_id=f"{name}/1", version=1, load=lambda: REPORT
        )
        self.trials = trials.Trials(
            cfg,
            log,
            trials.Place("rollout/", "results"),
            Codec(),
            self.directory,
            self.routing,
            types.SimpleNamespace(),
            types.SimpleNamespace(broadcast=self.sent.append),
            local,
            meter,
        )

    def start(self):
        self.trials.start()
        # The first read, which brings no order.
        self.trials._first_record_s = -100.0

    def order(self, target="v2", duration_s=60.0, offset=3):
        value = json.dumps([target, duration_s]).encode()
        self.trials.on_record(
            topic_tables.Record("rollout/stock", value, ids.Offset(offset)),
            ids.FIRST_EPOCH,
        )

    @property
    def trial(self):
        return self.routing.trials[SERVICE]

    def candidates(self):
        return list(self.directory.for_service(SERVICE))

    def chosen(self, is_first=True):
        """Returns the names in the group that a request uses first."""
        groups = self.routing.groups(
            SERVICE, BROWSE, self.candidates(), is_first
        )
        return {c.daemon for group in groups[:1] for c in group}

    def end_attempt(self, daemon, status=200):
        registration = self.directory.get(ids.DaemonId(daemon))
        observed = self.routing.begin(SERVICE, ROUTE, registration)
        load = load_balancing.LoadReport(
            4, 0, 0, 0.1, software_version=registration.software_version
        )
        observed.end(frames.Response("a", status, [], b"", load, 1), 0.1)

    def fail_new(self):
        for daemon in ("n-1", "n-2", "n-3"):
            for _ in range(12):
                self.end_attempt(daemon, 500)


INSTANCES = {"d": "v1", "o-1": "v1", "n-1": "v2", "n-2": "v2", "n-3": "v2"}
ALONE = {"d": "v1"}


async def until(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def run(test):
    """Runs a test with a log and a new daemon, which is the only member."""

    async def main():
        log = Log()
        daemon = Daemon("d", log, INSTANCES)
        # No other member can be reached.
        daemon.trials._report_if_due = lambda runner, driver, now_s: None
        daemon.start()
        try:
            await test(log, daemon)
        finally:
            daemon.trials.close()

    asyncio.run(main())


def drive_alone(daemon):
    """Makes a daemon the driver, whatever the order of the members."""
    runner = daemon.trials._runners[SERVICE]
    for member in INSTANCES:
        if member != "d":
            runner.drivers.on_failure(
                ids.DaemonId(member), asyncio.get_running_loop().time() + 100
            )


def test_without_an_order_nothing_changes():
    """Guards against routing by versions that nobody asked for."""

    async def check(log, daemon):
        candidates = daemon.candidates()
        groups = daemon.routing.groups(SERVICE, BROWSE, candidates, True)
        assert groups == (candidates,)
        assert daemon.routing.begin(SERVICE, ROUTE, candidates[0]) is None
        await asyncio.sleep(0.15)
        assert not log.calls

    run(check)


def test_a_bad_version_is_rolled_back_on_own_evidence_and_recorded():
    """Guards against a daemon that waits for others, or for the log."""

    async def check(log, daemon):
        daemon.order()
        drive_alone(daemon)
        await until(lambda: log.states() == ["canary"])
        log.down = True
        daemon.fail_new()
        await until(lambda: daemon.trial.phase is Phase.ROLLED_BACK)
        for _ in range(100):
            assert daemon.chosen() == {"d", "o-1"}
        assert daemon.sent[-1].trials[0].phase is Phase.ROLLED_BACK
        log.down = False
        await until(lambda: log.states() == ["canary", "rolled_back"])
        calls = len(log.calls)
        await asyncio.sleep(0.3)
        assert len(log.calls) == calls

    run(check)


def test_a_lost_answer_is_not_written_twice():
    """Guards against two records of one result."""

    async def check(log, daemon):
        log.loses_answer = True
        daemon.order()
        drive_alone(daemon)
        await until(lambda: log.states() == ["canary"])
        await asyncio.sleep(0.8)
        assert log.states() == ["canary"]

    run(check)


@pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
def test_the_record_in_force_wins(phase):
    """Guards against a driver that overwrites another one's result."""

    async def check(log, daemon):
        daemon.order()
        drive_alone(daemon)
        await until(lambda: log.states() == ["canary"])
        result = version_trials.Result(phase, "v2")
        await log.append(
            "results", "rollout/stock", Codec().encode_result(result)
        )
        daemon.fail_new()
        await until(lambda: daemon.trials._runners[SERVICE].is_settled)
        assert daemon.trial.phase is phase
        assert log.states() == ["canary", phase.value]

    run(check)


def test_a_process_that_restarts_takes_the_result_from_the_log():
    """Guards against a second trial of a version that was rolled back."""

    async def check(log, daemon):
        result = version_trials.Result(Phase.ROLLED_BACK, "v2")
        await log.append(
            "results", "rollout/stock", Codec().encode_result(result)
        )
        daemon.trials._first_record_s = None
        daemon.order()
        assert daemon.trial.phase is Phase.UNKNOWN
        assert daemon.chosen() == {"d", "o-1"}
        drive_alone(daemon)
        await until(lambda: daemon.trial.phase is Phase.ROLLED_BACK)
        assert log.calls == ["newest"]

    run(check)


def test_a_new_order_replaces_one_that_runs():
    """Guards against requests for a version whose trial was broken off."""

    async def check(log, daemon):
        daemon.order()
        daemon.order("v3", offset=4)
        assert daemon.trial.order.target == "v3"
        for _ in range(100):
            assert daemon.chosen() == {"d", "o-1"}
        daemon.order("v2", offset=2)
        assert daemon.trial.order.target == "v3"

    run(check)


def test_an_order_is_learned_from_another_daemon():
    """Guards against a daemon without the log that knows of no trial."""

    async def check(log, daemon):
        other = Daemon("other", log, ALONE)
        other.start()
        other.order()
        now_s = asyncio.get_running_loop().time()
        report = version_trials.Report(other.trial.status(now_s + 2.0))
        [status] = daemon.trials._on_reports([report])
        assert status.order.target == "v2"
        assert daemon.trial.phase is Phase.CANARY
        assert daemon.trial.age_s(now_s) >= 1.9

    run(check)


def test_only_new_instances_are_used_if_there_are_no_others():
    """Guards against refusals while instances could serve."""

    async def check(log, daemon):
        daemon.order()
        daemon.trial.advance(Phase.ROLLED_BACK, 0.0)
        for name in ("d", "o-1"):
            daemon.directory.remove(ids.DaemonId(name))
        assert daemon.chosen() == {"n-1", "n-2", "n-3"}

    run(check)


def test_the_share_is_spent_and_a_refused_attempt_returned():
    """Guards against more than the share, and against credit that is lost."""

    async def check(log, daemon):
        daemon.order()
        used = 0
        for _ in range(1000):
            if chosen := daemon.chosen() - {"d", "o-1"}:
                daemon.end_attempt(min(chosen))
                used += 1
        assert 55 <= used <= 62
        while not (chosen := daemon.chosen() - {"d", "o-1"}):
            pass
        registration = daemon.directory.get(min(chosen))
        observed = daemon.routing.begin(SERVICE, ROUTE, registration)
        assert not daemon.chosen(is_first=False) - {"d", "o-1"}
        failure = frames.Failure(
            "a", errors.Code.SLOTS_FULL, "full", None, False, REPORT, 1
        )
        observed.end(failure, 0.1)
        assert daemon.chosen(is_first=False) - {"d", "o-1"}

    run(check)


def test_a_malformed_order_is_passed_over():
    """Guards against a record that stops the trials of a daemon."""

    async def check(log, daemon):
        daemon.trials.on_record(
            topic_tables.Record("rollout/stock", b"{", ids.Offset(1)),
            ids.FIRST_EPOCH,
        )
        assert not daemon.routing.trials
        daemon.order()
        daemon.trials.on_record(
            topic_tables.Record("rollout/stock", b"", ids.Offset(9)),
            ids.FIRST_EPOCH,
        )
        assert not daemon.routing.trials

    run(check)
