"""Phases of a trial, its shares, its driver and its result."""

import itertools

import pytest
from tests.fakes import trials

from buckthorn_core import ids
from buckthorn_core import trial_verdicts
from buckthorn_core import version_trials

Phase = version_trials.Phase
Result = version_trials.Result
GOOD = trial_verdicts.Verdict(trial_verdicts.Judgement.GOOD)
OPEN = trial_verdicts.Verdict(trial_verdicts.Judgement.OPEN)
SUSPECT = trial_verdicts.Verdict(trial_verdicts.Judgement.SUSPECT, "slow/all")


@pytest.mark.parametrize(
    ("version", "changes"),
    [
        (trials.Good(), {}),
        (trials.Good("new-3"), {"rate": 600.0, "duration_s": 16.0, "new": 40}),
        (trials.Good("new-1"), {"rate": 150.0, "duration_s": 8.0}),
        (trials.Good(), {"old_version": trials.Good("old-3")}),
        (trials.Good("new-1"), {"rate": 150.0, "new": 12}),
        (trials.Warming(), {}),
    ],
    ids=["plain", "fails_45", "thin", "old_fails_45", "few", "warming"],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_good_versions_are_completed_in_time(version, changes, seed):
    """Guards against a roll-back for ordinary failures, and against delay.

    When the result is written, no request may run on old instances.
    """
    run = trials.Simulation(version, seed=seed, **changes)
    assert run.run() is Phase.COMPLETED
    assert run.completed_s <= run.duration_s
    assert run.old_at_completion == 0


@pytest.mark.parametrize(
    ("version", "changes"),
    [
        (trials.Failing(), {"rate": 600.0}),
        (trials.Failing(), {"rate": 150.0, "learn_s": 3.0}),
        (trials.Failing(after_s=4.0), {}),
        (trials.Failing(running=4), {}),
        (trials.Failing(running=8), {"rate": 600.0}),
        (trials.Failing(route=ids.RouteName("archive")), {}),
        (trials.Slow(), {"rate": 150.0, "duration_s": 8.0}),
        (trials.Slow(after_s=4.0), {}),
        (trials.Slow(running=6), {"rate": 600.0}),
        (trials.Slow(route=ids.RouteName("book")), {}),
    ],
    ids=[
        "at_once",
        "thin_and_learned_late",
        "late",
        "under_load",
        "under_full_load",
        "one_route",
        "slow",
        "slow_late",
        "slow_under_load",
        "slow_on_one_route",
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_bad_versions_stay_within_their_bound(version, changes, seed):
    """Guards against more than 0.1 of the requests plus 50 on a bad version.

    80 senders learn of the order and of the verdict at different times. They
    must stop within 5 s of the 50th bad answer.
    """
    run = trials.Simulation(version, seed=seed, **changes)
    assert run.run() is Phase.ROLLED_BACK
    assert run.exposure <= 50
    bad = sorted(run.bad)
    if len(bad) >= 50:
        assert run.last_new_s <= bad[49] + 5.0


def test_senders_with_few_requests_spend_the_share_together():
    """Guards against routes that get no evidence, as no sender has credit."""
    senders = [trials.make_trial(seed=n) for n in range(200)]
    spent = 0
    for trial in senders:
        for _ in range(5):
            if trial.may_use_new(ids.RouteName("rare"), 1.0, True):
                trial.spend(ids.RouteName("rare"), 1)
                spent += 1
    assert 0.04 * 1000 < spent < 0.08 * 1000


def test_credit_is_not_saved_up():
    """Guards against a burst at the new version after a time without it."""
    trial = trials.make_trial()
    route = ids.RouteName("browse")
    for _ in range(1000):
        trial.may_use_new(route, 1.0, True)
    uses = 0
    while trial.may_use_new(route, 1.0, False):
        trial.spend(route, 1)
        uses += 1
    assert uses == version_trials.MAX_CREDIT


def test_without_slack_no_sender_begins_with_credit():
    """Guards against requests beyond the share where none are allowed."""
    trial = trials.make_trial(slack=False)
    route = ids.RouteName("browse")
    assert not any(trial.may_use_new(route, 1.0, True) for _ in range(16))
    assert trial.may_use_new(route, 1.0, True)


def test_phases_only_move_on():
    """Guards against states that arrive late and undo a verdict."""
    for first, second in itertools.product(Phase, Phase):
        trial = trials.make_trial(phase=first)
        trial.advance(second, 1.0)
        phases = list(Phase)
        latest = max(first, second, key=phases.index)
        assert trial.phase is latest


def test_an_age_that_another_daemon_knows_better_counts():
    """Guards against a daemon that learns late and delays the result."""
    early, late = trials.make_trial(0.0), trials.make_trial(4.0)
    late.merge(early.status(5.0), 5.0)
    assert late.age_s(5.0) == 5.0
    early.merge(late.status(6.0), 6.0)
    assert early.age_s(6.0) == 6.0


def test_all_senders_shift_at_the_same_age():
    """Guards against a driver that completes while others still shift."""
    driver, sender = trials.make_trial(0.0), trials.make_trial(0.4)
    driver.advance(Phase.SHIFTING, 8.0)
    assert driver.share(8.0) == version_trials.STAGE_SHARE
    sender.merge(driver.status(8.5), 8.5)
    end_s = 8.0 + version_trials.STAGE_S
    assert not sender.is_moved(end_s - 0.01)
    assert sender.is_moved(end_s + 0.01)
    assert not driver.may_complete(True, end_s + 0.01)
    settled_s = end_s + version_trials.SETTLE_S + 0.01
    assert driver.may_complete(True, settled_s)
    assert not driver.may_complete(False, settled_s)
    assert driver.may_complete(False, 11.6)


def drive(verdict, available=3, seen=3):
    """Returns the phase that a driver reaches, and when."""
    trial = trials.make_trial()
    for step in range(120):
        now_s = step / 10
        if now_s >= 2.0:
            trial.judge(seen, now_s)
        trial.drive(verdict, available, now_s)
        if trial.phase is not Phase.CANARY:
            return trial.phase, now_s
    return trial.phase, None


def test_the_shift_begins_late_and_earlier_with_evidence():
    """Guards against a shift before a version can turn bad."""
    assert drive(GOOD) == (Phase.SHIFTING, pytest.approx(8.4))
    assert drive(OPEN) == (Phase.SHIFTING, pytest.approx(9.8))


def test_a_version_under_suspicion_or_without_instances_is_rolled_back():
    """Guards against a completed trial that leaves no working instance."""
    assert drive(SUSPECT) == (Phase.ROLLED_BACK, pytest.approx(9.8))
    assert drive(GOOD, 0)[0] is Phase.ROLLED_BACK
    assert drive(GOOD, 0, 0)[0] is Phase.ROLLED_BACK


def test_the_first_instance_alone_is_not_judged_at_once():
    """Guards against a verdict on one ordinarily failing early instance."""
    for instances, expected in ((1, Phase.CANARY), (2, Phase.ROLLED_BACK)):
        trial = trials.make_trial()
        counts = trial_verdicts.Counts()
        for name in ("n-1", "n-2"):
            counts.new_tally(
                ids.RouteName("browse"), ids.DaemonId(name)
            ).failed = 20
        trial.evidence.merge("d", counts)
        trial.judge(instances, 2.0)
        assert trial.phase is expected
        trial.judge(instances, 6.0)
        assert trial.phase is Phase.ROLLED_BACK


class Log:
    """A log of results with conditional appends."""

    def __init__(self):
        self.results = []

    def step(self, trial, known):
        """Lets a driver write by what it knows; returns what it knows then."""
        in_force = self.results[known - 1] if known else None
        result = version_trials.next_result(trial, in_force)
        if result is None or known != len(self.results):
            return len(self.results)
        self.results.append(result)
        return len(self.results)


@pytest.mark.parametrize("winner", [0, 1])
def test_of_two_drivers_the_first_record_stays(winner):
    """Guards against a partition whose sides record different results."""
    log = Log()
    rolled_back, completed = trials.make_trial(), trials.make_trial()
    rolled_back.advance(Phase.ROLLED_BACK, 5.0, "failures/all")
    completed.advance(Phase.COMPLETED, 5.0)
    drivers = [rolled_back, completed]
    known = [0, 0]
    for index in (winner, 1 - winner, 1 - winner, winner):
        known[index] = log.step(drivers[index], known[index])
    assert log.results == [Result(drivers[winner].phase, "v2")]


def test_a_result_is_written_once_and_after_a_new_order_again():
    """Guards against a result that a later driver overwrites."""
    trial = trials.make_trial()
    running = Result(Phase.CANARY, "v2")
    assert version_trials.next_result(trial, None) == running
    assert version_trials.next_result(trial, running) is None
    other = Result(Phase.COMPLETED, "v1")
    assert version_trials.next_result(trial, other) == running
    trial.advance(Phase.ROLLED_BACK, 1.0)
    rolled_back = Result(Phase.ROLLED_BACK, "v2")
    assert version_trials.next_result(trial, running) == rolled_back
    for phase in version_trials.FINAL:
        assert version_trials.next_result(trial, Result(phase, "v2")) is None


def test_the_next_daemon_drives_when_the_first_does_not_reply():
    """Guards against a trial that ends with its driver, also twice."""
    drivers = version_trials.Drivers()
    members = [ids.DaemonId(f"d-{n}") for n in range(4)]
    service, local = trials.SERVICE, ids.DaemonId("elsewhere")
    order = []
    now_s = 0.0
    for _ in range(3):
        first = drivers.first(service, members, local, now_s)
        order.append(first)
        drivers.on_sent(first, now_s)
        drivers.on_sent(first, now_s + 0.5)
        assert drivers.first(service, members, local, now_s + 0.5) == first
        now_s += 0.95
    assert len(set(order)) == 3
    drivers.on_reply(order[0])
    assert drivers.first(service, members, local, now_s) == order[0]
    drivers.on_failure(order[0], now_s)
    assert drivers.first(service, members, local, now_s) != order[0]
    assert drivers.first(service, members, order[0], now_s) == order[0]


def test_the_focus_has_the_size_that_loads_its_instances():
    """Guards against a version that is only bad under load and seems good."""
    trial = trials.make_trial()
    instances = [ids.DaemonId(f"n-{n}") for n in range(40)]
    chosen = [trial.focus(instances, False, n * 0.5) for n in range(24)]
    assert {len(c) for c in chosen} == {3}
    assert len({d for c in chosen for d in c}) > 12
    assert len(trial.focus(instances[:2], False, 0.0)) == 2
    assert len(trial.focus(instances[:5], True, 0.0)) == 1
    trial.advance(Phase.SHIFTING, 8.0)
    assert len(trial.focus(instances, False, 8.1)) == 10
