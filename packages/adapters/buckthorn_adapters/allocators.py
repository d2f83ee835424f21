"""Settings of the C library's memory allocator."""

import ctypes

# Parameter number of the threshold in the C library's mallopt().
_MMAP_THRESHOLD = -3
# Blocks from this size on are returned to the system when they are freed, in
# bytes. Reads from sockets allocate 262,144 bytes and should stay below it.
LARGE_BLOCK_BYTES = 524_288


def return_large_blocks() -> bool:
    """Has the memory of long bodies returned to the system at once.

    By default the threshold rises to the largest block that was freed, up to
    32 MB. Long bodies then fragment the heap: on a host of 300 MB, uploads of
    16 MB took 310 MB of memory although at most 99 MB were held.

    Returns:
        Whether the C library has the setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
