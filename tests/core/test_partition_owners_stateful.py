"""No key runs twice, whatever fails, in whatever order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from tests.fakes import operations as fakes

from buckthorn_core import claims
from buckthorn_core import key_tables
from buckthorn_core import partition_owners
from buckthorn_core import stream_starts

OWNERS = st.integers(0, 1)
PICKS = st.integers(0, 5)
KEYS = st.sampled_from(["k0", "k0", "k1"])
ENDS = st.sampled_from([*claims.Outcome, None])
MOVED = st.sampled_from([False, False, True])
PAUSES = st.sampled_from([0, 0, 10])
FAULTS = st.sampled_from(["", "", "", "refuse", "lose", "late", "down"])
SETTINGS = hypothesis.settings(
    max_examples=max(200, hypothesis.settings().max_examples),
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Holder:
    """A request on its way; `expires_ms` is None until it is granted."""

    def __init__(self, key, claim, which):
        self.key = key
        self.which = which
        self.claim = claim
        self.expires_ms = None


class Machine(stateful.RuleBasedStateMachine):
    """Two daemons that both take themselves for the owner.

    Holders ask either of them, run what is granted, perhaps after a long
    pause, and report an end, or die without one.
    """

    factory = partition_owners.PartitionOwner

    def __init__(self):
        super().__init__()
        self.log = fakes.FakeLog()
        self.holders = []
        self.old = []
        self.started = 0
        self.runs = {}
        self.restarts = 0
        self.owners = [self.make_owner(), self.make_owner()]

    def make_owner(self):
        self.restarts += 1
        return fakes.make_owner(f"owner{self.restarts}", self.factory)

    def ask(self, holder, moved=False):
        which = holder.which ^ moved
        answer = self.owners[which].claim(
            holder.claim, self.log.now_s, self.log.now_ms
        )
        if answer.verdict is claims.Verdict.GRANTED:
            holder.expires_ms = answer.expires_ms
        return answer

    def end(self, holder, which, outcome):
        self.holders.remove(holder)
        self.old.append(holder)
        if outcome is not None:
            final = fakes.make_final(holder.claim, outcome)
            self.owners[which].record_finals([final], self.log.now_s)

    @stateful.rule(key=KEYS, which=OWNERS)
    def begin(self, key, which):
        self.started += 1
        claim = fakes.make_claim(key, f"t{self.started}")
        holder = Holder(key, claim, which)
        self.holders.append(holder)
        self.ask(holder)

    @stateful.rule(
        which=OWNERS, fault=FAULTS, count=st.sampled_from([12, 12, 1, 3])
    )
    def work(self, which, fault, count):
        self.log.down = fault == "down"
        appends = self.log.appends
        for _ in range(count):
            self.log.now_s += 0.05
            fakes.step(self.owners[which], self.log, fault)
            if self.log.appends > appends:
                fault = ""
        self.log.down = False

    def run(self, holder, which, end):
        """A holder sends its request; the upstream checks the expiry."""
        if holder.expires_ms is None or self.log.now_ms >= holder.expires_ms:
            end = end and claims.Outcome.RELEASED
        elif end is not claims.Outcome.RELEASED:
            self.runs.setdefault(holder.key, []).append(self.log.now_ms)
        self.end(holder, which, end)

    @stateful.rule(
        key=KEYS, which=OWNERS, fault=FAULTS, pause_s=PAUSES, end=ENDS
    )
    def request(self, key, which, fault, pause_s, end):
        """A request from its claim to its end, with nothing in between."""
        self.begin(key, which)
        holder = self.holders[-1]
        self.work(which, fault, 12)
        self.ask(holder)
        self.log.now_s += pause_s
        self.run(holder, which, end)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(pick=PICKS, moved=MOVED, which=OWNERS, end=ENDS)
    def poll_and_run(self, pick, moved, which, end):
        holder = self.holders[pick % len(self.holders)]
        answer = self.ask(holder, moved)
        if answer.verdict is not claims.Verdict.PENDING:
            self.run(holder, which, end)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(moved=MOVED)
    def poll(self, moved):
        for holder in self.holders:
            self.ask(holder, moved)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(pick=PICKS, which=OWNERS, end=ENDS)
    def run_without_asking(self, pick, which, end):
        """A holder that gives up, or that was paused after its grant."""
        self.run(self.holders[pick % len(self.holders)], which, end)

    @stateful.precondition(lambda self: self.old)
    @stateful.rule(pick=PICKS, moved=st.booleans())
    def deliver_again(self, pick, moved):
        """The network repeats an old claim; nobody waits for the answer."""
        self.ask(self.old[pick % len(self.old)], moved)

    @stateful.rule(seconds=st.sampled_from([1, 1, 1, 4, 580, 700, 4_000]))
    def wait(self, seconds):
        self.log.now_s += seconds
        self.log.expire(fakes.RETENTION_S)

    @stateful.precondition(lambda self: self.log.late)
    @stateful.rule()
    def land(self):
        self.log.append_late()

    @stateful.rule(which=OWNERS)
    def restart(self, which):
        self.owners[which] = self.make_owner()

    @stateful.invariant()
    def no_key_runs_twice(self):
        for key, times in self.runs.items():
            for one, two in zip(times, times[1:], strict=False):
                assert two - one >= claims.LIFETIME_MS, key


class GrantsBeforeReading(partition_owners.PartitionOwner):
    """Planted fault: an owner that trusts its memory."""

    def claim(self, claim, now_s, now_ms):
        answer = super().claim(claim, now_s, now_ms)
        if answer.verdict is not claims.Verdict.PENDING:
            return answer
        return claims.Answer(
            claims.Verdict.GRANTED, expires_ms=now_ms + fakes.RUN_MS
        )


class SkipsReplay(partition_owners.PartitionOwner):
    """Planted fault: a new owner that starts at the stream's end."""

    def on_read(self, batch, now_s):
        if not self._loaded:
            self._search = None
            self.key_table.next_offset = batch.end
        super().on_read(batch, now_s)


class _AnyRelease(key_tables.KeyTable):
    def _apply_final(self, final):
        entry = self._live(final.key)
        if entry is not None:
            entry.token = final.token
        super()._apply_final(final)


class ReleasesAnyClaim(partition_owners.PartitionOwner):
    """Planted fault: a release frees a key that another try holds."""

    def __init__(self, *args):
        super().__init__(*args)
        self.key_table = _AnyRelease(fakes.RETENTION_S * 1000)


def test_no_key_runs_twice(monkeypatch):
    """Guards against two runs of a key inside its lifetime."""
    # So that new owners search for the start of their stream.
    monkeypatch.setattr(stream_starts, "SHORT_STREAM", 2)
    runs = []

    class Counted(Machine):
        def teardown(self):
            runs.extend(self.runs.values())

    stateful.run_state_machine_as_test(Counted, settings=SETTINGS)
    # Guards against rules that seldom get as far as a run.
    assert len(runs) >= 50


@pytest.mark.parametrize(
    "owner", [GrantsBeforeReading, SkipsReplay, ReleasesAnyClaim]
)
def test_the_check_finds_a_planted_fault(owner):
    """Guards against a state machine that can't fail."""
    faulty = type("Faulty", (Machine,), {"factory": owner})
    many = hypothesis.settings(
        SETTINGS,
        max_examples=500,
        database=None,
        derandomize=True,
        phases=[hypothesis.Phase.generate],
    )
    with pytest.raises(AssertionError, match="k"):
        stateful.run_state_machine_as_test(faulty, settings=many)
