"""Verdicts on a new version from the counts of many daemons."""

import random

import pytest

from buckthorn_core import ids
from buckthorn_core import trial_verdicts

ROUTE = ids.RouteName("browse")
Judgement = trial_verdicts.Judgement


def bucket(seconds):
    return trial_verdicts.bucket_of(seconds)


def old_counts(answers=200, failed=2):
    counts = trial_verdicts.Counts()
    durations = {bucket(0.1): answers // 2, bucket(0.2): answers // 2}
    counts.old[ROUTE] = trial_verdicts.Tally(failed, durations)
    return counts


def add_new(counts, daemon, good, failed=0, seconds=0.15, route=ROUTE):
    durations = {bucket(seconds): good} if good else {}
    counts.new_tally(route, ids.DaemonId(daemon)).add(
        trial_verdicts.Tally(failed, durations)
    )
    return counts


def judge(counts, instances=5, pending=None):
    evidence = trial_verdicts.Evidence()
    evidence.merge("d", counts, pending)
    return evidence.verdict(instances).judgement


def test_failures_of_all_instances_are_those_of_the_version():
    """Guards against a version that fails half and is taken for good."""
    counts = old_counts()
    for number in range(5):
        add_new(counts, f"n-{number}", 4, 4)
    assert judge(counts) is Judgement.BAD


@pytest.mark.parametrize("failing_old", [False, True])
def test_one_failing_instance_is_not_the_version(failing_old):
    """Guards against a roll-back for one instance that fails 45%."""
    counts = old_counts(failed=30 if failing_old else 2)
    for number in range(4):
        add_new(counts, f"n-{number}", 20)
    add_new(counts, "n-4", 11, 9)
    assert judge(counts) is Judgement.GOOD


def test_answers_that_are_several_times_slower_are_bad():
    """Guards against a slow version; twice the median is ordinary."""
    for seconds, expected in ((0.3, Judgement.GOOD), (0.8, Judgement.BAD)):
        counts = old_counts()
        for number in range(5):
            add_new(counts, f"n-{number}", 8, seconds=seconds)
        assert judge(counts) is expected, seconds


def test_requests_in_flight_for_long_are_slow_answers():
    """Guards against a verdict that waits for answers which come too late."""
    counts, pending = old_counts(), trial_verdicts.Counts()
    for number in range(5):
        add_new(pending, f"n-{number}", 4, seconds=1.0)
    assert judge(counts, pending=pending) is Judgement.BAD
    young = trial_verdicts.Counts()
    add_new(young, "n-1", 30, seconds=0.05)
    assert judge(counts, pending=young) is Judgement.OPEN


def test_durations_of_instances_that_warm_up_do_not_count():
    """Guards against a roll-back of a version that starts slowly."""
    counts = old_counts()
    for number in range(5):
        tally = counts.new_tally(ROUTE, ids.DaemonId(f"n-{number}"))
        tally.add(trial_verdicts.Tally(0, {trial_verdicts.UNTIMED: 20}))
    assert judge(counts) is not Judgement.BAD


def test_each_route_with_traffic_needs_evidence():
    """Guards against a verdict on routes that the new version never ran."""
    other = ids.RouteName("book")
    counts = old_counts()
    for number in range(5):
        add_new(counts, f"n-{number}", 10)
    assert judge(counts) is Judgement.GOOD
    counts.old[other] = trial_verdicts.Tally(0, {bucket(0.1): 100})
    assert judge(counts) is Judgement.OPEN
    for number in range(5):
        add_new(counts, f"n-{number}", 10, route=other)
    assert judge(counts) is Judgement.GOOD


def test_a_version_that_fails_late_is_found_behind_good_answers():
    """Guards against early good answers that outweigh late failures."""
    evidence = trial_verdicts.Evidence()
    counts = old_counts()
    for number in range(5):
        add_new(counts, f"n-{number}", 100)
    evidence.merge("d", counts)
    evidence.end_slice()
    assert evidence.verdict(5).judgement is Judgement.GOOD
    for number in range(5):
        add_new(counts, f"n-{number}", 4, 4)
    evidence.merge("d", counts)
    assert evidence.verdict(5).judgement is Judgement.BAD


def test_reports_that_come_twice_or_out_of_order_count_once():
    """Guards against evidence that a repeated or late report multiplies."""
    reports = []
    counts = trial_verdicts.Counts()
    for number in range(6):
        add_new(counts, f"n-{number % 2}", 1, 1)
        copy = trial_verdicts.Counts()
        copy.add(counts)
        reports.append(copy)
    for seed in range(20):
        rng = random.Random(seed)
        sent = [*reports, *rng.sample(reports, 3)]
        rng.shuffle(sent)
        evidence = trial_verdicts.Evidence()
        for report in sent:
            evidence.merge("d", report)
            if rng.random() < 0.5:
                evidence.end_slice()
        assert evidence.total == counts
        evidence.merge("another", reports[0])
        assert evidence.total.new_answers == counts.new_answers + 2


def test_slices_are_bounded_and_lose_nothing():
    """Guards against a trial that lasts for hours and grows."""
    evidence = trial_verdicts.Evidence()
    counts = trial_verdicts.Counts()
    for _ in range(3 * trial_verdicts.MAX_SLICES):
        add_new(counts, "n-1", 1)
        evidence.merge("d", counts)
        evidence.end_slice()
    assert evidence.total == counts
    assert len(evidence._slices) == trial_verdicts.MAX_SLICES


def test_good_versions_are_rarely_rolled_back():
    """Guards against a false alarm rate beyond the stated one.

    200 trials with 300 answers each, 5% of which fail, the assumed rate.
    """
    rng = random.Random(7)
    false_alarms = 0
    for _ in range(200):
        evidence = trial_verdicts.Evidence()
        counts = old_counts(answers=2000, failed=80)
        for _ in range(30):
            for _ in range(10):
                failed = rng.random() < 0.05
                name = f"n-{rng.randrange(10)}"
                add_new(counts, name, 1 - failed, int(failed))
            evidence.merge("d", counts)
            evidence.end_slice()
            if evidence.verdict(10).judgement is Judgement.BAD:
                false_alarms += 1
                break
    assert false_alarms <= 1


def test_a_daemon_alone_needs_more_evidence():
    """Guards against false alarms of many daemons, which would add up."""
    counts = old_counts()
    for number in range(4):
        add_new(counts, f"n-{number}", 0, 2)
    evidence = trial_verdicts.Evidence()
    evidence.merge("d", counts)
    assert evidence.verdict(5).judgement is Judgement.BAD
    assert evidence.verdict(5, False).judgement is not Judgement.BAD
    for number in range(4):
        add_new(counts, f"n-{number}", 0, 2)
    evidence.merge("d", counts)
    assert evidence.verdict(5, False).judgement is Judgement.BAD
