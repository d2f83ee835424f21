"""Counts against objectives, their merging, burn rates and alerts."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from buckthorn_core import bundles
from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import burn_reports
from buckthorn_core import errors

OBJECTIVE = bundles.Objective(0.99, 100.0, 0.9)


@pytest.mark.parametrize(
    ("seconds", "cause", "bad", "timed", "slow"),
    [
        (0.05, "", 0, 1, 0),
        (0.2, "", 0, 1, 1),
        (None, "", 0, 0, 0),
        (0.2, "slots_full", 1, 0, 0),
    ],
)
def test_request_is_counted_once(seconds, cause, bad, timed, slow):
    """Guards against a request counted as both failed and slow."""
    tally = burn_counts.Tally()
    tally.count(OBJECTIVE, seconds, cause, "d")
    assert (tally.total, tally.bad, tally.timed, tally.slow) == (
        1,
        bad,
        timed,
        slow,
    )
    assert sum(tally.causes.values()) == bad + slow
    assert tally.bad_allowed == 10_000


def test_only_codes_of_callers_errors_are_not_counted():
    """Guards against leaving refusals for lack of capacity uncounted."""
    for code in errors.Code:
        trait = errors.CODE_INFO.get(code)
        if trait and code.value in burn_counts.NOT_COUNTED:
            assert 400 <= trait.http_status < 500
        if trait and trait.http_status >= 500:
            assert code.value not in burn_counts.NOT_COUNTED
    assert burn_counts.status_cause(404) == ""
    assert burn_counts.status_cause(599) == "http_5xx"


events = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.sampled_from(["", "x", "y"]),
        st.sampled_from([f"d{n}" for n in range(9)]),
    ),
    max_size=60,
)


def tallies_of(requests):
    tallies: burn_counts.Tallies = {}
    for service, cause, daemon in requests:
        burn_counts.get_or_create_tally(tallies, service).count(
            OBJECTIVE, 0.2, cause, daemon
        )
    return tallies


def merged(*tallies_list):
    total: burn_counts.Tallies = {}
    for tallies in tallies_list:
        burn_counts.add_tallies(total, tallies)
    return total


def exact_counts(tallies):
    """Returns all counts but those by daemon, which are lower bounds."""
    return {s: msgspec.structs.astuple(t)[:7] for s, t in tallies.items()}


@hypothesis.given(events, events, events)
def test_merge_is_associative(first, second, third):
    """Guards against counts that depend on the shape of the tree."""
    a, b, c = (tallies_of(e) for e in (first, second, third))
    left, right = merged(merged(a, b), c), merged(a, merged(b, c))
    assert exact_counts(left) == exact_counts(right)
    assert exact_counts(left) == exact_counts(
        tallies_of([*first, *second, *third])
    )
    for total in (left, right):
        for service, tally in total.items():
            assert len(tally.daemons) <= burn_counts.TOP_DAEMONS
            max_error = tally.total / (burn_counts.TOP_DAEMONS + 1)
            hit = [e[2] for e in [*first, *second, *third] if e[0] == service]
            for daemon in set(hit):
                kept = tally.daemons.get(daemon, 0)
                assert (
                    hit.count(daemon) - max_error <= kept <= hit.count(daemon)
                )


def test_accumulator_stays_bounded_without_a_parent():
    """Guards against growth or lost counts while the parent is unreachable."""
    accumulator = burn_counts.Accumulator()
    for second in range(0, 3_600, 10):
        accumulator.count("s", OBJECTIVE, 0.01, "", "d", float(second))
    intervals = accumulator.pop_all()
    assert len(intervals) <= burn_counts.MAX_INTERVALS
    assert sum(i.tallies["s"].total for i in intervals) == 360
    assert intervals[0].start_s < 600 and intervals[-1].start_s >= 3_570
    many: burn_counts.Tallies = {}
    for number in range(2 * burn_counts.MAX_SERVICES):
        burn_counts.get_or_create_tally(many, f"s{number}").total += 1
    assert len(many) <= burn_counts.MAX_SERVICES + 1


def add_requests(history, start_s, end_s, bad_fraction, per_interval=100):
    """Adds the counts of an interval every 30 s."""
    for time_s in range(start_s, end_s, 30):
        bad = round(per_interval * bad_fraction)
        tally = burn_counts.Tally(per_interval, bad, per_interval * 10_000)
        if bad:
            tally = msgspec.structs.replace(
                tally, causes={"x": bad}, daemons={"d": bad}
            )
        history.add(
            [burn_counts.AgedInterval(0.0, {"s": tally})], float(time_s)
        )


@pytest.mark.parametrize(
    ("bad_fraction", "bad_s", "alert"),
    [
        (0.0, 0, ""),
        (0.5, 3_600, "fast"),
        (0.08, 21_600, "slow"),
        (0.01, 21_600, ""),
        (0.5, 120, ""),
    ],
)
def test_alerts(bad_fraction, bad_s, alert):
    """Guards against a rule that never alerts, or alerts on a short failure."""
    history = burn_history.History(0.0)
    end_s = 90_000
    add_requests(history, end_s - 30_000, end_s - bad_s, 0.0)
    add_requests(history, end_s - bad_s, end_s, bad_fraction)
    service_burn = burn_reports.build_report(
        history, "root", end_s - 1.0
    ).services[0]
    assert service_burn.availability.alert == alert
    assert service_burn.availability.objective == 0.99
    if bad_s >= 3_600:
        assert service_burn.availability.rates["1h"] == pytest.approx(
            bad_fraction * 100, rel=0.1
        )


def test_alert_ends_while_the_budget_stays_spent():
    """Guards against an alert that continues for hours after its cause."""
    history = burn_history.History(0.0)
    add_requests(history, 0, 3_600, 0.5)
    for end_s, alert in ((3_600, "fast"), (4_200, "slow"), (6_000, "")):
        add_requests(history, max(3_600, end_s - 1_800), end_s, 0.0)
        service_burn = burn_reports.build_report(
            history, "root", end_s - 1.0
        ).services[0]
        assert service_burn.alert == alert
    assert service_burn.availability.remaining < 0
    later = burn_reports.build_report(history, "root", 30 * 86_400.0).services[
        0
    ]
    assert later.availability.remaining == 1.0
    assert later.causes == []


def test_windows_equal_plain_sums():
    """Guards against ring buckets that are cleared too late or too early."""
    rng = random.Random(7)
    history = burn_history.History(0.0)
    times_s = []
    now_s = 0.0
    for _ in range(400):
        now_s += rng.choice([1.0, 20.0, 400.0, 3_000.0])
        age_s = rng.choice([0.0, 15.0, 700.0])
        history.add(
            [
                burn_counts.AgedInterval(
                    age_s, {"s": burn_counts.Tally(total=1)}
                )
            ],
            now_s,
        )
        times_s.append(now_s - age_s)
        for seconds, width in burn_reports.WINDOWS.values():
            first = int(now_s // width) - seconds // width
            want = sum(first <= time_s // width for time_s in times_s)
            assert (
                history.window_totals("s", width, seconds, now_s).total == want
            )


def test_copy_continues_on_another_clock():
    """Guards against losing the history when the root changes.

    The new root's clock differs from the old one's.
    """
    old = burn_history.History(1_000.0)
    add_requests(old, 1_000, 8_200, 0.5)
    raw = msgspec.msgpack.encode(old.export_copy(8_200.0))
    copy = msgspec.msgpack.decode(raw, type=burn_history.HistoryCopy)
    new = burn_history.History(50.0)
    assert new.replace_if_longer(copy, 60.0)
    assert not new.replace_if_longer(copy, 61.0)
    want = burn_reports.build_report(old, "r", 8_300.0)
    assert burn_reports.build_report(new, "r", 160.0) == want
