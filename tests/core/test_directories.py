"""The directory of daemons."""

import pytest

from buckthorn_core import directories
from buckthorn_core import errors


def registration(daemon="d-1", service="stock"):
    return directories.Registration(daemon, "1:1", service, "s", "r", 18)


def test_records_survive_their_codec():
    """Guards against a field that is lost on the way."""
    one = registration()
    assert directories.decode(directories.encode(one)) == one


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff", b'{"daemon": 3}'])
def test_unreadable_records_are_typed_errors(value):
    """Guards against a record that ends the reader."""
    with pytest.raises(errors.ConfigError):
        directories.decode(value)


def test_a_daemon_that_changes_service_leaves_the_old_one():
    """Guards against requests for a service that moved away."""
    found = directories.Directory()
    assert found.put(registration())
    assert not found.put(registration())
    assert found.put(registration(service="orders"))
    assert list(found.for_service("stock")) == []
    assert [r.daemon for r in found.for_service("orders")] == ["d-1"]
    found.remove("d-1")
    assert len(found) == 0
