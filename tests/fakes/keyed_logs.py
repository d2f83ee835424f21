"""Fake of a log whose records have keys, and a follower of it."""

import asyncio

from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import topic_followers


class Log:
    """A log of one key that records how it is read.

    Attributes:
        records: All records.
        read_offsets: Offsets of the records that were read, in order.
        calls: Names of the calls, in order.
        epoch: Epoch that answers state.
        appended: What was appended, as pairs of key and value.
    """

    def __init__(self, records):
        self.records = records
        self.epoch = ids.FIRST_EPOCH
        self.appended = []
        self.read_offsets = []
        self.calls = []

    def _batch(self, records):
        self.read_offsets.extend(r.offset for r in records)
        now_s = asyncio.get_running_loop().time()
        return interfaces.Batch(
            records, ids.Offset(len(self.records)), now_s, self.epoch
        )

    async def append(self, topic, key, value, at=None):
        if at is not None and at != len(self.records):
            raise errors.LogError(errors.Code.LOG_MOVED_ON, topic)
        self.appended.append((key, value))
        offset = ids.Offset(len(self.records))
        self.records.append(topic_tables.Record(key, value, offset))
        return topic_tables.Place(self.epoch, offset)

    def restore(self, records):
        """Comes back from a copy."""
        self.records = records
        self.epoch = ids.LogEpoch(self.epoch + 1)

    async def newest(self, topic):
        self.calls.append("newest")
        return self._batch(self.records[-1:])

    async def position(self, topic, last_key):
        self.calls.append("position")
        now_s = asyncio.get_running_loop().time()
        return interfaces.Position(
            ids.Offset(len(self.records)), now_s, self.epoch
        )

    async def read(self, topic, start, wait_s):
        self.calls.append("read")
        end_s = asyncio.get_running_loop().time() + wait_s
        if start > len(self.records):
            return None
        while len(self.records) <= start:
            if asyncio.get_running_loop().time() >= end_s:
                break
            await asyncio.sleep(0.005)
        return self._batch(self.records[start:])


def make_follower(
    log,
    topic="versions",
    revision_of=lambda record: topic_tables.NO_REVISION,
    fed_delay_s=0.0,
):
    """Returns a follower of a topic that does nothing with its records."""
    return topic_followers.TopicFollower(
        log,
        topic,
        topic_followers.CONFIGURATION_WAIT_S,
        lambda record: None,
        lambda gone: None,
        metrics.Metrics(traffic_counters.ThreadSafeControlTraffic()),
        revision_of,
        fed_delay_s,
    )
