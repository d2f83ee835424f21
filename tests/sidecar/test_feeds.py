"""Tests of the distribution of records between daemons."""

import asyncio

from tests.fakes import keyed_logs

from buckthorn_adapters import compressors
from buckthorn_core import directories
from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_sidecar import feeds
from buckthorn_sidecar import frames
from buckthorn_sidecar import settings

TOPIC = "versions"
PARENT = ids.DaemonId("d-feed")
ADDRESS = ids.Address("127.0.0.1:1")


class FakeLinkPool:
    """A link pool and link that record subscriptions."""

    def __init__(self):
        self.on_feed_frame = None
        self.subscriptions = []
        self.unsubscribed = 0
        self.sent = []

    def get_or_create(self, registration):
        del registration
        return self

    async def send(self, frame):
        if isinstance(frame, frames.Subscribe):
            self.subscriptions.append(frame.positions)
        else:
            self.sent.append(frame)

    def send_if_connected(self, frame):
        self.sent.append(frame)

    def unsubscribe(self):
        self.unsubscribed += 1

    def close_if_dead(self, now_s):
        del now_s


class FakeLinkServer:
    """A link server without connections."""


class FakeConnection:
    """A connection of a fed daemon that records what is sent to it."""

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)

    def take(self, kind):
        """Returns the frames of a kind and forgets all."""
        found = [f for f in self.sent if isinstance(f, kind)]
        self.sent.clear()
        return found


def version(number, offset):
    return topic_tables.Record("config", b"%d" % number, ids.Offset(offset))


def revision_of(record):
    return int(record.value), 0


def new_feed(link_pool):
    directory = directories.Directory()
    directory.put(
        directories.Registration(PARENT, ADDRESS, "stock", "a1", "a", 4)
    )
    log = keyed_logs.Log([])
    follower = keyed_logs.make_follower(log, TOPIC, revision_of)
    members = keyed_logs.make_follower(log, "members")
    server = FakeLinkServer()
    feed = feeds.Feed(
        settings.Settings(
            daemon=ids.DaemonId("d-me"),
            site=ids.SiteName("a1"),
            region=ids.RegionName("a"),
            service=ids.ServiceName("stock"),
            upstream_address=ADDRESS,
            callers_listen=ADDRESS,
            daemons_listen=ADDRESS,
            control_listen=ADDRESS,
            ready_listen=ADDRESS,
        ),
        follower,
        members,
        directory,
        link_pool,
        server,
        lambda: 0,
        lambda: (0, None),
        "d-me/1",
    )
    members.apply([], None, ids.Offset(0))
    feed.server = server
    now_s = asyncio.get_running_loop().time()
    feed._state.set_position(feed_trees.TreePosition(PARENT, 1), now_s)
    return feed, follower


def records_frame(codec, offset, value, base=None):
    data = codec.encode(value, base.value if base else None)
    feed_record = frames.FeedRecord(
        "config", offset, data, base.offset if base else None
    )
    return frames.Records(TOPIC, offset, offset + 1, [feed_record])


def test_unknown_delta_base_triggers_resubscription():
    """Guards against leaving a feed because of an unknown delta base.

    The daemon has read version 2 from the log before its parent sends
    version 3, compressed against version 1.
    """

    async def run():
        link_pool = FakeLinkPool()
        feed, follower = new_feed(link_pool)
        codec = compressors.ZstdDeltaCodec()
        old, newer = (
            topic_tables.Record("config", b"version %d" % n, ids.Offset(n))
            for n in (1, 2)
        )
        follower.apply([old, newer], None, ids.Offset(3))
        link_pool.on_feed_frame(
            PARENT, records_frame(codec, 3, b"version 3", base=old)
        )
        await asyncio.sleep(0.01)
        assert link_pool.subscriptions == [{TOPIC: 3, "members": 0}]
        # Records sent before the resubscription don't fit and are ignored.
        link_pool.on_feed_frame(
            PARENT, records_frame(codec, 4, b"version 4", base=old)
        )
        link_pool.on_feed_frame(PARENT, records_frame(codec, 3, b"version 3"))
        await asyncio.sleep(0.01)
        assert len(link_pool.subscriptions) == 1
        assert link_pool.unsubscribed == 0
        assert feed._state.parent == PARENT
        assert follower.table.get("config").value == b"version 3"

    asyncio.run(run())


def confirm(read_number, places):
    confirmation = feed_trees.LogConfirmation("d-feed/1", read_number, 0.0)
    return frames.Confirm(confirmation, places)


def run_with_feed(scenario):
    async def run():
        link_pool = FakeLinkPool()
        feed, follower = new_feed(link_pool)
        await asyncio.sleep(0.01)
        link_pool.subscriptions.clear()
        link_pool.sent.clear()
        await scenario(link_pool, feed, follower)

    asyncio.run(run())


def test_a_fed_daemon_moves_to_the_new_epoch_with_its_parent():
    """Guards against a snapshot of all records to each daemon of a mesh."""

    async def scenario(link_pool, feed, follower):
        parent = topic_tables.TopicTable(revision_of)
        parent.put([version(1, 0), version(2, 1)], ids.Offset(2))
        follower.apply([version(1, 0), version(2, 1)], None, ids.Offset(2))
        child = FakeConnection()
        feed.server.on_subscribe(
            child, frames.Subscribe({TOPIC: 2, "members": 0}, {TOPIC: 0})
        )
        child.take(frames.Records)
        codec = compressors.ZstdDeltaCodec()
        move = frames.Move(0, 2, ["config"])
        back = frames.FeedRecord("config", 0, codec.encode(b"1", None), None)
        link_pool.on_feed_frame(
            PARENT, frames.Records(TOPIC, 1, 1, [back], 3, move)
        )
        assert follower.table.place == (3, 1)
        assert follower.table.get("config").value == b"1"
        # Version 2 is in force though the log has lost it.
        assert follower.table.unrecorded["config"].value == b"2"
        (passed_on,) = child.take(frames.Records)
        assert passed_on.move == move
        assert [r.offset for r in passed_on.records] == [0]
        assert link_pool.subscriptions == []

    run_with_feed(scenario)


def test_a_child_that_comes_later_moves_along():
    """Guards against a snapshot to a daemon that changes its feed."""

    async def scenario(link_pool, feed, follower):
        del link_pool
        follower.apply([version(1, 0), version(2, 1)], None, ids.Offset(2))
        follower.apply([version(1, 0)], None, ids.Offset(1), ids.LogEpoch(3))
        follower.apply([version(5, 1)], ids.Offset(1), 2, ids.LogEpoch(3))
        child = FakeConnection()
        feed.server.on_subscribe(
            child, frames.Subscribe({TOPIC: 2}, {TOPIC: 0})
        )
        frame = child.take(frames.Records)[0]
        assert frame.move == frames.Move(0, 2, ["config"])
        assert [r.offset for r in frame.records] == [1]
        assert frame.end == 2
        feed.server.on_subscribe(
            child, frames.Subscribe({TOPIC: 1}, {TOPIC: 0})
        )
        frame = child.take(frames.Records)[0]
        assert (frame.start, frame.move) == (None, None)

    run_with_feed(scenario)


def test_records_of_an_earlier_epoch_are_ignored():
    """Guards against records of a parent that is behind a restoration."""

    async def scenario(link_pool, feed, follower):
        del feed
        follower.apply([version(1, 0)], None, ids.Offset(1), ids.LogEpoch(3))
        record = frames.FeedRecord(
            "config", 1, compressors.ZstdDeltaCodec().encode(b"9", None), None
        )
        link_pool.on_feed_frame(
            PARENT, frames.Records(TOPIC, 1, 2, [record], 2)
        )
        await asyncio.sleep(0)
        assert follower.table.place == (3, 1)
        assert link_pool.subscriptions == []

    run_with_feed(scenario)


def test_daemons_of_an_earlier_release_feed_and_are_fed():
    """Guards against missed versions while a release is rolled out."""

    async def scenario(link_pool, feed, follower):
        follower.apply([version(1, 0)], None, ids.Offset(1), ids.LogEpoch(3))
        codec = compressors.ZstdDeltaCodec()
        link_pool.on_feed_frame(PARENT, records_frame(codec, 1, b"2"))
        assert follower.table.get("config").value == b"2"
        assert follower.table.place == (3, 2)
        child = FakeConnection()
        feed.server.on_subscribe(child, frames.Subscribe({TOPIC: 1}))
        (frame,) = child.take(frames.Records)[:1]
        assert (frame.start, [r.offset for r in frame.records]) == (1, [1])

    run_with_feed(scenario)


def test_a_base_of_another_history_is_not_used():
    """Guards against a difference that is decoded against other content.

    The histories have different records at the same offset.
    """

    async def scenario(link_pool, feed, follower):
        del feed
        follower.apply([version(7, 1)], None, ids.Offset(2))
        frame = records_frame(
            compressors.ZstdDeltaCodec(), 2, b"8", base=version(6, 1)
        )
        digest = feeds._digest(b"6")
        records = [
            frames.FeedRecord(r.key, r.offset, r.data, r.base, digest)
            for r in frame.records
        ]
        link_pool.on_feed_frame(PARENT, frames.Records(TOPIC, 2, 3, records, 0))
        await asyncio.sleep(0.01)
        assert follower.table.get("config").value == b"7"
        assert link_pool.subscriptions == [{TOPIC: 2, "members": 0}]

    run_with_feed(scenario)


def test_a_confirmation_beyond_the_known_records_is_not_taken():
    """Guards against a daemon that misses a record and is confirmed."""

    async def scenario(link_pool, feed, follower):
        follower.apply([version(1, 0)], None, ids.Offset(1))
        link_pool.on_feed_frame(PARENT, confirm(1, {TOPIC: (0, 1)}))
        assert feed._state.confirmation(0.0).read_number == 1
        link_pool.on_feed_frame(PARENT, confirm(2, {TOPIC: (1, 0)}))
        await asyncio.sleep(0.01)
        assert feed._state.confirmation(0.0).read_number == 1
        assert len(link_pool.subscriptions) == 1

    run_with_feed(scenario)


def test_what_the_log_has_lost_reaches_a_new_process():
    """Guards against a new process that takes the restored log for all.

    A daemon tells the parent that it subscribes to, answers queries, and passes
    on what it learns.
    """

    async def scenario(link_pool, feed, follower):
        follower.apply([version(1, 0), version(2, 1)], None, ids.Offset(2))
        follower.apply([version(1, 0)], None, ids.Offset(1), ids.LogEpoch(3))
        child = FakeConnection()
        feed.server.on_unrecorded(child, frames.UnrecordedQuery())
        (lost,) = child.take(frames.Unrecorded)
        feed._subscribe_to(PARENT)
        await asyncio.sleep(0.01)
        assert lost in link_pool.sent
        _, fresh = new_feed(other_pool := FakeLinkPool())
        fresh.apply([version(1, 0)], None, ids.Offset(1), ids.LogEpoch(3))
        other_pool.on_feed_frame(ids.DaemonId("any"), lost)
        assert fresh.table.unrecorded["config"].value == b"2"
        assert other_pool.sent == [lost]
        other_pool.on_feed_frame(ids.DaemonId("any"), lost)
        assert other_pool.sent == [lost]

    run_with_feed(scenario)
