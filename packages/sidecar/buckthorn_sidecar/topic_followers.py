"""Replicates the configuration and member topics of the log."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import math
import random

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import directories
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import feed_trees
from buckthorn_core import ids
from buckthorn_core import log_reads
from buckthorn_core import read_backoffs
from buckthorn_core import topic_tables
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import suspicions

# Timeout of a long-polling read that finds no new record, in seconds. An empty
# result on the configuration topic confirms that nothing has changed, which fed
# daemons wait for; a delay in member records does no harm.
CONFIGURATION_WAIT_S = 0.8
MEMBERS_WAIT_S = 5.0
# Pause after an internal error or a failed write, in seconds.
RETRY_INTERVAL_S = 0.8
# Records that arrive within this time are read with one call, in seconds.
BATCH_WINDOW_S = 0.5

_logger = loguru.logger.bind(module=__name__)


class TopicFollower:
    """Keeps the newest record of each key, read from the log or a feed.

    Attributes:
        topic: The topic.
        table: The newest records.
        epoch: Epoch of the log, as of the last read.
        synced: Set once the newest records have been read.
        confirmed_s: When the log last confirmed that the table is complete, in
            seconds on the event loop's monotonic clock.
        on_records: Called after records were applied, with the offset before
            them; None after a snapshot.
        on_confirmed: Called after each successful read of the log.
    """

    def __init__(
        self,
        log: interfaces.KeyedLog,
        topic: str,
        wait_s: float,
        on_record: Callable[[topic_tables.Record], None],
        on_snapshot: Callable[[set[str]], None],
        meter: metrics.Metrics,
    ):
        """Creates the follower.

        Args:
            log: The log.
            topic: The topic.
            wait_s: Timeout of a long-polling read, in seconds.
            on_record: Called with each new record; must not raise.
            on_snapshot: Called with the removed keys when a snapshot is
                applied.
            meter: Counts failures.
        """
        self._log = log
        self.topic = topic
        self._wait_s = wait_s
        self._on_record = on_record
        self._on_snapshot = on_snapshot
        self._meter = meter
        self._task: asyncio.Task[None] | None = None
        self._read: asyncio.Task[interfaces.Batch | None] | None = None
        self._backoff = read_backoffs.ReadBackoff(random.Random())
        self._log_lost = False
        self._needs_snapshot = True
        self._had_records = False
        self._read_mode = feed_trees.ReadMode.ALWAYS
        self._may_read = asyncio.Event()
        self._may_read.set()
        self._read_mode_changed = asyncio.Event()
        self.table = topic_tables.TopicTable()
        self.epoch = topic_tables.FIRST_EPOCH
        self.synced = asyncio.Event()
        self.confirmed_s = -math.inf
        self.on_records: Callable[[TopicFollower, ids.Offset | None], None] = (
            lambda follower, start: None
        )
        self.on_confirmed: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Starts following the topic."""
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        """Stops following the topic."""
        if self._task is not None:
            self._task.cancel()

    def set_read_mode(self, read_mode: feed_trees.ReadMode) -> None:
        """Sets whether and how the log is read."""
        if read_mode is self._read_mode:
            return
        self._read_mode = read_mode
        # The backoff after a failed read only applies to the previous mode.
        self._backoff.reset()
        self._read_mode_changed.set()
        if read_mode is feed_trees.ReadMode.NONE:
            self._may_read.clear()
            if self._read is not None:
                self._read.cancel()
        else:
            self._may_read.set()

    def reload(self) -> None:
        """Reads a new snapshot of the topic."""
        self._needs_snapshot = True
        if self._read is not None:
            self._read.cancel()

    def apply(
        self,
        records: Sequence[topic_tables.Record],
        start: ids.Offset | None,
        end: ids.Offset,
    ) -> bool:
        """Applies records from a start offset on, or a snapshot if it is None.

        Returns:
            Whether the records follow the known ones without a gap.
        """
        previous_end = self.table.next_offset
        if start is None:
            self._needs_snapshot = False
            removed_keys = self.table.replace(records, end)
            self._on_snapshot(removed_keys)
            applied: Sequence[topic_tables.Record] = records
            self.synced.set()
        elif previous_end is None or start > previous_end:
            return False
        else:
            applied = self.table.put(records, end)
        for record in applied:
            self._apply_record(record)
        if applied or start is None:
            self.on_records(self, None if start is None else previous_end)
        return True

    def _apply_record(self, record: topic_tables.Record) -> None:
        """Applies a record; one that can't be applied must not stop others."""
        try:
            self._on_record(record)
        except Exception:
            self._meter.count("buckthorn_bad_records", kind="unexpected")
            _logger.exception(
                "record_failed", topic=self.topic, offset=record.offset
            )

    async def _follow(self) -> None:
        while True:
            await self._may_read.wait()
            self._read_mode_changed.clear()
            try:
                completed = await self._read_once()
            except errors.LogError as exc:
                self._record_failure(exc)
                await self._pause(self._backoff.next_delay_s(self._read_mode))
                continue
            except Exception:
                # An unexpected answer of the log must not stop the follower.
                _logger.exception("follower_failed", topic=self.topic)
                self._needs_snapshot = True
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._backoff.reset()
            if completed and self._read_mode is feed_trees.ReadMode.ONCE:
                self.set_read_mode(feed_trees.ReadMode.NONE)
            if self._log_lost and completed:
                self._log_lost = False
                _logger.info("log_regained", topic=self.topic)

    async def _pause(self, seconds: float) -> None:
        """Waits for a time in seconds or until the read mode changes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._read_mode_changed.wait()

    async def _read_once(self) -> bool:
        """Reads once and returns whether the read was completed."""
        start = None if self._needs_snapshot else self.table.next_offset
        self._read = asyncio.create_task(self._fetch(start))
        try:
            await asyncio.wait((self._read,))
            if self._read.cancelled():
                return False
            batch = self._read.result()
        finally:
            self._read.cancel()
            self._read = None
        if batch is not None and batch.epoch > self.epoch:
            self._note_restored(batch)
        if batch is None:
            _logger.warning("log_gap", topic=self.topic, start=start)
            self._needs_snapshot = True
            return True
        self.apply(batch.records, start, batch.end)
        self.confirmed_s = batch.as_of_s
        self._had_records = bool(batch.records)
        self.on_confirmed()
        if start is not None and batch.records:
            # Lets records that arrive close together share the next read. The
            # time since the read counts towards the window.
            spent_s = asyncio.get_running_loop().time() - batch.as_of_s
            await asyncio.sleep(max(0.0, BATCH_WINDOW_S - spent_s))
        return True

    async def _fetch(self, start: ids.Offset | None) -> interfaces.Batch | None:
        if start is None:
            return await self._log.newest(self.topic)
        plan = log_reads.plan_read(
            self._read_mode,
            self._wait_s,
            asyncio.get_running_loop().time() - self.confirmed_s,
            self.table.has_large_record,
            self._had_records,
        )
        if plan.skip_to_newest:
            return await self._read_latest(start)
        return await self._log.read(self.topic, start, plan.wait_s)

    async def _read_latest(self, start: ids.Offset) -> interfaces.Batch | None:
        """Reads only the newest record of each key, not those in between."""
        position = await self._log.position(self.topic, self.table.last_key)
        if position.end <= start:
            return interfaces.Batch([], start, position.as_of_s)
        if position.end == start + 1:
            return await self._log.read(self.topic, start, 0.0)
        batch = await self._log.newest(self.topic)
        changes = self.table.changes_from_snapshot(batch.records, batch.end)
        return interfaces.Batch(changes, batch.end, batch.as_of_s)

    def _note_restored(self, batch: interfaces.Batch) -> None:
        _logger.warning(
            "log_restored",
            topic=self.topic,
            epoch=batch.epoch,
            next_offset=self.table.next_offset,
            end=batch.end,
        )
        self.epoch = batch.epoch

    def _record_failure(self, exc: errors.LogError) -> None:
        self._meter.count("buckthorn_log_failures", topic=self.topic)
        if not self._log_lost:
            self._log_lost = True
            _logger.warning("log_lost", topic=self.topic, error=str(exc))


class VersionApplier:
    """Applies configuration versions as their records are read."""

    def __init__(
        self,
        key: str,
        decode: interfaces.VersionDecoder,
        holder: virtual_hosts.VersionHolder,
        on_version: Callable[[virtual_hosts.Version], None],
        meter: metrics.Metrics,
    ):
        self._key = key
        self._decode = decode
        self._holder = holder
        self._on_version = on_version
        self._meter = meter

    def on_record(self, record: topic_tables.Record) -> None:
        """Applies a record of the configuration topic."""
        if record.key != self._key or not record.value:
            return
        try:
            version = self._decode(record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="configuration")
            _logger.warning(
                "bad_configuration", offset=record.offset, error=str(exc)
            )
            return
        if not self._holder.apply(version):
            _logger.info(
                "version_ignored",
                version=version.number,
                in_force=self._holder.number,
            )
            return
        _logger.info(
            "version_in_force",
            version=version.number,
            offset=record.offset,
            routes=len(version.routes),
        )
        self._on_version(version)


class MemberApplier:
    """Applies member records to the directory.

    Attributes:
        on_local_record: Called when this daemon's own record may have changed.
        on_suspicion: Called with each suspicion that the topic has, too.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        directory: directories.Directory,
        on_removed: Callable[[ids.DaemonId], None],
        meter: metrics.Metrics,
    ):
        self._daemon = daemon
        self._directory = directory
        self._on_removed = on_removed
        self._meter = meter
        self.on_local_record: Callable[[], None] = lambda: None
        self.on_suspicion: Callable[[entries.CrashSuspicion], None] = (
            lambda suspicion: None
        )

    def on_record(self, record: topic_tables.Record) -> None:
        """Applies a record of the member topic."""
        if record.key.startswith(suspicions.KEY_PREFIX):
            self._apply_suspicion(record)
            return
        daemon = ids.DaemonId(record.key)
        if not record.value:
            self._remove(daemon)
            return
        try:
            registration = directories.decode(record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="member")
            _logger.warning("bad_member", key=record.key, error=str(exc))
            return
        if registration.daemon != daemon:
            self._meter.count("buckthorn_bad_records", kind="member")
            _logger.warning("bad_member", key=record.key, error="other id")
            return
        if self._directory.put(registration):
            _logger.info(
                "member_added",
                daemon=daemon,
                service=registration.service,
                site=registration.site,
                offset=record.offset,
            )
        if daemon == self._daemon:
            self.on_local_record()

    def _apply_suspicion(self, record: topic_tables.Record) -> None:
        if not record.value:
            # Deleted after it has expired.
            return
        try:
            suspicion = suspicions.decode(record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="suspicion")
            _logger.warning("bad_suspicion", key=record.key, error=str(exc))
            return
        self.on_suspicion(suspicion)

    def on_snapshot(self, removed_keys: set[str]) -> None:
        """Removes the members that a snapshot no longer contains."""
        for key in removed_keys:
            self._remove(ids.DaemonId(key))
        self.on_local_record()

    def _remove(self, daemon: ids.DaemonId) -> None:
        if self._directory.get(daemon) is not None:
            _logger.info("member_removed", daemon=daemon)
            self._directory.remove(daemon)
            self._on_removed(daemon)
        if daemon == self._daemon:
            self.on_local_record()


class SuspicionRecorder:
    """Records suspicions in the member topic, for daemons that start later."""

    def __init__(
        self,
        log: interfaces.KeyedLog,
        topic: str,
        table: topic_tables.TopicTable,
    ):
        """Creates the recorder.

        Args:
            log: The log.
            topic: The topic of members.
            table: The records of that topic.
        """
        self._log = log
        self._topic = topic
        self._table = table
        self._pending: dict[str, bytes] = {}
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts writing."""
        self._task = asyncio.create_task(self._write_loop())

    def close(self) -> None:
        """Stops writing."""
        if self._task is not None:
            self._task.cancel()

    def record(self, suspicion: entries.CrashSuspicion) -> None:
        """Records a suspicion, and deletes expired ones."""
        for record in self._table.records_since(None):
            if _is_expired_suspicion(record):
                self._pending[record.key] = b""
        key = suspicions.record_key(suspicion)
        self._pending[key] = suspicions.encode(suspicion)
        self._changed.set()

    async def _write_loop(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._pending:
                key, value = next(iter(self._pending.items()))
                try:
                    await self._log.append(self._topic, key, value)
                except errors.LogError as exc:
                    _logger.warning("suspicion_not_written", error=str(exc))
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                if self._pending.get(key) == value:
                    del self._pending[key]


def _is_expired_suspicion(record: topic_tables.Record) -> bool:
    if not record.value or not record.key.startswith(suspicions.KEY_PREFIX):
        return False
    try:
        return suspicions.is_expired(suspicions.decode(record.value))
    except errors.ConfigError:
        return True


class Registrar:
    """Keeps this daemon's own record in the member topic up to date."""

    def __init__(
        self,
        log: interfaces.KeyedLog,
        topic: str,
        daemon: ids.DaemonId,
        directory: directories.Directory,
        table: topic_tables.TopicTable,
    ):
        """Creates the registrar.

        Args:
            log: The log.
            topic: The topic of members.
            daemon: This daemon.
            directory: The members.
            table: The records of the topic.
        """
        self._log = log
        self._topic = topic
        self._daemon = daemon
        self._directory = directory
        self._table = table
        # Offset of the last record that this process has written.
        self._written_offset = ids.Offset(-1)
        self._desired: directories.Registration | None = None
        self._withdrawn = False
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts keeping the record up to date."""
        self._task = asyncio.create_task(self._reconcile_loop())

    def close(self) -> None:
        """Stops keeping the record up to date."""
        if self._task is not None:
            self._task.cancel()

    def set_desired(self, registration: directories.Registration) -> None:
        """Sets the desired content of the record, unless it is withdrawn."""
        if registration != self._desired and not self._withdrawn:
            self._desired = registration
            self._written.clear()
            self._changed.set()

    async def flush(self, timeout_s: float) -> bool:
        """Waits until the record has its desired content.

        Args:
            timeout_s: The longest wait, in seconds.

        Returns:
            Whether it was written in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            return False
        return True

    def reconcile(self) -> None:
        """Triggers a comparison of the record with its desired content."""
        self._changed.set()

    async def withdraw(self) -> None:
        """Removes the record.

        Raises:
            errors.LogError: The log didn't respond.
        """
        self._withdrawn = True
        self._desired = None
        if self._directory.get(self._daemon) is not None:
            await self._log.append(self._topic, self._daemon, b"")

    async def _reconcile_loop(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            desired = self._desired
            if desired is None or self._is_recorded(desired):
                continue
            try:
                place = await self._log.append(
                    self._topic, self._daemon, directories.encode(desired)
                )
                self._written_offset = place.offset
                if desired == self._desired:
                    self._written.set()
                _logger.info("registered", daemon=self._daemon)
            except errors.LogError as exc:
                _logger.warning("registration_failed", error=str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)
                self._changed.set()

    def _is_recorded(self, desired: directories.Registration) -> bool:
        """Returns whether the record has a content, as far as is known.

        A write that was taken for lost may take effect seconds later and
        replace a newer record, and another daemon may remove the record. So
        what is read behind the last write counts, and only that.
        """
        if self._written.is_set() and (
            (self._table.next_offset or 0) <= self._written_offset
        ):
            return True
        if self._directory.get(self._daemon) != desired:
            self._written.clear()
            return False
        self._written.set()
        return True
