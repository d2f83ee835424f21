"""The directory of daemons."""

import pytest

from buckthorn_core import directories
from buckthorn_core import errors


def registration(daemon="d-1", service="stock"):
    return directories.Registration(
        daemon, "10.0.0.1:80", service, "s", "r", 18
    )


def test_encoded_registration_decodes_to_the_same():
    """Guards against a field that is lost in the encoding."""
    one = registration()
    assert directories.decode(directories.encode(one)) == one


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff", b'{"daemon": 3}'])
def test_malformed_registration_raises_config_error(value):
    """Guards against a malformed record that stops the reader."""
    with pytest.raises(errors.ConfigError):
        directories.decode(value)


def test_changed_service_replaces_the_old_one():
    """Guards against requests to a daemon that serves another service now."""
    found = directories.Directory()
    assert found.put(registration())
    assert not found.put(registration())
    assert found.put(registration(service="orders"))
    assert list(found.for_service("stock")) == []
    assert [r.daemon for r in found.for_service("orders")] == ["d-1"]
    found.remove("d-1")
    assert len(found) == 0
