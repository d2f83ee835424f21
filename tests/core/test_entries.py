"""Entries of the replicated table."""

import pytest

from buckthorn_core import entries
from buckthorn_core import gossip


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (
            entries.RegionContacts("near", 5, 1, ["10.0.0.1:1"]),
            entries.RegionContacts("near", 5, 1, ["10.0.0.2:1"]),
        ),
        (
            entries.ServiceSummary("near", "s", 5, 1, 3, 60, ["10.0.0.1:1"]),
            entries.ServiceSummary("near", "s", 5, 1, 2, 40, ["10.0.0.1:1"]),
        ),
    ],
)
def test_tables_agree_on_entries_of_two_writers(one, other):
    """Guards against regions that keep different contacts of a region."""
    tables = gossip.GossipTable(), gossip.GossipTable()
    for table, order in zip(tables, [(one, other), (other, one)], strict=True):
        table.merge(order)
    assert tables[0].entries == tables[1].entries
    assert tables[0].digest() == tables[1].digest()
