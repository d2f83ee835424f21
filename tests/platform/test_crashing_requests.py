"""Requests that crash each instance that runs them, and those beside them."""

import concurrent.futures
import contextlib
import functools
import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
POISON = "/browse/poison"
# Crashes until a request is refused.
CRASHES = 2
# Lookups through each host before the crashes.
LOOKUPS = 60
# How long a lookup runs beside the crashes, in seconds.
RUN_S = 0.2


@pytest.fixture
def mesh(new_host, new_instance):
    """Four hosts of one service; the poisonous request crashes instances."""
    instances = [new_instance(instance=f"i-{n}") for n in range(4)]
    hosts = []
    for n, instance in enumerate(instances):
        instance.crashes_on = lambda path: path == POISON
        hosts.append(new_host(f"h-{n}", instance))
    announce(hosts, instances)
    for host in hosts:
        standins.wait_for(lambda h=host: h.readiness() == 200)
        standins.wait_for(lambda h=host: "buckthorn_members 4" in h.metrics())
    # The retry budget grows with the requests of the last 10 s, so all hosts
    # get theirs at the same time.
    with concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool:
        assert all(pool.map(warm_up, hosts))
    yield hosts, instances


def warm_up(host):
    """Sends lookups through a host; returns whether all were served."""
    return all(
        host.call(f"w-{n}", f"/browse/w-{n}").status == 200
        for n in range(LOOKUPS)
    )


def announce(hosts, instances):
    """Starts crashed instances again and sends a heartbeat of each."""
    for host, instance in zip(hosts, instances, strict=True):
        if instance.crash_count and instance.instance.count("x") < (
            instance.crash_count
        ):
            instance.restart()
        instance.heartbeat(host.ports["control"])


def answer_slowly(instance, call, run):
    time.sleep(RUN_S)
    with contextlib.suppress(OSError):
        instance.answer(call, run)


def crashes(instances):
    return sum(instance.crash_count for instance in instances)


def assert_refused_everywhere(hosts, instances):
    """Checks that every host refuses the request and serves others."""
    ran = crashes(instances)
    for n, host in enumerate(hosts):
        reply = host.call(f"again-{n}", POISON)
        assert reply.status == 503, reply.body
        assert b"crashes_upstreams" in reply.body
        assert reply.retry_after_s > 0
        assert host.call(f"other-{n}", f"/browse/other-{n}").status == 200
    assert crashes(instances) == ran


def quarantine(hosts, instances):
    """Sends the poisonous request until it has crashed two instances."""
    assert hosts[0].call("first", POISON).status == 502
    assert crashes(instances) == CRASHES
    announce(hosts, instances)


def test_a_request_that_crashes_instances_is_refused_at_every_host(mesh):
    """Guards against a request that ends one instance after the other."""
    hosts, instances = mesh
    quarantine(hosts, instances)
    assert_refused_everywhere(hosts, instances)


def test_a_booking_that_crashes_instances_is_refused_at_every_host(mesh):
    """Guards against counting only requests that are sent once more."""
    hosts, instances = mesh
    for instance in instances:
        instance.crashes_on = lambda path: path == "/book/poison"
    for n in range(CRASHES):
        reply = hosts[n].call(f"b-{n}", "/book/poison", "POST", b"coal")
        assert reply.status == 502
        announce(hosts, instances)
    for n, host in enumerate(hosts):
        reply = host.call(f"c-{n}", "/book/poison", "POST", b"coal")
        assert reply.status == 503
        other = host.call(f"d-{n}", "/book/fine", "POST", b"coal")
        assert other.status == 200
    assert crashes(instances) == CRASHES


@pytest.mark.parametrize("store_down", [False, True])
def test_a_restarted_daemon_refuses_what_crashed_instances(
    mesh, store, store_down
):
    """Guards against a quarantine that a new process doesn't know.

    While the store is down it learns of it from the daemons that send to it.
    """
    hosts, instances = mesh
    store.down = store_down
    quarantine(hosts, instances)
    if not store_down:
        standins.wait_for(
            lambda: any(
                key.startswith("quarantine/")
                for key in store.newest("keyed.buckthorn-members")
            )
        )
    store.down = False
    for host, instance in zip(hosts[1:], instances[1:], strict=True):
        host.kill()
        host.start()
        standins.wait_for(lambda h=host: h.readiness() == 200)
        instance.heartbeat(host.ports["control"])
    assert_refused_everywhere(hosts, instances)


def test_the_quarantine_outlives_a_restart_of_all_daemons(mesh, store):
    """Guards against a quarantine that ends when all processes are killed."""
    hosts, instances = mesh
    quarantine(hosts, instances)
    standins.wait_for(
        lambda: any(
            key.startswith("quarantine/")
            for key in store.newest("keyed.buckthorn-members")
        )
    )
    for host in hosts:
        host.kill()
    for host in hosts:
        host.start()
    for host in hosts:
        standins.wait_for(lambda h=host: h.readiness() == 200)
    announce(hosts, instances)
    assert_refused_everywhere(hosts, instances)


def test_requests_beside_a_crash_are_served(mesh):
    """Guards against refusing innocent requests that ran beside crashes."""
    hosts, instances = mesh
    for instance in instances:
        instance.respond = functools.partial(answer_slowly, instance)
        instance.runs.clear()
    replies = {}

    def lookup(n):
        replies[n] = hosts[n % 4].call(f"l-{n}", f"/browse/{n}")

    threads = [threading.Thread(target=lookup, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    standins.wait_for(lambda: sum(len(i.runs) for i in instances) >= 8)
    assert hosts[0].call("first", POISON).status == 502
    for thread in threads:
        thread.join(standins.WAIT_S)
    announce(hosts, instances)
    assert [replies[n].status for n in range(8)] == [200] * 8
    for n in range(8):
        # They come again, too.
        assert hosts[n % 4].call(f"m-{n}", f"/browse/{n}").status == 200
    assert_refused_everywhere(hosts, instances)
