"""Acceptance of versions: a deterministic function of the log."""

import collections
import enum
from typing import NamedTuple

import msgspec

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_core import validation

HISTORY_LENGTH = 256
MAX_PENDING = 64


class Verdict(enum.Enum):
    """What became of a record."""

    ACCEPTED = "accepted"
    STALE = "stale"
    DUPLICATE = "duplicate"
    INVALID = "invalid"
    UNSIGNED = "unsigned"
    MALFORMED = "malformed"
    GAPPED = "gapped"
    ADOPTED = "adopted"
    COVERED = "covered"
    IGNORED = "ignored"


class Outcome(NamedTuple):
    """A verdict, and the version accepted after the record."""

    verdict: Verdict
    version: bundles.VersionId
    detail: str = ""


class _Pending(NamedTuple):
    offset: ids.Offset
    record: records.Publication


class Position(NamedTuple):
    """What a checkpoint says: the version, and the last offset it covers."""

    version: bundles.VersionId
    raw: bytes
    as_of: ids.Offset


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted publication."""

    version: bundles.VersionId
    publication: ids.PublicationId
    author: str
    time_ms: int
    offset: ids.Offset


class Acceptor:
    """Applies the records of the configuration stream in log order.

    The state comes from the log alone: two acceptors that applied the same
    records, from the stream's start or from a checkpoint that covers the
    rest, accept the same version.

    Attributes:
        version: The accepted version.
        raw: Its encoded bundle.
        next_offset: The offset to read next.
        gapped: Whether records were lost between what was applied and what
            the log still holds.
        checkpointed: Version of the last checkpoint read.
        checkpoints: Number of valid checkpoints read.
        contradicted: Whether the last checkpoint read denies the accepted
            version: it names a lower one as of a later offset.
        position: Version and offset that belong together; replaced as a
            whole, so that another thread can read it at any time.
        history: The latest accepted publications.
    """

    def __init__(self, publish_key: bytes, peer_key: bytes):
        self._publish_key = publish_key
        self._peer_key = peer_key
        self.version = bundles.NO_VERSION
        self.raw = b""
        self.next_offset = ids.Offset(0)
        self.gapped = False
        self.checkpoint_version = bundles.NO_VERSION
        self.checkpoint_count = 0
        self.contradicted = False
        self.position = Position(bundles.NO_VERSION, b"", ids.Offset(-1))
        self._version_offset = ids.Offset(-1)
        self.history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self._gap_end = ids.Offset(0)
        self._pending: collections.deque[_Pending] = collections.deque()

    def set_log_start(self, first: ids.Offset) -> None:
        """Takes note of the first offset that the log still holds."""
        if first > self.next_offset:
            self.gapped = True
            self._gap_end = first
            self.next_offset = first
            self._note_position()

    def apply_encoded(self, offset: ids.Offset, data: bytes) -> Outcome:
        """Applies an encoded record; one that can't be read has no effect."""
        try:
            record = records.decode(data)
        except errors.LogError as exc:
            self._advance(offset)
            self._note_position()
            return Outcome(Verdict.MALFORMED, self.version, str(exc))
        return self.apply(offset, record)

    def apply(self, offset: ids.Offset, record: records.Record) -> Outcome:
        """Applies a record. Records below `next_offset` are ignored."""
        if offset < self.next_offset:
            return Outcome(Verdict.IGNORED, self.version, "already applied")
        self._advance(offset)
        outcome = self._apply_next(offset, record)
        self._note_position()
        return outcome

    def _apply_next(
        self, offset: ids.Offset, record: records.Record
    ) -> Outcome:
        if isinstance(record, records.Publication):
            if self.gapped:
                return self._hold_back(offset, record)
            return self._apply_publication(offset, record)
        if isinstance(record, records.Checkpoint):
            return self._apply_checkpoint(record)
        return Outcome(Verdict.IGNORED, self.version)

    def _note_position(self) -> None:
        self.position = Position(
            self.version, self.raw, ids.Offset(self.next_offset - 1)
        )

    def _advance(self, offset: ids.Offset) -> None:
        self.next_offset = ids.Offset(max(self.next_offset, offset + 1))

    def _hold_back(
        self, offset: ids.Offset, record: records.Publication
    ) -> Outcome:
        self._pending.append(_Pending(offset, record))
        if len(self._pending) > MAX_PENDING:
            # A checkpoint must now cover the dropped record too.
            dropped = self._pending.popleft()
            self._gap_end = ids.Offset(dropped.offset + 1)
        return Outcome(Verdict.GAPPED, self.version)

    def _apply_publication(
        self, offset: ids.Offset, record: records.Publication
    ) -> Outcome:
        if not records.has_valid_mac(record, self._publish_key):
            return Outcome(Verdict.UNSIGNED, self.version)
        if any(entry.publication == record.id for entry in self.history):
            return Outcome(Verdict.DUPLICATE, self.version)
        if record.based_on != self.version:
            return Outcome(Verdict.STALE, self.version)
        try:
            found = validation.validate(bundles.decode(record.bundle))
        except msgspec.DecodeError as exc:
            return Outcome(Verdict.INVALID, self.version, str(exc))
        if found:
            return Outcome(Verdict.INVALID, self.version, str(found[0]))
        self.version = bundles.VersionId(
            ids.VersionNumber(self.version.number + 1),
            bundles.digest(record.bundle),
        )
        self.raw = record.bundle
        self._version_offset = offset
        self.history.append(
            HistoryEntry(
                self.version, record.id, record.author, record.time_ms, offset
            )
        )
        return Outcome(Verdict.ACCEPTED, self.version)

    def _apply_checkpoint(self, record: records.Checkpoint) -> Outcome:
        if not records.has_valid_mac(record, self._peer_key):
            return Outcome(Verdict.UNSIGNED, self.version)
        if bundles.digest(record.bundle) != record.version.digest:
            return Outcome(Verdict.INVALID, self.version, "digest differs")
        self.checkpoint_version = record.version
        self.checkpoint_count += 1
        self.contradicted = (
            record.version.number < self.version.number
            and record.as_of >= self._version_offset
        )
        adopted = record.version.number > self.version.number
        if adopted:
            self.version = record.version
            self.raw = record.bundle
            self._version_offset = record.as_of
        if self.gapped and record.as_of + 1 >= self._gap_end:
            self._close_gap(record.as_of)
            return Outcome(Verdict.COVERED, self.version)
        verdict = Verdict.ADOPTED if adopted else Verdict.IGNORED
        return Outcome(verdict, self.version)

    def _close_gap(self, as_of: ids.Offset) -> None:
        self.gapped = False
        pending = self._pending
        self._pending = collections.deque()
        for held in pending:
            if held.offset > as_of:
                self._apply_publication(held.offset, held.record)


def make_checkpoint(
    version: bundles.VersionId, raw: bytes, as_of: ids.Offset, key: bytes
) -> records.Checkpoint:
    """Returns a signed checkpoint of a version."""
    record = records.Checkpoint(version=version, as_of=as_of, bundle=raw)
    signed = records.sign(record, key)
    assert isinstance(signed, records.Checkpoint)
    return signed
