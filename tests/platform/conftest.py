"""Fixtures: a store, instances and hosts with running daemons."""

import pytest

from tests.platform import standins


@pytest.fixture
def cleanup():
    """Registers objects to close after the test, in reverse order."""
    started = []
    yield started.append
    for closable in reversed(started):
        closable.close()


@pytest.fixture
def store(cleanup):
    """A store with configuration version 2."""
    running = standins.Store().start()
    cleanup(running)
    running.put("keyed.op", "config", standins.configuration(2))
    return running


@pytest.fixture
def new_instance(cleanup):
    """Starts an instance of a service."""

    def make(service="stock", **kwargs):
        started = standins.Instance(service, **kwargs).start()
        cleanup(started)
        return started

    return make


@pytest.fixture
def new_host(cleanup, tmp_path, store):
    """Starts a host with a daemon beside an instance."""

    def make(name, instance, **kwargs):
        created = standins.Host(tmp_path, name, store, instance, **kwargs)
        cleanup(created)
        return created.start()

    return make


@pytest.fixture
def instance(new_instance):
    return new_instance()


@pytest.fixture
def host(new_host, instance):
    """A host whose instance has announced itself and serves requests."""
    ready = new_host("h-1", instance)
    standins.wait_for(lambda: ready.readiness() == 200)
    assert instance.heartbeat(ready.ports["control"]) == 200
    standins.wait_for(lambda: ready.events("registered"))
    standins.wait_for(lambda: ready.call("warm-up").status == 200)
    instance.runs.clear()
    return ready
