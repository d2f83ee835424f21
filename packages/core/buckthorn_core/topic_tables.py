"""The newest record of each key of a topic, as far as it has been read."""

from collections.abc import Iterable
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import log_reads

FIRST_EPOCH = ids.LogEpoch(0)


class Place(NamedTuple):
    """Place of a record in a topic; a later epoch is a later place.

    Attributes:
        epoch: Epoch of the log, which rises each time the log is restored from
            a copy.
        offset: Offset in that epoch.
    """

    epoch: ids.LogEpoch
    offset: ids.Offset


class Record(NamedTuple):
    """A record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; empty if the key was deleted.
        offset: Its offset in the topic.
    """

    key: str
    value: bytes
    offset: ids.Offset


class TopicTable:
    """The newest known record of each key.

    Attributes:
        next_offset: The offset to continue reading from; None before the first
            read.
    """

    def __init__(self) -> None:
        self.next_offset: ids.Offset | None = None
        self._by_key: dict[str, Record] = {}

    @property
    def has_large_record(self) -> bool:
        """Whether a record is too large to be read if it is outdated."""
        return any(
            len(record.value) >= log_reads.LARGE_BYTES
            for record in self._by_key.values()
        )

    @property
    def last_key(self) -> str:
        """The last key in sort order; empty if there is none."""
        return max(self._by_key, default="")

    def get(self, key: str) -> Record | None:
        """Returns a key's newest record, or None."""
        return self._by_key.get(key)

    def put(self, records: Iterable[Record], end: ids.Offset) -> list[Record]:
        """Stores records and returns those that were newer than the stored.

        Args:
            records: Records in the order of their offsets.
            end: The offset after the last one that was read.
        """
        newer = []
        for record in records:
            old = self._by_key.get(record.key)
            if old is None or record.offset > old.offset:
                self._by_key[record.key] = record
                newer.append(record)
        self.next_offset = max(end, self.next_offset or end)
        return newer

    def changes_from_snapshot(
        self, newest: Iterable[Record], end: ids.Offset
    ) -> list[Record]:
        """Returns the records by which a snapshot differs from this table.

        Deleted keys get a record with an empty value.

        Args:
            newest: The newest record of each key.
            end: The topic's end when they were read.
        """
        found = list(newest)
        start = self.next_offset or ids.Offset(0)
        deleted = [
            Record(key, b"", ids.Offset(end - 1))
            for key in self._deleted_keys({r.key for r in found}, end)
        ]
        return [r for r in found if r.offset >= start] + deleted

    def _deleted_keys(self, existing: set[str], end: ids.Offset) -> set[str]:
        return {
            key
            for key, old in self._by_key.items()
            if key not in existing and old.value and old.offset < end
        }

    def replace(self, records: Iterable[Record], end: ids.Offset) -> set[str]:
        """Stores a snapshot of the topic; returns the deleted keys.

        Records that are newer than the snapshot are kept.

        Args:
            records: The newest record of each key.
            end: The topic's end when they were read.
        """
        found = {r.key: r for r in records if r.value}
        deleted = self._deleted_keys(set(found), end)
        for key in deleted:
            del self._by_key[key]
        self.put(found.values(), end)
        return deleted

    def records_since(self, start: ids.Offset | None) -> list[Record]:
        """Returns the records from an offset on; all of them if it is None."""
        return [
            record
            for record in self._by_key.values()
            if start is None or record.offset >= start
        ]
