"""Rate limits of workspaces over two daemons, with real processes."""

import threading
import time

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
RATE_PER_S = 24.0
BURST = 12.0
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
KEY = {"Authorization": "Bearer key-1"}
# Time until all shards are lent after a start.
CLAIM_S = 12.0


def allowed():
    """Returns the most runs in one window."""
    return (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK


def most_in_window(runs):
    """Returns the most runs in one window."""
    times = sorted(run["at_s"] for run in runs)
    most = start = 0
    for end, at_s in enumerate(times):
        while times[start] <= at_s - WINDOW_S:
            start += 1
        most = max(most, end - start + 1)
    return most


class Load:
    """Callers of a workspace at a steady rate on some hosts.

    Attributes:
        replies: Pairs of request id and reply.
    """

    def __init__(self, hosts, per_s):
        self.replies = []
        self._hosts = hosts
        self._pause_s = 1 / per_s
        self._stopped = threading.Event()
        self._callers = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def close(self):
        self._stopped.set()
        self._thread.join(standins.WAIT_S)
        for caller in self._callers:
            caller.join(standins.WAIT_S)

    def _run(self):
        number, next_s = 0, time.monotonic()
        while not self._stopped.wait(max(0.0, next_s - time.monotonic())):
            next_s += self._pause_s
            host = self._hosts[number % len(self._hosts)]
            caller = threading.Thread(
                target=self._send, args=(host, f"q-{number}"), daemon=True
            )
            caller.start()
            self._callers.append(caller)
            number += 1

    def _send(self, host, name):
        try:
            reply = host.call(name, f"/browse/{name}", headers=KEY)
        except OSError:
            return
        self.replies.append((name, reply))

    def refused(self):
        return [(name, r) for name, r in self.replies if r.status != 200]


def lending(hosts):
    """Returns how many shards are lent in all."""
    count = 0
    for host in hosts:
        for line in host.metrics().splitlines():
            if line.startswith("buckthorn_cap_shards "):
                count += int(float(line.split()[1]))
    return count


@pytest.fixture
def pair(new_host, new_instance, store):
    """Two hosts with a rate limit in force, and their instances."""
    store.put(
        "keyed.op",
        "config",
        standins.configuration(
            3,
            standins.BROWSE,
            tenants=[
                {
                    "name": "choir",
                    "apiKeys": ["key-1"],
                    "priority": 1,
                    "ratePerS": RATE_PER_S,
                    "burst": BURST,
                }
            ],
        ),
    )
    instances = [new_instance(instance=f"i-{n}") for n in (1, 2)]
    hosts = [new_host(f"h-{n}", i) for n, i in enumerate(instances, start=1)]
    for host, instance in zip(hosts, instances, strict=True):
        standins.wait_for(lambda h=host: h.readiness() == 200)
        assert instance.heartbeat(host.ports["control"]) == 200
    for host in hosts:
        standins.wait_for(lambda h=host: h.call("warm-up").status == 200)
    standins.wait_for(lambda: lending(hosts) == 8, CLAIM_S)
    time.sleep(0.5)
    return hosts, instances


def runs_of(instances):
    return [
        run for i in instances for run in i.runs if run["id"].startswith("q-")
    ]


def test_two_daemons_together_keep_a_rate_limit(pair, cleanup):
    """Guards against a rate limit that each daemon grants anew.

    Three times as much is asked for. What is refused must not run, and the
    answer names when there is room.
    """
    hosts, instances = pair
    load = Load(hosts, 3 * RATE_PER_S).start()
    cleanup(load)
    time.sleep(WINDOW_S + 3.0)
    load.close()
    runs = runs_of(instances)
    assert most_in_window(runs) <= allowed()
    assert len(runs) > 0.9 * RATE_PER_S * (WINDOW_S + 3.0)
    refused = load.refused()
    assert {r.status for _, r in refused} == {429}
    assert all(0 < r.retry_after_s <= 5 for _, r in refused)
    assert not {name for name, _ in refused} & {run["id"] for run in runs}
    assert 'code="rate_limited"' in hosts[0].metrics()


def test_nothing_is_refused_below_a_rate_limit(pair, cleanup):
    """Guards against tokens that lie with a daemon without demand.

    All demand, 0.8 of the rate, is on one daemon, then on the other one.
    """
    hosts, _ = pair
    for host in hosts:
        load = Load([host], 0.8 * RATE_PER_S).start()
        cleanup(load)
        time.sleep(3.0)
        load.close()
        assert len(load.replies) > 0.7 * RATE_PER_S * 3.0
        assert load.refused() == []


def test_calls_without_a_key_need_no_token(pair):
    """Guards against calls of upstreams that a caller's rate limit refuses."""
    hosts, _ = pair
    replies = [hosts[0].call(f"c-{n}") for n in range(int(allowed()) + 50)]
    assert {r.status for r in replies} == {200}


def test_a_holder_that_is_killed_lends_again_at_once(pair, cleanup):
    """Guards against shards that are not lent for long after a crash.

    The other daemon goes on with its own shards meanwhile.
    """
    hosts, instances = pair
    load = Load(hosts[:1], 1.5 * RATE_PER_S).start()
    cleanup(load)
    time.sleep(1.0)
    before = lending(hosts)
    held = before - lending(hosts[:1])
    assert 0 < held < before
    hosts[1].kill()
    time.sleep(1.0)
    hosts[1].start()
    standins.wait_for(lambda: lending(hosts) == before, 4.0)
    time.sleep(WINDOW_S)
    load.close()
    assert most_in_window(runs_of(instances)) <= allowed()
    assert not hosts[0].events("cap_record_written")[8:]
