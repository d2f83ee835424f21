"""Tests of quarantines: crash counts, clearing, gossip and expiry."""

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


def exchange(*daemons: quarantines.Quarantines) -> None:
    """Merges the gossip tables of all daemons into each other."""
    for sender in daemons:
        for receiver in daemons:
            receiver._table.merge(list(sender._table.entries.values()))


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
    """Guards against refusals that start too early, too late or never end."""
    quarantine = make()
    for n, event in enumerate(events):
        act = (
            quarantine.count_crash
            if event == "x"
            else quarantine.record_completion
        )
        act(NAME, T + n)
    assert quarantine.is_quarantined(NAME, T + 10) == refused


def test_simultaneous_first_crashes_add_up():
    """Guards against counting two concurrent crashes as one."""
    first, second = make(), make()
    first.count_crash(NAME, T)
    second.count_crash(NAME, T + 7)
    exchange(first, second)
    exchange(first, second)
    assert first.is_quarantined(NAME, T + 20) and second.is_quarantined(
        NAME, T + 20
    )


def test_remote_completion_clears_an_older_suspicion():
    """Guards against refusing a harmless request after late gossip."""
    first, second = make(), make()
    first.count_crash(NAME, T)
    first.count_crash(NAME, T + 5)
    second.record_completion(NAME, T + 9)
    exchange(first, second)
    exchange(first, second)
    assert not first.is_quarantined(NAME, T + 20)


def test_quarantine_ends_and_memory_is_bounded():
    """Guards against unlimited refusals and unbounded memory."""
    quarantine = make()
    for n in range(2 * quarantines.MAX_SUSPICIONS):
        quarantine.count_crash(ids.Fingerprint(f"{n:016x}"), T + n)
        quarantine.record_completion(ids.Fingerprint(f"{2 * n:016x}"), T + n)
    quarantine.count_crash(NAME, T + 9_000)
    quarantine.count_crash(NAME, T + 10_000)
    assert len(quarantine._suspicions) <= quarantines.MAX_SUSPICIONS
    assert len(quarantine._completed) <= quarantines.MAX_COMPLETIONS
    with pytest.raises(errors.RequestError) as caught:
        quarantine.check(NAME, T + 10_001)
    assert caught.value.info == (422, True)
    assert not quarantine.is_quarantined(
        NAME, T + 10_000 + quarantines.LIFETIME_MS
    )
    quarantine.expire(T + 20_000 + quarantines.LIFETIME_MS)
    assert not quarantine._suspicions and not quarantine._table.entries


@pytest.mark.parametrize("seed", range(3))
def test_frequent_lookups_are_not_quarantined_with_a_crashing_request(seed):
    """Guards against harmless lookups in quarantine, in a seeded trial."""
    plan = crash_trial.Plan(seed, bad_at_once=2, lookups_s=100, lookup_ms=800)
    outcome = crash_trial.Trial(plan).run()
    assert outcome.crashes <= 6
    assert outcome.lookups_refused <= outcome.lookups / 1_000
    assert outcome.worst_s < 2
