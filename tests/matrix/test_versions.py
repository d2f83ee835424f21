"""Random histories of the log, with acceptors and relays that lose state.

The daemons have neither clocks nor a message channel, so that thousands of
steps run in seconds.

The checks have numbers: no daemon reverts to an older version (G1), routes
refer to existing services (G2), a version is never mixed with another (G3),
and daemons that read the same records accept the same version (G9).
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest
from tests.fakes import bundles as fake_bundles

from buckthorn_adapters import compressors
from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_core import relays
from buckthorn_core import site_configs
from buckthorn_core import snapshots
from buckthorn_core import validation

COUNT = 4
hosts = strategies.integers(0, COUNT - 1)


class DaemonVersions:
    """The version state of one daemon."""

    def __init__(self):
        self.acceptor = acceptance.Acceptor(fake_bundles.KEY, fake_bundles.KEY)
        self.holder = snapshots.SnapshotHolder()
        self.relay = relays.Relay(compressors.ZstdDeltaCodec())
        self.applied = [0]

    def put(self, version: bundles.VersionId, raw: bytes) -> None:
        try:
            snapshot = snapshots.build(version, raw, ids.SiteName("n1"))
        except errors.ConfigError:
            return
        if self.holder.apply(snapshot):
            self.relay.put(version, raw)
            self.applied.append(version.number)


class VersionMachine(stateful.RuleBasedStateMachine):
    """A log, daemons that read it or pull from each other, and faults."""

    def __init__(self):
        super().__init__()
        self.log: list[bytes] = []
        self.first = 0
        self.published = 0
        self.hosts = [DaemonVersions() for _ in range(COUNT)]
        self.reference = acceptance.Acceptor(fake_bundles.KEY, fake_bundles.KEY)
        # The accepted version after each record.
        self.history = [bundles.NO_VERSION]

    def append(self, record: records.Record) -> None:
        data = records.encode(record)
        self.log.append(data)
        self.reference.apply_encoded(ids.Offset(len(self.log) - 1), data)
        self.history.append(self.reference.version)

    @stateful.rule(
        back=strategies.integers(0, 3),
        service=strategies.sampled_from(["stock", "stock", "stock", "absent"]),
        repeat=strategies.booleans(),
    )
    def publish(self, back, service, repeat):
        """Publishes on the accepted or an older version, possibly twice."""
        self.published += 1
        based_on = self.history[max(0, len(self.history) - 1 - back)]
        record = fake_bundles.publication(
            f"p{self.published}", based_on, service
        )
        self.append(record)
        if repeat:
            self.append(record)

    @stateful.rule()
    def damage_record(self):
        self.log.append(b"\x93damaged")
        self.reference.apply_encoded(
            ids.Offset(len(self.log) - 1), self.log[-1]
        )
        self.history.append(self.reference.version)

    @stateful.rule(host=hosts, limit=strategies.integers(1, 8))
    def read(self, host, limit):
        reader = self.hosts[host]
        acceptor = reader.acceptor
        acceptor.set_log_start(ids.Offset(self.first))
        start = acceptor.next_offset
        for offset in range(start, min(len(self.log), start + limit)):
            acceptor.apply_encoded(ids.Offset(offset), self.log[offset])
        if acceptor.version.number > reader.holder.version.number:
            reader.put(acceptor.version, acceptor.raw)

    @stateful.rule(host=hosts)
    def checkpoint(self, host):
        acceptor = self.hosts[host].acceptor
        version, raw, as_of = acceptor.position
        if not acceptor.gapped and version.number > 0:
            self.append(
                acceptance.make_checkpoint(
                    version, raw, as_of, fake_bundles.KEY
                )
            )

    @stateful.rule(keep=strategies.integers(0, 6))
    def expire(self, keep):
        """Drops records that the last checkpoint covers."""
        covered = 0
        for data in self.log[self.first :]:
            try:
                record = records.decode(data)
            except errors.LogError:
                continue
            if isinstance(record, records.Checkpoint):
                covered = max(covered, record.as_of + 1)
        self.first = max(self.first, min(covered, len(self.log) - keep))

    @stateful.rule(host=hosts)
    def restart(self, host):
        self.hosts[host] = DaemonVersions()

    @stateful.rule(child=hosts, parent=hosts, damage=strategies.booleans())
    def pull(self, child, parent, damage):
        puller, source = self.hosts[child], self.hosts[parent]
        answer = source.relay.answer_pull(puller.holder.version, 0.0)
        if damage and answer.data:
            data = bytearray(answer.data)
            data[len(data) // 2] ^= 0x55
            answer = answer._replace(data=bytes(data))
        try:
            raw = puller.relay.decode_answer(answer)
        except errors.PeerError:
            return
        if raw is not None:
            puller.put(answer.version, raw)

    @stateful.invariant()
    def histories_agree(self):
        """G9: daemons that read the same records accept the same version."""
        for host in self.hosts:
            acceptor = host.acceptor
            if not acceptor.gapped:
                want = self.history[acceptor.next_offset]
                assert acceptor.version == want, "G9"

    @stateful.invariant()
    def versions_are_consistent(self):
        accepted = {v for v in self.history if v.number > 0}
        for host in self.hosts:
            assert host.applied == sorted(set(host.applied)), "G1"
            current = host.holder.current
            if current is None:
                continue
            assert bundles.digest(current.raw) == current.version.digest, "G3"
            assert current.version in accepted, "G3"
            view = site_configs.merge(
                bundles.decode(current.raw), ids.SiteName("n1")
            )
            assert current.config == view, "G3"
            assert all(
                route.service in current.config.services
                for route in current.config.routes.values()
            ), "G2"

    def teardown(self):
        for host in range(COUNT):
            self.read(host, len(self.log) + 1)
            if not self.hosts[host].acceptor.gapped:
                assert self.hosts[host].holder.version == self.history[-1], "G9"


TestVersions = VersionMachine.TestCase
TestVersions.settings = hypothesis.settings(
    hypothesis.settings.default, max_examples=100, stateful_step_count=40
)


def run_with_fault() -> str:
    """Runs the machine, which must fail; returns the first failed check."""
    settings = hypothesis.settings(
        max_examples=3000,
        stateful_step_count=40,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[hypothesis.Phase.generate],
    )
    with pytest.raises(AssertionError) as raised:
        stateful.run_state_machine_as_test(VersionMachine, settings=settings)
    # A failed check in the teardown hides the one that failed before it.
    first = raised.value.__context__ or raised.value
    return str(first)


def test_reverted_version_is_detected(monkeypatch):
    """Injected fault for G1: a holder that applies any version."""

    def apply(self, snapshot):
        changed = snapshot.version != self.version
        self.current = snapshot
        return changed

    monkeypatch.setattr(snapshots.SnapshotHolder, "apply", apply)
    monkeypatch.setattr(
        relays.Relay, "answer_pull", lambda self, held, now_s: _whole(self)
    )
    assert "G1" in run_with_fault()


def _whole(relay: relays.Relay) -> relays.PullAnswer:
    if relay.version.number == 0:
        return relays.PullAnswer(relays.PullResult.CURRENT, relay.version)
    return relay._make_answer(bundles.NO_VERSION)


def test_dangling_route_is_detected(monkeypatch):
    """Injected fault for G2: neither publisher nor daemon checks routes."""
    monkeypatch.setattr(validation, "validate", lambda bundle: [])
    monkeypatch.setattr(
        site_configs, "find_dangling_references", lambda view: []
    )
    assert "G2" in run_with_fault()


def test_mixed_version_is_detected(monkeypatch):
    """Injected fault for G3: the bytes of one version under another's id."""
    original = relays.Relay.answer_pull

    def pull(self, held, now_s):
        answer = original(self, held, now_s)
        number = ids.VersionNumber(answer.version.number + 1)
        return answer._replace(
            version=msgspec.structs.replace(answer.version, number=number)
        )

    monkeypatch.setattr(relays.Relay, "answer_pull", pull)
    assert "G3" in run_with_fault()


def test_checkpoint_that_covers_too_much_is_detected(monkeypatch):
    """Injected fault for G9: a checkpoint that skips an accepted record."""
    original = acceptance.make_checkpoint

    def make(version, raw, as_of, key):
        return original(version, raw, ids.Offset(as_of + 1), key)

    monkeypatch.setattr(acceptance, "make_checkpoint", make)
    assert "G9" in run_with_fault()
