"""Accepts configuration versions from the records of the log.

Which versions are accepted depends only on the log's records, so all readers
of the log agree without talking to each other.
"""

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
# Largest number of publications kept until a checkpoint closes a gap.
MAX_PENDING = 64


class Verdict(enum.Enum):
    """Result of applying a record.

    Attributes:
        ACCEPTED: The publication is the new version.
        STALE: The publication was based on another version.
        DUPLICATE: The publication was accepted before.
        INVALID: The bundle fails validation, or differs from its digest.
        UNSIGNED: The authentication code is wrong.
        MALFORMED: The record can't be decoded.
        GAPPED: The publication is held until a checkpoint closes the gap.
        ADOPTED: The checkpoint had a newer version.
        COVERED: The checkpoint closed the gap.
        IGNORED: The record has no effect here.
    """

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
    """Result of applying one record.

    Attributes:
        verdict: What the record led to.
        version: The accepted version after the record.
        detail: Why the record was refused, or empty.
    """

    verdict: Verdict
    version: bundles.VersionId
    detail: str = ""


class _Pending(NamedTuple):
    """A publication held until a checkpoint closes the gap before it."""

    offset: ids.Offset
    record: records.Publication


class Position(NamedTuple):
    """The accepted version and the last offset that it accounts for.

    Attributes:
        version: The accepted version.
        raw: Its encoded bundle.
        as_of: Offset of the last record applied.
    """

    version: bundles.VersionId
    raw: bytes
    as_of: ids.Offset


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted publication.

    Attributes:
        version: The version that it became.
        publication: Its id.
        author: Name of the operator.
        time_ms: Time of publication, in ms since the epoch.
        offset: Offset of its record.
    """

    version: bundles.VersionId
    publication: ids.PublicationId
    author: str
    time_ms: int
    offset: ids.Offset


class Acceptor:
    """Applies the records of the configuration stream in log order.

    The state depends on the log alone: two acceptors that applied the same
    records, from the start of the stream or from a checkpoint that covers
    the rest, accept the same version.

    Attributes:
        version: The accepted version.
        raw: Its encoded bundle.
        next_offset: Offset of the next record to read.
        gapped: Whether records expired from the log before they were read.
        checkpoint_version: Version of the last valid checkpoint.
        checkpoint_count: Number of valid checkpoints.
        epoch: Epoch of the log that the records are from.
        recorded_epoch: Latest epoch that a checkpoint was written in.
        settled: What became of publications that were held or overruled.
        contradicted: Whether the last valid checkpoint has a lower version
            than the accepted one, as of the same or a later offset.
        position: Version and offset that belong together; replaced as a
            whole, so that other threads can read it without a lock.
        history: The latest accepted publications.
    """

    def __init__(
        self,
        publish_key: bytes,
        peer_key: bytes,
        epoch: ids.LogEpoch = ids.FIRST_EPOCH,
    ):
        self._publish_key = publish_key
        self._peer_key = peer_key
        self.version = bundles.NO_VERSION
        self.raw = b""
        self.next_offset = ids.Offset(0)
        self.gapped = False
        self.checkpoint_version = bundles.NO_VERSION
        self.checkpoint_count = 0
        self.epoch = epoch
        self.recorded_epoch = ids.FIRST_EPOCH
        self.settled: dict[ids.PublicationId, Outcome] = {}
        self.contradicted = False
        self.position = Position(bundles.NO_VERSION, b"", ids.Offset(-1))
        self._version_offset = ids.Offset(-1)
        self.history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self._gap_end = ids.Offset(0)
        self._pending: collections.deque[_Pending] = collections.deque()

    @property
    def is_settled(self) -> bool:
        """Whether a checkpoint says which version its epoch begins with.

        Until then the log may lack a version that is in force.
        """
        return self.recorded_epoch >= self.epoch

    def restarted(self, epoch: ids.LogEpoch) -> "Acceptor":
        """Returns an acceptor for the records of a log that was restored."""
        return Acceptor(self._publish_key, self._peer_key, epoch)

    def set_log_start(self, first: ids.Offset) -> None:
        """Detects expired records from the first offset of the log."""
        if first > self.next_offset:
            self.gapped = True
            self._gap_end = first
            self.next_offset = first
            self._update_position()

    def apply_encoded(self, offset: ids.Offset, data: bytes) -> Outcome:
        """Decodes and applies a record; a malformed one has no effect."""
        try:
            record = records.decode(data)
        except errors.LogError as exc:
            self._advance(offset)
            self._update_position()
            return Outcome(Verdict.MALFORMED, self.version, str(exc))
        return self.apply(offset, record)

    def apply(self, offset: ids.Offset, record: records.Record) -> Outcome:
        """Applies a record. Records below `next_offset` are ignored."""
        if offset < self.next_offset:
            return Outcome(Verdict.IGNORED, self.version, "already applied")
        self._advance(offset)
        outcome = self._apply_next(offset, record)
        self._update_position()
        return outcome

    def _apply_next(
        self, offset: ids.Offset, record: records.Record
    ) -> Outcome:
        if isinstance(record, records.Publication):
            if self.gapped or record.epoch > self.recorded_epoch:
                return self._hold(offset, record)
            return self._apply_publication(offset, record)
        if isinstance(record, records.Checkpoint):
            return self._apply_checkpoint(record)
        return Outcome(Verdict.IGNORED, self.version)

    def _update_position(self) -> None:
        self.position = Position(
            self.version, self.raw, ids.Offset(self.next_offset - 1)
        )

    def _advance(self, offset: ids.Offset) -> None:
        self.next_offset = ids.Offset(max(self.next_offset, offset + 1))

    def _hold(self, offset: ids.Offset, record: records.Publication) -> Outcome:
        self._pending.append(_Pending(offset, record))
        if len(self._pending) > MAX_PENDING:
            # The dropped record is part of the gap: the checkpoint that
            # closes it must cover this record too.
            dropped = self._pending.popleft()
            self.gapped = True
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
            findings = validation.validate(bundles.decode(record.bundle))
        except msgspec.DecodeError as exc:
            return Outcome(Verdict.INVALID, self.version, str(exc))
        if findings:
            return Outcome(Verdict.INVALID, self.version, str(findings[0]))
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
        # An epoch may begin without a version.
        if record.version != bundles.NO_VERSION and (
            bundles.digest(record.bundle) != record.version.digest
        ):
            return Outcome(Verdict.INVALID, self.version, "digest differs")
        self.checkpoint_version = record.version
        self.checkpoint_count += 1
        self.contradicted = (
            record.version.number < self.version.number
            and record.as_of >= self._version_offset
        )
        begins_epoch = record.epoch > self.recorded_epoch
        if begins_epoch:
            self.recorded_epoch = record.epoch
            self._overrule(record.version)
        adopted = record.version.number > self.version.number or (
            begins_epoch and record.version.number == self.version.number
        )
        if adopted:
            self.version = record.version
            self.raw = record.bundle
            self._version_offset = record.as_of
        if self.gapped and record.as_of + 1 >= self._gap_end:
            self.gapped = False
            self._release(record.as_of)
            return Outcome(Verdict.COVERED, self.version)
        if begins_epoch and not self.gapped:
            self._release(ids.Offset(-1))
        verdict = Verdict.ADOPTED if adopted else Verdict.IGNORED
        return Outcome(verdict, self.version)

    def _overrule(self, version: bundles.VersionId) -> None:
        """Notes which publications a version that is in force overrules.

        They were appended to a restored log before the version that it had
        lost was written again.
        """
        for entry in self.history:
            if (
                entry.version.number == version.number
                and entry.version != version
            ):
                self.settled[entry.publication] = Outcome(
                    Verdict.STALE, version, "the log had lost a version"
                )

    def _release(self, as_of: ids.Offset) -> None:
        """Applies the publications that were held.

        Args:
            as_of: Offset up to which a checkpoint covers the records.
        """
        pending = self._pending
        self._pending = collections.deque()
        for item in pending:
            if item.record.epoch > self.recorded_epoch:
                self._pending.append(item)
            elif item.offset > as_of:
                outcome = self._apply_publication(item.offset, item.record)
                # An append that was repeated stays accepted.
                if outcome.verdict is not Verdict.DUPLICATE:
                    self.settled[item.record.id] = outcome


def make_checkpoint(
    version: bundles.VersionId,
    raw: bytes,
    as_of: ids.Offset,
    key: bytes,
    epoch: ids.LogEpoch = ids.FIRST_EPOCH,
) -> records.Checkpoint:
    """Returns a signed checkpoint of a version.

    Args:
        version: The accepted version.
        raw: Its encoded bundle.
        as_of: Last offset that the version accounts for.
        key: The peer key.
        epoch: Epoch of the log.
    """
    record = records.Checkpoint(
        version=version, as_of=as_of, bundle=raw, epoch=epoch
    )
    signed = records.sign(record, key)
    assert isinstance(signed, records.Checkpoint)
    return signed
