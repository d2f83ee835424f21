"""Decides which log reader appends checkpoints, and when."""

from collections.abc import Collection
from collections.abc import Sequence
import enum

from buckthorn_core import ids

# How long a reader waits after a gap before it appends the highest version that
# it knows, in seconds.
RECOVERY_WAIT_S = 30.0
# The same outside the log's region. Such a reader has fewer members to learn
# the highest version from, so the log's region recovers first.
REMOTE_RECOVERY_WAIT_S = 120.0
# Additional delay by rank, as a fraction of the period, so that a reader writes
# only if those of lower rank failed to. With a period of less than half of the
# retention, a checkpoint is still written well within the retention.
RANK_DELAY_FRACTION = 0.25
# Delay by rank of the first checkpoint after the log was restored, in seconds.
EPOCH_RANK_DELAY_S = 1.0


class Reason(enum.Enum):
    """Why a checkpoint is due.

    Attributes:
        PERIOD: The period since the last one has passed.
        CORRECTION: The version in force is ahead of the log.
        RECOVERY: The reader has had a gap for too long.
        EPOCH: The log was restored, and must say which version is in force.
    """

    PERIOD = "period"
    CORRECTION = "correction"
    RECOVERY = "recovery"
    EPOCH = "epoch"


def writer_rank(
    daemon: ids.DaemonId,
    readers: Sequence[ids.DaemonId],
    gapped: Collection[ids.DaemonId],
) -> int | None:
    """Returns a reader's rank among those that may write; 0 writes first.

    Readers without a gap know the accepted version, so a gapped reader may
    write only if all of them are gapped.

    Args:
        daemon: The reader.
        readers: All readers in order of preference.
        gapped: The readers with a gap.

    Returns:
        The rank, or None if the daemon may not write.
    """
    without_gap = [reader for reader in readers if reader not in gapped]
    writers = without_gap or list(readers)
    return writers.index(daemon) if daemon in writers else None


class CheckpointSchedule:
    """When a reader appends checkpoints.

    The time of the last checkpoint is that of the record in the log, whichever
    reader wrote it. The next reader therefore takes over from one that can't
    reach the log.
    """

    def __init__(self, period_s: float):
        self._period_s = period_s
        self._last_checkpoint_s: float | None = None
        self._gapped_since_s: float | None = None
        self._unsettled_since_s: float | None = None

    def note_checkpoint(self, now_s: float, age_s: float) -> None:
        """Records a checkpoint in the log that was appended `age_s` ago."""
        written_s = now_s - max(0.0, age_s)
        self._last_checkpoint_s = max(
            written_s, self._last_checkpoint_s or written_s
        )

    def note_gapped(self, gapped: bool, now_s: float) -> None:
        """Records whether the reader is gapped."""
        if not gapped:
            self._gapped_since_s = None
        elif self._gapped_since_s is None:
            self._gapped_since_s = now_s

    def note_unsettled(self, unsettled: bool, now_s: float) -> None:
        """Records whether the log's epoch has no checkpoint yet."""
        if not unsettled:
            self._unsettled_since_s = None
        elif self._unsettled_since_s is None:
            self._unsettled_since_s = now_s

    def note_appended(self, now_s: float) -> None:
        """Records that a checkpoint was, or may have been, appended.

        The latter is the case if the answer of the log was lost.
        """
        self.note_checkpoint(now_s, 0.0)
        if self._gapped_since_s is not None:
            self._gapped_since_s = now_s

    def due(
        self,
        rank: int,
        at_end: bool,
        ahead: bool,
        remote: bool,
        now_s: float,
        ready: bool = True,
    ) -> Reason | None:
        """Returns why a checkpoint is due now, or None.

        Args:
            rank: Rank among the readers that may write.
            at_end: Whether the reader has read up to the log's end. Until then
                its state isn't that of the log.
            ahead: Whether the version in force here is higher than the one
                accepted by the log's records.
            remote: Whether the reader is outside the log's region.
            now_s: Steady time, in seconds.
            ready: Whether the version in force here is known to be the highest
                of the site.
        """
        if not at_end:
            return None
        if self._gapped_since_s is not None:
            wait_s = REMOTE_RECOVERY_WAIT_S if remote else RECOVERY_WAIT_S
            waited_s = now_s - self._gapped_since_s
            return Reason.RECOVERY if waited_s >= wait_s * (rank + 1) else None
        if self._unsettled_since_s is not None:
            return self._epoch_reason(rank, remote, now_s, ready)
        if ahead:
            return Reason.CORRECTION
        if self._last_checkpoint_s is None:
            self._last_checkpoint_s = now_s - self._period_s
        period_s = self._period_s * (1 + RANK_DELAY_FRACTION * rank)
        return (
            Reason.PERIOD
            if now_s - self._last_checkpoint_s >= period_s
            else None
        )

    def _epoch_reason(
        self, rank: int, remote: bool, now_s: float, ready: bool
    ) -> Reason | None:
        """Returns whether to write the first checkpoint of an epoch.

        A reader that doesn't know the version in force leaves it to others, or
        waits as after a gap.
        """
        assert self._unsettled_since_s is not None
        waited_s = now_s - self._unsettled_since_s
        if ready and not remote:
            wait_s = EPOCH_RANK_DELAY_S * rank
        else:
            wait_s = REMOTE_RECOVERY_WAIT_S if remote else RECOVERY_WAIT_S
            wait_s *= rank + 1
        return Reason.EPOCH if waited_s >= wait_s else None
