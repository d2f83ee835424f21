"""Trial of the quarantine: a request that crashes upstreams, among lookups.

Simulates daemons with their upstreams in virtual time: gossip, a caller that
repeats the bad request, popular lookups. Prints one line for each seed.
"""

import heapq
import random
from typing import Any
from typing import NamedTuple

from absl import app
from absl import flags

from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import quarantines

_SEEDS = flags.DEFINE_integer("seeds", 10, "Runs, each with its seed.")
_INSTANCES = flags.DEFINE_integer("instances", 8, "Instances of the service.")
_LOOKUPS_S = flags.DEFINE_float("lookups_s", 400.0, "Lookups a second.")
_LOOKUP_NAMES = flags.DEFINE_integer("lookup_names", 20, "Distinct lookups.")

_LOOKUP_MS = flags.DEFINE_float("lookup_ms", 20.0, "Time of a lookup.")

GOSSIP_MS = 500
CRASH_AFTER_MS = 5
RESTART_MS = 3_000
RUN_MS = 120_000
BAD_PERIOD_MS = 700
SERVICE = ids.ServiceName("lookups")
BAD = quarantines.fingerprint(SERVICE, "GET", "/bad", None, b"")


class Plan(NamedTuple):
    """What to simulate.

    Attributes:
        seed: Seed of all randomness.
        instances: Daemons, each with an upstream.
        lookups_s: Lookups a second.
        lookup_names: Distinct lookups, the first being the most popular.
        bad_at_once: Copies of the bad request that its callers send together.
        lookup_ms: Mean time of a lookup, in ms.
    """

    seed: int
    instances: int = 8
    lookups_s: float = 400.0
    lookup_names: int = 20
    bad_at_once: int = 1
    lookup_ms: float = 20.0


class Outcome(NamedTuple):
    """What happened.

    Attributes:
        crashes: Upstreams that crashed.
        bad_refused: Bad requests that were refused.
        lookups: Lookups sent.
        lookups_refused: Lookups that were refused as quarantined.
        worst_s: Longest time between two runs of a lookup that was refused
            in between, in seconds.
        entries: Most suspicions held by a daemon.
    """

    crashes: int
    bad_refused: int
    lookups: int
    lookups_refused: int
    worst_s: float
    entries: int


class _Daemon:
    def __init__(self) -> None:
        self.table = gossip.GossipTable()
        self.quarantines = quarantines.Quarantines(self.table)
        self.up_ms = 0
        self.flights: dict[int, ids.Fingerprint] = {}


class Trial:
    """One simulated run."""

    def __init__(self, plan: Plan):
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._daemons = [_Daemon() for _ in range(plan.instances)]
        self._events: list[tuple[float, int, str, Any]] = []
        self._numbers = 0
        self._names = [
            quarantines.fingerprint(SERVICE, "GET", f"/kit/{n}", None, b"")
            for n in range(plan.lookup_names)
        ]
        self._weights = [1 / (n + 1) for n in range(plan.lookup_names)]
        self._crashes = self._bad_refused = 0
        self._lookups = self._lookups_refused = self._most = 0
        self._refused_since: dict[ids.Fingerprint, float] = {}
        self._worst_ms = 0.0

    def run(self) -> Outcome:
        """Simulates and returns what happened."""
        for number in range(len(self._daemons)):
            self._add(self._rng.random() * GOSSIP_MS, "gossip", number)
        self._add(0, "lookup", None)
        self._add(1_000, "bad", None)
        while self._events and self._events[0][0] < RUN_MS:
            now, _, kind, value = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(now, value)
        for since in self._refused_since.values():
            self._worst_ms = max(self._worst_ms, RUN_MS - since)
        return Outcome(
            self._crashes,
            self._bad_refused,
            self._lookups,
            self._lookups_refused,
            self._worst_ms / 1000,
            self._most,
        )

    def _add(self, at_ms: float, kind: str, value: Any) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (at_ms, self._numbers, kind, value))

    def _on_gossip(self, now: float, number: int) -> None:
        self._add(now + GOSSIP_MS, "gossip", number)
        other = self._rng.randrange(len(self._daemons) - 1)
        mine = self._daemons[number]
        peer = self._daemons[other + (other >= number)]
        peer.table.merge(mine.table.changes_to_send())
        mine.table.merge(peer.table.changes_to_send())
        mine.quarantines.expire(int(now))
        self._most = max(self._most, len(mine.table.entries))

    def _on_lookup(self, now: float, _: None) -> None:
        mean_ms = 1000 / self._plan.lookups_s
        self._add(now + self._rng.expovariate(1) * mean_ms, "lookup", None)
        self._lookups += 1
        name = self._rng.choices(self._names, self._weights)[0]
        lasts_ms = self._plan.lookup_ms * (0.5 + self._rng.random())
        if not self._send(now, name, lasts_ms):
            self._lookups_refused += 1
            self._refused_since.setdefault(name, now)

    def _on_bad(self, now: float, _: None) -> None:
        self._add(now + BAD_PERIOD_MS, "bad", None)
        for _copy in range(self._plan.bad_at_once):
            if not self._send(now, BAD, CRASH_AFTER_MS):
                self._bad_refused += 1

    def _send(self, now: float, name: ids.Fingerprint, lasts_ms: float) -> bool:
        sender = self._rng.choice(self._daemons)
        if sender.quarantines.is_quarantined(name, int(now)):
            return False
        up = [d for d in self._daemons if d.up_ms <= now]
        if not up:
            return True
        target = self._rng.choice(up)
        # Suspicions travel with the request.
        held = sender.quarantines.get(name)
        if held.incarnation:
            target.table.put(held)
        if target.quarantines.is_quarantined(name, int(now)):
            return False
        self._numbers += 1
        target.flights[self._numbers] = name
        self._add(now + lasts_ms, "end", (sender, target, self._numbers, name))
        return True

    def _on_end(
        self, now: float, what: tuple[_Daemon, _Daemon, int, ids.Fingerprint]
    ) -> None:
        sender, target, number, name = what
        if target.flights.pop(number, None) is None:
            return
        if name != BAD:
            for daemon in (target, sender):
                daemon.quarantines.record_completion(name, int(now))
            since = self._refused_since.pop(name, None)
            if since is not None:
                self._worst_ms = max(self._worst_ms, now - since)
            return
        self._crashes += 1
        target.up_ms = int(now) + RESTART_MS
        for flight in {name, *target.flights.values()}:
            target.quarantines.count_crash(flight, int(now))
        target.flights.clear()
        # The answer tells the sender.
        sender.table.put(target.quarantines.get(name))


def main(argv: list[str]) -> None:
    """Prints the outcome of each seed."""
    del argv
    for seed in range(_SEEDS.value):
        for copies in (1, 2):
            plan = Plan(
                seed,
                _INSTANCES.value,
                _LOOKUPS_S.value,
                _LOOKUP_NAMES.value,
                copies,
                _LOOKUP_MS.value,
            )
            outcome = Trial(plan).run()
            print(f"seed={seed} at_once={copies} {outcome}")


if __name__ == "__main__":
    app.run(main)
