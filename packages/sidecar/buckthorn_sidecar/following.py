"""Follows topics of the log: the configuration, and the members."""

import asyncio
from collections.abc import Callable
import random

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import ports

# A long read returns with the next record. It is renewed this often, in
# seconds, since each call is paid; a silent connection is found by probes.
WAIT_S = 8.0
# Pause after a failed read, doubled up to the maximum, in seconds. The
# maximum stays well below the time in which a version must be in force.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
# Records that come within this time are read with one call, in seconds.
GATHER_S = 0.5
# A version that another daemon has is read without waiting for the log's
# word after this time, in seconds: long enough for the usual way, short
# against the time in which it must be in force.
HURRY_AFTER_S = 1.0

_logger = loguru.logger.bind(module=__name__)


class TopicFollower:
    """Reads the newest records of a topic, and then what follows.

    Attributes:
        synced: Set once the newest records have been read.
    """

    def __init__(
        self,
        log: ports.KeyedLog,
        topic: str,
        on_record: Callable[[ports.Record], None],
        on_all: Callable[[set[str]], None],
        meter: metrics.Metrics,
    ):
        """Creates the follower.

        Args:
            log: The log.
            topic: The topic.
            on_record: Takes each record; it raises nothing.
            on_all: Takes all keys that exist, after a read of the newest.
            meter: Counts failures.
        """
        self._log = log
        self._topic = topic
        self._on_record = on_record
        self._on_all = on_all
        self._meter = meter
        self._next: ids.Offset | None = None
        self._task: asyncio.Task[None] | None = None
        self._read: asyncio.Task[ports.Batch | None] | None = None
        self._rng = random.Random()
        self._lost = False
        self._behind_s: float | None = None
        self.synced = asyncio.Event()

    def start(self) -> None:
        """Starts to follow."""
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        """Stops following."""
        if self._task is not None:
            self._task.cancel()

    def compare(self, behind: bool, now_s: float) -> None:
        """Reads again if this daemon stays behind others.

        Args:
            behind: Whether another daemon has seen more.
            now_s: Steady time in seconds.
        """
        if not behind or self._read is None:
            self._behind_s = None
        elif self._behind_s is None:
            self._behind_s = now_s
        elif now_s - self._behind_s >= HURRY_AFTER_S:
            _logger.warning("log_read_again", topic=self._topic)
            self._behind_s = None
            self._next = None
            self._read.cancel()

    async def _follow(self) -> None:
        pause_s = MIN_PAUSE_S
        while True:
            try:
                await self._step()
            except errors.LogError as exc:
                self._note_lost(exc)
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
                continue
            except Exception:
                # A fault in one record must not end the following of all.
                _logger.exception("follower_failed", topic=self._topic)
                self._next = None
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            pause_s = MIN_PAUSE_S
            if self._lost:
                self._lost = False
                _logger.info("log_regained", topic=self._topic)

    async def _step(self) -> None:
        start = self._next
        self._read = asyncio.create_task(self._fetch(start))
        try:
            await asyncio.wait((self._read,))
            if self._read.cancelled():
                return
            batch = self._read.result()
        finally:
            self._read.cancel()
            self._read = None
        if batch is None:
            _logger.warning("log_gap", topic=self._topic, start=start)
            self._next = None
            return
        for record in batch.records:
            self._on_record(record)
        self._next = batch.end
        if start is None:
            self._on_all({r.key for r in batch.records if r.value})
            self.synced.set()
        elif batch.records:
            await asyncio.sleep(GATHER_S)

    async def _fetch(self, start: ids.Offset | None) -> ports.Batch | None:
        if start is None:
            return await self._log.newest(self._topic)
        return await self._log.read(self._topic, start, WAIT_S)

    def _note_lost(self, exc: errors.LogError) -> None:
        self._meter.count("buckthorn_log_failures", topic=self._topic)
        if not self._lost:
            self._lost = True
            _logger.warning("log_lost", topic=self._topic, error=str(exc))


class VersionApplier:
    """Puts versions in force as they are read."""

    def __init__(
        self,
        key: str,
        decode: ports.VersionDecoder,
        holder: virtual_hosts.VersionHolder,
        on_version: Callable[[virtual_hosts.Version], None],
        meter: metrics.Metrics,
    ):
        self._key = key
        self._decode = decode
        self._holder = holder
        self._on_version = on_version
        self._meter = meter

    def on_record(self, record: ports.Record) -> None:
        """Takes a record of the topic of configurations."""
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


class MemberFollower:
    """Keeps the directory, and this daemon's own record in it."""

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
        self._keys: set[str] = set()
        self.on_own_record: Callable[[], None] = lambda: None

    def on_record(self, record: ports.Record) -> None:
        """Takes a record of the topic of members."""
        daemon = ids.DaemonId(record.key)
        if not record.value:
            self._remove(daemon)
            return
        try:
            found = directories.decode(record.value)
        except errors.ConfigError as exc:
            self._meter.count("buckthorn_bad_records", kind="member")
            _logger.warning("bad_member", key=record.key, error=str(exc))
            return
        if found.daemon != daemon:
            self._meter.count("buckthorn_bad_records", kind="member")
            _logger.warning("bad_member", key=record.key, error="other id")
            return
        self._keys.add(daemon)
        if self._directory.put(found):
            _logger.info(
                "member_added",
                daemon=daemon,
                service=found.service,
                site=found.site,
                offset=record.offset,
            )
        if daemon == self._daemon:
            self.on_own_record()

    def on_all(self, keys: set[str]) -> None:
        """Removes members whose records are gone."""
        for key in self._keys - keys:
            self._remove(ids.DaemonId(key))
        self.on_own_record()

    def _remove(self, daemon: ids.DaemonId) -> None:
        self._keys.discard(daemon)
        if self._directory.get(daemon) is not None:
            _logger.info("member_removed", daemon=daemon)
            self._directory.remove(daemon)
            self._on_removed(daemon)
        if daemon == self._daemon:
            self.on_own_record()


class Registrar:
    """Writes this daemon's own record when it differs from the topic's."""

    def __init__(
        self,
        log: ports.KeyedLog,
        topic: str,
        daemon: ids.DaemonId,
        directory: directories.Directory,
    ):
        self._log = log
        self._topic = topic
        self._daemon = daemon
        self._directory = directory
        self._wanted: directories.Registration | None = None
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to write."""
        self._task = asyncio.create_task(self._keep())

    def close(self) -> None:
        """Stops writing."""
        if self._task is not None:
            self._task.cancel()

    def want(self, registration: directories.Registration) -> None:
        """Sets what the record is to say."""
        if registration != self._wanted:
            self._wanted = registration
            self._written.clear()
            self._changed.set()

    async def flush(self, timeout_s: float) -> bool:
        """Waits until the record says what it is to say.

        Args:
            timeout_s: The longest wait, in seconds.

        Returns:
            Whether it does.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            return False
        return True

    def look(self) -> None:
        """Compares the record with what it is to say."""
        self._changed.set()

    async def withdraw(self) -> None:
        """Removes the record.

        Raises:
            errors.LogError: The log did not answer.
        """
        self._wanted = None
        if self._directory.get(self._daemon) is not None:
            await self._log.append(self._topic, self._daemon, b"")

    async def _keep(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            wanted = self._wanted
            current = self._directory.get(self._daemon)
            # After a write the topic still shows the older record for a while;
            # a record that is gone was removed by another daemon.
            stale = self._written.is_set() and current is not None
            if wanted is None or current == wanted or stale:
                if current == wanted:
                    self._written.set()
                continue
            try:
                await self._log.append(
                    self._topic, self._daemon, directories.encode(wanted)
                )
                if wanted == self._wanted:
                    self._written.set()
                _logger.info("registered", daemon=self._daemon)
            except errors.LogError as exc:
                _logger.warning("registration_failed", error=str(exc))
                await asyncio.sleep(MAX_PAUSE_S)
                self._changed.set()
