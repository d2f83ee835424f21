"""When records that the log has lost are written again.

All daemons notice at about the same time that the log was restored from an
older copy, and what it has lost stays in force meanwhile. So the writes are
spread over a time that grows with their number.
"""

import random

# Writes of all daemons together. The log takes several hundred calls a second,
# and what daemons have to say for the first time comes besides.
WRITES_PER_S = 50.0
MIN_SPREAD_S = 0.5
# Time in which each daemon can write its own records again, in seconds. Records
# that are still missing then belong to daemons that have ended.
OWNERS_TIME_S = 4.0


def spread_s(lost: int) -> float:
    """Returns the time over which a number of writes is spread, in seconds."""
    return max(MIN_SPREAD_S, lost / WRITES_PER_S)


def own_delay_s(lost: int, rng: random.Random) -> float:
    """Returns when a daemon writes a record of its own again, in seconds.

    Args:
        lost: Number of records that the log has lost.
        rng: Source of the random delay.
    """
    return rng.random() * spread_s(lost)


def delay_for_others_s(lost: int, rng: random.Random) -> float:
    """Returns when a record of a daemon that may have ended is written again.

    Args:
        lost: Number of records that the log has lost.
        rng: Source of the random delay.
    """
    return OWNERS_TIME_S + spread_s(lost) * (1 + rng.random())
