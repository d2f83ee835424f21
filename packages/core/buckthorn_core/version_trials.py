"""Canary rollout (trial) of a service's new software version.

A trial begins with an order and ends with a result, which a record states. In
between, each daemon sends a small share of its requests to the new version.
The driver, one of the service's daemons, then has all of them move their
traffic over and writes the result. A daemon never goes back to an earlier
phase, and merges the phases that others state.
"""

from collections.abc import Iterable
import enum
import math
import random
from typing import NamedTuple

import msgspec

from buckthorn_core import ids
from buckthorn_core import roles
from buckthorn_core import trial_verdicts

# Part of the allowed canary share that each daemon spends. Daemons learn of an
# order and of a verdict at different times; the rest is for this and for the
# first stage of the shift.
SPENT_FRACTION = 0.6
# Largest share of a route's requests. Routes get evidence at equal rates as far
# as their traffic allows.
MAX_ROUTE_SHARE = 0.25
# Answers of the new version from which on its share is checked; fewer say
# little of it.
MIN_CHECKED_SPENT = 30
# Most credit that is saved, in requests.
MAX_CREDIT = 2.0
# Share of the traffic in the first stage of the shift, and its length in
# seconds. A version that fails only under load shows it here while few of the
# requests reach it.
STAGE_SHARE = 0.25
STAGE_S = 0.7
# How long all traffic goes to the new version before the result, in seconds,
# at least: requests may still be on their way to old instances.
SETTLE_S = 0.4
# When the shift begins if the version is good, as a fraction of the order's
# duration and in seconds before its end: versions may turn bad late.
SHIFT_FRACTION = 0.7
SHIFT_BEFORE_END_S = 2.8
# The same if the evidence is thin.
LATEST_SHIFT_BEFORE_END_S = 2.2
# When the result is written, whether or not all requests on old instances have
# ended; in seconds before the end, and after a shift that began late.
RESULT_BEFORE_END_S = 0.5
RESULT_AFTER_SHIFT_S = 2.0
# How long a version is observed before it counts as good, and before it gets
# the traffic without that, in seconds.
MIN_OBSERVED_S = 3.0
MIN_THIN_OBSERVED_S = 1.5
# The new version's requests go to a few of its instances at a time, so that
# these are loaded as they would be after the trial. They change at this
# interval, in seconds.
FOCUS_INTERVAL_S = 1.5
# How long after its end a completed trial keeps requests from instances of
# other versions, in seconds; they stop at once.
AFTERMATH_S = 30.0


class Phase(enum.Enum):
    """Phase of a trial.

    UNKNOWN: the order is old, and its result is not known yet.
    """

    UNKNOWN = "unknown"
    CANARY = "canary"
    SHIFTING = "shifting"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"


# COMPLETED outranks ROLLED_BACK because only a record brings it, and the old
# instances stop when it is written.
_RANKS = {phase: rank for rank, phase in enumerate(Phase)}
FINAL = frozenset({Phase.ROLLED_BACK, Phase.COMPLETED})


class Order(msgspec.Struct, frozen=True, array_like=True):
    """An order to move a service to a new version.

    Attributes:
        service: The service.
        target: The new version.
        duration_s: Time from the order until its result, in seconds.
    """

    service: ids.ServiceName
    target: str
    duration_s: float


class Result(msgspec.Struct, frozen=True):
    """What the record of an order's result states.

    Attributes:
        phase: CANARY while the trial runs, ROLLED_BACK or COMPLETED.
        target: The new version.
    """

    phase: Phase
    target: str


class Status(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon tells others of a trial.

    Attributes:
        order: The order.
        place: Epoch and offset of the order's record.
        phase: The phase.
        age_s: Time since the order, in seconds.
        shift_at_s: Age at which the shift began, in seconds; None before.
        reason: Why the version was rolled back; empty if it wasn't.
        recorded: Whether the log is known to have the result.
        route_shares: Shares of the routes' requests for the new version, as the
            driver has allotted them.
    """

    order: Order
    place: tuple[int, int]
    phase: Phase
    age_s: float
    shift_at_s: float | None = None
    reason: str = ""
    recorded: bool = False
    route_shares: dict[ids.RouteName, float] = {}


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon reports to the driver.

    Attributes:
        status: What it knows of the trial.
        source: Unique id of its process; empty in replies, without counts.
        counts: All answers that it has counted.
        on_old: Its requests in flight on instances of other versions.
        moved: Whether all its traffic goes to the new version.
        pending: Its requests in flight on the new version, by their age.
    """

    status: Status
    source: str = ""
    counts: trial_verdicts.Counts | None = None
    on_old: int = 0
    moved: bool = False
    pending: trial_verdicts.Counts | None = None


class Groups(NamedTuple):
    """The daemons of a service, by the version of their upstreams."""

    new: list[ids.DaemonId]
    old: list[ids.DaemonId]


class Trial:
    """State of one trial in one daemon.

    Attributes:
        order: The order.
        place: Epoch and offset of the order's record.
        phase: The phase.
        reason: Why the version was rolled back.
        evidence: Answers that this daemon knows of.
        counts: Answers to this daemon's own requests.
        on_old: This daemon's requests on instances of other versions.
        route_shares: Shares of the routes' requests for the new version, where
            they differ from the share of all requests.
        recorded: Whether the log is known to have the result.
        ended_s: When the result became known, in seconds.
    """

    def __init__(
        self,
        order: Order,
        place: tuple[int, int],
        phase: Phase,
        now_s: float,
        share: float,
        has_slack: bool,
        rng: random.Random,
    ):
        """Creates the trial.

        Args:
            order: The order.
            place: Epoch and offset of the order's record.
            phase: CANARY, or UNKNOWN if the order may be an old one.
            now_s: Monotonic time in seconds.
            share: Share of the requests that the version may get.
            has_slack: Whether a few requests beyond the share are allowed.
            rng: Source of the credit that each route starts with.
        """
        self.order = order
        self.place = place
        self.phase = phase
        self.reason = ""
        self.evidence = trial_verdicts.Evidence()
        self.counts = trial_verdicts.Counts()
        self.on_old = 0
        self.route_shares: dict[ids.RouteName, float] = {}
        self.recorded = False
        self.ended_s = math.inf
        self._share = SPENT_FRACTION * share
        self._has_slack = has_slack
        self._rng = rng
        self._started_s = now_s
        self._shift_at_s: float | None = None
        self._observed_s: float | None = None
        self._credit: dict[ids.RouteName, float] = {}
        # Answers that were known when the first new instance appeared.
        self._answers_before = 0

    @property
    def is_running(self) -> bool:
        """Whether the result is still open."""
        return self.phase not in FINAL

    def age_s(self, now_s: float) -> float:
        """Returns the time since the order, in seconds."""
        return now_s - self._started_s

    def status(self, now_s: float) -> Status:
        """Returns what others need to know."""
        return Status(
            self.order,
            self.place,
            self.phase,
            self.age_s(now_s),
            self._shift_at_s,
            self.reason,
            self.recorded,
            self.route_shares,
        )

    def merge(self, status: Status, now_s: float) -> bool:
        """Merges what another daemon states; returns if the phase changes."""
        self._started_s = min(self._started_s, now_s - status.age_s)
        if status.shift_at_s is not None:
            self._shift_at_s = min(
                status.shift_at_s, self._shift_at_s or math.inf
            )
        changed = self.advance(status.phase, now_s, status.reason)
        if status.phase is self.phase:
            self.recorded |= status.recorded
        return changed

    def follow(self, status: Status) -> None:
        """Takes the shares over that the driver has allotted to the routes."""
        if status.route_shares:
            self.route_shares = status.route_shares

    def advance(self, phase: Phase, now_s: float, reason: str = "") -> bool:
        """Moves to a later phase; returns whether the phase changes."""
        if _RANKS[phase] <= _RANKS[self.phase]:
            return False
        self.phase = phase
        if phase is Phase.ROLLED_BACK:
            self.reason = reason
        if phase is Phase.SHIFTING and self._shift_at_s is None:
            self._shift_at_s = self.age_s(now_s)
        if phase in FINAL:
            self.ended_s = now_s
        return True

    def share(self, now_s: float) -> float:
        """Returns the share of requests that the new version gets."""
        if self.phase is Phase.CANARY:
            return self._share
        if self.phase is Phase.SHIFTING and not self.is_moved(now_s):
            return STAGE_SHARE
        if self.phase in (Phase.SHIFTING, Phase.COMPLETED):
            return 1.0
        return 0.0

    def is_moved(self, now_s: float) -> bool:
        """Whether all traffic goes to the new version."""
        if self.phase is Phase.COMPLETED:
            return True
        return (
            self.phase is Phase.SHIFTING
            and self._shift_at_s is not None
            and self.age_s(now_s) >= self._shift_at_s + STAGE_S
        )

    def may_use_new(
        self, route: ids.RouteName, now_s: float, is_first: bool
    ) -> bool:
        """Returns whether an attempt may go to the new version.

        To be called only while there are instances of it.

        Args:
            route: The request's route.
            now_s: Monotonic time in seconds.
            is_first: Whether it is the request's first attempt.
        """
        share = self.share(now_s)
        if share in (0.0, 1.0):
            return share == 1.0
        if self.phase is Phase.CANARY:
            share = self.route_shares.get(route, share)
        credit = self._credit.get(route)
        if credit is None:
            # Starting at random, the daemons together spend the share from the
            # start, although each has few requests on some routes.
            credit = self._rng.random() if self._has_slack else 0.0
        if is_first:
            credit = min(MAX_CREDIT, credit + share)
        self._credit[route] = credit
        return credit >= 1.0

    def spend(self, route: ids.RouteName, requests: int) -> None:
        """Charges a route for requests sent to the new version.

        Args:
            route: The route.
            requests: Their number; negative for those that did not run.
        """
        self._credit[route] = min(
            MAX_CREDIT, self._credit.get(route, 0.0) - requests
        )

    def focus(
        self, instances: Iterable[ids.DaemonId], others: bool, now_s: float
    ) -> list[ids.DaemonId]:
        """Returns the new instances that get requests now.

        All daemons of a region choose the same ones.

        Args:
            instances: The new instances in the region.
            others: Whether there are more in other regions.
            now_s: Monotonic time in seconds.
        """
        candidates = list(instances)
        count = math.ceil(self.share(now_s) * len(candidates))
        # A test leaves out one instance, so two are needed.
        count = max(1 if others else 2, count)
        index = int(self.age_s(now_s) / FOCUS_INTERVAL_S)
        key = f"trial/{self.order.target}/{index}"
        return roles.ranked(key, candidates, count)

    def judge(
        self, instances: int, now_s: float, is_driver: bool = True
    ) -> trial_verdicts.Verdict:
        """Judges the version and rolls it back if it is bad.

        Args:
            instances: Number of instances of the new version.
            now_s: Monotonic time in seconds.
            is_driver: Whether this daemon gets the counts of the others.
        """
        if instances and self._observed_s is None:
            self._observed_s = now_s
            self._answers_before = self.evidence.total.answers
        if instances == 1 and self._observed_for_s(now_s) < MIN_OBSERVED_S:
            # Others may follow; one alone may fail for ordinary reasons.
            return trial_verdicts.Verdict(trial_verdicts.Judgement.OPEN)
        verdict = self.evidence.verdict(instances, is_driver)
        is_bad = verdict.judgement is trial_verdicts.Judgement.BAD
        if (
            is_driver
            and self.phase is Phase.SHIFTING
            and not self.is_moved(now_s)
        ):
            # The new version gets more requests than a bad one may.
            is_bad |= verdict.judgement is trial_verdicts.Judgement.SUSPECT
        if is_bad and self.phase in (Phase.CANARY, Phase.SHIFTING):
            reason = f"{verdict.reason} {verdict.odds_log:.1f}"
            self.advance(Phase.ROLLED_BACK, now_s, reason)
        return verdict

    def drive(
        self, verdict: trial_verdicts.Verdict, available: int, now_s: float
    ) -> None:
        """Begins the shift, or rolls back, when it is time; for the driver.

        Args:
            verdict: The verdict on the version.
            available: Number of new instances that accept requests.
            now_s: Monotonic time in seconds.
        """
        if self.phase is not Phase.CANARY:
            return
        self._allot_shares()
        age_s, end_s = self.age_s(now_s), self.order.duration_s
        shift_s = min(SHIFT_FRACTION * end_s, end_s - SHIFT_BEFORE_END_S)
        observed_s = self._observed_for_s(now_s)
        if not available:
            if age_s >= end_s - RESULT_BEFORE_END_S:
                self.advance(Phase.ROLLED_BACK, now_s, "no instances")
        elif (
            age_s >= end_s - LATEST_SHIFT_BEFORE_END_S
            and observed_s >= MIN_THIN_OBSERVED_S
        ):
            if verdict.judgement is trial_verdicts.Judgement.SUSPECT:
                reason = f"{verdict.reason} {verdict.odds_log:.1f}"
                self.advance(Phase.ROLLED_BACK, now_s, reason)
            else:
                self.advance(Phase.SHIFTING, now_s)
        elif (
            age_s >= shift_s
            and observed_s >= MIN_OBSERVED_S
            and verdict.judgement is trial_verdicts.Judgement.GOOD
        ):
            self.advance(Phase.SHIFTING, now_s)

    def _allot_shares(self) -> None:
        """Allots the share of all requests to the routes in equal parts.

        The shares are lowered if more than intended was spent, as the traffic
        of the routes changes.
        """
        total = self.evidence.total
        answers = {
            route: tally.answers
            for route, tally in total.old.items()
            if tally.answers >= trial_verdicts.MIN_ROUTE_ANSWERS
        }
        part = self._share * sum(answers.values()) / max(1, len(answers))
        observed = total.answers - self._answers_before
        spent = total.new_answers
        if spent > MIN_CHECKED_SPENT:
            part *= min(1.0, self._share * observed / spent)
        self.route_shares = {
            route: round(min(MAX_ROUTE_SHARE, part / count), 4)
            for route, count in answers.items()
        }

    def may_complete(self, all_moved: bool, now_s: float) -> bool:
        """Returns whether the driver may record the trial as completed.

        Args:
            all_moved: Whether no daemon has requests on old instances.
            now_s: Monotonic time in seconds.
        """
        if self.phase is not Phase.SHIFTING or self._shift_at_s is None:
            return False
        age_s = self.age_s(now_s)
        if age_s < self._shift_at_s + STAGE_S + SETTLE_S:
            return False
        return all_moved or age_s >= max(
            self.order.duration_s - RESULT_BEFORE_END_S,
            self._shift_at_s + RESULT_AFTER_SHIFT_S,
        )

    def _observed_for_s(self, now_s: float) -> float:
        if self._observed_s is None:
            return 0.0
        return now_s - self._observed_s


def next_result(trial: Trial, in_force: Result | None) -> Result | None:
    """Returns the result that the driver has to write; None for nothing.

    Args:
        trial: The trial. COMPLETED has to be written before it is entered.
        in_force: The result that the log has for the service.
    """
    if in_force is not None and in_force.target == trial.order.target:
        if in_force.phase in FINAL:
            return None
        if trial.phase not in FINAL:
            return None
    phase = trial.phase if trial.phase in FINAL else Phase.CANARY
    return Result(phase, trial.order.target)


class Drivers:
    """Finds the driver of a trial: the first daemon in order that replies."""

    # A daemon that has not replied for this long is passed over, in seconds.
    TIMEOUT_S = 0.9
    # How long it is passed over, in seconds.
    PAUSE_S = 2.0

    def __init__(self) -> None:
        self._waiting_since_s: dict[ids.DaemonId, float] = {}
        self._passed_over_until_s: dict[ids.DaemonId, float] = {}

    def on_sent(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Records that a daemon was sent a report."""
        self._waiting_since_s.setdefault(daemon, now_s)

    def on_reply(self, daemon: ids.DaemonId) -> None:
        """Records that a daemon has replied."""
        self._waiting_since_s.pop(daemon, None)
        self._passed_over_until_s.pop(daemon, None)

    def on_failure(self, daemon: ids.DaemonId, now_s: float) -> None:
        """Passes over a daemon that could not be reached."""
        self._waiting_since_s.pop(daemon, None)
        self._passed_over_until_s[daemon] = now_s + self.PAUSE_S

    def first(
        self,
        service: ids.ServiceName,
        members: Iterable[ids.DaemonId],
        local: ids.DaemonId,
        now_s: float,
    ) -> ids.DaemonId | None:
        """Returns the driver; None if no daemon can be reached.

        Args:
            service: The service.
            members: Its daemons.
            local: This daemon, which reaches itself.
            now_s: Monotonic time in seconds.
        """
        candidates = list(members)
        for daemon in roles.ranked(
            f"trial/{service}", candidates, len(candidates)
        ):
            if daemon == local:
                return daemon
            since_s = self._waiting_since_s.get(daemon, now_s)
            if now_s - since_s > self.TIMEOUT_S:
                self.on_failure(daemon, now_s)
            if self._passed_over_until_s.get(daemon, -math.inf) <= now_s:
                return daemon
        return None
