"""Publication of a bundle, and its fate in the log."""

import enum
import time
from typing import NamedTuple
import uuid

from buckthorn_client import following
from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records

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
    version: bundles.VersionId
    detail: str = ""


class Publisher:
    """Publishes, and follows the log as the daemons do.

    Attributes:
        follower: What has been read of the log.
    """

    def __init__(
        self, log: ports.LogService, publish_key: bytes, peer_key: bytes
    ):
        self._log = log
        self._publish_key = publish_key
        self.follower = following.Follower(log, publish_key, peer_key)

    def catch_up(self) -> bundles.VersionId:
        """Reads the log to its end and returns the accepted version.

        Raises:
            errors.LogError: The log can't be read now.
        """
        return self.follower.catch_up()

    def publish(
        self, bundle: bundles.Bundle, based_on: bundles.VersionId, author: str
    ) -> Result:
        """Publishes a bundle and waits for its fate.

        The append is repeated only after the log has been read to its end
        without a trace of the publication; a repetition that crosses a late
        first append is ignored by all readers.

        Raises:
            errors.LogError: The log can't take the publication, or did not
                answer, so that its fate is unknown.
        """
        record = records.sign(
            records.Publication(
                id=ids.PublicationId(uuid.uuid4().hex),
                based_on=based_on,
                author=author,
                time_ms=time.time_ns() // 1_000_000,
                bundle=bundles.encode(bundle),
                epoch=self.follower.acceptor.epoch,
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
            result = self._look_up(record.id)
            if result is not None:
                return result
            if attempt + 1 < MAX_TRIES:
                time.sleep(RETRY_S * (attempt + 1))
        raise errors.LogError(
            errors.Code.OUTCOME_UNKNOWN,
            f"the fate of publication {record.id} is unknown: the log did not"
            " answer, but may have taken it. When the log answers again, look"
            " for the publication with `buckthornctl history` before you"
            " publish again",
        )

    def _look_up(self, publication: ids.PublicationId) -> Result | None:
        """Reads on; returns None if the log fails or lacks the record."""
        try:
            self.catch_up()
        except errors.LogError:
            return None
        outcome = self.follower.outcome(publication)
        if outcome is None:
            return None
        if outcome.verdict is acceptance.Verdict.ACCEPTED:
            return Result(Fate.ACCEPTED, outcome.version)
        if outcome.verdict is acceptance.Verdict.STALE:
            return Result(Fate.LOST_RACE, outcome.version)
        return Result(
            Fate.REFUSED,
            outcome.version,
            f"{outcome.verdict.value}: {outcome.detail}",
        )
