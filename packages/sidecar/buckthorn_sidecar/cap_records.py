"""Reads, confirms and writes the records of shards of rate limits."""

import asyncio
import math
import random

import loguru

from buckthorn_core import cap_holders
from buckthorn_core import cap_shards
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_sidecar import interfaces

# A daemon takes no shard in this time after its start, and while the members
# have changed within the second time, in seconds: when all daemons start, the
# first ones would take all shards. After the third time it does in any case.
START_S = 3.0
QUIET_S = 1.5
MAX_START_S = 8.0
# Pause after a failed call of the log, in seconds, before jitter.
RETRY_S = 0.8
# Longest time for which an answer about the topic's end is kept until this
# daemon has the records up to there, in seconds.
MAX_LAG_S = 10.0

_logger = loguru.logger.bind(module=__name__)


class ShardRecords:
    """The records of shards, as this daemon knows and writes them.

    Attributes:
        current: The newest known records by shard.
        stopping: Whether the daemon stops and takes no shard any more.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        log: interfaces.KeyedLog,
        topic: str,
        table: topic_tables.TopicTable,
        directory: directories.Directory,
        holders: cap_holders.Holders,
        rng: random.Random,
    ):
        """Creates the records.

        Args:
            daemon: This daemon.
            log: The log.
            topic: The topic of members.
            table: The records of that topic.
            directory: The members.
            holders: The shards that this daemon holds.
            rng: Source of random delays.
        """
        self._daemon = daemon
        self._log = log
        self._topic = topic
        self._table = table
        self._directory = directory
        self._holders = holders
        self._rng = rng
        self.current: dict[int, cap_shards.ShardRecord] = {}
        self.stopping = False
        # Offset and epoch of the known records, and since when.
        self._seen: dict[int, tuple[tuple[int, int], float]] = {}
        self._states: dict[int, cap_holders.ShardState | None] = {}
        self._reached_s: dict[ids.DaemonId, float] = {}
        self._started_s = -math.inf
        self._members_changed_s = -math.inf
        self._directory_revision = -1
        self._candidates: list[list[ids.DaemonId]] = []
        # Ends of the topic, with the time as of which the log stated them.
        self._ends: list[tuple[topic_tables.Place, float]] = []
        self._confirmed_s = -math.inf
        self._next_confirmation_s = -math.inf
        self._confirming: asyncio.Task[None] | None = None
        self._writes: dict[int, asyncio.Task[None]] = {}
        self._next_write_s: dict[int, float] = {}

    def start(self, now_s: float) -> None:
        """Starts at a steady time, in seconds."""
        self._started_s = now_s

    def close(self) -> None:
        """Cancels calls of the log."""
        for task in (self._confirming, *self._writes.values()):
            if task is not None:
                task.cancel()

    def reached(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Records that a daemon has replied."""
        self._reached_s[daemon] = now_s

    def to_probe(self) -> set[ids.DaemonId]:
        """Returns the holders whose shards this daemon may take over."""
        return {
            record.holder
            for shard, record in self.current.items()
            if record.holder != self._daemon and self._rank(shard) is not None
        }

    def check(self, now_s: float) -> None:
        """Applies the records and starts the calls that are due."""
        self._read(now_s)
        self._confirm(now_s)
        self._holders.update(
            self.current, self._table.epoch, self._confirmed_s, now_s
        )
        self._log_states(now_s)
        self._update_candidates(now_s)
        for shard in range(cap_shards.SHARDS):
            self._write_if_due(shard, now_s)

    def _read(self, now_s: float) -> None:
        self.current.clear()
        for shard in range(cap_shards.SHARDS):
            known = self._table.get(cap_shards.key_of(shard))
            place = (self._table.epoch, -1 if known is None else known.offset)
            if self._seen.get(shard, (None, 0.0))[0] != place:
                self._seen[shard] = (place, now_s)
            record = _decode(known)
            if record is not None:
                self.current[shard] = record

    def _confirm(self, now_s: float) -> None:
        """Finds as of when the known records have been the newest ones."""
        table = self._table
        waiting = []
        for end, as_of_s in self._ends:
            if table.epoch == end.epoch and table.place >= end:
                self._confirmed_s = max(self._confirmed_s, as_of_s)
            elif now_s - as_of_s < MAX_LAG_S:
                waiting.append((end, as_of_s))
        self._ends = waiting
        if (
            self._holders.shards
            and self._confirming is None
            and now_s >= self._next_confirmation_s
        ):
            self._confirming = asyncio.create_task(self._ask_for_end(now_s))

    async def _ask_for_end(self, now_s: float) -> None:
        """Asks where the topic ends.

        The time of the question counts. Confirmations by the feed are not
        used: their age grows unseen while a link delays them.
        """
        delay_s = cap_shards.CONFIRM_EVERY_S
        try:
            position = await self._log.position(
                self._topic, self._table.last_key
            )
            self._ends.append(
                (topic_tables.Place(position.epoch, position.end), now_s)
            )
        except errors.LogError:
            delay_s = self._retry_delay_s()
        finally:
            self._next_confirmation_s = now_s + delay_s
            self._confirming = None

    def _retry_delay_s(self) -> float:
        return RETRY_S * (0.5 + self._rng.random())

    def _log_states(self, now_s: float) -> None:
        for shard in range(cap_shards.SHARDS):
            state = self._holders.state(shard, now_s)
            if state is not self._states.get(shard):
                self._states[shard] = state
                _logger.info(
                    "cap_shard_state",
                    shard=shard,
                    state="lost" if state is None else state.value,
                )

    def _update_candidates(self, now_s: float) -> None:
        if self._directory.revision == self._directory_revision:
            return
        self._directory_revision = self._directory.revision
        self._members_changed_s = now_s
        homes = {
            r.daemon: cap_shards.Home(r.region, r.site)
            for r in self._directory.registrations
            if r.keeps_caps
        }
        self._candidates = [
            cap_shards.candidates(shard, homes)
            for shard in range(cap_shards.SHARDS)
        ]

    def _rank(self, shard: int) -> int | None:
        """Returns this daemon's place among a shard's candidates, if any."""
        if not self._candidates or self._daemon not in self._candidates[shard]:
            return None
        return self._candidates[shard].index(self._daemon)

    def _may_take(self, now_s: float) -> bool:
        """Returns whether the members are known well enough to take shards."""
        running_s = now_s - self._started_s
        if self.stopping or running_s < START_S:
            return False
        quiet = now_s - self._members_changed_s >= QUIET_S
        return quiet or running_s >= MAX_START_S

    def _write_if_due(self, shard: int, now_s: float) -> None:
        if (
            shard in self._writes
            or now_s < self._next_write_s.get(shard, -math.inf)
            or self._table.next_offset is None
        ):
            return
        epoch = self._table.epoch
        wanted = self._holders.wanted_record(shard, epoch, now_s)
        rank = self._rank(shard)
        if (
            wanted is None
            and rank is not None
            and shard not in self._holders.shards
            and self._may_take(now_s)
        ):
            wanted = cap_shards.takeover(
                self._daemon, rank, self._situation(shard, now_s)
            )
        if wanted is not None:
            task = asyncio.create_task(self._write(shard, wanted))
            self._writes[shard] = task
            task.add_done_callback(lambda _: self._writes.pop(shard))

    def _situation(self, shard: int, now_s: float) -> cap_shards.Situation:
        record = self.current.get(shard)
        # A takeover is considered from MAX_START_S on at the earliest for
        # holders that were never reached.
        since_s = max(self._seen[shard][1], self._started_s)
        reached_s = -math.inf
        if record is not None:
            reached_s = self._reached_s.get(record.holder, -math.inf)
        return cap_shards.Situation(
            record,
            self._table.epoch,
            now_s - max(since_s, self._started_s + START_S),
            now_s - max(since_s, reached_s),
        )

    async def _write(self, shard: int, record: cap_shards.ShardRecord) -> None:
        """Writes a record unless another one has been written meanwhile."""
        table, topic = self._table, self._topic
        key = cap_shards.key_of(shard)
        based_on, start = table.get(key), table.next_offset
        assert start is not None
        loop = asyncio.get_running_loop()
        delay_s = self._retry_delay_s()
        try:
            batch = await self._log.read(topic, start, 0.0)
            if (
                batch is None
                or batch.epoch != record.epoch
                or table.get(key) != based_on
                or any(r.key == key for r in batch.records)
            ):
                return
            await self._log.append(
                topic, key, cap_shards.encode(record), batch.end
            )
            _logger.info(
                "cap_record_written",
                shard=shard,
                active=record.active,
                previous=_holder_of(based_on),
            )
        except errors.LogError as exc:
            # Other records that daemons write at the same time are no fault.
            if exc.code is not errors.Code.LOG_MOVED_ON:
                _logger.warning(
                    "cap_record_not_written", shard=shard, error=str(exc)
                )
            else:
                delay_s *= 0.3
        finally:
            self._next_write_s[shard] = loop.time() + delay_s


def _decode(
    record: topic_tables.Record | None,
) -> cap_shards.ShardRecord | None:
    """Returns the content of a record; None if there is none to be read."""
    if record is None or not record.value:
        return None
    try:
        return cap_shards.decode(record.value)
    except errors.ConfigError:
        return None


def _holder_of(record: topic_tables.Record | None) -> str:
    content = _decode(record)
    return "" if content is None else content.holder
