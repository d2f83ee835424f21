"""Writes this daemon's records in the topic of members."""

import asyncio
from collections.abc import Callable
import contextlib
import math
import random

import loguru
import msgspec

from buckthorn_core import directories
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import rewrites
from buckthorn_core import topic_tables
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import suspicions

# Pause after a failed write, in seconds.
RETRY_INTERVAL_S = 0.8

_logger = loguru.logger.bind(module=__name__)


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
        # What this process has written and must stay in the log, by key.
        self._written: dict[str, entries.CrashSuspicion] = {}
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
        self._written = {
            key: written
            for key, written in self._written.items()
            if not suspicions.is_expired(written)
        }
        key = suspicions.record_key(suspicion)
        self._written[key] = suspicion
        self._pending[key] = suspicions.encode(suspicion)
        self._changed.set()

    def is_own(self, key: str) -> bool:
        """Returns whether this process has recorded a suspicion."""
        return key in self._written

    def lost_changes(self) -> list[topic_tables.UnrecordedChange]:
        """Returns what this process has written and the log doesn't have.

        The log may have lost a record that nobody had read.
        """
        return [
            topic_tables.UnrecordedChange(
                key,
                suspicions.encode(suspicion),
                suspicions.revision_of(suspicion),
            )
            for key, suspicion in self._written.items()
            if key not in self._pending and not suspicions.is_expired(suspicion)
        ]

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


def _is_expired_suspicion(
    record: topic_tables.Record | topic_tables.UnrecordedChange,
) -> bool:
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
        # Place and revision of the last record that this process has written.
        self._written_place = topic_tables.Place(
            ids.FIRST_EPOCH, ids.Offset(-1)
        )
        self._revision = 0
        self._rng = random.Random()
        self._desired: directories.Registration | None = None
        self._withdrawn = False
        self._changed = asyncio.Event()
        # Set when there is something to write that was never written before.
        self._has_news = asyncio.Event()
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
            self._has_news.set()
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
        self._has_news.set()
        if self._directory.get(self._daemon) is not None:
            await self._log.append(self._topic, self._daemon, b"")

    async def _reconcile_loop(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not self._is_recorded():
                await self._spread_rewrite()
            self._has_news.clear()
            if self._is_recorded():
                continue
            try:
                await self._write()
            except errors.LogError as exc:
                _logger.warning("registration_failed", error=str(exc))
                await asyncio.sleep(RETRY_INTERVAL_S)
                self._changed.set()

    async def _spread_rewrite(self) -> None:
        """Waits before a record that the log has lost is written again."""
        unrecorded = self._table.unrecorded
        if self._daemon not in unrecorded:
            return
        delay_s = rewrites.own_delay_s(len(unrecorded), self._rng)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._has_news.wait()

    async def _write(self) -> None:
        """Writes the desired content, or removes a withdrawn record.

        Raises:
            errors.LogError: The log didn't respond.
        """
        desired = self._desired
        value = b""
        if desired is not None:
            known, _ = self._table.revision_of(self._daemon)
            self._revision = max(self._revision, known, 0) + 1
            value = directories.encode(
                msgspec.structs.replace(desired, revision=self._revision)
            )
        self._written_place = await self._log.append(
            self._topic, self._daemon, value
        )
        if desired == self._desired:
            self._written.set()
        _logger.info("registered", daemon=self._daemon, removed=desired is None)

    def _is_recorded(self) -> bool:
        """Returns whether the record has its desired content, as far as known.

        A write that was taken for lost may take effect seconds later and
        replace a newer record, another daemon may remove the record, and the
        log may lose it. So what is read behind the last write counts, and only
        that.
        """
        if self._desired is None and not self._withdrawn:
            return True
        if self._written.is_set() and self._table.place <= self._written_place:
            return True
        if self._log_has_desired():
            self._written.set()
            return True
        self._written.clear()
        return False

    def _log_has_desired(self) -> bool:
        record = self._table.get(self._daemon)
        if self._desired is None:
            return record is None or not record.value
        in_force = self._directory.get(self._daemon)
        if record is None or not self._desired.says_the_same(in_force):
            return False
        try:
            registration = directories.decode(record.value)
        except errors.ConfigError:
            return False
        return self._desired.says_the_same(registration)


class LostRecordWriter:
    """Writes records again that the log has lost when it was restored.

    Each daemon writes its own records. Those of daemons that have ended are
    written by the first daemon of a region, so that processes that start later
    find them.
    """

    def __init__(
        self,
        log: interfaces.KeyedLog,
        topic: str,
        daemon: ids.DaemonId,
        table: topic_tables.TopicTable,
        is_own: Callable[[str], bool],
        is_root: Callable[[], bool],
    ):
        """Creates the writer.

        Args:
            log: The log.
            topic: The topic of members.
            daemon: This daemon, whose registration the `Registrar` writes.
            table: The records of the topic.
            is_own: Returns whether this process has written a key's record.
            is_root: Returns whether this daemon is the first of its region.
        """
        self._log = log
        self._topic = topic
        self._daemon = daemon
        self._table = table
        self._is_own = is_own
        self._is_root = is_root
        self._rng = random.Random()
        self._due_s: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts writing."""
        self._task = asyncio.create_task(self._write_loop())

    def close(self) -> None:
        """Stops writing."""
        if self._task is not None:
            self._task.cancel()

    def check(self) -> None:
        """Looks for records that the log has lost."""
        self._changed.set()

    async def _write_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._update_due(loop.time())
            next_s = min(self._due_s.values(), default=math.inf)
            wait_s = next_s - loop.time()
            if wait_s > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        None if math.isinf(wait_s) else wait_s
                    ):
                        await self._changed.wait()
                self._changed.clear()
                continue
            key = min(self._due_s, key=lambda k: self._due_s[k])
            await self._write(self._table.unrecorded[key])

    def _update_due(self, now_s: float) -> None:
        """Adds and removes keys as the log has lost or regained them."""
        unrecorded = self._table.unrecorded
        for key, change in list(unrecorded.items()):
            if _is_expired_suspicion(change):
                self._table.forget_unrecorded(key)
            elif key != self._daemon and key not in self._due_s:
                self._due_s[key] = now_s + self._delay_s(key)
        for key in set(self._due_s) - set(unrecorded):
            del self._due_s[key]

    def _delay_s(self, key: str) -> float:
        lost = len(self._table.unrecorded)
        if self._is_own(key):
            return rewrites.own_delay_s(lost, self._rng)
        return rewrites.delay_for_others_s(lost, self._rng)

    async def _write(self, change: topic_tables.UnrecordedChange) -> None:
        """Writes a change again, and later once more if it isn't read."""
        key = change.key
        now_s = asyncio.get_running_loop().time()
        self._due_s[key] = now_s + rewrites.delay_for_others_s(
            len(self._table.unrecorded), self._rng
        )
        if not self._is_own(key) and not self._is_root():
            return
        try:
            await self._log.append(self._topic, key, change.value)
        except errors.LogError as exc:
            _logger.warning("lost_record_not_written", error=str(exc))
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        _logger.info("lost_record_written", key=key)
        await asyncio.sleep(1 / rewrites.WRITES_PER_S)
