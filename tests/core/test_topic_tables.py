"""The newest records of a topic, from reads that overlap and repeat."""

import hypothesis
from hypothesis import strategies

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
    assert table.next == len(log)
    newest = {r.key: r for r in log}
    assert {r.key: r for r in table.since(None)} == newest


def test_a_full_read_removes_what_is_gone():
    """Guards against a key that was dropped while nobody read."""
    table = topic_tables.TopicTable()
    table.put([record(0), record(1, "b")], 2)
    assert table.replace([record(1, "b"), record(4, "c")], 5) == {"a"}
    assert table.get("a") is None
    assert table.next == 5


def test_a_full_read_keeps_what_is_newer():
    """Guards against a page read before a record that is known already."""
    table = topic_tables.TopicTable()
    table.put([record(7)], 8)
    assert table.replace([], 5) == set()
    assert table.get("a").offset == 7
    assert table.next == 8


def test_what_is_sent_on_starts_at_an_offset():
    """Guards against records that a fed daemon misses."""
    table = topic_tables.TopicTable()
    table.put([record(0), record(1, "b"), record(2)], 3)
    assert [r.offset for r in table.since(2)] == [2]
    assert {r.offset for r in table.since(None)} == {1, 2}
