"""Search for a checkpoint, from the end of the log backwards.

Whoever starts from a checkpoint reads the log from there on and not from its
first record.
"""

from collections.abc import Callable

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import ports
from buckthorn_core import records

FIRST_WINDOW = 16
MAX_WINDOW = 128

Wanted = Callable[[records.Checkpoint], bool]


def find_newest(
    log: ports.LogService, key: bytes, wanted: Wanted = lambda _: True
) -> records.Checkpoint | None:
    """Returns the newest authentic checkpoint that fits, or None.

    The log still holds every record after the offset that the checkpoint
    covers.

    Args:
        log: The log.
        key: The key that signs checkpoints.
        wanted: Whether a checkpoint fits.

    Raises:
        errors.LogError: The log can't be read now.
    """
    stream = records.CONFIG_STREAM
    batch = log.read(stream, ids.Offset(0), 1)
    first, end = batch.first, batch.end
    window = FIRST_WINDOW
    while end > first:
        start = ids.Offset(max(first, end - window))
        for found in reversed(_read(log, start, end)):
            checkpoint = _checkpoint(found, key)
            if (
                checkpoint is not None
                and checkpoint.as_of + 1 >= first
                and wanted(checkpoint)
            ):
                return checkpoint
        end = start
        window = min(MAX_WINDOW, window * 2)
    return None


def _read(
    log: ports.LogService, start: ids.Offset, end: ids.Offset
) -> list[ports.LogRecord]:
    """Reads a range; the log may return it in several batches."""
    found: list[ports.LogRecord] = []
    while start < end:
        batch = log.read(records.CONFIG_STREAM, start, end - start)
        if not batch.records:
            break
        found.extend(r for r in batch.records if r.offset < end)
        start = ids.Offset(batch.records[-1].offset + 1)
    return found


def _checkpoint(
    found: ports.LogRecord, key: bytes
) -> records.Checkpoint | None:
    try:
        record = records.decode(found.data)
    except errors.LogError:
        return None
    if not isinstance(record, records.Checkpoint):
        return None
    if not records.has_valid_mac(record, key) or record.as_of >= found.offset:
        return None
    if bundles.digest(record.bundle) != record.version.digest:
        return None
    return record
