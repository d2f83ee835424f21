"""Announces upstreams that have no process, for fleets of daemons alone."""

from concurrent import futures
import json
import random
import threading
import time

import urllib3

from buckthorn_standins import fleet

PERIOD_S = 1.0
THREADS = 8
SERVICE = "announced-only"


class Announcers:
    """Sends each daemon its upstream's heartbeat.

    Attributes:
        churn_per_s: Upstreams that restart a second. One that restarts
            announces once that it drains, and then that it is up again.
        changes: Changes announced so far.
    """

    def __init__(self, instances: list[fleet.Instance], seed: int):
        self.churn_per_s = 0.0
        self.changes = 0
        self._instances = instances
        self._rng = random.Random(seed)
        self._draining: set[str] = set()
        self._stop = threading.Event()
        self._pool = urllib3.PoolManager(
            retries=False, timeout=1.0, num_pools=len(instances) + 1
        )
        self._thread = threading.Thread(target=self._loop, daemon=True)

    def start(self) -> None:
        """Starts to announce."""
        self._thread.start()

    def close(self) -> None:
        """Stops to announce."""
        self._stop.set()
        self._thread.join()

    def _loop(self) -> None:
        due_s = time.monotonic()
        with futures.ThreadPoolExecutor(THREADS) as executor:
            while not self._stop.wait(max(0.0, due_s - time.monotonic())):
                due_s += PERIOD_S
                self._choose_draining()
                list(executor.map(self._announce, self._instances))

    def _choose_draining(self) -> None:
        self.changes += len(self._draining)
        whole = int(self.churn_per_s)
        count = whole + (self._rng.random() < self.churn_per_s - whole)
        names = [i.name for i in self._instances]
        self._draining = set(self._rng.sample(names, min(count, len(names))))
        self.changes += len(self._draining)

    def _announce(self, instance: fleet.Instance) -> None:
        state = "draining" if instance.name in self._draining else "up"
        document = {
            "service": SERVICE,
            "port": instance.ports["upstream"],
            "state": state,
            "slots": 8,
            "connections": 64,
        }
        try:
            self._pool.request(
                "POST",
                f"http://{instance.address('admin')}/v1/announce",
                body=json.dumps(document).encode(),
            )
        except urllib3.exceptions.HTTPError:
            return
