"""Planned stops of a daemon that has never had a configuration."""

import signal
import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes


@pytest.fixture
def empty_store(cleanup):
    """A store without a configuration."""
    running = standins.Store().start()
    cleanup(running)
    return running


def _start(cleanup, folder, store, instance):
    host = standins.Host(folder, "h-1", store, instance)
    cleanup(host)
    return host.start()


def test_a_daemon_without_a_configuration_stops_in_its_grace_time(
    cleanup, tmp_path, empty_store, new_instance
):
    """Guards against a daemon that has to be killed after its grace time."""
    instance = new_instance()
    host = _start(cleanup, tmp_path, empty_store, instance)
    assert instance.heartbeat(host.ports["control"]) == 200
    assert instance.leave(host.ports["control"]) == 200
    host.signal(signal.SIGTERM)
    standins.wait_for(lambda: not host.running(), 6.0)


def test_callers_that_keep_sending_do_not_hold_up_the_stop(
    cleanup, tmp_path, empty_store, new_instance
):
    instance = new_instance()
    host = _start(cleanup, tmp_path, empty_store, instance)
    stop = threading.Event()

    def send():
        while not stop.is_set():
            try:
                host.call("q")
            except OSError:
                time.sleep(0.01)

    threads = [threading.Thread(target=send, daemon=True) for _ in range(4)]
    for thread in threads:
        thread.start()
    host.signal(signal.SIGTERM)
    try:
        standins.wait_for(lambda: not host.running(), 6.0)
    finally:
        stop.set()


def test_a_silent_store_does_not_hold_up_the_stop(
    cleanup, tmp_path, empty_store, new_instance
):
    instance = new_instance()
    host = _start(cleanup, tmp_path, empty_store, instance)
    assert instance.heartbeat(host.ports["control"]) == 200
    empty_store.silent = True
    instance.leave(host.ports["control"])
    host.signal(signal.SIGTERM)
    standins.wait_for(lambda: not host.running(), 6.0)
