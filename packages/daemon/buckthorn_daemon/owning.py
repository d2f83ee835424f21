"""The partitions of operation keys that this daemon owns.

Connects their state machines to the log and to messages of other daemons.
"""

from concurrent import futures
import random
import threading
import time

import loguru

from buckthorn_core import checkpoint_search
from buckthorn_core import claims
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import partition_owners
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_daemon import state

WORKERS = 4
BUSY_TICK_S = 0.005
IDLE_TICK_S = 0.5
# Idle time after which an owner is stopped to free its memory: if its partition
# has moved to another daemon, and otherwise. A new owner replays the stream.
MOVED_KEEP_S = 60.0
IDLE_KEEP_S = 1_200.0

_logger = loguru.logger.bind(module=__name__)


class Owners:
    """Answers claims of the partitions that this daemon owns.

    Message handlers only access memory; a separate thread pool reads and
    writes the log.
    """

    def __init__(self, shared: state.State, log: ports.LogService):
        self._shared = shared
        self._log = log
        self._lock = threading.Lock()
        self._owners: dict[int, partition_owners.PartitionOwner] = {}
        self._members: list[ids.DaemonId] = []
        self._owner_by_partition: dict[int, ids.DaemonId | None] = {}
        self._wake = threading.Event()
        self._stop = threading.Event()
        self._pool = futures.ThreadPoolExecutor(WORKERS, "owner")
        self._thread = threading.Thread(
            target=self._loop, name="owners", daemon=True
        )

    def start(self) -> None:
        """Starts to read and write the log for the owners."""
        self._thread.start()

    def close(self) -> None:
        """Stops without waiting for pending requests to the log."""
        self._stop.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout=1.0)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def locate(self, partition: int) -> entries.Member | None:
        """Returns a partition's owner; None outside the log's region."""
        shared = self._shared
        if shared.cfg.region != shared.cfg.log_region:
            return None
        with shared.lock:
            members = shared.membership.role_candidates()
            # role_candidates() returns a new list after each change.
            if members is not self._members:
                self._members = members
                self._owner_by_partition.clear()
            if partition not in self._owner_by_partition:
                self._owner_by_partition[partition] = claims.owner_of(
                    partition, members
                )
            owner = self._owner_by_partition[partition]
            return None if owner is None else shared.membership.member(owner)

    def claim(
        self, claim: claims.Claim, region: ids.RegionName
    ) -> claims.Answer:
        """Answers a claim, or redirects it to the partition's owner.

        Args:
            claim: The claim.
            region: Region of the daemon that claims the key.

        Raises:
            errors.PeerError: This daemon does not know the owner.
        """
        partition = claims.partition_of(claim.key)
        other_address = self._other_owner_address(partition, region)
        if other_address is not None:
            return claims.Answer(claims.Verdict.MOVED, address=other_address)
        with self._lock:
            answer = self._owner(partition).claim(
                claim, time.monotonic(), time.time_ns() // 1_000_000
            )
        self._wake.set()
        return answer

    def record_finals(
        self, finals: list[claims.Final], region: ids.RegionName
    ) -> messages.CompleteReply:
        """Records final outcomes of one partition.

        Args:
            finals: The outcomes; those of other partitions than the first one's
                are ignored.
            region: Region of the daemon that sent them.

        Returns:
            The tokens of recorded outcomes, or the address of the owner.

        Raises:
            errors.PeerError: This daemon does not know the owner.
        """
        if not finals:
            return messages.CompleteReply([])
        partition = claims.partition_of(finals[0].key)
        other_address = self._other_owner_address(partition, region)
        if other_address is not None:
            return messages.CompleteReply([], other_address)
        partition_finals = [
            f for f in finals if claims.partition_of(f.key) == partition
        ]
        with self._lock:
            tokens = self._owner(partition).record_finals(
                partition_finals, time.monotonic()
            )
        self._wake.set()
        return messages.CompleteReply(tokens)

    def on_claim(
        self, message: messages.Claim, envelope: messages.Envelope
    ) -> messages.ClaimReply:
        """Handles a claim of another daemon."""
        return messages.ClaimReply(self.claim(message.claim, envelope.region))

    def on_complete(
        self, message: messages.Complete, envelope: messages.Envelope
    ) -> messages.CompleteReply:
        """Handles final outcomes from another daemon."""
        return self.record_finals(message.finals, envelope.region)

    def _other_owner_address(
        self, partition: int, region: ids.RegionName
    ) -> ids.Address | None:
        """Returns the address of an owner; None if it is this daemon.

        Args:
            partition: The partition.
            region: Region of the daemon that is to use the address.

        Raises:
            errors.PeerError: This daemon does not know the owner.
        """
        member = self.locate(partition)
        if member is None:
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, "the owner is not known here"
            )
        if member.id == self._shared.cfg.daemon_id:
            return None
        if region == member.region:
            return member.peer_address
        return member.remote_peer_address

    def _owner(self, partition: int) -> partition_owners.PartitionOwner:
        owner = self._owners.get(partition)
        if owner is None:
            cfg = self._shared.cfg
            owner = self._owners[partition] = partition_owners.PartitionOwner(
                partition,
                cfg.daemon_id,
                cfg.peer_key.encode(),
                int(cfg.log_retention_s * 1000),
                random.Random(),
            )
            _logger.info("owner_started", partition=partition)
        return owner

    def _loop(self) -> None:
        while not self._stop.is_set():
            try:
                busy = self._dispatch()
            except Exception:
                _logger.exception("owners_crashed")
                busy = False
            self._wake.wait(BUSY_TICK_S if busy else IDLE_TICK_S)
            if not busy:
                self._wake.clear()
            elif self._wake.is_set():
                # Claims that arrive while a batch is waiting need no extra
                # iteration.
                self._wake.clear()
                self._stop.wait(BUSY_TICK_S)

    def _dispatch(self) -> bool:
        """Starts the steps that are due.

        Returns:
            Whether an owner has work left.
        """
        now_s = time.monotonic()
        now_ms = time.time_ns() // 1_000_000
        busy = False
        with self._lock:
            for partition, owner in list(self._owners.items()):
                step = owner.next_step(now_s, now_ms)
                if step is not None:
                    self._pool.submit(self._run_steps, owner, step)
                elif self._can_stop(owner, now_s):
                    del self._owners[partition]
                    _logger.info("owner_stopped", partition=partition)
                busy = busy or owner.has_work
        return busy

    def _can_stop(
        self, owner: partition_owners.PartitionOwner, now_s: float
    ) -> bool:
        idle_s = owner.idle_s(now_s)
        if idle_s < MOVED_KEEP_S or owner.has_work:
            return False
        member = self.locate(owner.partition)
        moved = member is None or member.id != self._shared.cfg.daemon_id
        return moved or idle_s > IDLE_KEEP_S

    def _run_steps(
        self,
        owner: partition_owners.PartitionOwner,
        step: partition_owners.ReadStep | partition_owners.AppendStep | None,
    ) -> None:
        """Runs a step and those that are due immediately after it."""
        while step is not None and not self._stop.is_set():
            self._run_step(owner, step)
            with self._lock:
                step = owner.next_step(
                    time.monotonic(), time.time_ns() // 1_000_000
                )
        self._wake.set()

    def _run_step(
        self,
        owner: partition_owners.PartitionOwner,
        step: partition_owners.ReadStep | partition_owners.AppendStep,
    ) -> None:
        try:
            if isinstance(step, partition_owners.AppendStep):
                self._append(owner, step.batch)
            else:
                self._read(owner, step)
        except Exception:
            _logger.exception("owner_step_crashed")
            with self._lock:
                owner.on_read_failed(time.monotonic())

    def _append(
        self, owner: partition_owners.PartitionOwner, batch: claims.ClaimBatch
    ) -> None:
        count = self._shared.metrics.count
        stream = claims.stream_of(owner.partition)
        try:
            offset = self._log.append(stream, records.encode(batch))
        except errors.LogError:
            count("buckthorn_operation_appends", result="failed")
            with self._lock:
                owner.on_append_failed()
            return
        count("buckthorn_operation_appends", result="acknowledged")
        with self._lock:
            owner.on_appended(offset)

    def _read(
        self,
        owner: partition_owners.PartitionOwner,
        step: partition_owners.ReadStep,
    ) -> None:
        stream = claims.stream_of(owner.partition)
        try:
            batch = self._log.read(stream, step.start, step.limit)
        except errors.LogError:
            self._shared.metrics.count("buckthorn_operation_read_failures")
            with self._lock:
                owner.on_read_failed(time.monotonic())
            return
        with self._lock:
            owner.on_read(batch, time.monotonic())
            unknown_epoch = owner.unknown_epoch
        if unknown_epoch is not None:
            self._find_epoch_age(owner, unknown_epoch)

    def _find_epoch_age(
        self, owner: partition_owners.PartitionOwner, epoch: ids.LogEpoch
    ) -> None:
        """Looks for a checkpoint of the epoch that is older than any key."""
        before_ms = time.time_ns() // 1_000_000 - claims.MAX_KEY_LIFETIME_MS
        key = self._shared.cfg.peer_key.encode()
        try:
            is_old = checkpoint_search.has_older(
                self._log, key, epoch, before_ms
            )
        except errors.LogError:
            # The next read to the stream's end asks again.
            return
        with self._lock:
            owner.on_epoch_age(is_old)
