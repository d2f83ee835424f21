"""Random sequences of faults over daemons; afterwards all must agree."""

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
NAMES = ["n0", "n1", "n2", "n3", "n4", "f100", "f101"]
SETTLE_S = 60.0
# Twice the time until the second reader recovers a gap.
RECOVER_S = 130.0
names = strategies.sampled_from(NAMES)


class MeshMachine(stateful.RuleBasedStateMachine):
    """Daemons, a log and a channel, all with faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start(self, seed):
        hypothesis.note(f"seed {seed}")
        self.patch = pytest.MonkeyPatch()
        self.mesh = meshes.Mesh(self.patch, seed)
        self.oracle = acceptance.Acceptor(bundles.KEY, bundles.KEY)
        for name in NAMES:
            self.restart_one(name)
        self.mesh.run(20, self.mesh.membership_complete)
        self.mesh.publish()
        self.mesh.run(20, lambda: self.mesh.all_at_version(1))

    def restart_one(self, name):
        if name in self.mesh.nodes:
            self.mesh.stop(name)
        site = "f1" if name[0] == "f" else ("n1", "n2")[int(name[1]) % 2]
        number = 30_100 if name[0] == "f" else 30_000
        seeds = [f"127.0.0.1:{number}", f"127.0.0.1:{number + 1}"]
        node = self.mesh.start(name, site, seeds=seeds)
        self.mesh.channel.silent.discard(node.cfg.peer_address)

    def read(self):
        down, self.mesh.log.down = self.mesh.log.down, False
        found = self.mesh.log.read(CONFIG, self.oracle.next_offset, 10_000)
        self.mesh.log.down = down
        for record in found.records:
            self.oracle.apply_encoded(record.offset, record.data)

    @stateful.rule(span_s=strategies.sampled_from([0.3, 1.0, 5.0, 20.0, 70.0]))
    def wait(self, span_s):
        self.mesh.run(span_s)
        self.read()

    @stateful.rule(racing=strategies.booleans())
    def publish(self, racing):
        self.read()
        try:
            self.mesh.publish(self.oracle.version)
            if racing:
                self.mesh.publish(self.oracle.version)
        except errors.LogError:
            return

    @stateful.rule(name=names)
    def restart(self, name):
        self.restart_one(name)

    @stateful.rule(name=names)
    def freeze(self, name):
        self.mesh.freeze(name)

    @stateful.rule(name=names)
    def wake(self, name):
        self.mesh.unfreeze(name)

    @stateful.rule(one=names, other=names, both=strategies.booleans())
    def cut(self, one, other, both):
        self.mesh.cut(one, other, both)

    @stateful.rule(size=strategies.integers(1, 3))
    def split(self, size):
        for one in NAMES[:size]:
            for other in NAMES[size:]:
                self.mesh.cut(one, other)

    @stateful.rule(name=names)
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
    def log(self, down):
        self.mesh.log.down = down

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.mesh.log.failures_after_append = count

    @stateful.rule()
    def expire(self):
        """Drops what a checkpoint of the version covers, as retention does."""
        self.read()
        self.mesh.log.expire(CONFIG, self.covered())
        self.mesh.log.expire(
            records.CONTACTS_STREAM, self.mesh.log.end("contacts") - 3
        )

    def covered(self) -> int:
        found = self.mesh.log._streams[CONFIG]
        for item in reversed(found.records):
            record = records.decode(item.data)
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
            for name in NAMES:
                mesh.unfreeze(name)
            self.read()
            hypothesis.note(mesh.summary())
            assert mesh.run(SETTLE_S, mesh.membership_complete), mesh.summary()
            self.check_versions()
        finally:
            self.patch.undo()

    def check_versions(self):
        self.read()
        self.check_in_force(self.oracle.version, SETTLE_S)

    def check_in_force(self, want, span_s):
        nodes = self.mesh.nodes.values()

        def agreed() -> bool:
            return all(
                n.shared.holder.version == want and n.shared.holder.ready
                for n in nodes
            )

        assert self.mesh.run(span_s, agreed), (want, self.mesh.summary())


class LossMachine(MeshMachine):
    """The same with a log that drops records which nothing else covers."""

    @stateful.rule()
    def lose_all(self):
        self.read()
        self.mesh.log.expire(CONFIG, self.mesh.log.end(CONFIG))

    def check_versions(self):
        """The highest version in force survives, and the next is accepted."""
        nodes = self.mesh.nodes.values()
        versions = {n.shared.holder.version for n in nodes}
        want = max(versions, key=lambda version: version.number)
        if want.number == 0:
            # Nobody is left who knows a version.
            return
        self.mesh.run(RECOVER_S)
        held = {n.shared.holder.version for n in nodes}
        assert len(held) == 1, self.mesh.summary()
        found = held.pop()
        assert found.number > want.number or found == want
        self.mesh.publish(found)
        number = found.number + 1
        assert self.mesh.run(10, lambda: self.mesh.all_at_version(number)), (
            found,
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
