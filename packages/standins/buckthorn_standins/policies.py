"""Comparison of upstream selection policies on one seeded load.

A queue model of one service: several egress daemons choose among instances
with the core's own policies, admission and retry budget. One instance is slow,
one claims four times the slots it has, one starts cold.
"""

import dataclasses
import heapq
import itertools
import random
import statistics
from typing import NamedTuple

from absl import app
from absl import flags

from buckthorn_core import admission
from buckthorn_core import endpoints
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import retries
from buckthorn_core import selection_policies
from buckthorn_standins import options

_SECONDS = flags.DEFINE_float("seconds", 5.0, "Modelled time of a run.")

EGRESSES = 12
INSTANCES = 8
SLOTS = 20
CONNECTIONS = 130
SERVICE_S = 0.01
SLOW_FACTOR = 5.0
COLD_FACTOR = 5.0
COLD_S = 5.0
REAL_SLOTS_OF_LIAR = SLOTS // 4
DEADLINE_S = 0.5
HOP_S = 0.001
LOADS = (0.5, 0.9, 1.3)
WARM_UP_S = 1.0


class Fault(NamedTuple):
    """How an instance differs from a good one."""

    name: str
    instance: int


FAULTS = (Fault("slow", 0), Fault("liar", 1), Fault("cold", 2))


@dataclasses.dataclass
class Request:
    """A request under way."""

    born_s: float
    egress: int
    tried: set[ids.DaemonId]
    retries: int = 0
    sent_s: float = 0.0
    endpoint: endpoints.Endpoint | None = None
    ticket: admission.Ticket | None = None


class Result(NamedTuple):
    """Measures of a run."""

    goodput: float
    p50_ms: float
    p99_ms: float
    refused: float
    attempts: float


class Model:
    """One run of the queue model."""

    def __init__(
        self, policy: str, load: float, seed: int, seconds: float, faults: bool
    ):
        self._policy = selection_policies.get(policy)
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._faults = {f.instance: f.name for f in FAULTS} if faults else {}
        self._rate = load * self._capacity()
        self._endpoints = [self._endpoint(n) for n in range(INSTANCES)]
        self._index = {e.daemon: n for n, e in enumerate(self._endpoints)}
        self._admissions = [
            admission.AdmissionQueue(admission.Limits(SLOTS, CONNECTIONS))
            for _ in range(INSTANCES)
        ]
        self._waiting: list[dict[int, Request]] = [{} for _ in range(INSTANCES)]
        self._seen = [
            selection_policies.EndpointStatsTable() for _ in range(EGRESSES)
        ]
        self._budgets = [retries.RetryBudget() for _ in range(EGRESSES)]
        self._events: list[tuple[float, int, str, Request]] = []
        self._order = itertools.count()
        self._latencies: list[float] = []
        self._requests = self._good = self._refused = self._attempts = 0

    def run(self) -> Result:
        """Runs the model."""
        now_s = 0.0
        while now_s < self._seconds:
            now_s += self._rng.expovariate(self._rate)
            egress = self._rng.randrange(EGRESSES)
            self._push(now_s, "arrive", Request(now_s, egress, set()))
        while self._events:
            now_s, _, kind, request = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(request, now_s)
        ordered = sorted(self._latencies)
        return Result(
            self._good / max(1, self._requests),
            statistics.median(ordered) * 1000,
            ordered[int(len(ordered) * 0.99)] * 1000,
            self._refused / max(1, self._requests),
            self._attempts / max(1, self._requests),
        )

    def _capacity(self) -> float:
        """Returns the requests per second that all good slots can run."""
        slots = INSTANCES * float(SLOTS)
        if self._faults:
            slots += SLOTS / SLOW_FACTOR - SLOTS
            slots += REAL_SLOTS_OF_LIAR - SLOTS
        return slots / SERVICE_S

    def _endpoint(self, index: int) -> endpoints.Endpoint:
        return endpoints.Endpoint(
            daemon=ids.DaemonId(f"d{index}"),
            address=ids.Address(f"10.0.0.{index}:80"),
            region=ids.RegionName("r"),
            site=ids.SiteName("s"),
            slots=SLOTS,
            cold=self._faults.get(index) == "cold",
        )

    def _push(self, at_s: float, kind: str, request: Request) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, request))

    def _arrive(self, request: Request, now_s: float) -> None:
        self._requests += request.born_s >= WARM_UP_S
        self._budgets[request.egress].add_request()
        self._choose(request, now_s)

    def _choose(self, request: Request, now_s: float) -> None:
        candidates = [
            e for e in self._endpoints if e.daemon not in request.tried
        ]
        seen = self._seen[request.egress]
        chosen = self._policy(candidates, seen, now_s, self._rng)
        request.endpoint = chosen
        request.sent_s = now_s
        request.tried.add(chosen.daemon)
        seen.on_started(chosen.daemon, now_s)
        self._attempts += request.born_s >= WARM_UP_S
        self._push(now_s + HOP_S, "enter", request)

    def _enter(self, request: Request, now_s: float) -> None:
        assert request.endpoint is not None
        index = self._index[request.endpoint.daemon]
        gate = self._admissions[index]
        try:
            ticket = gate.admit(now_s, request.born_s + DEADLINE_S)
        except errors.RequestError as exc:
            self._refuse(request, exc, now_s)
            return
        request.ticket = ticket
        if gate.is_running(ticket):
            self._begin(request, index, now_s)
        else:
            self._waiting[index][ticket.number] = request

    def _begin(self, request: Request, index: int, now_s: float) -> None:
        mean_s = SERVICE_S
        fault = self._faults.get(index)
        if fault == "slow":
            mean_s *= SLOW_FACTOR
        elif fault == "cold" and now_s < COLD_S:
            mean_s *= COLD_FACTOR
        elif fault == "liar":
            running = self._admissions[index].running
            mean_s *= max(1.0, running / REAL_SLOTS_OF_LIAR)
        ran_s = self._rng.expovariate(1 / mean_s)
        self._push(now_s + ran_s, "finish", request)

    def _finish(self, request: Request, now_s: float) -> None:
        assert request.endpoint is not None and request.ticket is not None
        index = self._index[request.endpoint.daemon]
        # The service time itself is not stored; its mean serves as well.
        started = self._admissions[index].release(request.ticket, SERVICE_S)
        for ticket in started:
            waiting = self._waiting[index].pop(ticket.number)
            self._begin(waiting, index, now_s)
        self._push(now_s + HOP_S, "answer", request)

    def _answer(self, request: Request, now_s: float) -> None:
        assert request.endpoint is not None
        self._seen[request.egress].on_finished(
            request.endpoint.daemon, now_s, now_s - request.sent_s
        )
        if request.born_s < WARM_UP_S:
            return
        latency_s = now_s - request.born_s
        self._latencies.append(latency_s)
        self._good += latency_s <= DEADLINE_S

    def _refuse(
        self, request: Request, exc: errors.RequestError, now_s: float
    ) -> None:
        assert request.endpoint is not None
        seen = self._seen[request.egress]
        seen.on_refused(request.endpoint.daemon, now_s)
        again = retries.may_retry(
            exc, True, False, request.retries, self._budgets[request.egress]
        )
        if again:
            request.retries += 1
            self._choose(request, now_s + HOP_S)
        else:
            self._refused += request.born_s >= WARM_UP_S


def main(argv: list[str]) -> None:
    """Prints the comparison."""
    del argv
    print(f"seed={options.SEED.value} seconds={_SECONDS.value}")
    print(
        f"{'load':>5} {'faults':>6} {'policy':14} {'goodput':>8}"
        f" {'p50 ms':>8} {'p99 ms':>8} {'refused':>8} {'attempts':>8}"
    )
    for load in LOADS:
        for faults in (False, True):
            for policy in selection_policies.names():
                result = Model(
                    policy, load, options.SEED.value, _SECONDS.value, faults
                ).run()
                print(
                    f"{load:5.1f} {'yes' if faults else 'no':>6} {policy:14}"
                    f" {result.goodput:8.4f} {result.p50_ms:8.1f}"
                    f" {result.p99_ms:8.1f} {result.refused:8.4f}"
                    f" {result.attempts:8.3f}"
                )


if __name__ == "__main__":
    app.run(main)
