"""Tests of reading a topic, as a snapshot and incrementally."""

import asyncio

from tests.fakes import keyed_logs

from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import log_reads
from buckthorn_core import topic_tables

LARGE = b"v" * log_reads.LARGE_BYTES


def record(offset, value=LARGE, key="config"):
    return topic_tables.Record(key, value, ids.Offset(offset))


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


def test_follower_skips_to_newest_of_many_large_records():
    """Guards against filling a slow link with outdated versions."""

    async def run():
        log = keyed_logs.Log([record(0)])
        follower = keyed_logs.make_follower(log)
        follower.start()
        await until(lambda: follower.table.next_offset == 1)
        log.records.append(record(1))
        await until(lambda: follower.table.next_offset == 2)
        log.records.extend(record(n) for n in range(2, 12))
        await until(lambda: follower.table.next_offset == 12)
        follower.close()
        assert log.read_offsets == [0, 1, 11]
        assert follower.table.get("config").offset == 11

    asyncio.run(run())


def test_fed_follower_reads_only_missing_records():
    """Guards against reading the whole configuration at each start.

    A daemon that got all records from a feed only needs the log's end position
    to confirm that they are complete.
    """

    async def run():
        log = keyed_logs.Log([record(0), record(1)])
        follower = keyed_logs.make_follower(log)
        follower.set_read_mode(feed_trees.ReadMode.NONE)
        follower.start()
        follower.apply([record(1)], None, ids.Offset(2))
        follower.set_read_mode(feed_trees.ReadMode.ONCE)
        await until(lambda: log.calls)
        await until(lambda: follower.confirmed_s > 0)
        follower.close()
        assert log.calls == ["position"]
        assert log.read_offsets == []

    asyncio.run(run())


def test_records_of_a_read_can_disable_the_next_read():
    """Guards against a call to the log that is cancelled immediately.

    The member records that a read returns assign the daemon to a feed, while
    its next long-polling read of them has already begun.
    """

    async def run():
        log = keyed_logs.Log([record(0, b"small")])
        follower = keyed_logs.make_follower(log)

        def on_records(who, start, transition):
            who.set_read_mode(feed_trees.ReadMode.NONE)

        follower.on_records = on_records
        follower.start()
        await until(lambda: follower.table.next_offset == 1)
        await asyncio.sleep(0.05)
        follower.close()
        assert log.calls == ["newest"]

    asyncio.run(run())


def test_a_restored_log_that_ends_as_long_as_before_is_read_anew():
    """Guards against a new history that no read fails on."""

    async def run():
        log = keyed_logs.Log([record(0, b"1"), record(1, b"2")])
        follower = keyed_logs.make_follower(
            log, revision_of=lambda r: (int(r.value), 0)
        )
        follower.start()
        await until(lambda: follower.table.next_offset == 2)
        log.restore([record(0, b"1"), record(1, b"3")])
        await until(lambda: follower.table.epoch == 1)
        follower.close()
        assert follower.table.get("config").value == b"3"
        assert not follower.table.unrecorded

    asyncio.run(run())


def test_an_answer_of_an_earlier_epoch_is_dropped():
    """Guards against an answer that was on its way when the log was away."""

    async def run():
        log = keyed_logs.Log([record(0, b"1")])
        follower = keyed_logs.make_follower(log)
        log.epoch = ids.LogEpoch(1)
        follower.apply([record(0, b"2")], None, ids.Offset(1), ids.LogEpoch(2))
        follower.reload()
        follower.start()
        await until(lambda: log.calls)
        await asyncio.sleep(0.02)
        assert follower.table.get("config").value == b"2"
        assert follower.table.epoch == 2
        log.epoch = ids.LogEpoch(3)
        await until(lambda: follower.table.epoch == 3)
        follower.close()

    asyncio.run(run())


def test_a_fed_follower_leaves_a_new_epoch_to_its_feed_for_a_while():
    """Guards against all daemons that read all members at once."""

    async def run():
        log = keyed_logs.Log([record(0, b"1")])
        follower = keyed_logs.make_follower(log, fed_delay_s=0.1)
        follower.set_read_mode(feed_trees.ReadMode.NONE)
        follower.start()
        follower.apply([record(0, b"1")], None, ids.Offset(1))
        log.restore([record(0, b"1")])
        follower.set_read_mode(feed_trees.ReadMode.ONCE)
        await until(lambda: log.calls)
        await asyncio.sleep(0.02)
        assert log.calls == ["read"]
        assert follower.table.epoch == 0
        await asyncio.sleep(0.1)
        follower.set_read_mode(feed_trees.ReadMode.ONCE)
        await until(lambda: follower.table.epoch == 1)
        follower.close()
        assert log.calls == ["read", "read", "newest"]

    asyncio.run(run())


def test_a_snapshot_that_ends_before_its_own_offsets_is_not_read_at_once():
    """Guards against reads without a pause of a log that has no epochs."""

    async def run():
        log = keyed_logs.Log([record(0, b"1"), record(1, b"2")])
        follower = keyed_logs.make_follower(log)
        follower.start()
        await until(lambda: follower.table.next_offset == 2)
        log.records.pop()
        await asyncio.sleep(0.2)
        follower.close()
        assert len(log.calls) < 12

    asyncio.run(run())
