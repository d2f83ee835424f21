"""Replicates the configuration and member topics of the log.

`recorders` writes this daemon's own records.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import math
import random

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import cap_shards
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
# How long a fed daemon that learns of a new epoch from the log leaves the
# members to its feed, in seconds. If all daemons of a large mesh read all
# members at once, the links between regions would be full for minutes.
FED_MEMBERS_DELAY_S = 5.0
# Pause after an internal error, in seconds.
RETRY_INTERVAL_S = 0.8
# Records that arrive within this time are read with one call, in seconds.
BATCH_WINDOW_S = 0.5

_logger = loguru.logger.bind(module=__name__)


RecordsCallback = Callable[
    ["TopicFollower", ids.Offset | None, topic_tables.Transition | None], None
]


class TopicFollower:
    """Keeps the newest record of each key, read from the log or a feed.

    Attributes:
        topic: The topic.
        table: The newest records.
        synced: Set once the newest records have been read.
        confirmed_s: When the log last confirmed that the table is complete, in
            seconds on the event loop's monotonic clock.
        on_records: Called after records were applied, with the offset before
            them; None after a snapshot. The last argument is set if the table
            has moved to another epoch.
        on_confirmed: Called after each successful read of the log.
        on_lost: Called when the log may have lost records that are in force.
    """

    def __init__(
        self,
        log: interfaces.KeyedLog,
        topic: str,
        wait_s: float,
        on_record: Callable[[topic_tables.Record], None],
        on_snapshot: Callable[[set[str]], None],
        meter: metrics.Metrics,
        revision_of: Callable[
            [topic_tables.Record], topic_tables.Revision
        ] = lambda record: topic_tables.NO_REVISION,
        fed_delay_s: float = 0.0,
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
            revision_of: Returns the revision of a record; must not raise.
            fed_delay_s: How long a new epoch of the log is left to the feed, if
                there is one, in seconds.
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
        self._fed_delay_s = fed_delay_s
        # When a read first showed an epoch that the table isn't in yet.
        self._new_epoch_s: float | None = None
        self._snapshot_has_gap = False
        self.table = topic_tables.TopicTable(revision_of)
        self.synced = asyncio.Event()
        self.confirmed_s = -math.inf
        self.on_records: RecordsCallback = lambda follower, start, transition: (
            None
        )
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None

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

    def expect_epoch(self, epoch: ids.LogEpoch) -> None:
        """Reads a snapshot if the log is known to be in a later epoch.

        A long poll at an offset of the old history would notice it late.
        """
        if (
            epoch > self.table.epoch
            and self._read_mode is feed_trees.ReadMode.ALWAYS
        ):
            self.reload()

    def apply(
        self,
        records: Sequence[topic_tables.Record],
        start: ids.Offset | None,
        end: ids.Offset,
        epoch: ids.LogEpoch = ids.FIRST_EPOCH,
        transition: topic_tables.Transition | None = None,
    ) -> bool:
        """Applies records from a start offset on, or a snapshot if it is None.

        Args:
            records: The records.
            start: Offset from which on they are all records.
            end: Offset of the next record.
            epoch: Epoch of the log that they are from.
            transition: Set if the records are those by which a table moves to
                that epoch.

        Returns:
            Whether the records follow the known ones without a gap.
        """
        if epoch < self.table.epoch:
            # From a daemon that doesn't know yet that the log was restored.
            return True
        if start is None:
            self._apply_snapshot(self.table.replace(records, end, epoch))
            return True
        if epoch > self.table.epoch:
            replacement = transition and self.table.apply_transition(
                transition, epoch
            )
            if replacement is None:
                return False
            self._apply_snapshot(replacement)
            return True
        previous_end = self.table.next_offset
        if previous_end is None or start > previous_end:
            return False
        for record in self.table.put(records, end):
            self._apply_record(record)
        if self.table.next_offset != previous_end:
            self.on_records(self, previous_end, None)
        return True

    def _apply_snapshot(self, replacement: topic_tables.Replacement) -> None:
        self._needs_snapshot = False
        transition = replacement.transition
        if transition is not None:
            _logger.warning(
                "log_restored",
                topic=self.topic,
                epoch=self.table.epoch,
                previous_end=transition.previous_end,
                end=transition.end,
                lost=len(transition.lost_keys),
                unrecorded=len(self.table.unrecorded),
            )
        self._new_epoch_s = None
        self._on_snapshot(replacement.removed_keys)
        self.synced.set()
        for record in replacement.records:
            self._apply_record(record)
        self.on_records(self, None, transition)
        if transition is not None:
            self.on_lost()

    def merge_unrecorded(
        self, changes: Sequence[topic_tables.UnrecordedChange]
    ) -> list[topic_tables.UnrecordedChange]:
        """Applies changes that the log has lost; returns the new ones."""
        in_force = self.table.merge_unrecorded(changes)
        for change in in_force:
            self._apply_record(
                topic_tables.Record(change.key, change.value, ids.Offset(-1))
            )
        if in_force:
            self.on_lost()
        return in_force

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
        if batch is None:
            return self._handle_gap(start)
        self._snapshot_has_gap = False
        if batch.epoch < self.table.epoch:
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE,
                f"an answer of the earlier epoch {batch.epoch}",
            )
        if start is not None and batch.epoch > self.table.epoch:
            return self._handle_new_epoch()
        self.apply(batch.records, start, batch.end, batch.epoch)
        self.confirmed_s = batch.as_of_s
        self._had_records = bool(batch.records)
        self.on_confirmed()
        if start is not None and batch.records:
            # Lets records that arrive close together share the next read. The
            # time since the read counts towards the window.
            spent_s = asyncio.get_running_loop().time() - batch.as_of_s
            await asyncio.sleep(max(0.0, BATCH_WINDOW_S - spent_s))
        return True

    def _handle_gap(self, start: ids.Offset | None) -> bool:
        """Prepares a snapshot, as the log doesn't have an offset.

        Raises:
            errors.LogError: The log didn't have the end of a snapshot either.
        """
        _logger.warning("log_gap", topic=self.topic, start=start)
        self._needs_snapshot = True
        if self._snapshot_has_gap:
            self._snapshot_has_gap = False
            raise errors.LogError(
                errors.Code.LOG_UNAVAILABLE, f"no offset {start}"
            )
        self._snapshot_has_gap = True
        return False

    def _handle_new_epoch(self) -> bool:
        """Prepares a snapshot, unless the feed will bring the new epoch.

        Returns:
            Whether the read is completed.
        """
        now_s = asyncio.get_running_loop().time()
        if self._new_epoch_s is None:
            self._new_epoch_s = now_s
        if (
            self._read_mode is feed_trees.ReadMode.ONCE
            and now_s - self._new_epoch_s < self._fed_delay_s
        ):
            return True
        self._needs_snapshot = True
        return False

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
        if position.epoch != self.table.epoch or position.end <= start:
            return interfaces.Batch([], start, position.as_of_s, position.epoch)
        if position.end == start + 1:
            return await self._log.read(self.topic, start, 0.0)
        batch = await self._log.newest(self.topic)
        if batch.epoch != self.table.epoch:
            return batch
        changes = self.table.changes_from_snapshot(batch.records, batch.end)
        return interfaces.Batch(changes, batch.end, batch.as_of_s, batch.epoch)

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

    def revision_of(self, record: topic_tables.Record) -> topic_tables.Revision:
        """Returns the version number of a record as its revision."""
        version = self._decode_record(record)
        if version is None:
            return topic_tables.NO_REVISION
        return version.number, 0

    def on_record(self, record: topic_tables.Record) -> None:
        """Applies a record of the configuration topic."""
        version = self._decode_record(record)
        if version is None:
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
            workspaces=len(version.workspaces),
        )
        for finding in version.findings:
            self._meter.count("buckthorn_bad_records", kind="finding")
            _logger.warning(
                "configuration_finding", version=version.number, finding=finding
            )
        self._on_version(version)

    def _decode_record(
        self, record: topic_tables.Record
    ) -> virtual_hosts.Version | None:
        """Returns the version in a record; None if there is no valid one."""
        if record.key != self._key or not record.value:
            return None
        try:
            return self._decode(record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="configuration")
            _logger.warning(
                "bad_configuration", offset=record.offset, error=str(exc)
            )
            return None


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

    def revision_of(self, record: topic_tables.Record) -> topic_tables.Revision:
        """Returns the revision of a member or suspicion record.

        Records of shards have none: after the log was restored from a copy,
        only what it holds tells who may lend.
        """
        if record.key.startswith(cap_shards.KEY_PREFIX):
            return topic_tables.NO_REVISION
        try:
            if record.key.startswith(suspicions.KEY_PREFIX):
                return suspicions.revision_of(suspicions.decode(record.value))
            return directories.decode(record.value).revision, 0
        except errors.ConfigError:
            return topic_tables.NO_REVISION

    def on_record(self, record: topic_tables.Record) -> None:
        """Applies a record of the member topic."""
        if record.key.startswith(suspicions.KEY_PREFIX):
            self._apply_suspicion(record)
            return
        if record.key.startswith(cap_shards.KEY_PREFIX):
            # Read from the table by `cap_records`.
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
