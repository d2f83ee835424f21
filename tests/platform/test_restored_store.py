"""Days on which the store comes back from a copy that is some seconds old."""

import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
MEMBERS = "keyed.buckthorn-members"
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
    standins.wait_for(lambda: second.events("registered"))
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


def test_two_restorations_in_a_row(store, hosts):
    """Guards against a position that is kept from the first new history."""
    copy = store.copy()
    put_version(store, 3)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/browse/1", 3))
    store.restore(copy)
    put_version(store, 3)
    store.restore(copy)
    put_version(store, 3)
    put_version(store, 5, standins.BROWSE, standins.BOOK, NEW)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/new/1", 5), 5.0)


def test_a_confirmed_version_is_in_force_on_a_new_process(store, hosts):
    """Guards against a new process that starts with the restored version.

    The operator has not written the lost one again yet.
    """
    copy = store.copy()
    put_version(store, 3, standins.BROWSE, standins.BOOK, NEW)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/new/1", 3))
    store.restore(copy)
    for restarted in hosts:
        for each in hosts:
            standins.wait_for(
                lambda h=each: "buckthorn_log_epoch 2" in h.metrics()
            )
        restarted.kill()
        restarted.start()
        standins.wait_for(lambda h=restarted: serves(h, "/new/1", 3), 4.0)


def test_a_version_that_is_lost_comes_back_once_and_stays(store, hosts):
    """Guards against an older version in force while the lost one returns."""
    copy = store.copy()
    put_version(store, 3)
    put_version(store, 4, standins.BROWSE, standins.BOOK, NEW)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/new/1", 4))
    store.restore(copy)
    for number in (2, 3):
        put_version(store, number)
        for each in hosts:
            end_s = time.monotonic() + 0.7
            while time.monotonic() < end_s:
                assert each.call("probe", "/new/1").status == 200
    put_version(store, 6, standins.BROWSE)
    for each in hosts:
        standins.wait_for(
            lambda h=each: h.call("probe", "/new/1").status == 404, 5.0
        )


def test_an_odd_version_after_a_restoration_is_not_taken(store, hosts):
    """Guards against a restored log that brings what can't be read."""
    copy = store.copy()
    put_version(store, 3)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/browse/1", 3))
    store.restore(copy)
    store.put("keyed.op", "config", b"{not json")
    for each in hosts:
        standins.wait_for(lambda h=each: h.events("bad_configuration"))
        assert serves(each, "/browse/1", 3)
    put_version(store, 4, standins.BROWSE, standins.BOOK, NEW)
    for each in hosts:
        standins.wait_for(lambda h=each: serves(h, "/new/1", 4), 5.0)


def test_a_registration_is_written_again(store, hosts):
    """Guards against a host that new processes don't find."""
    before = dict.fromkeys((h.name for h in hosts), b"")
    written = store.newest(MEMBERS)
    assert written.keys() == before.keys()
    store.restore({"keyed.op": store.copy()["keyed.op"]})
    standins.wait_for(lambda: store.newest(MEMBERS).keys() == before.keys())
    for each in hosts:
        standins.wait_for(
            lambda h=each: "buckthorn_unrecorded_changes 0" in h.metrics()
        )
        assert not each.events("member_removed")


@pytest.mark.parametrize("recorded_again", [False, True])
def test_a_confirmed_leaving_outlives_a_restoration_and_a_kill(
    store, hosts, instance, recorded_again
):
    """Guards against a host that forgets a leaving that it has confirmed.

    The store loses the record of it, and the instance's health check passes.
    """
    host, other = hosts
    copy = store.copy()
    assert instance.leave(host.ports["control"]) == 200
    record = store.newest(MEMBERS)[host.name]
    standins.wait_for(lambda: other.call("q", "/browse/q").status == 200)
    store.restore(copy)
    if recorded_again:
        standins.wait_for(
            lambda: b'"closed":"i-1"' in store.newest(MEMBERS)[host.name]
        )
    else:
        standins.wait_for(lambda: "buckthorn_log_epoch 2" in other.metrics())
    assert b'"closed":"i-1"' in record
    host.kill()
    host.start()
    standins.wait_for(lambda: host.readiness() == 200)
    instance.heartbeat(host.ports["control"])
    standins.wait_for(
        lambda: b'"closed":"i-1"' in store.newest(MEMBERS)[host.name]
    )
    standins.wait_for(lambda: host.events("upstream_closed"), 4.0)
    instance.runs.clear()
    for n in range(20):
        assert host.call(f"r-{n}").status == 200
    assert not instance.runs


def test_a_host_that_has_left_is_not_listed_again(store, hosts, instance):
    """Guards against requests to a host that has withdrawn its record."""
    host, other = hosts
    copy = store.copy()
    assert instance.leave(host.ports["control"]) == 200
    host.stop()
    standins.wait_for(lambda: host.name not in store.newest(MEMBERS))
    standins.wait_for(lambda: "buckthorn_members 1" in other.metrics())
    store.restore(copy)
    standins.wait_for(lambda: "buckthorn_log_epoch 2" in other.metrics())
    assert "buckthorn_members 1" in other.metrics()
    standins.wait_for(lambda: host.name not in store.newest(MEMBERS))
    assert "buckthorn_members 1" in other.metrics()
