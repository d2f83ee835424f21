"""Publication of a bundle, and its fate in the log."""

import enum
import time
from typing import NamedTuple
import uuid

from buckthorn_core import acceptance
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import meshes
from buckthorn_core import ports
from buckthorn_core import records

READ_LIMIT = 256
MAX_TRIES = 8
RETRY_S = 0.5


class Fate(enum.Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    LOST_RACE = "lost_race"
    REFUSED = "refused"


class Result(NamedTuple):
    """Fate of a publication, and the version accepted after it."""

    fate: Fate
    version: meshes.VersionId
    detail: str = ""


class Publisher:
    """Publishes, and follows the log as the daemons do."""

    def __init__(
        self, log: ports.LogService, publish_key: bytes, peer_key: bytes
    ):
        self._log = log
        self._publish_key = publish_key
        self.acceptor = acceptance.Acceptor(publish_key, peer_key)
        self._verdicts: dict[ids.Offset, acceptance.Outcome] = {}
        self._mine: dict[ids.PublicationId, ids.Offset] = {}

    def catch_up(self) -> meshes.VersionId:
        """Reads the log to its end and returns the accepted version.

        Raises:
            errors.LogError: The log can't be read now.
        """
        while True:
            batch = self._log.read(
                records.CONFIG_STREAM, self.acceptor.next_offset, READ_LIMIT
            )
            self.acceptor.note_first(batch.first)
            for record in batch.records:
                self._apply(record)
            if self.acceptor.next_offset >= batch.end:
                return self.acceptor.version

    def _apply(self, found: ports.LogRecord) -> None:
        outcome = self.acceptor.apply_bytes(found.offset, found.data)
        try:
            record = records.decode(found.data)
        except errors.LogError:
            return
        if isinstance(record, records.Publication):
            self._verdicts[found.offset] = outcome
            self._mine.setdefault(record.id, found.offset)

    def publish(
        self, bundle: meshes.Bundle, based_on: meshes.VersionId, author: str
    ) -> Result:
        """Publishes a bundle and waits for its fate.

        The append is repeated only after the log has been read to its end
        without a trace of the publication; a repetition that crosses a late
        first append is ignored by all readers.

        Raises:
            errors.LogError: The log did not take the publication.
        """
        record = records.sign(
            records.Publication(
                id=ids.PublicationId(uuid.uuid4().hex),
                based_on=based_on,
                author=author,
                time_ms=time.time_ns() // 1_000_000,
                bundle=meshes.encode(bundle),
            ),
            self._publish_key,
        )
        assert isinstance(record, records.Publication)
        data = records.encode(record)
        for attempt in range(MAX_TRIES):
            try:
                self._log.append(records.CONFIG_STREAM, data)
            except errors.LogError as exc:
                if exc.code is errors.Code.RECORD_TOO_LARGE:
                    raise
            try:
                self.catch_up()
                if record.id in self._mine:
                    return self._result(record.id)
            except errors.LogError:
                if attempt == MAX_TRIES - 1:
                    raise
            time.sleep(RETRY_S * (attempt + 1))
        raise errors.LogError(
            errors.Code.LOG_UNAVAILABLE, "the log did not take the publication"
        )

    def _result(self, publication: ids.PublicationId) -> Result:
        outcome = self._verdicts[self._mine[publication]]
        if outcome.verdict is acceptance.Verdict.ACCEPTED:
            return Result(Fate.ACCEPTED, outcome.version)
        if outcome.verdict is acceptance.Verdict.STALE:
            return Result(Fate.LOST_RACE, self.acceptor.version)
        return Result(
            Fate.REFUSED,
            self.acceptor.version,
            f"{outcome.verdict.value}: {outcome.detail}",
        )
