"""Tables of the newest records, from overlapping and repeated reads."""

import hypothesis
from hypothesis import strategies

from buckthorn_core import log_reads
from buckthorn_core import topic_tables


def record(offset, key="a", value=b"v"):
    return topic_tables.Record(key, value, offset)


@hypothesis.given(
    keys=strategies.lists(strategies.sampled_from("abc"), max_size=12),
    pieces=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 12), strategies.integers(0, 12)
        ),
        max_size=8,
    ),
)
def test_overlapping_reads_end_in_the_same_table(keys, pieces):
    """Guards against an older record that replaces a newer one."""
    log = [record(n, key, b"%d" % n) for n, key in enumerate(keys)]
    table = topic_tables.TopicTable()
    for start, end in pieces:
        table.put(log[start:end], min(end, len(log)))
    table.put(log, len(log))
    assert table.next_offset == len(log)
    newest = {r.key: r for r in log}
    assert {r.key: r for r in table.records_since(None)} == newest


def test_replace_removes_deleted_keys():
    """Guards against a key that stays after a deletion that wasn't read."""
    table = topic_tables.TopicTable()
    table.put([record(0), record(1, "b")], 2)
    assert table.replace([record(1, "b"), record(4, "c")], 5) == {"a"}
    assert table.get("a") is None
    assert table.next_offset == 5


def test_replace_keeps_newer_records():
    """Guards against a snapshot older than a stored record."""
    table = topic_tables.TopicTable()
    table.put([record(7)], 8)
    assert table.replace([], 5) == set()
    assert table.get("a").offset == 7
    assert table.next_offset == 8


def test_records_since_an_offset():
    """Guards against records that are not forwarded to a fed daemon."""
    table = topic_tables.TopicTable()
    table.put([record(0), record(1, "b"), record(2)], 3)
    assert [r.offset for r in table.records_since(2)] == [2]
    assert {r.offset for r in table.records_since(None)} == {1, 2}


@hypothesis.given(
    keys=strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.booleans()
        ),
        max_size=12,
    ),
    known=strategies.integers(0, 12),
)
def test_snapshot_results_in_the_same_table_as_all_records(keys, known):
    """Guards against a deletion or a version lost among skipped records."""
    log = [
        record(n, key, b"%d" % n if kept else b"")
        for n, (key, kept) in enumerate(keys)
    ]
    known = min(known, len(log))
    read, skipped = topic_tables.TopicTable(), topic_tables.TopicTable()
    for table in (read, skipped):
        table.put(log[:known], known)
    read.put(log[known:], len(log))
    newest = {r.key: r for r in log}
    found = [r for r in newest.values() if r.value]
    skipped.put(skipped.changes_from_snapshot(found, len(log)), len(log))
    for key in "abc":
        old, new = read.get(key), skipped.get(key)
        assert (old.value if old else b"") == (new.value if new else b"")
    assert skipped.next_offset == read.next_offset


def test_topic_has_a_large_record_only_while_it_is_the_newest():
    """Guards against calls that skip records that are small again."""
    table = topic_tables.TopicTable()
    table.put([record(0, "a", b"v" * log_reads.LARGE_BYTES)], 1)
    table.put([record(1, "b")], 2)
    assert table.has_large_record
    assert table.last_key == "b"
    table.put([record(2, "a")], 3)
    assert not table.has_large_record
