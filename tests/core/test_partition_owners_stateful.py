"""Stateful test: no key runs twice, whatever fails, in any order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from tests.fakes import operations as fakes

from buckthorn_core import claims
from buckthorn_core import key_tables
from buckthorn_core import partition_owners
from buckthorn_core import stream_starts

OWNER_INDEXES = st.integers(0, 1)
HOLDER_INDEXES = st.integers(0, 5)
KEYS = st.sampled_from(["k0", "k0", "k1"])
OUTCOMES = st.sampled_from([*claims.Outcome, None])
USE_OTHER_OWNER = st.sampled_from([False, False, True])
PAUSES_S = st.sampled_from([0, 0, 10])
FAULTS = st.sampled_from(["", "", "", "refuse", "lose", "late", "down"])
SETTINGS = hypothesis.settings(
    max_examples=max(200, hypothesis.settings().max_examples),
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Holder:
    """A request with a claim; `expires_ms` is None until it is granted."""

    def __init__(self, key, claim, owner_index):
        self.key = key
        self.owner_index = owner_index
        self.claim = claim
        self.expires_ms = None


class Machine(stateful.RuleBasedStateMachine):
    """Two daemons that both act as the owner of a partition.

    Holders send claims to either of them, run granted requests, possibly
    after a long pause, and report the outcome or crash without a report.
    """

    factory = partition_owners.PartitionOwner

    def __init__(self):
        super().__init__()
        self.log = fakes.FakeLog()
        self.holders = []
        self.ended = []
        self.started = 0
        self.runs = {}
        self.restarts = 0
        self.owners = [self.make_owner(), self.make_owner()]

    def make_owner(self):
        self.restarts += 1
        return fakes.make_owner(f"owner{self.restarts}", self.factory)

    def ask(self, holder, other_owner=False):
        owner_index = holder.owner_index ^ other_owner
        answer = self.owners[owner_index].claim(
            holder.claim, self.log.now_s, self.log.now_ms
        )
        if answer.verdict is claims.Verdict.GRANTED:
            holder.expires_ms = answer.expires_ms
        return answer

    def end(self, holder, owner_index, outcome):
        self.holders.remove(holder)
        self.ended.append(holder)
        if outcome is not None:
            final = fakes.make_final(holder.claim, outcome)
            self.owners[owner_index].record_finals([final], self.log.now_s)

    @stateful.rule(key=KEYS, owner_index=OWNER_INDEXES)
    def begin(self, key, owner_index):
        self.started += 1
        claim = fakes.make_claim(key, f"t{self.started}")
        holder = Holder(key, claim, owner_index)
        self.holders.append(holder)
        self.ask(holder)

    @stateful.rule(
        owner_index=OWNER_INDEXES,
        fault=FAULTS,
        count=st.sampled_from([12, 12, 1, 3]),
    )
    def run_owner(self, owner_index, fault, count):
        self.log.down = fault == "down"
        appends = self.log.appends
        for _ in range(count):
            self.log.now_s += 0.05
            fakes.step(self.owners[owner_index], self.log, fault)
            if self.log.appends > appends:
                fault = ""
        self.log.down = False

    def run(self, holder, owner_index, end):
        """Runs a holder's request unless its grant has expired, and ends it."""
        if holder.expires_ms is None or self.log.now_ms >= holder.expires_ms:
            end = end and claims.Outcome.RELEASED
        elif end is not claims.Outcome.RELEASED:
            self.runs.setdefault(holder.key, []).append(self.log.now_ms)
        self.end(holder, owner_index, end)

    @stateful.rule(
        key=KEYS,
        owner_index=OWNER_INDEXES,
        fault=FAULTS,
        pause_s=PAUSES_S,
        end=OUTCOMES,
    )
    def request(self, key, owner_index, fault, pause_s, end):
        """Runs a request from its claim to its end without interleaving."""
        self.begin(key, owner_index)
        holder = self.holders[-1]
        self.run_owner(owner_index, fault, 12)
        self.ask(holder)
        self.log.now_s += pause_s
        self.run(holder, owner_index, end)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(
        holder_index=HOLDER_INDEXES,
        other_owner=USE_OTHER_OWNER,
        owner_index=OWNER_INDEXES,
        end=OUTCOMES,
    )
    def poll_and_run(self, holder_index, other_owner, owner_index, end):
        holder = self.holders[holder_index % len(self.holders)]
        answer = self.ask(holder, other_owner)
        if answer.verdict is not claims.Verdict.PENDING:
            self.run(holder, owner_index, end)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(other_owner=USE_OTHER_OWNER)
    def poll(self, other_owner):
        for holder in self.holders:
            self.ask(holder, other_owner)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(
        holder_index=HOLDER_INDEXES, owner_index=OWNER_INDEXES, end=OUTCOMES
    )
    def run_without_asking(self, holder_index, owner_index, end):
        """Ends a holder that gives up, or that was paused after its grant."""
        self.run(
            self.holders[holder_index % len(self.holders)], owner_index, end
        )

    @stateful.precondition(lambda self: self.ended)
    @stateful.rule(holder_index=HOLDER_INDEXES, other_owner=st.booleans())
    def deliver_again(self, holder_index, other_owner):
        """Repeats a message with the claim of a request that has ended."""
        self.ask(self.ended[holder_index % len(self.ended)], other_owner)

    @stateful.rule(seconds=st.sampled_from([1, 1, 1, 4, 580, 700, 4_000]))
    def wait(self, seconds):
        self.log.now_s += seconds
        self.log.expire(fakes.RETENTION_S)

    @stateful.precondition(lambda self: self.log.late)
    @stateful.rule()
    def land(self):
        self.log.append_late()

    @stateful.rule()
    def back_up(self):
        self.log.back_up()

    @stateful.rule()
    def restore(self):
        """Brings the log back from the copy.

        Owners that know keys have read what was granted in the last seconds.
        """
        self.log.now_s += partition_owners.IDLE_REFRESH_INTERVAL_S
        for owner_index in (0, 1):
            self.run_owner(owner_index, "", 40)
        self.log.restore()

    @stateful.rule(key=KEYS, owner_index=OWNER_INDEXES, end=OUTCOMES)
    def lose_request(self, key, owner_index, end):
        """Loses the records of a request that was just run."""
        self.back_up()
        self.request(key, owner_index, "", 0, end)
        self.restore()
        self.run_owner(owner_index, "", 12)

    @stateful.rule(owner_index=OWNER_INDEXES)
    def restart(self, owner_index):
        self.owners[owner_index] = self.make_owner()

    @stateful.invariant()
    def no_key_runs_twice(self):
        for key, times in self.runs.items():
            for one, two in zip(times, times[1:], strict=False):
                assert two - one >= claims.LIFETIME_MS, key


class GrantsBeforeReading(partition_owners.PartitionOwner):
    """Planted fault: grants claims that are not yet read from the log."""

    def claim(self, claim, now_s, now_ms):
        answer = super().claim(claim, now_s, now_ms)
        if answer.verdict is not claims.Verdict.PENDING:
            return answer
        return claims.Answer(
            claims.Verdict.GRANTED, expires_ms=now_ms + fakes.RUN_MS
        )


class SkipsReplay(partition_owners.PartitionOwner):
    """Planted fault: a new owner starts at the end of the stream."""

    def on_read(self, batch, now_s):
        if not self._loaded:
            self._search = None
            self.key_table.next_offset = batch.end
        super().on_read(batch, now_s)


class WritesNothingAgain(partition_owners.PartitionOwner):
    """Planted fault: what a restored log has lost is not written again."""

    def _update_completeness(self):
        self.key_table._unseen.clear()
        super()._update_completeness()


class _KeyTableReleasingAny(key_tables.KeyTable):
    def _apply_final(self, final):
        entry = self._get_live(final.key)
        if entry is not None:
            entry.token = final.token
        super()._apply_final(final)


class ReleasesAnyClaim(partition_owners.PartitionOwner):
    """Planted fault: a release frees a key that another claim holds."""

    def __init__(self, *args):
        super().__init__(*args)
        self.key_table = _KeyTableReleasingAny(fakes.RETENTION_S * 1000)


def test_no_key_runs_twice(monkeypatch):
    """Guards against two runs of a key within its lifetime."""
    # Makes new owners search for the start of their stream.
    monkeypatch.setattr(stream_starts, "SHORT_STREAM", 2)
    runs = []

    class Counted(Machine):
        def teardown(self):
            runs.extend(self.runs.values())

    stateful.run_state_machine_as_test(Counted, settings=SETTINGS)
    # Guards against rules that rarely lead to a run.
    assert len(runs) >= 50


@pytest.mark.parametrize(
    "owner",
    [GrantsBeforeReading, SkipsReplay, ReleasesAnyClaim, WritesNothingAgain],
)
def test_planted_faults_are_found(owner):
    """Guards against a state machine that finds no fault."""
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
