"""Versions when the log comes back from a copy that is some seconds old."""

import msgspec
import pytest
from tests.fakes import bundles

from buckthorn_core import acceptance
from buckthorn_core import bundles as versions
from buckthorn_core import checkpoint_search
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_core import signing
from buckthorn_daemon import gossiping
from buckthorn_daemon import reading

CONFIG = records.CONFIG_STREAM


def lose_version_2(mesh):
    """Has version 2 accepted everywhere, and then lost by the log."""
    mesh.log.back_up()
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()
    mesh.log.restore()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("downtime_s", [0, 2])
def test_a_publication_after_a_restoration_is_accepted(
    make_mesh, seed, downtime_s
):
    """Guards against a reader that waits beyond the end of the log."""
    mesh = make_mesh(seed)
    lose_version_2(mesh)
    mesh.log.down = bool(downtime_s)
    mesh.run(downtime_s)
    mesh.log.down = False
    mesh.run(4)
    assert mesh.all_at_version(2)
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(3)), mesh.summary()


@pytest.mark.parametrize("seed", range(4))
def test_a_publication_before_the_lost_version_returns_is_stale(
    make_mesh, seed
):
    """Guards against a confirmed version that another one replaces.

    The publication is based on the version before the lost one, and the log
    ends as long as before.
    """
    mesh = make_mesh(seed)
    first = next(iter(mesh.nodes.values())).shared.holder.version
    lose_version_2(mesh)
    lost = next(iter(mesh.nodes.values())).shared.holder.version
    assert lost != first
    mesh.publish(based_on=first)
    mesh.run(5)
    assert {n.shared.holder.version for n in mesh.nodes.values()} == {lost}
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(3)), mesh.summary()


@pytest.mark.parametrize("seed", range(4))
def test_restarted_daemons_keep_a_version_that_the_log_has_lost(
    make_mesh, seed
):
    """Guards against a reader that starts with the restored version."""
    mesh = make_mesh(seed)
    mesh.log.back_up()
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(2)), mesh.summary()
    readers = mesh.log_readers()
    mesh.log.restore()
    for name in readers:
        site = mesh.nodes[name].cfg.site
        mesh.stop(name)
        mesh.start(name, site, seeds=["127.0.0.1:30000", "127.0.0.1:30001"])
    mesh.run(20)
    assert mesh.all_at_version(2), mesh.summary()
    mesh.publish()
    assert mesh.run(10, lambda: mesh.all_at_version(3)), mesh.summary()


@pytest.mark.parametrize("seed", range(2))
def test_two_restorations_of_versions_in_a_row(make_mesh, seed):
    """Guards against a checkpoint of one epoch that settles the next."""
    mesh = make_mesh(seed)
    lose_version_2(mesh)
    mesh.run(0.5)
    mesh.log.restore()
    mesh.run(4)
    assert mesh.all_at_version(2)
    mesh.publish()
    assert mesh.run(5, lambda: mesh.all_at_version(3)), mesh.summary()


def test_all_daemons_restarted_after_a_restoration_accept_again(make_mesh):
    """Guards against a log that takes no publication any more."""
    mesh = make_mesh()
    lose_version_2(mesh)
    for name, node in list(mesh.nodes.items()):
        seeds = list(node.cfg.seeds)
        site = node.cfg.site
        mesh.stop(name)
        mesh.start(name, site, seeds=seeds)
    assert mesh.run(120, lambda: mesh.all_at_version(1)), mesh.summary()
    mesh.publish()
    assert mesh.run(10, lambda: mesh.all_at_version(2)), mesh.summary()


def test_contacts_that_the_log_has_lost_are_written_again(make_mesh):
    """Guards against new daemons that find nobody to join."""
    mesh = make_mesh()
    before = gossiping.read_contacts(mesh.log)
    assert before
    mesh.log.restore()
    assert not gossiping.read_contacts(mesh.log)
    mesh.run(1.2 * reading.CONTACTS_PERIOD_S)
    found = gossiping.read_contacts(mesh.log)
    assert {c.region for c in found} == {c.region for c in before}
    count = len(found)
    mesh.run(0.5 * reading.CONTACTS_PERIOD_S)
    assert len(gossiping.read_contacts(mesh.log)) == count


def test_the_age_of_an_epoch_is_found(make_mesh):
    """Guards against keys that are refused long after a restoration."""
    mesh = make_mesh()
    lose_version_2(mesh)
    restored_ms = mesh.clock.time_ns() // 1_000_000

    def is_older(epoch, before_ms):
        return checkpoint_search.has_older(
            mesh.log, bundles.KEY, epoch, before_ms
        )

    assert mesh.run(5, lambda: is_older(1, restored_ms + 5_000))
    assert not is_older(1, restored_ms)
    assert not is_older(2, restored_ms + 5_000)


def test_records_without_an_epoch_stay_authentic():
    """Guards against logs of earlier versions whose records are refused."""
    old = bundles.publication("p1", versions.NO_VERSION)
    fields = ["publication", *msgspec.structs.astuple(old)[:-1]]
    decoded = records.decode(msgspec.msgpack.encode(fields))
    assert decoded.epoch == 0
    assert records.has_valid_mac(decoded, bundles.KEY)
    unsigned = [*fields[:-1], b""]
    mac = signing.sign(bundles.KEY, msgspec.msgpack.encode(unsigned))
    assert mac == old.mac


def test_a_forged_epoch_is_refused():
    """Guards against an epoch that isn't covered by the signature."""
    record = bundles.publication("p1", versions.NO_VERSION, epoch=2)
    assert records.has_valid_mac(record, bundles.KEY)
    forged = msgspec.structs.replace(record, epoch=ids.LogEpoch(3))
    assert not records.has_valid_mac(forged, bundles.KEY)


def test_an_epochs_checkpoint_overrules_what_was_accepted_before_it():
    """Guards against an operator who is told that a lost race was won."""
    acceptor = acceptance.Acceptor(bundles.KEY, bundles.KEY).restarted(1)
    acceptor.apply(0, bundles.publication("p1", versions.NO_VERSION))
    early = bundles.publication("early", acceptor.version)
    assert acceptor.apply(1, early).verdict is acceptance.Verdict.ACCEPTED
    held = bundles.publication("held", acceptor.version, epoch=1)
    assert acceptor.apply(2, held).verdict is acceptance.Verdict.GAPPED
    assert not acceptor.is_settled
    lost = bundles.encode_bundle("lost", "stock")
    checkpoint = acceptance.make_checkpoint(
        versions.VersionId(2, versions.digest(lost)), lost, 1, bundles.KEY, 1
    )
    acceptor.apply(3, checkpoint)
    assert acceptor.is_settled
    assert acceptor.version == checkpoint.version
    stale = acceptance.Verdict.STALE
    assert acceptor.settled["early"].verdict is stale
    assert acceptor.settled["held"].verdict is stale
