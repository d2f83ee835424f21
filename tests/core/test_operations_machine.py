"""No key runs twice, whatever fails, in whatever order."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import operation_fakes as fakes
import pytest

from buckthorn_core import claims
from buckthorn_core import operations

KEYS = st.sampled_from(["k0", "k1"])
OWNERS = st.integers(0, 1)
FAULTS = st.sampled_from(["", "", "refuse", "lose", "late"])
RETENTION_S = 1_500
SETTINGS = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None
)


class ImpatientOwner(operations.Owner):
    """Planted fault: grants before the claim has been read in the log."""

    def claim(self, claim, now_s, now_ms):
        answer = super().claim(claim, now_s, now_ms)
        if answer.verdict is not claims.Verdict.PENDING:
            return answer
        return claims.Answer(
            claims.Verdict.GRANTED, expires_ms=now_ms + fakes.RUN_MS
        )


class Machine(stateful.RuleBasedStateMachine):
    """Two daemons that both take themselves for the owner.

    Holders ask either of them, run what is granted, perhaps after a long
    pause, and report an end, or die without one.
    """

    factory = operations.Owner

    def __init__(self):
        super().__init__()
        self.log = fakes.FakeLog()
        self.started = 0
        self.holders = {}
        self.old = []
        self.runs = {}
        self.restarts = 0
        self.owners = [self.make_owner(), self.make_owner()]

    def make_owner(self):
        self.restarts += 1
        return fakes.make_owner(f"owner{self.restarts}", self.factory)

    @stateful.rule(key=KEYS, which=OWNERS)
    def begin(self, key, which):
        self.started += 1
        claim = fakes.make_claim(key, f"t{self.started}")
        self.holders[claim.token] = (key, claim, None)
        self.poll(self.started - 1, which)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(pick=st.integers(0, 20), which=OWNERS)
    def poll(self, pick, which):
        token = list(self.holders)[pick % len(self.holders)]
        key, claim, _ = self.holders[token]
        answer = self.owners[which].claim(
            claim, self.log.now_s, self.log.now_ms
        )
        if answer.verdict is claims.Verdict.GRANTED:
            self.holders[token] = (key, claim, answer.expires_ms)

    @stateful.precondition(lambda self: self.holders)
    @stateful.rule(
        pick=st.integers(0, 20),
        which=OWNERS,
        outcome=st.sampled_from([*claims.Outcome, None]),
    )
    def run_or_give_up(self, pick, which, outcome):
        token = list(self.holders)[pick % len(self.holders)]
        key, claim, expires_ms = self.holders.pop(token)
        self.old.append(claim)
        sent = expires_ms is not None and self.log.now_ms < expires_ms
        if not sent or outcome is claims.Outcome.RELEASED:
            # Not granted, stopped by the expiry, or answered as not run.
            outcome = outcome and claims.Outcome.RELEASED
        else:
            self.runs.setdefault(key, []).append(self.log.now_ms)
        if outcome is not None:
            final = fakes.make_final(claim, outcome)
            self.owners[which].finish([final], self.log.now_s)

    @stateful.precondition(lambda self: self.old)
    @stateful.rule(pick=st.integers(0, 20), which=OWNERS)
    def deliver_again(self, pick, which):
        claim = self.old[pick % len(self.old)]
        self.owners[which].claim(claim, self.log.now_s, self.log.now_ms)

    @stateful.rule(which=OWNERS, fault=FAULTS, count=st.integers(1, 4))
    def work(self, which, fault, count):
        for _ in range(count):
            self.log.now_s += 0.1
            fakes.step(self.owners[which], self.log, fault)

    @stateful.rule(seconds=st.sampled_from([0.5, 4, 40, 580, 700, 1_600]))
    def wait(self, seconds):
        self.log.now_s += seconds
        self.log.expire(RETENTION_S)

    @stateful.rule()
    def land(self):
        self.log.land()

    @stateful.rule(down=st.booleans())
    def set_log(self, down):
        self.log.down = down

    @stateful.rule(which=OWNERS)
    def restart(self, which):
        self.owners[which] = self.make_owner()

    @stateful.invariant()
    def no_key_runs_twice(self):
        for key, times in self.runs.items():
            for one, two in zip(times, times[1:], strict=False):
                assert two - one >= claims.LIFETIME_MS, key


class FaultyMachine(Machine):
    """The same with owners that have a planted fault."""

    factory = ImpatientOwner


def test_no_key_runs_twice():
    """Guards against two runs of a key inside its lifetime."""
    stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


def test_the_check_finds_a_planted_fault():
    """Guards against a state machine that can't fail."""
    quiet = hypothesis.settings(
        SETTINGS, database=None, print_blob=False, report_multiple_bugs=False
    )
    with pytest.raises(AssertionError, match="k"):
        stateful.run_state_machine_as_test(FaultyMachine, settings=quiet)
