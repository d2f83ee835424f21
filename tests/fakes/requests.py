"""Requests without operation keys, from callers to upstreams.

The hops between daemons are fakes with faults. The choice of the upstream,
retries, the retry budget and admission are the production code.
"""

import random

from buckthorn_core import admission
from buckthorn_core import endpoints
from buckthorn_core import errors
from buckthorn_core import failed_attempts
from buckthorn_core import ids
from buckthorn_core import retries
from buckthorn_core import selection_policies

DEADLINE_S = 5.0
Code = errors.Code
# Error that the sender of a request gets, by fault. Before the first byte is
# sent the request can't have run; afterwards the outcome is unknown.
ERROR_CODES = {
    "kill": Code.UPSTREAM_FAILED,
    "freeze": Code.UPSTREAM_SILENT,
    "cut_one_way": Code.UPSTREAM_SILENT,
    "cut_both_ways": Code.UPSTREAM_SILENT,
    "silent": Code.UPSTREAM_SILENT,
    "slow_link": Code.TIMED_OUT,
    "disorder": Code.UPSTREAM_FAILED,
    "answer_lost": Code.UPSTREAM_FAILED,
    "herd": Code.UPSTREAM_FAILED,
}
# On an established connection these faults show only after bytes were sent.
DISPATCH_ERROR_CODES = {"silent": Code.UPSTREAM_SILENT}


class Request:
    """A request and its outcome.

    Attributes:
        idempotent: Whether it may run more than once.
        long_body: Whether its body is too long to be buffered for a retry.
        runs: Upstreams that ran it.
        reached_upstream: Whether a byte reached an upstream, in any try.
        tries: Number of tries.
        error: The error that the caller got, or None.
    """

    def __init__(self, idempotent: bool, long_body: bool):
        self.idempotent = idempotent
        self.long_body = long_body
        self.runs: list[ids.DaemonId] = []
        self.reached_upstream = False
        self.tries = 0
        self.error: errors.RequestError | None = None


class RequestSimulation:
    """Upstreams, their admission, and one daemon that receives the requests.

    Attributes:
        fault: The fault, which hits a share of the tries at `step`.
        step: The step of a try at which the fault occurs.
        stuck: Slots held by requests that do not finish.
    """

    def __init__(self, seed: int, fault: str, step: str, hosts: int = 4):
        self.rng = random.Random(seed)
        self.fault = fault
        self.step = step
        self.now_s = 0.0
        self.endpoint_stats = selection_policies.EndpointStatsTable()
        self.budget = retries.RetryBudget()
        self.retries = 0
        self.stuck: list[tuple[admission.AdmissionQueue, admission.Ticket]] = []
        self.endpoints = [
            endpoints.Endpoint(
                ids.DaemonId(f"n{n}"),
                ids.Address(f"127.0.0.1:{n}"),
                ids.RegionName("near"),
                ids.SiteName("n1"),
                4,
            )
            for n in range(hosts)
        ]
        self.admissions = {
            e.daemon: admission.AdmissionQueue(admission.Limits(4, 8))
            for e in self.endpoints
        }

    def send(self, req: Request) -> None:
        """Sends a request as the daemon of the caller does."""
        self.budget.add_request()
        tried: set[ids.DaemonId] = set()
        attempt_errors = failed_attempts.FailedAttempts()
        while True:
            candidates = [e for e in self.endpoints if e.daemon not in tried]
            chosen = selection_policies.get("two_choices")(
                candidates, self.endpoint_stats, self.now_s, self.rng
            )
            tried.add(chosen.daemon)
            self.endpoint_stats.on_started(chosen.daemon, self.now_s)
            try:
                self._try(req, chosen.daemon)
            except errors.RequestError as exc:
                report = self.endpoint_stats.on_failed
                if exc.info.not_run:
                    report = self.endpoint_stats.on_refused
                report(chosen.daemon, self.now_s)
                attempt_errors.add(exc)
                consumed = req.long_body and not exc.info.not_run
                if len(tried) == len(self.endpoints) or not retries.may_retry(
                    exc, req.idempotent, consumed, req.tries - 1, self.budget
                ):
                    req.error = attempt_errors.final_error(exc)
                    return
                self.retries += 1
                continue
            self.endpoint_stats.on_finished(chosen.daemon, self.now_s, 0.02)
            return

    def _try(self, req: Request, daemon: ids.DaemonId) -> None:
        req.tries += 1
        self.now_s += 0.001
        fault_hits = self.rng.random() < 0.4
        if fault_hits and self.step == "dispatch":
            raise errors.RequestError(
                DISPATCH_ERROR_CODES.get(self.fault, Code.PEER_UNAVAILABLE), ""
            )
        admission_gate = self.admissions[daemon]
        if fault_hits and self.step == "admit":
            self._inject_admission_fault(admission_gate)
        ticket = admission_gate.admit(self.now_s, self.now_s + DEADLINE_S)
        try:
            if not admission_gate.is_running(ticket):
                # The deadline passes while it waits; nothing was sent.
                raise errors.RequestError(Code.DEADLINE_PASSED, "waited")
            self._run(req, daemon, fault_hits)
        finally:
            admission_gate.release(ticket, 0.02)

    def _inject_admission_fault(
        self, admission_gate: admission.AdmissionQueue
    ) -> None:
        """Closes the admission of the upstream's daemon, or fills its slots."""
        if self.fault in ("kill", "herd", "cut_both_ways", "cut_one_way"):
            admission_gate.closed = not admission_gate.closed
            return
        # Requests that a silent or frozen upstream does not finish.
        while admission_gate.running < 4:
            ticket = admission_gate.admit(self.now_s, self.now_s + 60.0)
            self.stuck.append((admission_gate, ticket))

    def _run(
        self, req: Request, daemon: ids.DaemonId, fault_hits: bool
    ) -> None:
        req.reached_upstream = True
        if fault_hits and self.step == "body":
            raise errors.RequestError(ERROR_CODES[self.fault], "body cut short")
        req.runs.append(daemon)
        if fault_hits and self.step == "answer":
            raise errors.RequestError(
                ERROR_CODES[self.fault], "no whole answer"
            )

    def drain(self) -> None:
        """Ends the requests that hold slots without finishing."""
        for admission_gate, ticket in self.stuck:
            admission_gate.release(ticket)
