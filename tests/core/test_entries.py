"""Entries of the table that is replicated by gossip."""

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
def test_tables_converge_on_entries_of_two_writers(one, other):
    """Guards against tables that keep different entries of equal rank."""
    tables = gossip.GossipTable(), gossip.GossipTable()
    for table, order in zip(tables, [(one, other), (other, one)], strict=True):
        table.merge(order)
    assert tables[0].entries == tables[1].entries
    assert tables[0].digest() == tables[1].digest()
