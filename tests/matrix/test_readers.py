"""Log readers under faults: gaps, checkpoints, cuts from the log."""

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
    found = mesh.log.read(CONFIG, ids.Offset(0), 10_000).records
    decoded = [records.decode(record.data) for record in found]
    return [r for r in decoded if isinstance(r, records.Checkpoint)]


@pytest.mark.cell("cut_both_ways", "accept")
@pytest.mark.cell("cut_one_way", "accept")
@pytest.mark.parametrize("seed", range(6))
def test_root_that_can_not_read_the_log_gets_versions_from_peers(
    make_mesh, seed
):
    """Guards against a region whose root waits for a log it can't reach."""
    mesh = make_mesh(seed)
    mesh.log.cut.add(mesh.first_relays()[0])
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()


def test_checkpoint_during_acceptance_names_the_offset_of_its_version(
    make_mesh, monkeypatch
):
    """Guards against a checkpoint that covers a record it doesn't count.

    A reader that starts from it would drop the accepted publication.
    """
    mesh = make_mesh()
    mesh.run(PERIOD_S / 2)
    writer = mesh.nodes[mesh.log_readers()[0]]
    original = validation.validate

    def validate(bundle):
        # The checkpoint job runs in another thread at this moment.
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
def test_gapped_writer_leaves_checkpoints_to_a_reader_without_a_gap(
    make_mesh, seed
):
    """Guards against a recovery that denies an accepted version.

    A reader that adopts it would follow another history than the others.
    """
    mesh = make_mesh(seed)
    writer = next(
        n for n in mesh.nodes.values() if n.shared.holds("checkpoint_writer")
    )
    mesh.run(5)
    before = len(read_checkpoints(mesh))
    # The log skips records for this reader only, as a node behind a cache
    # that lost them does.
    writer.shared.acceptor.next_offset = ids.Offset(0)
    writer.shared.acceptor.version = versions.NO_VERSION
    writer.shared.acceptor.set_log_start(ids.Offset(mesh.log.end(CONFIG)))
    assert writer.shared.acceptor.gapped
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()
    written = []

    def covered() -> bool:
        written[:] = read_checkpoints(mesh)[before:]
        return bool(written)

    assert mesh.run(PERIOD_S * 1.3, covered)
    assert written[0].version.number == 2
    assert written[0].as_of == mesh.log.end(CONFIG) - 2
    assert mesh.run(5, lambda: not writer.shared.acceptor.gapped)


@pytest.mark.cell("cut_one_way", "checkpoint")
@pytest.mark.cell("cut_both_ways", "checkpoint")
@pytest.mark.parametrize("seed", range(4))
def test_second_reader_stands_in_for_a_writer_cut_from_the_log(make_mesh, seed):
    """Guards against retention that passes while the writer is cut off."""
    mesh = make_mesh(seed)
    writer = mesh.log_readers()[0]
    if not mesh.nodes[writer].shared.holds("checkpoint_writer"):
        writer = mesh.log_readers()[1]
    mesh.run(5)
    before = len(read_checkpoints(mesh))
    mesh.log.cut.add(writer)
    mesh.run(PERIOD_S * 1.3)
    assert len(read_checkpoints(mesh)) == before + 1


def test_two_readers_write_one_checkpoint_a_period(make_mesh):
    """Guards against a copy of the bundle from each reader."""
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
    """Guards against a reverted version, or none ever, after a long outage.

    Publications appended while all are gapped are lost to the recovery; the
    next one based on the version in force must be accepted by all.
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
    """Guards against a copy of the bundle each 2 s until one is read back."""
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
def test_new_first_relay_of_a_far_region_does_not_replay_the_log(
    make_mesh, seed
):
    """Guards against the whole log on the paid link at each change of relay.

    The relay's time without contact must count from when it got the role.
    """
    mesh = make_mesh(seed)
    mesh.run(30)
    mesh.stop(mesh.first_relays("far")[0])
    mesh.run(15)
    far = [n for n in mesh.nodes.values() if n.cfg.region == "far"]
    assert [n.shared.acceptor.next_offset for n in far] == [0] * len(far)


@pytest.mark.cell("log_down", "checkpoint")
@pytest.mark.parametrize("seed", range(3))
def test_checkpoint_that_failed_is_written_soon_after_an_outage(
    make_mesh, seed
):
    """Guards against a whole further period without a checkpoint."""
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
def test_checkpoint_whose_answer_was_lost_is_not_repeated(make_mesh, seed):
    """Guards against a copy of the bundle for each lost answer."""
    mesh = make_mesh(seed)
    mesh.run(5)
    count = len(read_checkpoints(mesh))
    mesh.log.failures_after_append = 3
    mesh.run(PERIOD_S * 1.5)
    assert len(read_checkpoints(mesh)) == count + 1
