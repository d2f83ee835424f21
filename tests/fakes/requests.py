"""Requests without keys, from callers through admission to upstreams.

The hops are fakes with faults; choice, retries, budget and admission are the
real ones.
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
# What the sender of a request sees when a fault strikes at a step. Before
# its first byte is sent, nothing can have run; afterwards nobody knows.
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
# An established connection shows these only after bytes were sent on it.
DISPATCH_ERROR_CODES = {"silent": Code.UPSTREAM_SILENT}


class Request:
    """A request and what became of it.

    Attributes:
        runs: Upstreams that ran it.
        touched: Whether a byte reached an upstream, in any try.
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
    """Upstreams, their admission, and one daemon that takes the requests.

    Attributes:
        fault: The fault, which strikes a share of the tries at `step`.
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
        """Sends a request as the daemon that the caller called does."""
        self.budget.add_request()
        tried: set[ids.DaemonId] = set()
        failed = failed_attempts.FailedAttempts()
        while True:
            left = [e for e in self.endpoints if e.daemon not in tried]
            chosen = selection_policies.get("two_choices")(
                left, self.endpoint_stats, self.now_s, self.rng
            )
            tried.add(chosen.daemon)
            self.endpoint_stats.on_started(chosen.daemon, self.now_s)
            try:
                self._try(req, chosen.daemon)
            except errors.RequestError as exc:
                note = self.endpoint_stats.on_failed
                if exc.info.not_run:
                    note = self.endpoint_stats.on_refused
                note(chosen.daemon, self.now_s)
                failed.add(exc)
                consumed = req.long_body and not exc.info.not_run
                if len(tried) == len(self.endpoints) or not retries.may_retry(
                    exc, req.idempotent, consumed, req.tries - 1, self.budget
                ):
                    req.error = failed.final_error(exc)
                    return
                self.retries += 1
                continue
            self.endpoint_stats.on_finished(chosen.daemon, self.now_s, 0.02)
            return

    def _try(self, req: Request, daemon: ids.DaemonId) -> None:
        req.tries += 1
        self.now_s += 0.001
        struck = self.rng.random() < 0.4
        if struck and self.step == "dispatch":
            raise errors.RequestError(
                DISPATCH_ERROR_CODES.get(self.fault, Code.PEER_UNAVAILABLE), ""
            )
        gate = self.admissions[daemon]
        if struck and self.step == "admit":
            self._strike_admission(gate)
        ticket = gate.admit(self.now_s, self.now_s + DEADLINE_S)
        try:
            if not gate.is_running(ticket):
                # Gives up while it waits; nothing was sent.
                raise errors.RequestError(Code.DEADLINE_PASSED, "waited")
            self._run(req, daemon, struck)
        finally:
            gate.release(ticket, 0.02)

    def _strike_admission(self, gate: admission.AdmissionQueue) -> None:
        """Makes the daemon of the upstream refuse, or its slots full."""
        if self.fault in ("kill", "herd", "cut_both_ways", "cut_one_way"):
            gate.closed = not gate.closed
            return
        # Requests that a silent or frozen upstream does not finish.
        while gate.running < 4:
            ticket = gate.admit(self.now_s, self.now_s + 60.0)
            self.stuck.append((gate, ticket))

    def _run(self, req: Request, daemon: ids.DaemonId, struck: bool) -> None:
        req.reached_upstream = True
        if struck and self.step == "body":
            raise errors.RequestError(ERROR_CODES[self.fault], "body cut short")
        req.runs.append(daemon)
        if struck and self.step == "answer":
            raise errors.RequestError(
                ERROR_CODES[self.fault], "no whole answer"
            )

    def drain(self) -> None:
        """Ends the requests that were stuck."""
        for gate, ticket in self.stuck:
            gate.release(ticket)
