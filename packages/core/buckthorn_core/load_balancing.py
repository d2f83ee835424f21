"""Choice of the daemon that a request is sent to.

Each candidate is scored with what the request stands to lose there. The time
until its answer (the way there, the wait for a slot and the run, by the last
load that its daemon reported and by what this daemon has sent since) gives the
risk that it comes after the target; an answer well before the target is worth
no more than one just before it. Bytes between availability zones are paid, so
a crossing costs a share of the answer's worth, and is made when it lowers the
risk by more than that.

A crossing between regions is made only to an instance that has just reported a
free slot: when both regions are full, it is paid for nothing. An instance of
another region without a recent report is asked for one first.

The load pattern: a calm mesh with instances of three speeds in each zone. With
time as the score, two of five requests went to a fast instance of another zone
beside idle ones that would have met the target.
"""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

import msgspec

from buckthorn_core import directories
from buckthorn_core import ids
from buckthorn_core import slot_queues

# Round trips in seconds, as both meshes state them.
SITE_TRIP_S = 0.0005
REGION_TRIP_S = 0.002
REMOTE_TRIP_S = 0.04
# What a crossing costs, as a share of an answer's worth: bytes between sites
# and, four times as much, between regions are paid. An answer of 1.5 KB costs a
# tenth to a twentieth of a lookup between sites.
SITE_CROSSING = 0.08
REGION_CROSSING = 0.32
# Standard deviation of the logarithm of run times: they vary by a third.
RUN_SPREAD = 0.35
# What an instance that is expected to refuse a request, or to be late, is put
# back by: the answer's whole worth.
LATE_PENALTY = 1.0
# Weight of the time until the answer, as a share of the target, against the
# risk: among instances that are safe, the faster one keeps its slots free.
TIME_WEIGHT = 0.05
# Candidates whose times differ by less than this share of a run are equal;
# otherwise all daemons would pick the same one between two reports.
SPREAD = 0.1
# Share of its slots up to which an instance of another region has room: all
# daemons of a full region send to it until its next report.
ROOM_SHARE = 0.8
# A report describes the load for this long, in seconds.
REPORT_S = 1.0
# A daemon that refused gets no request for this long, in seconds, unless
# there is no other.
REFUSED_S = 0.1
# A daemon that can't be reached, or whose upstream takes no work, gets no
# request until it has reported slots. It is asked for a report after this
# long, in seconds, and then ever more rarely: hosts that are lost for good stay
# listed for a while, and each request that is tried there waits for a
# connection.
FIRST_PROBE_S = 0.25
MAX_PROBE_S = 2.0
# One request of this many goes to an instance of the region that has reported
# nothing for the time in seconds: how fast it is changes, and when load comes
# there is a connection to it. Each costs part of a run at most.
EXPLORE_EACH = 50
EXPLORE_AFTER_S = 3.0
# Share of requests an instance failed, from which it is avoided.
FAILING_SHARE = 0.2
FAILURE_SMOOTHING = 0.1


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon reports of the upstream beside it.

    Attributes:
        slots: Its slots; 0 while it takes no work.
        running: Requests in slots.
        waiting: Requests in the queue.
        run_s: Average run time in seconds.
    """

    slots: int
    running: int
    waiting: int
    run_s: float


class UpstreamStatus:
    """What this daemon knows of another one's upstream."""

    __slots__ = (
        "avoid_until_s",
        "failing",
        "load",
        "probe_at_s",
        "probe_pause_s",
        "reachable",
        "reported_s",
        "sent_since",
    )

    def __init__(self, slots: int):
        self.load = LoadReport(slots, 0, 0, slot_queues.INITIAL_RUN_S)
        self.reported_s = float("-inf")
        self.sent_since = 0
        self.avoid_until_s = float("-inf")
        self.failing = 0.0
        self.reachable = True
        self.probe_at_s = float("-inf")
        self.probe_pause_s = FIRST_PROBE_S

    @property
    def is_usable(self) -> bool:
        """Whether requests may be sent there, as far as is known."""
        return self.reachable and self.load.slots > 0


class Origin(msgspec.Struct, frozen=True):
    """Where a request starts."""

    daemon: ids.DaemonId
    site: ids.SiteName
    region: ids.RegionName


class Selection(NamedTuple):
    """The daemon to send to, if any, and those to ask for a report."""

    to: directories.Registration | None
    probes: Sequence[directories.Registration] = ()


class LoadBalancer:
    """Scores candidates by reported load, distance and failures."""

    def __init__(self, origin: Origin, rng: random.Random):
        self._origin = origin
        self._rng = rng
        self._seen: dict[ids.DaemonId, UpstreamStatus] = {}

    def status_of(self, to: directories.Registration) -> UpstreamStatus:
        """Returns what is known of a daemon's upstream."""
        found = self._seen.get(to.daemon)
        if found is None:
            found = self._seen[to.daemon] = UpstreamStatus(to.slots)
        return found

    def remove(self, daemon: ids.DaemonId) -> None:
        """Forgets a daemon that is gone."""
        self._seen.pop(daemon, None)

    def on_report(
        self, to: directories.Registration, load: LoadReport, now_s: float
    ) -> bool:
        """Takes a report of a daemon's load.

        Returns:
            Whether the daemon could not be reached before.
        """
        seen = self.status_of(to)
        regained = not seen.reachable
        if seen.is_usable and load.slots == 0:
            seen.probe_at_s = now_s + seen.probe_pause_s
        seen.load = load
        seen.reported_s = now_s
        seen.sent_since = 0
        seen.reachable = True
        if load.slots:
            seen.probe_pause_s = FIRST_PROBE_S
        return regained

    def on_sent(self, to: directories.Registration) -> None:
        """Notes a request sent since the last report."""
        self.status_of(to).sent_since += 1

    def on_refused(self, to: directories.Registration, now_s: float) -> None:
        """Notes a refusal by the daemon beside the upstream."""
        seen = self.status_of(to)
        seen.avoid_until_s = max(seen.avoid_until_s, now_s + REFUSED_S)

    def on_unreachable(
        self, to: directories.Registration, now_s: float
    ) -> bool:
        """Notes a daemon that can't be reached; returns whether it is news."""
        seen = self.status_of(to)
        if not seen.reachable:
            return False
        seen.reachable = False
        seen.probe_at_s = now_s + seen.probe_pause_s
        return True

    def on_answered(self, to: directories.Registration, failed: bool) -> None:
        """Notes an upstream's own answer or refusal."""
        seen = self.status_of(to)
        seen.failing += FAILURE_SMOOTHING * (failed - seen.failing)

    def choose(
        self,
        candidates: Sequence[directories.Registration],
        now_s: float,
        target_s: float,
        left_to_target_s: float,
        region_full: bool,
    ) -> Selection:
        """Returns the candidate to send a request to.

        Args:
            candidates: Registrations of the service, not tried yet.
            now_s: Steady time in seconds.
            target_s: The route's target, in seconds.
            left_to_target_s: Time left until the request's target.
            region_full: Whether an instance of the region has refused the
                request because it is full.
        """
        near: list[directories.Registration] = []
        far: list[directories.Registration] = []
        for c in candidates:
            (near if c.region == self._origin.region else far).append(c)
        usable = [c for c in near if self._takes_work(c, now_s)]
        usable.extend(c for c in far if self._has_room(c, now_s))
        probes = [c for c in far if not self._is_fresh(c, now_s)]
        probe = [c for c in near if self._take_probe(c, now_s)]
        if not usable and not region_full:
            usable = self._last_resort(near, far)
        if not usable:
            return Selection(None, [*probes, *probe])
        unknown = self._to_explore(usable, now_s)
        if unknown is not None and left_to_target_s > target_s / 2:
            return Selection(unknown, probe)
        scores = {
            c.daemon: self._score(c, now_s, target_s, left_to_target_s)
            for c in usable
        }
        best = min(usable, key=lambda c: scores[c.daemon])
        late = scores[best.daemon] >= LATE_PENALTY
        return Selection(best, [*probes, *probe] if late else probe)

    def _last_resort(
        self,
        near: list[directories.Registration],
        far: list[directories.Registration],
    ) -> list[directories.Registration]:
        """Returns candidates when none is known to have room.

        Those that have just refused come first. A daemon that can't be reached
        is tried only if nothing is heard of any: that may be this daemon's
        own connection.
        """
        for group in (near, far):
            usable = [c for c in group if self.status_of(c).is_usable]
            if usable:
                return usable
        if any(self.status_of(c).reachable for c in (*near, *far)):
            return []
        return near or far

    def _to_explore(
        self, usable: Sequence[directories.Registration], now_s: float
    ) -> directories.Registration | None:
        """Returns an instance of the region to be measured anew, at times."""
        if self._rng.random() * EXPLORE_EACH >= 1.0:
            return None
        oldest = min(usable, key=lambda c: self.status_of(c).reported_s)
        quiet_s = now_s - self.status_of(oldest).reported_s
        return oldest if quiet_s > EXPLORE_AFTER_S else None

    def _take_probe(self, to: directories.Registration, now_s: float) -> bool:
        seen = self.status_of(to)
        if seen.is_usable or now_s < seen.probe_at_s:
            return False
        seen.probe_pause_s = min(MAX_PROBE_S, 2 * seen.probe_pause_s)
        seen.probe_at_s = now_s + seen.probe_pause_s
        return True

    def _is_fresh(self, to: directories.Registration, now_s: float) -> bool:
        return now_s - self.status_of(to).reported_s <= REPORT_S

    def _takes_work(self, to: directories.Registration, now_s: float) -> bool:
        seen = self.status_of(to)
        return seen.is_usable and seen.avoid_until_s <= now_s

    def _has_room(self, to: directories.Registration, now_s: float) -> bool:
        seen = self.status_of(to)
        load = seen.load
        busy = seen.sent_since + load.running + load.waiting
        return (
            self._takes_work(to, now_s)
            and self._is_fresh(to, now_s)
            and busy < ROOM_SHARE * load.slots
        )

    def _score(
        self,
        to: directories.Registration,
        now_s: float,
        target_s: float,
        left_s: float,
    ) -> float:
        seen = self.status_of(to)
        load = seen.load
        fresh = self._is_fresh(to, now_s)
        busy = seen.sent_since + (load.running + load.waiting if fresh else 0)
        slots = max(1, load.slots)
        run_s = max(load.run_s, slot_queues.MIN_RETRY_AFTER_S)
        queue_s = max(0, busy + 1 - slots) * run_s / slots
        # Instances get slower towards their last slot, and reports are late.
        crowd_s = run_s * 0.5 * min(1.0, busy / slots) ** 2
        trip_s, crossing = self._distance(to)
        total_s = trip_s + queue_s + crowd_s + run_s
        noise_s = self._rng.random() * SPREAD * run_s
        score = (
            late_risk(total_s, left_s)
            + crossing
            + TIME_WEIGHT * (total_s + noise_s) / target_s
        )
        slack_s = left_s - trip_s - run_s
        if total_s > left_s or queue_s > slot_queues.WAIT_SHARE * slack_s:
            score += LATE_PENALTY
        if seen.failing > FAILING_SHARE:
            score += LATE_PENALTY * seen.failing
        return score

    def _distance(self, to: directories.Registration) -> tuple[float, float]:
        if to.daemon == self._origin.daemon:
            return 0.0, 0.0
        if to.region != self._origin.region:
            return REMOTE_TRIP_S, REGION_CROSSING
        if to.site != self._origin.site:
            return REGION_TRIP_S, SITE_CROSSING
        return SITE_TRIP_S, 0.0


def late_risk(total_s: float, left_s: float) -> float:
    """Returns the probability that an answer comes too late.

    Args:
        total_s: The expected time until the answer, in seconds.
        left_s: The time until the target, in seconds.
    """
    if left_s <= 0:
        return 1.0
    deviations = math.log(left_s / total_s) / RUN_SPREAD
    return 0.5 * math.erfc(deviations / math.sqrt(2))
