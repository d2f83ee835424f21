"""Verdict on a run, from the upstreams' records and the callers' answers."""

import collections
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from buckthorn_standins import callers


class Verdict(NamedTuple):
    """What became of a run's requests.

    Attributes:
        requests: Requests of callers.
        lost: Requests without an answer, or acknowledged but not recorded.
        cut: Answers or recorded bodies that are not whole.
        doubled: Operation keys that ran more than once.
        refused: Attempts answered as not run.
        lied: Attempts answered as not run that an upstream did run.
    """

    requests: int
    lost: int
    cut: int
    doubled: int
    refused: int
    lied: int


def judge(
    outcomes: Iterable[callers.Outcome], records: Iterable[dict[str, Any]]
) -> Verdict:
    """Compares what callers received with what upstreams recorded."""
    begun: collections.Counter[str] = collections.Counter()
    attempts_seen: set[str] = set()
    whole: dict[str, str] = {}
    for record in records:
        if record["event"] == "begin":
            attempts_seen.add(record["attempt"])
            if record["key"]:
                begun[record["key"]] += 1
        elif record["complete"]:
            whole[record["attempt"]] = record["digest"]
    requests = lost = cut = refused = lied = 0
    for outcome in outcomes:
        requests += 1
        cut += outcome.cut
        lost += not outcome.answered and not outcome.cut
        if outcome.answered:
            recorded = next(
                (whole[a.id] for a in outcome.attempts if a.id in whole), None
            )
            if outcome.kind is not callers.Kind.LOOKUP:
                lost += recorded is None
                cut += recorded is not None and recorded != outcome.digest
        for attempt in outcome.attempts:
            if attempt.not_run and attempt.status:
                refused += 1
                lied += attempt.id in attempts_seen
    doubled = sum(1 for count in begun.values() if count > 1)
    return Verdict(requests, lost, cut, doubled, refused, lied)
