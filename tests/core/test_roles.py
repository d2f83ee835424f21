"""Roles follow the members."""

import pytest

from buckthorn_core import roles


@pytest.mark.parametrize("name", roles.names())
def test_kept_holders_follow_the_members(name):
    """Guards against a role that stays with a member that has gone."""
    kept = roles.Holders()
    members = [f"d{n}" for n in range(20)]
    while members:
        expected = roles.holders(name, members)
        assert kept.of(name, members) == kept.of(name, members) == expected
        # The caller's list changes in place.
        members.remove(expected[0])
