"""Jobs of the roles that touch the log: reader, checkpoints, contacts."""

import time

import loguru

from buckthorn_core import acceptance
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_core import roles
from buckthorn_daemon import state

MAX_POLL_S = 5.0
FALLBACK_AFTER_S = 10.0
RECOVERY_WAIT_S = 30.0
CONTACTS_PERIOD_S = 30.0
MAX_CONTACTS = 16

_logger = loguru.logger.bind(module=__name__)


class LogReader:
    """Reads the configuration stream while this daemon holds the role."""

    def __init__(self, shared: state.State, log: ports.LogService):
        self._shared = shared
        self._log = log
        self._failures = 0
        self._checkpoint_due_s = 0.0
        self._gapped_since_s: float | None = None
        self._contacts: records.Contacts | None = None
        self.upstream_region_seen_s = time.monotonic()

    def is_reader(self) -> bool:
        """Returns whether this daemon should read the log now.

        Outside the log's region the first relay reads it when it has not
        reached the log's region for a while.
        """
        shared = self._shared
        with shared.lock:
            if shared.cfg.region == shared.cfg.log_region:
                return shared.holds("log_reader")
            cut_off_s = time.monotonic() - self.upstream_region_seen_s
            return shared.is_first_relay() and cut_off_s > FALLBACK_AFTER_S

    def poll_wait_s(self) -> float:
        """Returns the pause before the next read."""
        base_s = self._shared.cfg.log_poll_ms / 1000
        return min(MAX_POLL_S, base_s * 2 ** min(self._failures, 10))

    def poll(self) -> None:
        """Reads and applies new records.

        Raises:
            errors.LogError: The log can't be read now.
        """
        if not self.is_reader():
            return
        acceptor = self._shared.acceptor
        started_s = time.monotonic()
        try:
            batch = self._log.read(records.CONFIG_STREAM, acceptor.next_offset)
        except errors.LogError:
            self._failures += 1
            raise
        self._failures = 0
        acceptor.note_first(batch.first)
        for record in batch.records:
            self._apply(record)
        at_end = acceptor.next_offset >= batch.end
        if acceptor.version.number > self._shared.holder.version.number:
            self._shared.apply(acceptor.version, acceptor.raw)
        if at_end and not acceptor.gapped:
            self._confirm(started_s)

    def _confirm(self, started_s: float) -> None:
        shared = self._shared
        if shared.acceptor.version.number >= shared.holder.version.number:
            shared.confirm(started_s)

    def _apply(self, record: ports.LogRecord) -> None:
        shared = self._shared
        outcome = shared.acceptor.apply_bytes(record.offset, record.data)
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
            errors.LogError: The log did not take it, or its answer was lost;
                a second checkpoint does no harm.
        """
        shared = self._shared
        with shared.lock:
            if not shared.holds("checkpoint_writer") or not self.is_reader():
                return
        acceptor = shared.acceptor
        if acceptor.gapped:
            self._recover()
            return
        self._gapped_since_s = None
        if time.monotonic() >= self._checkpoint_due_s:
            self._append_checkpoint(ids.Offset(acceptor.next_offset - 1))

    def _append_checkpoint(self, as_of: ids.Offset) -> None:
        shared = self._shared
        held = shared.holder.current
        acceptor = shared.acceptor
        version, raw = acceptor.version, acceptor.raw
        if held is not None and held.version.number > version.number:
            version, raw = held.version, held.raw
        if version.number == 0:
            return
        record = acceptance.make_checkpoint(
            version, raw, as_of, shared.cfg.peer_key.encode()
        )
        self._log.append(records.CONFIG_STREAM, records.encode(record))
        period_s = shared.cfg.checkpoint_s
        self._checkpoint_due_s = time.monotonic() + period_s
        shared.metrics.count("buckthorn_checkpoints")

    def _recover(self) -> None:
        now_s = time.monotonic()
        if self._gapped_since_s is None:
            self._gapped_since_s = now_s
        if now_s - self._gapped_since_s < RECOVERY_WAIT_S:
            return
        _logger.warning("log_gap_recovery")
        self._append_checkpoint(
            ids.Offset(self._shared.acceptor.next_offset - 1)
        )

    def write_contacts(self) -> None:
        """Writes where new daemons can join, when that has changed.

        Raises:
            errors.LogError: The log did not take it.
        """
        shared = self._shared
        with shared.lock:
            if not shared.holds("contacts_writer"):
                return
            contacts = self._make_contacts()
        old = self._contacts
        if old is not None and set(old.local_addresses) == set(
            contacts.local_addresses
        ):
            return
        self._log.append(records.CONTACTS_STREAM, records.encode(contacts))
        self._contacts = contacts

    def _make_contacts(self) -> records.Contacts:
        shared = self._shared
        members = shared.membership.eligible()
        chosen = roles.ranked("contacts", members, MAX_CONTACTS)
        found = [shared.membership.member(daemon) for daemon in chosen]
        known = [m for m in found if isinstance(m, entries.Member)]
        return records.Contacts(
            region=shared.cfg.region,
            time_ms=time.time_ns() // 1_000_000,
            local_addresses=[m.peer_address for m in known],
            remote_addresses=[m.remote_peer_address for m in known],
        )
