"""Reading a topic of the log, whole and in part."""

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


def test_a_follower_goes_to_the_newest_of_many_large_records():
    """Guards against a thin link that is filled with old versions."""

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


def test_a_fed_daemon_reads_only_what_it_was_not_fed():
    """Guards against the whole configuration read at each start.

    The pattern: a daemon that was fed all records asks the log for its word.
    """

    async def run():
        log = keyed_logs.Log([record(0), record(1)])
        follower = keyed_logs.make_follower(log)
        follower.set_reading(feed_trees.ReadMode.NONE)
        follower.start()
        follower.apply([record(1)], None, ids.Offset(2))
        follower.set_reading(feed_trees.ReadMode.ONCE)
        await until(lambda: log.calls)
        await until(lambda: follower.confirmed_s > 0)
        follower.close()
        assert log.calls == ["position"]
        assert log.read_offsets == []

    asyncio.run(run())


def test_the_next_read_may_be_forbidden_by_what_a_read_brought():
    """Guards against a call to the log that is cancelled at once.

    The pattern: the members tell a daemon that it is fed by another one, and
    its next long read of them has begun already.
    """

    async def run():
        log = keyed_logs.Log([record(0, b"small")])
        follower = keyed_logs.make_follower(log)

        def on_records(who, start):
            who.set_reading(feed_trees.ReadMode.NONE)

        follower.on_records = on_records
        follower.start()
        await until(lambda: follower.table.next_offset == 1)
        await asyncio.sleep(0.05)
        follower.close()
        assert log.calls == ["newest"]

    asyncio.run(run())
