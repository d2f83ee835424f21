"""Partitions, outdated contacts, and frozen and restarted daemons."""

import pytest
from tests.fakes import meshes as fake_meshes

from buckthorn_core import entries
from buckthorn_core import membership
from buckthorn_core import records

CONTACTS = records.CONTACTS_STREAM


def cut_regions(mesh) -> None:
    for one in mesh.nodes:
        for other in mesh.nodes:
            if one[0] != other[0]:
                mesh.cut(one, other)


def replace(mesh, old: str, new: str) -> None:
    """Replaces a host: another daemon at another address."""
    cfg = mesh.nodes[old].cfg
    mesh.stop(old)
    mesh.start(new, cfg.site, seeds=cfg.seeds)


@pytest.mark.cell("cut_both_ways", "relay")
@pytest.mark.parametrize("seed", range(3))
def test_regions_reconnect_when_all_known_contacts_are_dead(make_mesh, seed):
    """Guards against a relay that keeps reading the log over the paid link.

    Without live contacts, regions don't learn of each other's services either.
    """
    mesh = make_mesh(seed)
    mesh.run(40)
    cut_regions(mesh)
    number = 10
    for _ in range(4):
        # Replaces the relays known to the other region, one after the other.
        for region, kind in (("near", "n"), ("far", "f")):
            number += 1
            new = f"{kind}{number if kind == 'n' else 100 + number}"
            replace(mesh, mesh.first_relays(region)[0], new)
            cut_regions(mesh)
        mesh.run(35)
    mesh.channel.cut.clear()
    far = [n for n in mesh.nodes.values() if n.cfg.region == "far"]

    def reconnected() -> bool:
        root = mesh.nodes[mesh.first_relays("far")[0]]
        live = {n.cfg.remote_peer_address for n in mesh.nodes.values()}
        entry = root.shared.table.entries["r/near"]
        return set(entry.addresses) <= live and not root.reader.is_reader()

    assert mesh.run(30, reconnected), mesh.summary()
    mesh.publish()
    assert mesh.run(5, lambda: all(n.version == 2 for n in far))


@pytest.mark.parametrize("seed", range(3))
def test_contacts_are_rewritten_before_they_expire(make_mesh, seed):
    """Guards against a log without contacts, so that no daemon can join."""
    mesh = make_mesh(seed)
    mesh.run(fake_meshes.CHECKPOINT_S * 2)
    end = mesh.log.end(CONTACTS)
    mesh.run(fake_meshes.CHECKPOINT_S * 2)
    assert mesh.log.end(CONTACTS) > end


@pytest.mark.cell("herd", "announce")
@pytest.mark.cell("freeze", "apply")
@pytest.mark.parametrize("seed", range(4))
def test_starting_daemon_does_not_adopt_the_version_of_one_stale_member(
    make_mesh, seed
):
    """Guards against a restarted daemon that reverts to an old version (G1).

    A daemon that was frozen for a long time may be the first to contact a
    restarted one, before that one knows other members.
    """
    mesh = make_mesh(seed)
    mesh.freeze("n2")
    for number in (2, 3):
        mesh.publish()
        assert mesh.run(
            10,
            lambda want=number: all(
                n.version == want for k, n in mesh.nodes.items() if k != "n2"
            ),
        )
    mesh.run(70)
    cfg = mesh.nodes["n0"].cfg
    mesh.stop("n0")
    mesh.log.down = True
    node = mesh.start("n0", cfg.site, seeds=[])
    stale = mesh.nodes["n2"]
    # Only the stale member reaches the restarted daemon for now.
    for other in mesh.nodes:
        if other not in ("n0", "n2"):
            mesh.cut("n0", other)
            mesh.cut("n2", other)
    mesh.unfreeze("n2")
    mesh.run(3)
    assert stale.version == 1
    served = node.version if node.shared.holder.ready else 0
    assert served in (0, 3), served
    mesh.channel.cut.clear()
    assert mesh.run(30, lambda: mesh.all_at_version(3)), mesh.summary()


@pytest.mark.cell("freeze", "announce")
@pytest.mark.parametrize("seed", range(4))
def test_unfrozen_daemon_does_not_declare_live_members_dead(make_mesh, seed):
    """Guards against a suspicion timeout that includes the time frozen."""
    mesh = make_mesh(seed)
    node = mesh.nodes["n0"]
    mesh.cut("n0", "n1")
    for other in ("n2", "n3", "n4", "n5"):
        mesh.cut(other, "n1")
    suspect = entries.MemberState.SUSPECT
    assert mesh.run(
        20, lambda: node.shared.membership.member("n1").state is suspect
    )
    # The suspicion timeout starts with the next probe.
    mesh.run(1)
    assert node.shared.membership.member("n1").state is suspect
    mesh.freeze("n0")
    mesh.channel.cut.clear()
    mesh.run(20)
    mesh.unfreeze("n0")
    dead = []

    def record_departure(entry) -> None:
        if entry.key == "m/n1" and entry.state in entries.DEPARTED_STATES:
            dead.append(entry)

    node.shared.table.add_listener(record_departure)
    mesh.run(3)
    assert dead == []


@pytest.mark.cell("cut_both_ways", "announce")
@pytest.mark.parametrize("span_s", [8, 30, 90])
@pytest.mark.parametrize("with_log", [True, False])
def test_halves_of_a_region_merge_after_a_partition(
    make_mesh, span_s, with_log
):
    """Guards against halves that stay apart, or declare each other dead."""
    mesh = make_mesh(2)
    for one in ("n0", "n1", "n2"):
        for other in ("n3", "n4", "n5"):
            mesh.cut(one, other)
    mesh.log.down = not with_log
    mesh.run(span_s)
    mesh.channel.cut.clear()
    fewest_live = []

    def merged() -> bool:
        near = [n for n in mesh.nodes.values() if n.cfg.region == "near"]
        fewest_live.append(min(len(n.live_members) for n in near))
        return mesh.membership_complete()

    assert mesh.run(45, merged), mesh.summary()
    # Each daemon keeps the members of its own half while the halves merge.
    assert min(fewest_live) >= 3, min(fewest_live)


def test_missing_refutation_is_detected(make_mesh, monkeypatch):
    """Injected fault: the check fails if members don't refute their death."""
    mesh = make_mesh(2)
    monkeypatch.setattr(
        membership.Membership, "_refute", lambda self, entry: None
    )
    mesh.freeze("n1")
    mesh.run(10)
    mesh.unfreeze("n1")
    assert not mesh.run(45, mesh.membership_complete)
