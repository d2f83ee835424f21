"""Follows the configuration stream as the daemons do."""

import collections

from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import checkpoint_search
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records

READ_LIMIT = 256
# Records before the start that are searched for a publication, to find out
# whether the publishing key is the right one.
KEY_CHECK_RECORDS = 64
# Bundles kept for differences; each is at most a log record.
KEPT_BUNDLES = 16


class Follower:
    """Reads the log from a checkpoint on and applies its records.

    Attributes:
        acceptor: The state that the records give.
    """

    def __init__(
        self, log: ports.LogService, publish_key: bytes, peer_key: bytes
    ):
        self._log = log
        self._keys = (publish_key, peer_key)
        self.acceptor = acceptance.Acceptor(publish_key, peer_key)
        self._started = False
        self._signed = 0
        self._foreign = 0
        self._bundles: collections.OrderedDict[
            bundles.VersionId, bundles.Bundle
        ] = collections.OrderedDict()
        self._verdicts: dict[ids.PublicationId, acceptance.Outcome] = {}

    def catch_up(
        self,
        wanted: checkpoint_search.Predicate = lambda _: True,
        stop_at: ids.VersionNumber | None = None,
    ) -> bundles.VersionId:
        """Reads the log to its end and returns the accepted version.

        Args:
            wanted: At the first call, whether a checkpoint may be the start.
            stop_at: Stop once this version is accepted.

        Raises:
            errors.LogError: The log can't be read now, has lost records that
                no checkpoint covers, or no publication in it is signed with
                the publishing key.
        """
        if not self._started:
            self._start(wanted)
        while True:
            acceptor = self.acceptor
            batch = self._log.read(
                records.CONFIG_STREAM, acceptor.next_offset, READ_LIMIT
            )
            if batch.epoch != acceptor.epoch:
                self.acceptor = acceptor.restarted(batch.epoch)
                self._verdicts.clear()
                continue
            acceptor.set_log_start(batch.first)
            for record in batch.records:
                self._apply(record)
                if stop_at is not None and acceptor.version.number >= stop_at:
                    return acceptor.version
            if acceptor.next_offset >= batch.end:
                self._check_gap()
                self._check_key()
                return acceptor.version

    def outcome(
        self, publication: ids.PublicationId
    ) -> acceptance.Outcome | None:
        """Returns what became of a publication, if it has been read."""
        verdicts = self._verdicts
        return self.acceptor.settled.get(publication, verdicts.get(publication))

    def bundle_of(self, number: ids.VersionNumber) -> bundles.Bundle | None:
        """Returns the bundle of an accepted version, None for version 0.

        Raises:
            errors.LogError: The log can't be read now or no longer holds the
                version.
        """
        if number == 0:
            return None
        for version, bundle in self._bundles.items():
            if version.number == number:
                return bundle
        return self._read_older(number)

    def version_of(self, number: ids.VersionNumber) -> bundles.VersionId:
        """Returns number and digest of an accepted version.

        Raises:
            errors.LogError: The log can't be read now or no longer holds the
                version.
        """
        if number == self.acceptor.version.number:
            return self.acceptor.version
        bundle = self.bundle_of(number)
        if bundle is None:
            return bundles.NO_VERSION
        return bundles.VersionId(number, bundles.digest(bundles.encode(bundle)))

    def _start(self, wanted: checkpoint_search.Predicate) -> None:
        checkpoint = checkpoint_search.find_newest(
            self._log, self._keys[1], wanted
        )
        if checkpoint is not None:
            # The acceptor takes the part before as a gap, which this
            # checkpoint then covers.
            self.acceptor.set_log_start(ids.Offset(checkpoint.as_of + 1))
        self._started = True

    def _check_gap(self) -> None:
        if self.acceptor.gapped:
            raise errors.LogError(
                errors.Code.LOG_GAP,
                "the log has dropped records that no checkpoint covers; wait"
                " a minute until a daemon has written one, and try again. If"
                " that does not help, peer_key in the settings is not that of"
                " the daemons",
            )
        if not self.acceptor.is_settled:
            raise errors.LogError(
                errors.Code.LOG_GAP,
                "the log was restored from a copy, and no daemon has written"
                " yet which version is in force; try again in some seconds",
            )

    def _check_key(self) -> None:
        """Finds a wrong key, with which only the own publication counts.

        A client with a wrong key would otherwise report its publication as
        accepted, which all daemons ignore.
        """
        if not self._signed and not self._foreign:
            self._look_before_start()
        if self._foreign and not self._signed:
            raise errors.LogError(
                errors.Code.BAD_SETTINGS,
                "none of the latest publications in the log is signed with"
                " your publish_key; copy the key from the daemons' settings",
            )

    def _look_before_start(self) -> None:
        start = max(0, self.acceptor.next_offset - KEY_CHECK_RECORDS)
        batch = self._log.read(
            records.CONFIG_STREAM, ids.Offset(start), KEY_CHECK_RECORDS
        )
        for found in batch.records:
            self._note_signature(found.data)

    def _note_signature(self, data: bytes) -> records.Publication | None:
        try:
            record = records.decode(data)
        except errors.LogError:
            return None
        if not isinstance(record, records.Publication):
            return None
        if records.has_valid_mac(record, self._keys[0]):
            self._signed += 1
        else:
            self._foreign += 1
        return record

    def _apply(self, found: ports.LogRecord) -> None:
        acceptor = self.acceptor
        before = acceptor.version
        outcome = acceptor.apply_encoded(found.offset, found.data)
        if acceptor.version != before:
            self._bundles[acceptor.version] = bundles.decode(acceptor.raw)
            if len(self._bundles) > KEPT_BUNDLES:
                self._bundles.popitem(last=False)
        record = self._note_signature(found.data)
        if record is not None:
            self._verdicts.setdefault(record.id, outcome)

    def _read_older(self, number: ids.VersionNumber) -> bundles.Bundle:
        older = Follower(self._log, *self._keys)
        version = older.catch_up(
            lambda checkpoint: checkpoint.version.number <= number, number
        )
        if version.number != number:
            raise errors.LogError(
                errors.Code.LOG_GAP,
                f"version {number} is not in the log (any more)",
            )
        return bundles.decode(older.acceptor.raw)
