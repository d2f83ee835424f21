"""Selection of the daemon that a request is sent to.

Each candidate gets a score, and the lowest score wins. The score is the
probability that the answer arrives after the target, plus the cost of
crossing a zone or region boundary. The time until the answer is the round
trip, the queueing delay and the run time, estimated from the last load report
of that daemon and from what this daemon has sent to it since. An answer well
before the target is worth no more than one just before it.

Traffic between availability zones is billed, so another zone is used only if
that lowers the risk of a late answer by more than the crossing costs.

Another region is used only if an instance there has just reported a free
slot: when both regions are full, the crossing would be paid for nothing. An
instance of another region without a recent report is asked for one first.

Scoring by time alone sent two of five requests of an idle mesh to a faster
instance in another zone, although idle local instances would have met the
target.
"""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

import msgspec

from buckthorn_core import directories
from buckthorn_core import ids
from buckthorn_core import slot_queues
from buckthorn_core import stated_limits

# Round-trip times in seconds, as stated for both meshes.
SITE_TRIP_S = 0.0005
REGION_TRIP_S = 0.002
REMOTE_TRIP_S = 0.04
# Cost of crossing a boundary, as a share of an answer's value. Traffic between
# regions costs four times as much as traffic between sites, where an answer of
# 1.5 KB costs 5 to 10 percent of the value of a lookup.
SITE_CROSSING = 0.08
REGION_CROSSING = 0.32
# Standard deviation of the logarithm of run times, which vary by a third.
RUN_LOG_STDDEV = 0.35
# Added to the score of an instance that is expected to refuse the request or
# to answer late: the full value of an answer.
LATE_PENALTY = 1.0
# Weight of the time until the answer (as a share of the target) relative to the
# risk. Among instances that meet the target, it prefers the faster one, whose
# slots are free again sooner.
TIME_WEIGHT = 0.05
# Random noise added to the expected time, as a share of the run time. Without
# it, all daemons would choose the same instance between two reports.
NOISE_SHARE = 0.1
# An instance of another region gets requests only while less than this share
# of its slots is in use: until its next report, all daemons of a full region
# send to it.
MAX_REMOTE_LOAD_SHARE = 0.8
# Time after which a load report is stale, in seconds.
REPORT_LIFETIME_S = 1.0
# Time for which a daemon that refused a request gets no further one, in
# seconds, unless there is no other.
REFUSAL_BACKOFF_S = 0.1
# A daemon that is unreachable, or whose upstream accepts no requests, gets none
# until it has reported slots. It is probed for a report after FIRST_PROBE_S
# seconds, and then with exponential backoff: lost hosts stay in the directory
# for a while, and each attempt there waits for a connection.
FIRST_PROBE_S = 0.25
MAX_PROBE_S = 2.0
# One of this many requests goes to an available instance without a report in
# the last EXPLORE_AFTER_S seconds. This updates its run time, and a connection
# to it exists when the load rises. It costs at most part of a run.
EXPLORE_INTERVAL_REQUESTS = 50
EXPLORE_AFTER_S = 3.0
# Smoothed failure rate above which an instance is avoided.
MAX_FAILURE_RATE = 0.2
FAILURE_SMOOTHING = 0.1


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of an upstream, as reported by its daemon.

    Attributes:
        slots: Slots of the upstream; 0 while it accepts no requests.
        running: Number of requests in slots.
        waiting: Number of requests in the queue.
        run_s: Average run time in seconds.
        start_delay_ms: How long the upstream's limit delays the start of a
            further request, in milliseconds.
        notice: What the upstream has stated about itself; None if it takes
            requests without a limit, or nothing is known.
        software_version: Version of the upstream's software; empty if not
            known.
        warming: Whether the upstream is still warming up.
        link_drain_ms: Expected time until the bodies that wait on the host's
            link are sent, in milliseconds.
    """

    slots: int
    running: int
    waiting: int
    run_s: float
    start_delay_ms: int = 0
    notice: stated_limits.UpstreamNotice | None = None
    software_version: str = ""
    warming: bool = False
    link_drain_ms: int = 0


class UpstreamStatus:
    """What this daemon knows about the upstream of another daemon.

    Attributes:
        notice: What the upstream has last stated about itself. It outlasts
            reports of a restarted daemon that doesn't know it yet.
    """

    __slots__ = (
        "avoid_until_s",
        "failure_rate",
        "load",
        "notice",
        "probe_at_s",
        "probe_interval_s",
        "reachable",
        "reported_s",
        "sent_since_report",
    )

    def __init__(self, slots: int):
        self.load = LoadReport(slots, 0, 0, slot_queues.INITIAL_RUN_S)
        self.notice: stated_limits.UpstreamNotice | None = None
        self.reported_s = float("-inf")
        self.sent_since_report = 0
        self.avoid_until_s = float("-inf")
        self.failure_rate = 0.0
        self.reachable = True
        self.probe_at_s = float("-inf")
        self.probe_interval_s = FIRST_PROBE_S

    @property
    def is_routable(self) -> bool:
        """Whether it was reachable and had slots when last known."""
        return self.reachable and self.load.slots > 0


class Origin(msgspec.Struct, frozen=True):
    """The daemon that sends the requests, and its location."""

    daemon: ids.DaemonId
    site: ids.SiteName
    region: ids.RegionName


class Selection(NamedTuple):
    """The daemon to send to, if any, and those to ask for a load report."""

    to: directories.Registration | None
    probes: Sequence[directories.Registration] = ()


class LoadBalancer:
    """Selects daemons by reported load, distance and failure rate."""

    def __init__(self, origin: Origin, rng: random.Random):
        self._origin = origin
        self._rng = rng
        self._statuses: dict[ids.DaemonId, UpstreamStatus] = {}

    def status_of(
        self, registration: directories.Registration
    ) -> UpstreamStatus:
        """Returns the status of a daemon's upstream, created on first use."""
        status = self._statuses.get(registration.daemon)
        if status is None:
            status = self._statuses[registration.daemon] = UpstreamStatus(
                registration.slots
            )
        return status

    def remove(self, daemon: ids.DaemonId) -> None:
        """Removes the status of a daemon that has left."""
        self._statuses.pop(daemon, None)

    def on_report(
        self,
        registration: directories.Registration,
        load: LoadReport,
        now_s: float,
        with_response: bool = False,
    ) -> bool:
        """Stores a daemon's load report.

        Args:
            registration: The daemon.
            load: The report.
            now_s: Monotonic time in seconds.
            with_response: Whether it came with a response of the upstream.
                Only then does a report without a notice end an earlier one.

        Returns:
            Whether the daemon was unreachable before.
        """
        status = self.status_of(registration)
        was_unreachable = not status.reachable
        if status.is_routable and load.slots == 0:
            status.probe_at_s = now_s + status.probe_interval_s
        status.load = load
        if load.notice is not None or with_response:
            status.notice = load.notice
        status.reported_s = now_s
        status.sent_since_report = 0
        status.reachable = True
        if load.slots:
            status.probe_interval_s = FIRST_PROBE_S
        return was_unreachable

    def on_sent(self, registration: directories.Registration) -> None:
        """Counts a request sent since the last report."""
        self.status_of(registration).sent_since_report += 1

    def on_refused(
        self, registration: directories.Registration, now_s: float
    ) -> None:
        """Avoids a daemon for a short time after it refused a request."""
        status = self.status_of(registration)
        status.avoid_until_s = max(
            status.avoid_until_s, now_s + REFUSAL_BACKOFF_S
        )

    def on_unreachable(
        self, registration: directories.Registration, now_s: float
    ) -> bool:
        """Marks a daemon as unreachable.

        Returns:
            Whether it was reachable before.
        """
        status = self.status_of(registration)
        if not status.reachable:
            return False
        status.reachable = False
        status.probe_at_s = now_s + status.probe_interval_s
        return True

    def on_answered(
        self, registration: directories.Registration, failed: bool
    ) -> None:
        """Updates the failure rate with an answer of the upstream."""
        status = self.status_of(registration)
        status.failure_rate += FAILURE_SMOOTHING * (
            failed - status.failure_rate
        )

    def choose(
        self,
        candidates: Sequence[directories.Registration],
        now_s: float,
        target_s: float,
        left_to_target_s: float,
        region_full: bool,
    ) -> Selection:
        """Selects the candidate to send a request to.

        Args:
            candidates: Registrations of the service that the request has not
                been sent to yet.
            now_s: Monotonic time in seconds.
            target_s: The route's target, in seconds.
            left_to_target_s: Time left until the request's target, in seconds.
            region_full: Whether a full instance of this region has refused
                the request.
        """
        local: list[directories.Registration] = []
        remote: list[directories.Registration] = []
        for c in candidates:
            (local if c.region == self._origin.region else remote).append(c)
        usable = [c for c in local if self._is_available(c, now_s)]
        usable.extend(c for c in remote if self._has_room(c, now_s))
        remote_probes = [c for c in remote if not self._is_fresh(c, now_s)]
        due_probes = [c for c in local if self._start_probe_if_due(c, now_s)]
        if not usable and not region_full:
            usable = self._fallback_candidates(local, remote)
        if not usable:
            return Selection(None, [*remote_probes, *due_probes])
        unmeasured = self._pick_unmeasured(usable, now_s)
        if unmeasured is not None and left_to_target_s > target_s / 2:
            return Selection(unmeasured, due_probes)
        scores = {
            c.daemon: self._score(c, now_s, target_s, left_to_target_s)
            for c in usable
        }
        best = min(usable, key=lambda c: scores[c.daemon])
        late = scores[best.daemon] >= LATE_PENALTY
        return Selection(
            best, [*remote_probes, *due_probes] if late else due_probes
        )

    def _fallback_candidates(
        self,
        local: list[directories.Registration],
        remote: list[directories.Registration],
    ) -> list[directories.Registration]:
        """Returns candidates when none is available.

        Daemons that have just refused come first. Unreachable daemons are
        tried only if all are unreachable: the cause may then be this daemon's
        own connection.
        """
        for group in (local, remote):
            usable = [c for c in group if self.status_of(c).is_routable]
            if usable:
                return usable
        if any(self.status_of(c).reachable for c in (*local, *remote)):
            return []
        return local or remote

    def _pick_unmeasured(
        self, usable: Sequence[directories.Registration], now_s: float
    ) -> directories.Registration | None:
        """Returns an instance without a recent report, for a few requests."""
        if self._rng.random() * EXPLORE_INTERVAL_REQUESTS >= 1.0:
            return None
        oldest = min(usable, key=lambda c: self.status_of(c).reported_s)
        age_s = now_s - self.status_of(oldest).reported_s
        return oldest if age_s > EXPLORE_AFTER_S else None

    def _start_probe_if_due(
        self, registration: directories.Registration, now_s: float
    ) -> bool:
        status = self.status_of(registration)
        if status.is_routable or now_s < status.probe_at_s:
            return False
        status.probe_interval_s = min(MAX_PROBE_S, 2 * status.probe_interval_s)
        status.probe_at_s = now_s + status.probe_interval_s
        return True

    def _is_fresh(
        self, registration: directories.Registration, now_s: float
    ) -> bool:
        return (
            now_s - self.status_of(registration).reported_s <= REPORT_LIFETIME_S
        )

    def _is_available(
        self, registration: directories.Registration, now_s: float
    ) -> bool:
        status = self.status_of(registration)
        return status.is_routable and status.avoid_until_s <= now_s

    def _has_room(
        self, registration: directories.Registration, now_s: float
    ) -> bool:
        status = self.status_of(registration)
        load = status.load
        busy = status.sent_since_report + load.running + load.waiting
        return (
            self._is_available(registration, now_s)
            and self._is_fresh(registration, now_s)
            and busy < MAX_REMOTE_LOAD_SHARE * load.slots
            and _limit_delay_s(status, now_s) <= 0
        )

    def _score(
        self,
        registration: directories.Registration,
        now_s: float,
        target_s: float,
        left_s: float,
    ) -> float:
        status = self.status_of(registration)
        load = status.load
        is_fresh = self._is_fresh(registration, now_s)
        busy = status.sent_since_report + (
            load.running + load.waiting if is_fresh else 0
        )
        slots = max(1, load.slots)
        run_s = max(load.run_s, slot_queues.MIN_RETRY_AFTER_S)
        queue_s = max(
            max(0, busy + 1 - slots) * run_s / slots,
            _limit_delay_s(status, now_s),
        )
        # Instances get slower as their slots fill up, and reports lag behind.
        contention_s = run_s * 0.5 * min(1.0, busy / slots) ** 2
        round_trip_s, crossing = self._distance(registration)
        total_s = round_trip_s + queue_s + contention_s + run_s
        noise_s = self._rng.random() * NOISE_SHARE * run_s
        score = (
            late_risk(total_s, left_s)
            + crossing
            + TIME_WEIGHT * (total_s + noise_s) / target_s
        )
        slack_s = left_s - round_trip_s - run_s
        if total_s > left_s or queue_s > slot_queues.WAIT_SHARE * slack_s:
            score += LATE_PENALTY
        if status.failure_rate > MAX_FAILURE_RATE:
            score += LATE_PENALTY * status.failure_rate
        return score

    def _distance(
        self, registration: directories.Registration
    ) -> tuple[float, float]:
        if registration.daemon == self._origin.daemon:
            return 0.0, 0.0
        if registration.region != self._origin.region:
            return REMOTE_TRIP_S, REGION_CROSSING
        if registration.site != self._origin.site:
            return REGION_TRIP_S, SITE_CROSSING
        return SITE_TRIP_S, 0.0


def _limit_delay_s(status: UpstreamStatus, now_s: float) -> float:
    """Returns how long an upstream's limit delays a request, in seconds."""
    load = status.load
    if load.notice is None:
        return 0.0
    delay_s = load.start_delay_ms / 1000
    sent_s = status.sent_since_report * load.notice.interval_s
    return max(0.0, delay_s + sent_s - (now_s - status.reported_s))


def late_risk(total_s: float, left_s: float) -> float:
    """Returns the probability that an answer comes too late.

    Args:
        total_s: Expected time until the answer, in seconds.
        left_s: Time until the target, in seconds.
    """
    if left_s <= 0:
        return 1.0
    deviations = math.log(left_s / total_s) / RUN_LOG_STDDEV
    return 0.5 * math.erfc(deviations / math.sqrt(2))
