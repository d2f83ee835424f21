"""Schedules of checkpoints, and pulls from peers that are ahead."""

import pytest

from buckthorn_core import catchups
from buckthorn_core import checkpoint_schedules
from buckthorn_core import ids
from buckthorn_core import traffic

RECOVERY = checkpoint_schedules.Reason.RECOVERY


@pytest.mark.parametrize(
    ("readers", "gapped", "want"),
    [
        (["me", "b"], [], 0),
        (["b", "me"], [], 1),
        (["b", "me"], ["b"], 0),
        (["me", "b"], ["me"], None),
        (["b", "me"], ["b", "me"], 1),
        (["b", "c"], ["b", "c"], None),
    ],
)
def test_gapped_reader_writes_only_if_all_are_gapped(readers, gapped, want):
    """Guards against a checkpoint that misses an accepted version."""
    assert checkpoint_schedules.writer_rank("me", readers, gapped) == want


@pytest.mark.parametrize(
    ("rank", "at_end", "ahead", "gapped", "remote", "age_s", "want"),
    [
        (0, True, False, False, False, 99, None),
        (0, True, False, False, False, 100, checkpoint_schedules.Reason.PERIOD),
        (1, True, False, False, False, 124, None),
        (1, True, False, False, False, 125, checkpoint_schedules.Reason.PERIOD),
        (0, False, False, False, False, 1_000, None),
        (
            0,
            True,
            True,
            False,
            False,
            1,
            checkpoint_schedules.Reason.CORRECTION,
        ),
        (0, True, True, True, False, 29, None),
        (0, True, False, True, False, 30, RECOVERY),
        (1, True, False, True, False, 59, None),
        (1, True, False, True, False, 60, RECOVERY),
        (0, True, False, True, True, 119, None),
    ],
)
def test_checkpoint_is_due(rank, at_end, ahead, gapped, remote, age_s, want):
    """Guards against checkpoints too early, too late, or before the end."""
    plan = checkpoint_schedules.CheckpointSchedule(100.0)
    plan.note_checkpoint(0.0, 0.0)
    plan.note_gapped(gapped, 0.0)
    assert plan.due(rank, at_end, ahead, remote, float(age_s)) is want


def test_catch_up_waits_for_the_tree_and_pulls_from_one_peer_at_a_time():
    """Guards against many daemons that pull each version twice."""
    catch_up = catchups.CatchUp()
    for number in (3, 4, 2):
        address = ids.Address(f"peer-{number}")
        source = catchups.Source(
            address, traffic.Scope.LOCAL, ids.VersionNumber(number)
        )
        catch_up.add_source(source, ids.VersionNumber(2), 0.0)
    held = ids.VersionNumber(2)
    assert catch_up.next_source(held, 0.5) is None
    first = catch_up.next_source(held, 1.0)
    assert first is not None
    assert first.number == 4
    assert catch_up.next_source(held, 1.5) is None
    assert catch_up.next_source(ids.VersionNumber(3), 2.5) is None
