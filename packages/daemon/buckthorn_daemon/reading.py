"""Jobs that read the log and append checkpoints and contacts to it."""

import time

import loguru

from buckthorn_core import acceptance
from buckthorn_core import checkpoint_schedules
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_core import roles
from buckthorn_daemon import state

MAX_POLL_S = 5.0
LOG_FALLBACK_S = 10.0
CONTACTS_PERIOD_S = 30.0
MAX_CONTACT_ADDRESSES = 16

_logger = loguru.logger.bind(module=__name__)


class LogReader:
    """Reads the configuration stream while this daemon holds the role.

    Attributes:
        log_region_contact_s: When this daemon last reached the region of the
            log, or was not the first relay; local monotonic seconds.
    """

    def __init__(self, shared: state.State, log: ports.LogService):
        self._shared = shared
        self._log = log
        self._failures = 0
        self._schedule = checkpoint_schedules.CheckpointSchedule(
            shared.cfg.checkpoint_s
        )
        self._at_end = False
        self._ahead_of_log = False
        self._contacts: records.Contacts | None = None
        self._contacts_s = state.NEVER_S
        self._contacts_offset = ids.Offset(-1)
        self.log_region_contact_s = time.monotonic()

    def is_reader(self) -> bool:
        """Returns whether this daemon should read the log now.

        Outside the log's region, the first relay reads the log if it hasn't
        reached a daemon of that region for LOG_FALLBACK_S.
        """
        shared = self._shared
        with shared.lock:
            if shared.cfg.region == shared.cfg.log_region:
                return shared.holds("log_reader")
            now_s = time.monotonic()
            if not shared.is_first_relay():
                # Gives a new first relay the full time to reach a parent
                # before it reads the log over the metered link.
                self.log_region_contact_s = now_s
                return False
            return now_s - self.log_region_contact_s > LOG_FALLBACK_S

    def poll_wait_s(self) -> float:
        """Returns the pause before the next read, with backoff on failure."""
        base_s = self._shared.cfg.log_poll_ms / 1000
        return min(MAX_POLL_S, base_s * 2 ** min(self._failures, 10))

    def poll(self) -> None:
        """Reads and applies new records.

        Raises:
            errors.LogError: The log can't be read now.
        """
        if not self.is_reader():
            self._at_end = False
            return
        acceptor = self._shared.acceptor
        held_number = self._shared.holder.version.number
        started_s = time.monotonic()
        try:
            batch = self._log.read(records.CONFIG_STREAM, acceptor.next_offset)
        except errors.LogError:
            self._failures += 1
            self._at_end = False
            raise
        self._failures = 0
        if batch.epoch != acceptor.epoch:
            self._enter_epoch(batch)
            return
        acceptor.set_log_start(batch.first)
        for record in batch.records:
            self._apply_record(record)
        self._at_end = at_end = acceptor.next_offset >= batch.end
        self._update_gapped()
        self._schedule.note_unsettled(
            at_end and not acceptor.is_settled, time.monotonic()
        )
        if not acceptor.is_settled:
            # The log may lack a version that is in force elsewhere.
            return
        if acceptor.version.number > self._shared.holder.version.number:
            self._shared.apply(acceptor.version, acceptor.raw)
        if at_end and not acceptor.gapped:
            # The held version was in force before the read, so every record
            # that could have led to it has been read by now.
            self._ahead_of_log = acceptor.contradicted or (
                held_number > acceptor.version.number
            )
            self._record_confirmation(started_s)

    def _enter_epoch(self, batch: ports.LogBatch) -> None:
        """Starts to read the log anew after it was restored.

        Raises:
            errors.LogError: The answer is older than one that came before.
        """
        acceptor = self._shared.acceptor
        self._at_end = False
        if batch.epoch < acceptor.epoch:
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE,
                f"an answer of the earlier epoch {batch.epoch}",
            )
        _logger.warning(
            "log_restored",
            topic=records.CONFIG_STREAM,
            epoch=batch.epoch,
            previous_end=acceptor.next_offset,
            end=batch.end,
        )
        self._shared.acceptor = acceptor.restarted(batch.epoch)

    def _record_confirmation(self, started_s: float) -> None:
        shared = self._shared
        if shared.acceptor.version.number >= shared.holder.version.number:
            shared.record_confirmation(started_s)

    def _apply_record(self, record: ports.LogRecord) -> None:
        shared = self._shared
        acceptor = shared.acceptor
        checkpoints_before = acceptor.checkpoint_count
        outcome = acceptor.apply_encoded(record.offset, record.data)
        if acceptor.checkpoint_count > checkpoints_before:
            age_s = time.time() - record.time_ms / 1000
            self._schedule.note_checkpoint(time.monotonic(), age_s)
        verdict = outcome.verdict
        shared.metrics.count("buckthorn_log_records", verdict=verdict.value)
        if verdict is acceptance.Verdict.ACCEPTED:
            _logger.info(
                "version_accepted",
                version=outcome.version.number,
                offset=record.offset,
            )

    def checkpoint(self) -> None:
        """Writes a checkpoint when one is due.

        Raises:
            errors.LogError: The append failed or its answer was lost. The
                checkpoint may be written again: duplicates are harmless.
        """
        shared = self._shared
        remote = shared.cfg.region != shared.cfg.log_region
        rank = self._writer_rank()
        if rank is None:
            return
        now_s = time.monotonic()
        reason = self._schedule.due(
            rank,
            self._at_end,
            self._ahead_of_log,
            remote,
            now_s,
            shared.holder.ready,
        )
        if reason is None:
            return
        if reason is not checkpoint_schedules.Reason.PERIOD:
            _logger.warning("checkpoint_out_of_turn", reason=reason.value)
        self._append_checkpoint()

    def _writer_rank(self) -> int | None:
        shared = self._shared
        with shared.lock:
            if not self.is_reader():
                return None
            readers = shared.holders("log_reader")
            members = [shared.membership.member(reader) for reader in readers]
            gapped = {m.id for m in members if m is not None and m.gapped}
            return checkpoint_schedules.writer_rank(
                shared.cfg.daemon_id, readers, gapped
            )

    def _append_checkpoint(self) -> None:
        shared = self._shared
        version, raw, as_of = shared.acceptor.position
        snapshot = shared.holder.current
        if snapshot is not None and (
            snapshot.version.number > version.number
            or (
                snapshot.version.number == version.number
                and not shared.acceptor.is_settled
            )
        ):
            version, raw = snapshot.version, snapshot.raw
        if version.number == 0 and shared.acceptor.is_settled:
            return
        record = acceptance.make_checkpoint(
            version,
            raw,
            as_of,
            shared.cfg.peer_key.encode(),
            shared.acceptor.epoch,
        )
        try:
            self._log.append(records.CONFIG_STREAM, records.encode(record))
        except errors.LogError:
            # The record may be in the log; the next reads to its end show
            # whether it is.
            self._at_end = False
            raise
        self._schedule.note_appended(time.monotonic())
        self._ahead_of_log = False
        shared.metrics.count("buckthorn_checkpoints")

    def _update_gapped(self) -> None:
        """Passes on to the schedule and the members whether there is a gap."""
        shared = self._shared
        acceptor = shared.acceptor
        self._schedule.note_gapped(acceptor.gapped, time.monotonic())
        with shared.lock:
            if shared.membership.local_member.gapped != acceptor.gapped:
                shared.membership.update_local(gapped=acceptor.gapped)

    def write_contacts(self) -> None:
        """Appends the addresses at which new daemons can join.

        Appends them when they have changed, and again after `checkpoint_s`,
        before the record expires.

        Raises:
            errors.LogError: The append failed.
        """
        shared = self._shared
        with shared.lock:
            if not shared.holds("contacts_writer"):
                return
            contacts = self._make_contacts()
        last_contacts = self._contacts
        age_s = time.monotonic() - self._contacts_s
        is_recent = age_s < shared.cfg.checkpoint_s
        if (
            is_recent
            and last_contacts is not None
            and set(last_contacts.local_addresses)
            == set(contacts.local_addresses)
            and self._has_contacts(last_contacts)
        ):
            return
        self._contacts_offset = self._log.append(
            records.CONTACTS_STREAM, records.encode(contacts)
        )
        self._contacts = contacts
        self._contacts_s = time.monotonic()

    def _has_contacts(self, contacts: records.Contacts) -> bool:
        """Returns whether the log still has contacts where they were written.

        A log that was restored from a copy may have lost them.

        Raises:
            errors.LogError: The log can't be read now.
        """
        batch = self._log.read(
            records.CONTACTS_STREAM, self._contacts_offset, 1
        )
        return [r.data for r in batch.records] == [records.encode(contacts)]

    def _make_contacts(self) -> records.Contacts:
        shared = self._shared
        members = shared.membership.role_candidates()
        chosen_ids = roles.ranked("contacts", members, MAX_CONTACT_ADDRESSES)
        chosen_members = [
            shared.membership.member(daemon) for daemon in chosen_ids
        ]
        contact_members = [
            m for m in chosen_members if isinstance(m, entries.Member)
        ]
        return records.Contacts(
            region=shared.cfg.region,
            time_ms=time.time_ns() // 1_000_000,
            local_addresses=[m.peer_address for m in contact_members],
            remote_addresses=[m.remote_peer_address for m in contact_members],
        )
