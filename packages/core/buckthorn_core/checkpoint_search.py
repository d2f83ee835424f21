"""Backward search for a checkpoint from the end of the log.

A reader that starts from a checkpoint needs to read only the records after it.
"""

from collections.abc import Callable

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records

# Number of records of a read; doubled from the first to the largest.
FIRST_WINDOW = 16
MAX_WINDOW = 128

Predicate = Callable[[records.Checkpoint], bool]


def find_newest(
    log: ports.LogService, key: bytes, matches: Predicate = lambda _: True
) -> records.Checkpoint | None:
    """Returns the newest authentic checkpoint that matches, or None.

    The log still holds every record after the offset that the returned
    checkpoint covers.

    Args:
        log: The log.
        key: The key that signs checkpoints.
        matches: Returns whether a checkpoint is acceptable.

    Raises:
        errors.LogError: The log can't be read at present.
    """
    stream = records.CONFIG_STREAM
    batch = log.read(stream, ids.Offset(0), 1)
    first, end = batch.first, batch.end
    window = FIRST_WINDOW
    while end > first:
        start = ids.Offset(max(first, end - window))
        for log_record in reversed(_read(log, start, end)):
            checkpoint = _decode(log_record, key)
            if (
                checkpoint is not None
                and checkpoint.as_of + 1 >= first
                and matches(checkpoint)
            ):
                return checkpoint
        end = start
        window = min(MAX_WINDOW, window * 2)
    return None


def has_older(
    log: ports.LogService, key: bytes, epoch: ids.LogEpoch, before_ms: int
) -> bool:
    """Returns whether a checkpoint of an epoch was written before a time.

    Args:
        log: The log.
        key: The key that signs checkpoints.
        epoch: The epoch of the log.
        before_ms: The time, in ms since the epoch of the clock.

    Raises:
        errors.LogError: The log can't be read at present.
    """
    start = ids.Offset(0)
    while True:
        batch = log.read(records.CONFIG_STREAM, start, MAX_WINDOW)
        for log_record in batch.records:
            if log_record.time_ms >= before_ms:
                return False
            checkpoint = _decode(log_record, key)
            if checkpoint is not None and checkpoint.epoch >= epoch:
                return True
        if not batch.records:
            return False
        start = ids.Offset(batch.records[-1].offset + 1)


def _read(
    log: ports.LogService, start: ids.Offset, end: ids.Offset
) -> list[ports.LogRecord]:
    """Reads a range, which the log may return in several batches."""
    log_records: list[ports.LogRecord] = []
    while start < end:
        batch = log.read(records.CONFIG_STREAM, start, end - start)
        if not batch.records:
            break
        log_records.extend(r for r in batch.records if r.offset < end)
        start = ids.Offset(batch.records[-1].offset + 1)
    return log_records


def _decode(
    log_record: ports.LogRecord, key: bytes
) -> records.Checkpoint | None:
    """Returns the checkpoint in a record if it is authentic and consistent."""
    try:
        record = records.decode(log_record.data)
    except errors.LogError:
        return None
    if not isinstance(record, records.Checkpoint):
        return None
    if (
        not records.has_valid_mac(record, key)
        or record.as_of >= log_record.offset
    ):
        return None
    if bundles.digest(record.bundle) != record.version.digest:
        return None
    return record
