"""Crash counts by fingerprint, their clearing, spread and end."""

import pytest

from buckthorn_core import errors
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_standins import crash_trial

NAME = quarantines.fingerprint(ids.ServiceName("s"), "GET", "/", None, b"")
T = 1_700_000_000_000


def make() -> quarantines.Quarantines:
    return quarantines.Quarantines(gossip.GossipTable())


def share(*found: quarantines.Quarantines) -> None:
    for one in found:
        for other in found:
            other._table.merge(list(one._table.entries.values()))


@pytest.mark.parametrize(
    ("events", "refused"),
    [
        ("x", False),
        ("xx", True),
        ("xcx", False),
        ("xcxx", True),
        ("xxc", False),
        ("cxx", True),
    ],
)
def test_two_crashes_without_a_completion_refuse(events, refused):
    """Guards against a refusal too early, too late or not cleared."""
    found = make()
    for n, event in enumerate(events):
        act = found.count_crash if event == "x" else found.record_completion
        act(NAME, T + n)
    assert found.is_quarantined(NAME, T + 10) == refused


def test_simultaneous_first_crashes_add_up():
    """Guards against two upstreams killed at once counting as one crash."""
    one, two = make(), make()
    one.count_crash(NAME, T)
    two.count_crash(NAME, T + 7)
    share(one, two)
    share(one, two)
    assert one.is_quarantined(NAME, T + 20) and two.is_quarantined(NAME, T + 20)


def test_completion_elsewhere_clears_a_late_suspicion():
    """Guards against an innocent request refused because news is late."""
    one, two = make(), make()
    one.count_crash(NAME, T)
    one.count_crash(NAME, T + 5)
    two.record_completion(NAME, T + 9)
    share(one, two)
    share(one, two)
    assert not one.is_quarantined(NAME, T + 20)


def test_quarantine_ends_and_memory_is_bounded():
    """Guards against refusals for ever, and memory that grows."""
    found = make()
    for n in range(2 * quarantines.MAX_SUSPICIONS):
        found.count_crash(ids.Fingerprint(f"{n:016x}"), T + n)
        found.record_completion(ids.Fingerprint(f"{2 * n:016x}"), T + n)
    found.count_crash(NAME, T + 9_000)
    found.count_crash(NAME, T + 10_000)
    assert len(found._held) <= quarantines.MAX_SUSPICIONS
    assert len(found._completed) <= quarantines.MAX_COMPLETIONS
    with pytest.raises(errors.RequestError) as caught:
        found.check(NAME, T + 10_001)
    assert caught.value.info == (422, True)
    assert not found.is_quarantined(NAME, T + 10_000 + quarantines.LIFETIME_MS)
    found.expire(T + 20_000 + quarantines.LIFETIME_MS)
    assert not found._held and not found._table.entries


@pytest.mark.parametrize("seed", range(3))
def test_popular_lookups_go_on_beside_a_crashing_request(seed):
    """Guards against innocent lookups in quarantine, seeded."""
    plan = crash_trial.Plan(seed, bad_at_once=2, lookups_s=100, lookup_ms=800)
    outcome = crash_trial.Trial(plan).run()
    assert outcome.crashes <= 6
    assert outcome.lookups_refused <= outcome.lookups / 1_000
    assert outcome.worst_s < 2
