"""Canary rollouts with real daemons, from the order to the result."""

import json
import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
KEY = "rollout/stock"
DURATION_S = 6.0
OLD = 3
NEW = 2


class Site:
    """Hosts with instances of an old and a new version, and callers.

    Attributes:
        instances: The instances by name.
        hosts: The hosts by name.
        statuses: Statuses of all replies to callers, in order.
    """

    def __init__(self, store, new_instance, new_host):
        self.store = store
        self._new_instance = new_instance
        self._new_host = new_host
        self.instances = {}
        self.hosts = {}
        self.statuses = []
        self._stop = threading.Event()
        self._threads = []

    def add(self, name, version, respond=None):
        instance = self._new_instance(instance=f"i-{name}")
        instance.version = version
        instance.respond = respond
        host = self._new_host(name, instance)
        self.instances[name], self.hosts[name] = instance, host
        standins.wait_for(lambda: host.readiness() == 200)
        self.announce(name)

    def announce(self, name):
        instance = self.instances[name]
        info = {
            "service": instance.service,
            "version": instance.version,
            "zone": "z1",
            "capacity": 4,
        }
        control = self.hosts[name].ports["control"]
        standins.wait_for(lambda: instance.heartbeat(control, info=info) == 200)

    def start_callers(self, per_host=2, pause_s=0.02):
        for host in [h for n, h in self.hosts.items() if n.startswith("old")]:
            for number in range(per_host):
                thread = threading.Thread(
                    target=self._call, args=(host, number, pause_s), daemon=True
                )
                thread.start()
                self._threads.append(thread)

    def _call(self, host, caller, pause_s):
        number = 0
        while not self._stop.is_set():
            number += 1
            name = f"{host.name}-{caller}-{number}"
            path = "/browse/1" if number % 3 else "/book/1"
            try:
                self.statuses.append(host.call(name, path).status)
            except OSError:
                # The host was killed.
                time.sleep(0.2)
            time.sleep(pause_s)

    def close(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(standins.WAIT_S)

    def order(self, target="v2"):
        record = {
            "service": "stock",
            "targetVersion": target,
            "duration": f"{DURATION_S}s",
        }
        self.store.put("keyed.op", KEY, json.dumps(record).encode())

    def result(self):
        value = self.store.newest("keyed.status").get(KEY)
        return None if value is None else json.loads(value)

    def runs(self, prefix):
        return sum(
            len(i.runs)
            for n, i in self.instances.items()
            if n.startswith(prefix)
        )

    def driver(self):
        """Returns the name of the host that has last become the driver."""
        found = [
            (entry["time"], name)
            for name, host in self.hosts.items()
            for entry in host.events("trial_driver")
        ]
        return max(found)[1] if found else None


@pytest.fixture
def site(store, new_instance, new_host, cleanup):
    """Hosts with the old version, and callers that use it."""
    made = Site(store, new_instance, new_host)
    for number in range(OLD):
        made.add(f"old-{number}", "v1")
    cleanup(made)
    made.start_callers()
    standins.wait_for(lambda: len(made.statuses) > 20)
    return made


def fail_half(instance_of):
    """Returns a response function that fails every other request."""
    count = 0

    def respond(call, run):
        nonlocal count
        count += 1
        status = 500 if count % 2 else 200
        instance_of().answer(call, run, status=status)

    return respond


def wait_for_state(site, state, timeout_s=DURATION_S + 2):
    expected = {"state": state, "targetVersion": "v2"}
    standins.wait_for(lambda: site.result() == expected, timeout_s)


def test_a_good_version_is_completed_and_has_the_traffic_by_then(site):
    """Guards against a good version that is never completed.

    The old instances stop when the record appears, so no request may run on
    them any more. Before, the new version gets few requests.
    """
    ordered_s = time.monotonic()
    site.order()
    wait_for_state(site, "running")
    for number in range(NEW):
        site.add(f"new-{number}", "v2")
    time.sleep(2.0)
    new, old = site.runs("new"), site.runs("old")
    assert 0 < new <= 0.1 * (new + old) + 50
    wait_for_state(site, "completed")
    assert time.monotonic() - ordered_s < DURATION_S + 0.5
    old = site.runs("old")
    time.sleep(1.0)
    assert site.runs("old") == old
    assert set(site.statuses) == {200}


def test_a_bad_version_is_rolled_back_and_gets_nothing_more(site):
    """Guards against a bad version that keeps getting requests.

    A host that starts after the result must keep to it, too.
    """
    site.order()
    wait_for_state(site, "running")
    for number in range(NEW):
        name = f"new-{number}"
        site.add(name, "v2", fail_half(lambda name=name: site.instances[name]))
    wait_for_state(site, "rolled_back")
    time.sleep(0.3)
    new = site.runs("new")
    assert new <= 0.1 * (new + site.runs("old")) + 50
    site.hosts["old-0"].kill()
    site.hosts["old-0"].start()
    site.announce("old-0")
    time.sleep(1.5)
    assert site.hosts["old-0"].call("late").status == 200
    assert site.runs("new") == new
    assert site.result()["state"] == "rolled_back"


def test_the_trial_goes_on_when_its_driver_is_killed_and_the_store_is_silent(
    site,
):
    """Guards against a trial that ends with its driver, or hangs on the log."""
    site.order()
    wait_for_state(site, "running")
    for number in range(NEW):
        site.add(f"new-{number}", "v2")
    driver = standins.wait_for(site.driver)
    site.hosts[driver].kill()
    site.store.down = True
    standins.wait_for(lambda: site.driver() != driver)
    time.sleep(2.0)
    site.store.down = False
    wait_for_state(site, "completed", DURATION_S + 4)
