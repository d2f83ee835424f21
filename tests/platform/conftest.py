"""Fixtures: a store, an instance and hosts with running daemons."""

import pytest

from tests.platform import standins


@pytest.fixture
def cleanup():
    """Closes what a test has started, the last first."""
    started = []
    yield started.append
    for thing in reversed(started):
        thing.close()


@pytest.fixture
def store(cleanup):
    found = standins.Store().start()
    cleanup(found)
    found.put("keyed.op", "config", standins.configuration(2))
    return found


@pytest.fixture
def new_instance(cleanup):
    def make(service="stock", **kwargs):
        found = standins.Instance(service, **kwargs).start()
        cleanup(found)
        return found

    return make


@pytest.fixture
def new_host(cleanup, tmp_path, store):
    def make(name, instance, **kwargs):
        found = standins.Host(tmp_path, name, store, instance, **kwargs)
        cleanup(found)
        return found.start()

    return make


@pytest.fixture
def instance(new_instance):
    return new_instance()


@pytest.fixture
def host(new_host, instance):
    """A host that serves."""
    found = new_host("h-1", instance)
    standins.wait_for(lambda: found.readiness() == 200)
    assert instance.heartbeat(found.ports["control"]) == 200
    standins.wait_for(lambda: found.events("registered"))
    standins.wait_for(lambda: found.call("warm-up").status == 200)
    instance.runs.clear()
    return found
