"""The newest record of each key of a topic, as far as it has been read.

The log may be restored from a copy, which starts a new epoch: what was appended
after the copy was made is lost, and its offsets are given to other records. A
table moves to a new epoch as a whole, by a snapshot or by a `Transition`. What
the log has lost stays in force as an unrecorded change until the log has a
record of the key that isn't older. As offsets can't be compared across epochs,
the records' content tells which one is older: its revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import log_reads

# Orders the records of a key by their content; writers raise it.
Revision = tuple[int, int]
# Of a record that has no revision or can't be read.
NO_REVISION: Revision = (-1, 0)


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


class UnrecordedChange(NamedTuple):
    """A change of a key that the log has lost and that stays in force.

    Attributes:
        key: The key.
        value: Its value; empty if the key was deleted.
        revision: Revision of the value, or of the one that was deleted.
    """

    key: str
    value: bytes
    revision: Revision

    @property
    def rank(self) -> tuple[Revision, bool]:
        """Of two changes of a key, the one with the higher rank is newer."""
        return self.revision, not self.value


class Transition(NamedTuple):
    """How a table of the previous epoch becomes one of the next.

    Attributes:
        previous_epoch: The previous epoch.
        previous_end: The offset that the table of that epoch would have
            continued from.
        lost_keys: Keys of that table whose record the next epoch lacks.
        records: Records that the table of the previous epoch didn't have.
        end: The offset to continue from.
    """

    previous_epoch: ids.LogEpoch
    previous_end: ids.Offset
    lost_keys: list[str]
    records: list[Record]
    end: ids.Offset


class Replacement(NamedTuple):
    """Effect of a snapshot.

    Attributes:
        removed_keys: Keys that have no value any more.
        records: The snapshot's records that are in force; after a transition
            only those that the table didn't have.
        transition: Set if the table has moved to another epoch.
    """

    removed_keys: set[str]
    records: list[Record]
    transition: Transition | None


class TopicTable:
    """The newest known record of each key.

    Attributes:
        epoch: Epoch of the log that the records are from.
        next_offset: The offset to continue reading from; None before the first
            read.
    """

    def __init__(
        self, revision_of: Callable[[Record], Revision] = lambda r: NO_REVISION
    ) -> None:
        """Creates an empty table.

        Args:
            revision_of: Returns the revision of a record that has a value.
        """
        self._revision_of = revision_of
        self.epoch = ids.FIRST_EPOCH
        self.next_offset: ids.Offset | None = None
        self._by_key: dict[str, Record] = {}
        # Of keys without a value, the revision of the one that was deleted.
        self._deleted_revisions: dict[str, Revision] = {}
        self._unrecorded: dict[str, UnrecordedChange] = {}

    @property
    def place(self) -> Place:
        """Place of the next record."""
        return Place(self.epoch, self.next_offset or ids.Offset(0))

    @property
    def unrecorded(self) -> Mapping[str, UnrecordedChange]:
        """Changes by key that are in force though the log has lost them."""
        return self._unrecorded

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
        """Returns the newest record that the log has of a key, or None."""
        return self._by_key.get(key)

    def revision_of(self, key: str) -> Revision:
        """Returns the highest known revision of a key."""
        unrecorded = self._unrecorded.get(key)
        if unrecorded is not None:
            return unrecorded.revision
        record = self._by_key.get(key)
        if record is None:
            return NO_REVISION
        return self._change(record).revision

    def put(self, records: Iterable[Record], end: ids.Offset) -> list[Record]:
        """Stores records of this epoch; returns those that came into force.

        Args:
            records: Records in the order of their offsets.
            end: The offset after the last one that was read.
        """
        in_force = []
        for record in records:
            old = self._by_key.get(record.key)
            if old is not None and record.offset <= old.offset:
                continue
            if record.value:
                self._deleted_revisions.pop(record.key, None)
            elif old is not None:
                self._deleted_revisions[record.key] = self._change(old).revision
            self._by_key[record.key] = record
            if self._settle(record):
                in_force.append(record)
        self.next_offset = max(end, self.next_offset or end)
        return in_force

    def _settle(self, record: Record) -> bool:
        """Returns whether a record is in force; drops what it supersedes."""
        unrecorded = self._unrecorded.get(record.key)
        if unrecorded is None:
            return True
        if record.value and self._change(record).rank < unrecorded.rank:
            return False
        del self._unrecorded[record.key]
        return True

    def changes_from_snapshot(
        self, newest: Iterable[Record], end: ids.Offset
    ) -> list[Record]:
        """Returns the records by which a snapshot differs from this table.

        Deleted keys get a record with an empty value.

        Args:
            newest: The newest record of each key in this epoch.
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

    def replace(
        self, records: Iterable[Record], end: ids.Offset, epoch: ids.LogEpoch
    ) -> Replacement:
        """Stores a snapshot of the topic.

        Records of the same epoch that are newer than the snapshot are kept.

        Args:
            records: The newest record of each key.
            end: The topic's end when they were read.
            epoch: The epoch that they are from; not before that of the table.
        """
        records = list(records)
        found = {r.key: r for r in records if r.value}
        if epoch != self.epoch and self.next_offset is not None:
            deletions = [r for r in records if not r.value]
            return self._move(found, deletions, end, epoch)
        self.epoch = epoch
        deleted = self._deleted_keys(set(found), end)
        for key in deleted:
            self._deleted_revisions[key] = self.revision_of(key)
            del self._by_key[key]
            self._unrecorded.pop(key, None)
        self.put(found.values(), end)
        for record in found.values():
            self._settle(record)
        in_force = [r for r in found.values() if r.key not in self._unrecorded]
        return Replacement(deleted, in_force, None)

    def _move(
        self,
        found: dict[str, Record],
        deletions: Iterable[Record],
        end: ids.Offset,
        epoch: ids.LogEpoch,
    ) -> Replacement:
        """Replaces the records by those of another epoch.

        Args:
            found: The newest records that have a value, by key.
            deletions: Known deletions of that epoch.
            end: The topic's end.
            epoch: The epoch.
        """
        lost = [
            record
            for key, record in self._by_key.items()
            if record.value and found.get(key) != record
        ]
        transition = Transition(
            self.epoch,
            self.next_offset or ids.Offset(0),
            [r.key for r in lost],
            [r for r in found.values() if r != self._by_key.get(r.key)],
            end,
        )
        # The histories share their beginning. A record of it that is missing
        # was superseded or deleted while this table wasn't up to date.
        shared_end = max(
            (r.offset for r in found.values() if r == self._by_key.get(r.key)),
            default=-1,
        )
        known_keys = self._valued_keys()
        changes = {
            key: UnrecordedChange(key, b"", revision)
            for key, revision in self._deleted_revisions.items()
        }
        changes |= {
            r.key: self._change(r) for r in lost if r.offset > shared_end
        }
        changes |= self._unrecorded
        self._by_key, self.epoch, self.next_offset = found, epoch, end
        self._unrecorded = {
            key: change
            for key, change in changes.items()
            if self._stays(change)
        }
        for key in set(found) - set(self._unrecorded):
            self._deleted_revisions.pop(key, None)
        self.put(deletions, end)
        return Replacement(
            known_keys - self._valued_keys(),
            [r for r in transition.records if r.key not in self._unrecorded],
            transition,
        )

    def _valued_keys(self) -> set[str]:
        """Returns the keys that have a value in force."""
        valued = {key for key, record in self._by_key.items() if record.value}
        deleted = {k for k, c in self._unrecorded.items() if not c.value}
        return (valued | set(self._unrecorded)) - deleted

    def _stays(self, change: UnrecordedChange) -> bool:
        """Returns whether a change that the log lacks is in force."""
        record = self._by_key.get(change.key)
        if record is None:
            # There is no value that a deletion would have to hide.
            deleted = self._deleted_revisions.get(change.key, NO_REVISION)
            return bool(change.value) and change.revision > deleted
        return change.rank > self._change(record).rank

    def _change(self, record: Record) -> UnrecordedChange:
        revision = (
            self._revision_of(record)
            if record.value
            else self._deleted_revisions.get(record.key, NO_REVISION)
        )
        return UnrecordedChange(record.key, record.value, revision)

    def apply_transition(
        self, transition: Transition, epoch: ids.LogEpoch
    ) -> Replacement | None:
        """Moves to another epoch as another table did.

        Args:
            transition: How the other table got there.
            epoch: The next epoch.

        Returns:
            The effect; None if the other table didn't have the same records.
        """
        if (self.epoch, self.next_offset) != (
            transition.previous_epoch,
            transition.previous_end,
        ):
            return None
        found = dict(self._by_key)
        for key in transition.lost_keys:
            found.pop(key, None)
        found |= {r.key: r for r in transition.records}
        return self.replace(found.values(), transition.end, epoch)

    def merge_unrecorded(
        self, changes: Iterable[UnrecordedChange]
    ) -> list[UnrecordedChange]:
        """Takes over changes that the log has lost from another table.

        Returns:
            Those that came into force.
        """
        in_force = []
        for change in changes:
            known = self._unrecorded.get(change.key)
            if known is not None and known.rank >= change.rank:
                continue
            if self._stays(change):
                self._unrecorded[change.key] = change
                in_force.append(change)
        return in_force

    def forget_unrecorded(self, key: str) -> None:
        """Drops a change that the log has lost and that has no effect now."""
        self._unrecorded.pop(key, None)

    def records_since(self, start: ids.Offset | None) -> list[Record]:
        """Returns the records from an offset on; all of them if it is None."""
        return [
            record
            for record in self._by_key.values()
            if start is None or record.offset >= start
        ]
