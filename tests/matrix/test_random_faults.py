"""Random sequences of faults, after which all daemons must agree."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from tests.fakes import bundles
from tests.fakes import meshes

from buckthorn_core import acceptance
from buckthorn_core import errors
from buckthorn_core import records

CONFIG = records.CONFIG_STREAM
DAEMONS = ["n0", "n1", "n2", "n3", "n4", "f100", "f101"]
SETTLE_TIMEOUT_S = 60.0
# Twice the time until the second reader appends a checkpoint after a gap.
RECOVERY_TIMEOUT_S = 130.0
daemons = strategies.sampled_from(DAEMONS)


class MeshMachine(stateful.RuleBasedStateMachine):
    """Daemons, a log and a message channel, all with faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        hypothesis.note(f"seed {seed}")
        self.monkeypatch = pytest.MonkeyPatch()
        self.mesh = meshes.Mesh(self.monkeypatch, seed)
        self.reference = acceptance.Acceptor(bundles.KEY, bundles.KEY)
        for name in DAEMONS:
            self.start_daemon(name)
        self.mesh.run(20, self.mesh.membership_complete)
        self.mesh.publish()
        self.mesh.run(20, lambda: self.mesh.all_at_version(1))

    def start_daemon(self, name):
        if name in self.mesh.nodes:
            self.mesh.stop(name)
        site = "f1" if name[0] == "f" else ("n1", "n2")[int(name[1]) % 2]
        number = 30_100 if name[0] == "f" else 30_000
        seeds = [f"127.0.0.1:{number}", f"127.0.0.1:{number + 1}"]
        node = self.mesh.start(name, site, seeds=seeds)
        self.mesh.channel.silent.discard(node.cfg.peer_address)

    def read(self):
        """Applies new records to the reference, even if the log is down."""
        down, self.mesh.log.down = self.mesh.log.down, False
        batch = self.mesh.log.read(CONFIG, self.reference.next_offset, 10_000)
        self.mesh.log.down = down
        for record in batch.records:
            self.reference.apply_encoded(record.offset, record.data)

    @stateful.rule(span_s=strategies.sampled_from([0.3, 1.0, 5.0, 20.0, 70.0]))
    def wait(self, span_s):
        self.mesh.run(span_s)
        self.read()

    @stateful.rule(racing=strategies.booleans())
    def publish(self, racing):
        self.read()
        try:
            self.mesh.publish(self.reference.version)
            if racing:
                self.mesh.publish(self.reference.version)
        except errors.LogError:
            return

    @stateful.rule(name=daemons)
    def restart(self, name):
        self.start_daemon(name)

    @stateful.rule(name=daemons)
    def freeze(self, name):
        self.mesh.freeze(name)

    @stateful.rule(name=daemons)
    def unfreeze(self, name):
        self.mesh.unfreeze(name)

    @stateful.rule(one=daemons, other=daemons, both=strategies.booleans())
    def cut(self, one, other, both):
        self.mesh.cut(one, other, both)

    @stateful.rule(size=strategies.integers(1, 3))
    def partition(self, size):
        for one in DAEMONS[:size]:
            for other in DAEMONS[size:]:
                self.mesh.cut(one, other)

    @stateful.rule(name=daemons)
    def cut_from_log(self, name):
        self.mesh.log.cut.add(name)

    @stateful.rule()
    def heal(self):
        self.mesh.channel.cut.clear()
        self.mesh.log.cut.clear()

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.05, 0.3]),
        repeats=strategies.sampled_from([0.0, 0.3]),
    )
    def disorder(self, loss, repeats):
        self.mesh.channel.loss_rate = loss
        self.mesh.channel.duplicate_rate = repeats

    @stateful.rule(down=strategies.booleans())
    def set_log_down(self, down):
        self.mesh.log.down = down

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.mesh.log.failures_after_append = count

    @stateful.rule()
    def expire(self):
        """Drops the records before the last checkpoint, as retention does."""
        self.read()
        self.mesh.log.expire(CONFIG, self.covered_offset())
        self.mesh.log.expire(
            records.CONTACTS_STREAM, self.mesh.log.end("contacts") - 3
        )

    def covered_offset(self) -> int:
        stream = self.mesh.log._streams[CONFIG]
        for log_record in reversed(stream.records):
            record = records.decode(log_record.data)
            if isinstance(record, records.Checkpoint):
                return record.as_of + 1
        return 0

    def teardown(self):
        if not hasattr(self, "mesh"):
            return
        mesh = self.mesh
        try:
            self.heal()
            self.disorder(0.0, 0.0)
            mesh.log.down = False
            mesh.log.failures_after_append = 0
            for name in DAEMONS:
                mesh.unfreeze(name)
            self.read()
            hypothesis.note(mesh.summary())
            assert mesh.run(SETTLE_TIMEOUT_S, mesh.membership_complete), (
                mesh.summary()
            )
            self.check_versions()
        finally:
            self.monkeypatch.undo()

    def check_versions(self):
        self.read()
        self.check_in_force(self.reference.version, SETTLE_TIMEOUT_S)

    def check_in_force(self, want, span_s):
        nodes = self.mesh.nodes.values()

        def agreed() -> bool:
            return all(
                n.shared.holder.version == want and n.shared.holder.ready
                for n in nodes
            )

        assert self.mesh.run(span_s, agreed), (want, self.mesh.summary())


class LossMachine(MeshMachine):
    """The same with a log that loses records no checkpoint covers."""

    @stateful.rule()
    def lose_all_records(self):
        self.read()
        self.mesh.log.expire(CONFIG, self.mesh.log.end(CONFIG))

    def check_versions(self):
        """Checks that the highest version is kept and the next one accepted."""
        nodes = self.mesh.nodes.values()
        versions = {n.shared.holder.version for n in nodes}
        want = max(versions, key=lambda version: version.number)
        if want.number == 0:
            # No daemon knows a version any more.
            return
        self.mesh.run(RECOVERY_TIMEOUT_S)
        held = {n.shared.holder.version for n in nodes}
        assert len(held) == 1, self.mesh.summary()
        recovered = held.pop()
        assert recovered.number > want.number or recovered == want
        self.mesh.publish(recovered)
        number = recovered.number + 1
        assert self.mesh.run(10, lambda: self.mesh.all_at_version(number)), (
            recovered,
            self.mesh.summary(),
        )


TestLoss = LossMachine.TestCase
TestLoss.settings = hypothesis.settings(
    hypothesis.settings.default, max_examples=20, stateful_step_count=25
)
TestMesh = MeshMachine.TestCase
TestMesh.settings = hypothesis.settings(
    hypothesis.settings.default, stateful_step_count=25
)
