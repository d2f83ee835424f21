"""Days on which the store comes back from a copy that is some seconds old."""

import pytest

from tests.platform import standins

NEW = standins.path_entry("new", "/new/")


def serves(host, path, version):
    """Returns whether a host answers a path under a version."""
    return (
        host.call("probe", path).status == 200
        and f"buckthorn_version {version}" in host.metrics()
    )


@pytest.fixture
def hosts(host, new_host, new_instance):
    """Two hosts of one region, one of which gets records from the other."""
    instance = new_instance(instance="i-2")
    second = new_host("h-2", instance)
    standins.wait_for(lambda: second.readiness() == 200)
    assert instance.heartbeat(second.ports["control"]) == 200
    standins.wait_for(lambda: second.call("warm-up").status == 200)
    return host, second


def put_version(store, number, *paths):
    store.put("keyed.op", "config", standins.configuration(number, *paths))


@pytest.mark.parametrize("rewritten", [0, 1, 2, 3])
def test_a_version_after_a_restoration_comes_into_force(
    store, hosts, rewritten
):
    """Guards against reading on from an offset of the lost history.

    The history is shorter than before, as long, or longer.
    """
    copy = store.copy()
    put_version(store, 3)
    put_version(store, 4)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/browse/1", 4))
    store.restore(copy)
    for number in range(5 - rewritten, 5):
        put_version(store, number)
    put_version(store, 5, standins.BROWSE, standins.BOOK, NEW)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/new/1", 5), 5.0)
