"""Plans the next read of a topic of the log.

A daemon that reads the log must pass confirmations on to the daemons it feeds
within a fixed time, however long its last read took. It must also keep up with
a topic of large records: on a slow link, records that are outdated by the time
they arrive delay the newest one.

An example is a host with a link of 7 Mbit/s and versions of 270 KB that are
published every 0.3 s.
"""

from typing import NamedTuple

from buckthorn_core import feed_trees

# A topic with a record of at least this size, in bytes, isn't read record by
# record: an additional call costs less than a record that is already outdated.
LARGE_BYTES = 65_536


class ReadPlan(NamedTuple):
    """The next read of a topic.

    Attributes:
        skip_to_newest: Whether to ask for the topic's end first, and to read
            only the newest records if several are missing.
        wait_s: How long to wait for a record, in seconds.
    """

    skip_to_newest: bool
    wait_s: float


def plan_read(
    mode: feed_trees.ReadMode,
    wait_s: float,
    elapsed_s: float,
    has_large_record: bool,
    last_had_records: bool,
) -> ReadPlan:
    """Returns how to read a topic next.

    Args:
        mode: How this daemon reads the topic.
        wait_s: Longest time between two answers of the log, in seconds.
        elapsed_s: Time since the last answer of the log, in seconds.
        has_large_record: Whether the topic has a large record.
        last_had_records: Whether the last read returned records.
    """
    if mode is feed_trees.ReadMode.ONCE:
        left_s = 0.0
    else:
        left_s = max(0.0, wait_s - elapsed_s)
    # If the last read returned nothing, a long poll returns the next record
    # alone, and there is nothing to skip.
    skip_to_newest = has_large_record and (last_had_records or not left_s)
    return ReadPlan(skip_to_newest, 0.0 if skip_to_newest else left_s)
