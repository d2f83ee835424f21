"""Decides which log reader appends a checkpoint, and when."""

from collections.abc import Collection
from collections.abc import Sequence
import enum

from buckthorn_core import ids

RECOVERY_WAIT_S = 30.0
# The log's region gets the first chance to recover; a reader of another
# region has fewer members to learn the highest version from.
REMOTE_RECOVERY_WAIT_S = 120.0
# A later reader writes only when the earlier ones have failed to. With a
# period under half of the retention this is still well within it.
RANK_DELAY_FRACTION = 0.25


class Reason(enum.Enum):
    """Why a checkpoint is due."""

    PERIOD = "period"
    CORRECTION = "correction"
    RECOVERY = "recovery"


def writer_rank(
    me: ids.DaemonId,
    readers: Sequence[ids.DaemonId],
    gapped: Collection[ids.DaemonId],
) -> int | None:
    """Returns a reader's place among those that may write; 0 writes first.

    Readers without a gap know the accepted version, so a gapped one may only
    write when all are gapped.

    Returns:
        None if the daemon may not write.
    """
    able = [reader for reader in readers if reader not in gapped]
    order = able or list(readers)
    return order.index(me) if me in order else None


class CheckpointSchedule:
    """When one reader appends checkpoints.

    The time of the last checkpoint is that of the record in the log, whoever
    wrote it, so that a reader that can't reach the log is stood in for.
    """

    def __init__(self, period_s: float):
        self._period_s = period_s
        self._last_s: float | None = None
        self._gapped_since_s: float | None = None

    def note_checkpoint(self, now_s: float, age_s: float) -> None:
        """Notes a checkpoint in the log, which was appended `age_s` ago."""
        written_s = now_s - max(0.0, age_s)
        self._last_s = max(written_s, self._last_s or written_s)

    def note_gapped(self, gapped: bool, now_s: float) -> None:
        """Notes whether the reader is gapped."""
        if not gapped:
            self._gapped_since_s = None
        elif self._gapped_since_s is None:
            self._gapped_since_s = now_s

    def note_appended(self, now_s: float) -> None:
        """Notes that a checkpoint was appended; a lost answer counts too."""
        self.note_checkpoint(now_s, 0.0)
        if self._gapped_since_s is not None:
            self._gapped_since_s = now_s

    def due(
        self, rank: int, at_end: bool, ahead: bool, remote: bool, now_s: float
    ) -> Reason | None:
        """Returns why a checkpoint is due now, or None.

        Args:
            rank: Place among the readers that may write.
            at_end: Whether the reader has read up to the log's end. Before,
                its state is not that of the log.
            ahead: Whether the version in force here is higher than the one
                that the log leads to.
            remote: Whether the reader is outside the log's region.
            now_s: Local time.
        """
        if not at_end:
            return None
        if self._gapped_since_s is not None:
            wait_s = REMOTE_RECOVERY_WAIT_S if remote else RECOVERY_WAIT_S
            waited_s = now_s - self._gapped_since_s
            return Reason.RECOVERY if waited_s >= wait_s * (rank + 1) else None
        if ahead:
            return Reason.CORRECTION
        if self._last_s is None:
            self._last_s = now_s - self._period_s
        period_s = self._period_s * (1 + RANK_DELAY_FRACTION * rank)
        return Reason.PERIOD if now_s - self._last_s >= period_s else None
