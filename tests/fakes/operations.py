"""Fakes for tests of operations: a log with faults, and helpers for claims."""

import random

from buckthorn_core import claims
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import partition_owners
from buckthorn_core import ports
from buckthorn_core import records

KEY = b"test-key-0123456789"
RUN_MS = 5_000
RETENTION_S = 3_600
EPOCH_S = 1_000_000.0


class FakeLog:
    """Log with one stream, whose appends can fail.

    Faults of an append: "" for none; "refuse" fails without effect; "lose"
    takes effect and then fails; "late" fails, and takes effect when
    `append_late` is called.
    """

    def __init__(self):
        self.now_s = EPOCH_S
        self.first = 0
        self.records = []
        self.down = False
        self.late = []
        self.appends = 0
        self.epoch = ids.FIRST_EPOCH
        self._copy = (0, [])

    @property
    def now_ms(self):
        return int(self.now_s * 1000)

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, data, fault=""):
        self.appends += 1
        if self.down or fault == "refuse":
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "down")
        if fault == "late":
            self.late.append(data)
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "timed out")
        offset = self._store(data)
        if fault == "lose":
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "answer lost")
        return offset

    def _store(self, data):
        offset = ids.Offset(self.end)
        self.records.append(ports.LogRecord(offset, self.now_ms, data))
        return offset

    def append_late(self):
        for data in self.late:
            self._store(data)
        self.late = []

    def drop(self, count):
        self.first += len(self.records[:count])
        del self.records[:count]

    def expire(self, retention_s):
        oldest_ms = self.now_ms - retention_s * 1000
        self.drop(sum(r.time_ms < oldest_ms for r in self.records))

    def read(self, start, limit):
        if self.down:
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "down")
        index = max(0, start - self.first)
        return ports.LogBatch(
            ids.Offset(self.first),
            ids.Offset(self.end),
            self.records[index : index + limit],
            self.epoch,
        )

    def back_up(self):
        self._copy = (self.first, list(self.records))

    def restore(self):
        """Comes back from the copy; what was appended since is lost."""
        self.first, self.records = self._copy[0], list(self._copy[1])
        self.epoch = ids.LogEpoch(self.epoch + 1)


def make_owner(name, factory=partition_owners.PartitionOwner):
    daemon = ids.DaemonId(name)
    return factory(0, daemon, KEY, RETENTION_S * 1000, random.Random(name))


def make_claim(key, token, use="POST /orders/1"):
    return claims.Claim(
        claims.digest_key(ids.OperationKey(key)),
        token.encode(),
        claims.fingerprint(*use.split()),
        RUN_MS,
    )


def make_final(claim, outcome, answer=b"done"):
    completed = outcome is claims.Outcome.COMPLETED
    return claims.Final(
        claim.key, claim.token, outcome, 200, [], answer if completed else None
    )


def step(owner, log, fault=""):
    """Executes an owner's next step; returns whether there was one."""
    action = owner.next_step(log.now_s, log.now_ms)
    if action is None:
        return False
    if isinstance(action, partition_owners.AppendStep):
        try:
            owner.on_appended(log.append(records.encode(action.batch), fault))
        except errors.LogError:
            owner.on_append_failed()
        return True
    try:
        owner.on_read(log.read(action.start, min(3, action.limit)), log.now_s)
    except errors.LogError:
        owner.on_read_failed(log.now_s)
    return True


def run_for(owner, log, faults=(), seconds=1.0):
    """Advances the clock in small steps and executes the owner's due steps.

    Args:
        owner: The owner.
        log: The log, which has the clock.
        faults: Faults of the next appends, in order.
        seconds: Time to run.
    """
    faults = list(faults)
    end_s = log.now_s + seconds
    while log.now_s < end_s:
        before = log.appends
        while step(owner, log, faults[0] if faults else ""):
            if log.appends > before and faults:
                faults.pop(0)
            before = log.appends
        log.now_s += 0.01


def request_claim(owner, log, claim, faults=(), seconds=1.0):
    """Claims a key, waits, and returns the owner's decision."""
    owner.claim(claim, log.now_s, log.now_ms)
    run_for(owner, log, faults, seconds)
    return owner.claim(claim, log.now_s, log.now_ms)


def finish(owner, log, claim, outcome, seconds=1.0):
    """Reports the outcome of a request; returns whether it was recorded."""
    final = make_final(claim, outcome)
    owner.record_finals([final], log.now_s)
    run_for(owner, log, (), seconds)
    return owner.record_finals([final], log.now_s) == [claim.token]
