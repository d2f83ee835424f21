"""Log readers with gaps, with failed checkpoints, or cut off the log."""

import pytest
from tests.fakes import bundles
from tests.fakes import meshes as fake_meshes

from buckthorn_core import acceptance
from buckthorn_core import bundles as versions
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_core import validation

CONFIG = records.CONFIG_STREAM
PERIOD_S = fake_meshes.CHECKPOINT_S


def read_checkpoints(mesh) -> list[records.Checkpoint]:
    log_records = mesh.log.read(CONFIG, ids.Offset(0), 10_000).records
    decoded = [records.decode(record.data) for record in log_records]
    return [r for r in decoded if isinstance(r, records.Checkpoint)]


@pytest.mark.cell("cut_both_ways", "accept")
@pytest.mark.cell("cut_one_way", "accept")
@pytest.mark.parametrize("seed", range(6))
def test_root_that_cannot_read_the_log_pulls_versions_from_peers(
    make_mesh, seed
):
    """Guards against a region whose root waits for an unreachable log."""
    mesh = make_mesh(seed)
    mesh.log.cut.add(mesh.first_relays()[0])
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()


def test_checkpoint_during_acceptance_has_the_offset_of_its_version(
    make_mesh, monkeypatch
):
    """Guards against a checkpoint that covers a record but lacks its version.

    A reader that starts from it would miss the accepted publication.
    """
    mesh = make_mesh()
    mesh.run(PERIOD_S / 2)
    writer = mesh.nodes[mesh.log_readers()[0]]
    original = validation.validate

    def validate(bundle):
        # Stands for the checkpoint job, which runs in another thread.
        writer.reader._append_checkpoint()
        return original(bundle)

    offset = mesh.publish()
    monkeypatch.setattr(validation, "validate", validate)
    writer.reader.poll()
    monkeypatch.undo()
    assert writer.shared.acceptor.version.number == 2
    last = read_checkpoints(mesh)[-1]
    assert last.version.number == (2 if last.as_of >= offset else 1)


@pytest.mark.cell("retention", "checkpoint")
@pytest.mark.cell("freeze", "checkpoint")
@pytest.mark.parametrize("seed", range(4))
def test_reader_without_a_gap_writes_instead_of_a_gapped_writer(
    make_mesh, seed
):
    """Guards against a recovery checkpoint that lacks an accepted version.

    A reader that starts from it would diverge from the others.
    """
    mesh = make_mesh(seed)
    writer = next(
        n for n in mesh.nodes.values() if n.shared.holds("checkpoint_writer")
    )
    mesh.run(5)
    before = len(read_checkpoints(mesh))
    # Only this reader misses records, as if a cache in front of the log had
    # lost them.
    writer.shared.acceptor.next_offset = ids.Offset(0)
    writer.shared.acceptor.version = versions.NO_VERSION
    writer.shared.acceptor.set_log_start(ids.Offset(mesh.log.end(CONFIG)))
    assert writer.shared.acceptor.gapped
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()
    written = []

    def has_checkpoint() -> bool:
        written[:] = read_checkpoints(mesh)[before:]
        return bool(written)

    assert mesh.run(PERIOD_S * 1.3, has_checkpoint)
    assert written[0].version.number == 2
    assert written[0].as_of == mesh.log.end(CONFIG) - 2
    assert mesh.run(5, lambda: not writer.shared.acceptor.gapped)


@pytest.mark.cell("cut_one_way", "checkpoint")
@pytest.mark.cell("cut_both_ways", "checkpoint")
@pytest.mark.parametrize("seed", range(4))
def test_second_reader_replaces_a_writer_cut_off_the_log(make_mesh, seed):
    """Guards against a writer cut off for longer than the retention."""
    mesh = make_mesh(seed)
    writer = mesh.log_readers()[0]
    if not mesh.nodes[writer].shared.holds("checkpoint_writer"):
        writer = mesh.log_readers()[1]
    mesh.run(5)
    before = len(read_checkpoints(mesh))
    mesh.log.cut.add(writer)
    mesh.run(PERIOD_S * 1.3)
    assert len(read_checkpoints(mesh)) == before + 1


def test_two_readers_write_one_checkpoint_per_period(make_mesh):
    """Guards against each reader appending a copy of the bundle."""
    mesh = make_mesh()
    mesh.run(5)
    before = len(read_checkpoints(mesh))
    mesh.run(PERIOD_S * 5)
    assert 4 <= len(read_checkpoints(mesh)) - before <= 5


@pytest.mark.cell("retention", "accept")
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("held_back", [0, 2])
def test_all_gapped_members_recover_the_version_in_force(
    make_mesh, seed, held_back
):
    """Guards against a version that is reverted or blocked by a long outage.

    The recovery discards publications appended while all members are gapped.
    All must accept the next one that is based on the version in force.
    """
    mesh = make_mesh(seed)
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2))
    mesh.log.down = True
    mesh.run(30)
    for _ in range(3):
        mesh.log.down = False
        mesh.publish(bundles.version(1, "p1"))
        mesh.log.down = True
    mesh.log.expire(CONFIG, mesh.log.end(CONFIG))
    mesh.log.down = False
    for _ in range(held_back):
        mesh.publish(bundles.version(1, "p1"))
    mesh.run(60)
    assert all(n.version == 2 for n in mesh.nodes.values()), mesh.summary()
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(3)), mesh.summary()
    late = acceptance.Acceptor(bundles.KEY, bundles.KEY)
    batch = mesh.log.read(CONFIG, ids.Offset(0), 10_000)
    late.set_log_start(batch.first)
    for record in batch.records:
        late.apply_encoded(record.offset, record.data)
    assert late.version.number == 3


@pytest.mark.parametrize("seed", range(4))
def test_recovery_writes_one_checkpoint_while_the_log_is_slow(make_mesh, seed):
    """Guards against a checkpoint each 2 s until the first is read back."""
    mesh = make_mesh(seed)
    mesh.log.expire(CONFIG, mesh.log.end(CONFIG))
    for reader in mesh.log_readers():
        acceptor = mesh.nodes[reader].shared.acceptor
        acceptor.set_log_start(ids.Offset(mesh.log.end(CONFIG) + 1))
    mesh.publish(versions.NO_VERSION)
    end = mesh.log.end(CONFIG)
    mesh.run(31)
    mesh.log.read_limit = 0
    mesh.run(20)
    assert mesh.log.end(CONFIG) - end <= 2


@pytest.mark.parametrize("seed", range(3))
def test_new_first_relay_of_another_region_does_not_read_the_log(
    make_mesh, seed
):
    """Guards against a read of the whole log over the paid link.

    It would follow each change of relay if the new relay's time without contact
    counted from before it got the role.
    """
    mesh = make_mesh(seed)
    mesh.run(30)
    mesh.stop(mesh.first_relays("far")[0])
    mesh.run(15)
    far = [n for n in mesh.nodes.values() if n.cfg.region == "far"]
    assert [n.shared.acceptor.next_offset for n in far] == [0] * len(far)


@pytest.mark.cell("log_down", "checkpoint")
@pytest.mark.parametrize("seed", range(3))
def test_failed_checkpoint_is_written_soon_after_the_outage(make_mesh, seed):
    """Guards against another full period without a checkpoint."""
    mesh = make_mesh(seed)
    mesh.run(5)
    count = len(read_checkpoints(mesh))
    mesh.run(PERIOD_S * 0.8)
    assert len(read_checkpoints(mesh)) == count
    mesh.log.down = True
    mesh.run(PERIOD_S * 0.6)
    mesh.log.down = False
    assert mesh.run(15, lambda: len(read_checkpoints(mesh)) > count)
    mesh.run(PERIOD_S / 2)
    assert len(read_checkpoints(mesh)) == count + 1


@pytest.mark.cell("answer_lost", "checkpoint")
@pytest.mark.parametrize("seed", range(3))
def test_checkpoint_with_a_lost_answer_is_not_repeated(make_mesh, seed):
    """Guards against another copy of the bundle for each lost answer."""
    mesh = make_mesh(seed)
    mesh.run(5)
    count = len(read_checkpoints(mesh))
    mesh.log.failures_after_append = 3
    mesh.run(PERIOD_S * 1.5)
    assert len(read_checkpoints(mesh)) == count + 1
