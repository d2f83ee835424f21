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

    def get_or_create(self, registration):
        del registration
        return self

    async def subscribe(self, frame):
        self.subscriptions.append(frame.positions)

    def unsubscribe(self):
        self.unsubscribed += 1

    def close_if_dead(self, now_s):
        del now_s


class FakeLinkServer:
    """A link server without connections."""


def new_feed(link_pool):
    directory = directories.Directory()
    directory.put(
        directories.Registration(PARENT, ADDRESS, "stock", "a1", "a", 4)
    )
    log = keyed_logs.Log([])
    follower = keyed_logs.make_follower(log, TOPIC)
    members = keyed_logs.make_follower(log, "members")
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
        FakeLinkServer(),
        lambda: 0,
        lambda: 0,
        "d-me/1",
    )
    members.apply([], None, ids.Offset(0))
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
