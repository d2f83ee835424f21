"""Tests of the records that a daemon writes, and writes again."""

import asyncio
import random

from tests.fakes import keyed_logs

from buckthorn_core import directories
from buckthorn_core import entries
from buckthorn_core import ids
from buckthorn_core import rewrites
from buckthorn_core import topic_tables
from buckthorn_sidecar import recorders
from buckthorn_sidecar import suspicions
from buckthorn_sidecar import topic_followers

ME = ids.DaemonId("d-me")
OTHER = ids.DaemonId("d-other")
TOPIC = "members"


def registration(daemon, revision=0, closed=""):
    return directories.Registration(
        daemon,
        ids.Address("127.0.0.1:1"),
        "stock",
        "a1",
        "a",
        4,
        closed=closed,
        revision=revision,
    )


def record(offset, daemon, revision, closed=""):
    value = directories.encode(registration(daemon, revision, closed))
    return topic_tables.Record(daemon, value, ids.Offset(offset))


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


class Members:
    """The topic of members with a follower and its applier."""

    def __init__(self, records=()):
        self.directory = directories.Directory()
        self.log = keyed_logs.Log(list(records))
        meter = keyed_logs.make_follower(self.log)._meter
        self.applier = topic_followers.MemberApplier(
            ME, self.directory, lambda daemon: None, meter
        )
        self.follower = topic_followers.TopicFollower(
            self.log,
            TOPIC,
            topic_followers.MEMBERS_WAIT_S,
            self.applier.on_record,
            self.applier.on_snapshot,
            meter,
            self.applier.revision_of,
        )
        self.table = self.follower.table
        self.registrar = recorders.Registrar(
            self.log, TOPIC, ME, self.directory, self.table
        )
        self.applier.on_local_record = self.registrar.reconcile

    def read(self):
        """Applies what the log has, as the follower does."""
        end = ids.Offset(len(self.log.records))
        start = self.table.next_offset
        if start is None or self.table.epoch != self.log.epoch:
            newest = {r.key: r for r in self.log.records}
            valued = [r for r in newest.values() if r.value]
            self.follower.apply(valued, None, end, self.log.epoch)
        else:
            records = self.log.records[start:]
            self.follower.apply(records, start, end, self.log.epoch)

    def written(self):
        """Returns the registrations that were written, in order."""
        return [directories.decode(value) for _, value in self.log.appended]


async def registered(members, closed):
    members.read()
    members.registrar.start()
    members.registrar.set_desired(registration(ME, closed=closed))
    assert await members.registrar.flush(1.0)
    members.read()


def test_a_lost_registration_is_written_again():
    """Guards against a leaving that was confirmed and that nobody knows."""

    async def run():
        members = Members([record(0, ME, 3)])
        await registered(members, "i-1")
        members.log.restore(members.log.records[:1])
        members.read()
        assert members.directory.get(ME).closed == "i-1"
        await until(lambda: len(members.log.appended) == 2)
        members.read()
        assert not members.table.unrecorded
        first, second = members.written()
        assert second.says_the_same(first)
        assert (first.revision, second.revision) == (4, 5)
        members.registrar.close()

    asyncio.run(run())


def test_a_lost_record_that_was_never_read_is_written_again():
    """Guards against comparing an offset with one of another history."""

    async def run():
        members = Members([record(0, ME, 3)])
        members.read()
        members.registrar.start()
        members.registrar.set_desired(registration(ME, closed="i-1"))
        assert await members.registrar.flush(1.0)
        members.log.restore(members.log.records[:1])
        members.read()
        await until(lambda: len(members.log.appended) == 2)
        members.read()
        assert members.directory.get(ME).closed == "i-1"
        members.registrar.close()

    asyncio.run(run())


def test_a_lost_withdrawal_is_written_again():
    """Guards against a host that has left and is listed again."""

    async def run():
        members = Members([record(0, ME, 3)])
        await registered(members, "")
        await members.registrar.withdraw()
        members.read()
        members.log.restore(members.log.records[:1])
        members.read()
        assert members.directory.get(ME) is None
        await until(lambda: members.log.appended == [(ME, b"")] * 2)
        members.read()
        assert not members.table.unrecorded
        members.registrar.close()

    asyncio.run(run())


def test_news_do_not_wait_for_the_spread_of_lost_records(monkeypatch):
    """Guards against a leaving that is confirmed late after a restoration."""
    monkeypatch.setattr(rewrites, "own_delay_s", lambda lost, rng: 60.0)

    async def run():
        members = Members([record(0, ME, 3)])
        await registered(members, "")
        members.log.restore([])
        members.read()
        await asyncio.sleep(0.02)
        assert len(members.log.appended) == 0
        members.registrar.set_desired(registration(ME, closed="i-1"))
        assert await members.registrar.flush(1.0)
        members.registrar.close()

    asyncio.run(run())


def writer_of(members, is_own, is_root):
    return recorders.LostRecordWriter(
        members.log, TOPIC, ME, members.table, is_own, is_root
    )


def without_delays(monkeypatch):
    monkeypatch.setattr(rewrites, "own_delay_s", lambda lost, rng: 0.0)
    monkeypatch.setattr(rewrites, "delay_for_others_s", lambda lost, rng: 0.05)


def test_the_first_daemon_writes_records_of_daemons_that_have_ended(
    monkeypatch,
):
    """Guards against a leaving that is forgotten when its daemon restarts."""
    without_delays(monkeypatch)

    async def run():
        roots = []
        members = Members([record(0, OTHER, 1), record(1, OTHER, 2, "i-1")])
        members.read()
        members.log.restore(members.log.records[:1])
        members.read()
        writer = writer_of(members, lambda key: False, lambda: bool(roots))
        writer.start()
        writer.check()
        await asyncio.sleep(0.15)
        assert members.log.appended == []
        roots.append(True)
        await until(lambda: members.log.appended)
        members.read()
        assert members.directory.get(OTHER).closed == "i-1"
        assert not members.table.unrecorded
        writer.close()

    asyncio.run(run())


def test_an_owner_that_writes_first_spares_the_others(monkeypatch):
    """Guards against a record that each region writes again."""
    without_delays(monkeypatch)

    async def run():
        members = Members([record(0, OTHER, 2)])
        members.read()
        members.log.restore([])
        members.read()
        writer = writer_of(members, lambda key: False, lambda: True)
        writer.start()
        writer.check()
        members.log.records.append(record(0, OTHER, 3))
        members.read()
        await asyncio.sleep(0.15)
        assert members.log.appended == []
        writer.close()

    asyncio.run(run())


def test_a_lost_quarantine_is_written_again(monkeypatch):
    """Guards against a quarantine that a new process doesn't learn.

    The record is lost before any daemon has read it.
    """
    without_delays(monkeypatch)

    async def run():
        members = Members()
        members.read()
        recorder = recorders.SuspicionRecorder(
            members.log, TOPIC, members.table
        )
        recorder.start()
        suspicion = entries.CrashSuspicion(
            ids.Fingerprint("f"), suspicions.now_ms(), 5, 2
        )
        recorder.record(suspicion)
        await until(lambda: members.log.appended)
        await until(recorder.lost_changes)
        members.log.restore([])
        members.read()
        members.table.merge_unrecorded(recorder.lost_changes())
        writer = writer_of(members, recorder.is_own, lambda: False)
        writer.start()
        writer.check()
        await until(lambda: len(members.log.appended) == 2)
        assert members.log.appended[0] == members.log.appended[1]
        members.read()
        assert not members.table.unrecorded
        recorder.close()
        writer.close()

    asyncio.run(run())


def test_lost_records_are_not_all_written_at_once():
    """Guards against a burst of writes that the log refuses."""
    rng = random.Random(1)
    lost = 3_000
    delays = [rewrites.own_delay_s(lost, rng) for _ in range(lost)]
    per_second = [0] * (int(max(delays)) + 1)
    for delay_s in delays:
        per_second[int(delay_s)] += 1
    assert max(per_second) < 2 * rewrites.WRITES_PER_S
    assert rewrites.delay_for_others_s(lost, rng) > max(delays)
