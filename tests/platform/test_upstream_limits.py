"""Upstreams that state a request limit, or that they are leaving."""

import threading
import time

import pytest

from tests.fakes import limits
from tests.platform import standins

pytestmark = pytest.mark.processes
DRAIN_S = 2.5


def answer_after(instance, run_s):
    """Lets each request of an instance run for some time, in seconds."""

    def respond(call, run):
        time.sleep(run_s)
        instance.answer(call, run)

    instance.respond = respond


class Load:
    """Callers that send one request after the other to some hosts.

    Attributes:
        replies: Pairs of request id and reply.
    """

    def __init__(self, hosts, callers=4):
        self.replies = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send, args=(host, n), daemon=True)
            for host in hosts
            for n in range(callers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def close(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(standins.WAIT_S)

    def _send(self, host, caller):
        number = 0
        while not self._stopped.wait(0.01):
            number += 1
            name = f"{host.name}-{caller}-{number}"
            try:
                reply = host.call(name, f"/browse/{name}")
            except OSError:
                continue
            self.replies.append((name, reply))


def most_in_window(instance, start_s, end_s):
    """Returns the most requests that an instance got in one window."""
    return limits.most_in_window(
        r["at_s"] for r in instance.runs if start_s <= r["at_s"] < end_s
    )


@pytest.fixture
def pair(new_host, new_instance):
    """Two hosts; only the instance beside the second serves `stock`."""
    instances = new_instance("orders"), new_instance("stock")
    hosts = [new_host(f"h-{n}", i) for n, i in enumerate(instances, start=1)]
    for host, instance in zip(hosts, instances, strict=True):
        standins.wait_for(lambda h=host: h.readiness() == 200)
        assert instance.heartbeat(host.ports["control"]) == 200
    for host in hosts:
        standins.wait_for(lambda h=host: h.call("warm-up").status == 200)
    answer_after(instances[1], 0.02)
    return hosts, instances[1]


def test_all_senders_together_keep_within_an_upstreams_limit(pair, cleanup):
    """Guards against requests beyond the limit that an upstream states."""
    hosts, instance = pair
    instance.headers = [("Server-Limit", "8.0")]
    load = Load(hosts).start()
    cleanup(load)
    start_s = time.monotonic() + limits.STABILITY_S
    time.sleep(limits.STABILITY_S + limits.WINDOW_S + 1)
    load.close()
    got = most_in_window(instance, start_s, time.monotonic())
    # Half of the limit: refusing all would keep within it, too.
    assert 0.5 * limits.WINDOW_S * 8.0 <= got <= limits.allowed(8.0)
    refused = [(name, r) for name, r in load.replies if r.status != 200]
    assert {r.status for _, r in refused} == {503}
    ran = {run["id"] for run in instance.runs}
    assert not ran & {name for name, _ in refused}
    assert all(r.retry_after_s > 0 for _, r in refused)


def test_a_restarted_daemon_keeps_within_its_upstreams_limit(pair, cleanup):
    """Guards against a limit that is forgotten when a daemon restarts.

    The daemon beside the upstream is killed three times in a row; those of the
    callers have passed on responses with the limit.
    """
    hosts, instance = pair
    instance.headers = [("Server-Limit", "4")]
    load = Load(hosts[:1], callers=8).start()
    cleanup(load)
    time.sleep(limits.STABILITY_S)
    start_s = time.monotonic()
    # A run takes so long that all slots are taken before the first response.
    answer_after(instance, 0.4)
    for _ in range(3):
        hosts[1].kill()
        hosts[1].start()
        standins.wait_for(lambda: hosts[1].readiness() == 200)
        assert instance.heartbeat(hosts[1].ports["control"]) == 200
        time.sleep(0.3)
    time.sleep(limits.WINDOW_S)
    load.close()
    assert most_in_window(
        instance, start_s, time.monotonic()
    ) <= limits.allowed(4)
    assert instance.runs[-1]["at_s"] > time.monotonic() - 2


def test_requests_are_served_at_once_when_a_limit_ends(pair, cleanup):
    """Guards against a limit that outlasts the upstream's need."""
    hosts, instance = pair
    instance.headers = [("Server-Limit", "1")]
    load = Load(hosts[:1]).start()
    cleanup(load)
    time.sleep(1.0)
    instance.headers = []
    standins.wait_for(lambda: hosts[1].events("upstream_limit_ended"))
    count = len(instance.runs)
    standins.wait_for(lambda: len(instance.runs) >= count + 50)


def test_an_upstream_that_says_it_leaves_gets_no_more_requests(pair, cleanup):
    """Guards against work for an upstream that only its responses say leaves.

    It goes on announcing itself as ready.
    """
    hosts, instance = pair
    load = Load(hosts).start()
    cleanup(load)
    time.sleep(0.3)
    instance.headers = [("Server-Leaving", "1")]
    left_s = time.monotonic() + DRAIN_S
    time.sleep(1.0)
    assert instance.heartbeat(hosts[1].ports["control"]) == 200
    time.sleep(DRAIN_S)
    load.close()
    assert not [r for r in instance.runs if r["at_s"] > left_s]


def test_a_leaving_upstream_stays_closed_over_a_restart_without_the_store(
    pair, cleanup, store
):
    """Guards against work for a leaving upstream after a daemon's restart.

    The store is down when the upstream says that it leaves, so the restarted
    daemon can learn it only from others.
    """
    hosts, instance = pair
    load = Load(hosts[:1]).start()
    cleanup(load)
    time.sleep(0.3)
    store.down = True
    instance.headers = [("Server-Leaving", "1")]
    left_s = time.monotonic() + DRAIN_S
    time.sleep(0.5)
    hosts[1].kill()
    store.down = False
    hosts[1].start()
    standins.wait_for(lambda: hosts[1].readiness() == 200)
    assert instance.heartbeat(hosts[1].ports["control"]) == 200
    time.sleep(max(0.0, left_s - time.monotonic()) + 1.0)
    load.close()
    assert not [r for r in instance.runs if r["at_s"] > left_s]
