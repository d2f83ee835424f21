"""The newest record of each key of a topic, as far as it has been read."""

from collections.abc import Iterable
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import log_reads


class Record(NamedTuple):
    """A record of a topic with keys.

    Attributes:
        key: Its key.
        value: Its value; empty where the key was dropped.
        offset: Its place in the topic.
    """

    key: str
    value: bytes
    offset: ids.Offset


class TopicTable:
    """Records by key.

    Attributes:
        next_offset: The offset to read on from; None before the first read.
    """

    def __init__(self) -> None:
        self.next_offset: ids.Offset | None = None
        self._by_key: dict[str, Record] = {}

    @property
    def has_large_record(self) -> bool:
        """Whether a record is too large to be read in vain."""
        return any(
            len(record.value) >= log_reads.LARGE_BYTES
            for record in self._by_key.values()
        )

    @property
    def last_key(self) -> str:
        """The last key in order; empty if there is none."""
        return max(self._by_key, default="")

    def get(self, key: str) -> Record | None:
        """Returns a key's newest record, or None."""
        return self._by_key.get(key)

    def put(self, records: Iterable[Record], end: ids.Offset) -> list[Record]:
        """Takes records in order; returns those that are news."""
        news = []
        for record in records:
            old = self._by_key.get(record.key)
            if old is None or record.offset > old.offset:
                self._by_key[record.key] = record
                news.append(record)
        self.next_offset = max(end, self.next_offset or end)
        return news

    def changes_from_snapshot(
        self, newest: Iterable[Record], end: ids.Offset
    ) -> list[Record]:
        """Returns what has changed, given all newest records.

        Args:
            newest: The newest record of each key.
            end: The topic's end at that time.
        """
        found = list(newest)
        start = self.next_offset or ids.Offset(0)
        dropped = [
            Record(key, b"", ids.Offset(end - 1))
            for key in self._deleted_keys({r.key for r in found}, end)
        ]
        return [r for r in found if r.offset >= start] + dropped

    def _deleted_keys(self, found: set[str], end: ids.Offset) -> set[str]:
        return {
            key
            for key, old in self._by_key.items()
            if key not in found and old.value and old.offset < end
        }

    def replace(self, records: Iterable[Record], end: ids.Offset) -> set[str]:
        """Takes all newest records; returns the keys that are gone."""
        found = {r.key: r for r in records if r.value}
        gone = self._deleted_keys(set(found), end)
        for key in gone:
            del self._by_key[key]
        self.put(found.values(), end)
        return gone

    def records_since(self, start: ids.Offset | None) -> list[Record]:
        """Returns the newest records from an offset on; all from None."""
        return [
            record
            for record in self._by_key.values()
            if start is None or record.offset >= start
        ]
