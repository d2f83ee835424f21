"""Counting, merging and burn rates."""

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
    """Guards against a failure that also counts as slow, or the reverse."""
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


def test_codes_of_callers_faults():
    """Guards against a refusal for lack of capacity that is not counted."""
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


def tallies_of(found):
    tallies: burn_counts.Tallies = {}
    for service, cause, daemon in found:
        burn_counts.get_or_create_tally(tallies, service).count(
            OBJECTIVE, 0.2, cause, daemon
        )
    return tallies


def merged(*parts):
    total: burn_counts.Tallies = {}
    for part in parts:
        burn_counts.add_tallies(total, part)
    return total


def exact(tallies):
    return {s: msgspec.structs.astuple(t)[:7] for s, t in tallies.items()}


@hypothesis.given(events, events, events)
def test_merge_is_associative(first, second, third):
    """Guards against counts that depend on the shape of the tree."""
    a, b, c = (tallies_of(e) for e in (first, second, third))
    left, right = merged(merged(a, b), c), merged(a, merged(b, c))
    assert exact(left) == exact(right)
    assert exact(left) == exact(tallies_of([*first, *second, *third]))
    for total in (left, right):
        for service, tally in total.items():
            assert len(tally.daemons) <= burn_counts.TOP_DAEMONS
            slack = tally.total / (burn_counts.TOP_DAEMONS + 1)
            hit = [e[2] for e in [*first, *second, *third] if e[0] == service]
            for daemon in set(hit):
                kept = tally.daemons.get(daemon, 0)
                assert hit.count(daemon) - slack <= kept <= hit.count(daemon)


def test_accumulator_stays_bounded_without_a_parent():
    """Guards against growth, or lost counts, while a region is cut off."""
    waiting = burn_counts.Accumulator()
    for second in range(0, 3_600, 10):
        waiting.count("s", OBJECTIVE, 0.01, "", "d", float(second))
    slots = waiting.pop_all()
    assert len(slots) <= burn_counts.MAX_INTERVALS
    assert sum(slot.tallies["s"].total for slot in slots) == 360
    assert slots[0].start_s < 600 and slots[-1].start_s >= 3_570
    many: burn_counts.Tallies = {}
    for number in range(2 * burn_counts.MAX_SERVICES):
        burn_counts.get_or_create_tally(many, f"s{number}").total += 1
    assert len(many) <= burn_counts.MAX_SERVICES + 1


def fill(history, start_s, end_s, bad_share, per_slice=100):
    """Adds a slice every 30 s."""
    for time_s in range(start_s, end_s, 30):
        bad = round(per_slice * bad_share)
        tally = burn_counts.Tally(per_slice, bad, per_slice * 10_000)
        if bad:
            tally = msgspec.structs.replace(
                tally, causes={"x": bad}, daemons={"d": bad}
            )
        history.add(
            [burn_counts.AgedInterval(0.0, {"s": tally})], float(time_s)
        )


@pytest.mark.parametrize(
    ("bad_share", "bad_s", "alert"),
    [
        (0.0, 0, ""),
        (0.5, 3_600, "fast"),
        (0.08, 21_600, "slow"),
        (0.01, 21_600, ""),
        (0.5, 120, ""),
    ],
)
def test_alerts(bad_share, bad_s, alert):
    """Guards against a rule that never alerts, or alerts for a blip."""
    history = burn_history.History(0.0)
    end_s = 90_000
    fill(history, end_s - 30_000, end_s - bad_s, 0.0)
    fill(history, end_s - bad_s, end_s, bad_share)
    found = burn_reports.build_report(history, "root", end_s - 1.0).services[0]
    assert found.availability.alert == alert
    assert found.availability.objective == 0.99
    if bad_s >= 3_600:
        assert found.availability.rates["1h"] == pytest.approx(
            bad_share * 100, rel=0.1
        )


def test_alert_ends_and_budget_remembers():
    """Guards against an alert that outlives its cause by hours."""
    history = burn_history.History(0.0)
    fill(history, 0, 3_600, 0.5)
    for end_s, alert in ((3_600, "fast"), (4_200, "slow"), (6_000, "")):
        fill(history, max(3_600, end_s - 1_800), end_s, 0.0)
        found = burn_reports.build_report(
            history, "root", end_s - 1.0
        ).services[0]
        assert found.alert == alert
    assert found.availability.remaining < 0
    later = burn_reports.build_report(history, "root", 30 * 86_400.0).services[
        0
    ]
    assert later.availability.remaining == 1.0
    assert later.causes == []


def test_windows_against_plain_sums():
    """Guards against ring buckets that are cleared late or too early."""
    rng = random.Random(7)
    history = burn_history.History(0.0)
    seen = []
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
        seen.append(now_s - age_s)
        for seconds, tier in burn_reports.WINDOWS.values():
            first = int(now_s // tier) - seconds // tier
            want = sum(first <= time_s // tier for time_s in seen)
            assert (
                history.window_totals("s", tier, seconds, now_s).total == want
            )


def test_copy_continues_on_another_clock():
    """Guards against a lost history when the root changes."""
    old = burn_history.History(1_000.0)
    fill(old, 1_000, 8_200, 0.5)
    raw = msgspec.msgpack.encode(old.export_copy(8_200.0))
    copy = msgspec.msgpack.decode(raw, type=burn_history.HistoryCopy)
    new = burn_history.History(50.0)
    assert new.replace_if_longer(copy, 60.0)
    assert not new.replace_if_longer(copy, 61.0)
    want = burn_reports.build_report(old, "r", 8_300.0)
    assert burn_reports.build_report(new, "r", 160.0) == want
