"""Simulation of a trial over many senders, without a network.

Each sender has its own `Trial`; reports and statuses reach the driver and the
senders with a delay. Instances answer by a model of their version.
"""

import heapq
import itertools
import math
import random

from buckthorn_core import ids
from buckthorn_core import trial_verdicts
from buckthorn_core import version_trials

SERVICE = ids.ServiceName("stock")
ROUTES = {
    ids.RouteName("browse"): (0.6, 0.33),
    ids.RouteName("book"): (0.3, 0.43),
    ids.RouteName("archive"): (0.1, 0.8),
}
REPORT_S = 0.3
SHIFT_REPORT_S = 0.2
CHECK_S = 0.1
SLICE_S = 0.3
TICK_S = 0.02
SLOTS = 9


def order(duration_s=12.0, target="v2"):
    return version_trials.Order(SERVICE, target, duration_s)


def make_trial(
    now_s=0.0,
    seed=1,
    phase=version_trials.Phase.CANARY,
    duration_s=12.0,
    target="v2",
    slack=True,
    place=(0, 5),
):
    return version_trials.Trial(
        order(duration_s, target),
        place,
        phase,
        now_s,
        0.1,
        slack,
        random.Random(seed),
    )


class Good:
    """A version whose instances fail rarely.

    Attributes:
        bad_instance: An instance that fails 45% of its requests, or None.
    """

    def __init__(self, bad_instance=None, fail=0.01):
        self.bad_instance = bad_instance
        self.fail = fail

    def failure(self, instance, route, age_s, running):
        return 0.45 if instance == self.bad_instance else self.fail

    def slowness(self, instance, route, age_s, running):
        return 1.0


class Failing(Good):
    """A version that fails half of its requests.

    Attributes:
        after_s: How long after its start it begins to fail, in seconds.
        route: The route that fails; None for all.
        running: Requests that an instance must run for one to fail.
    """

    def __init__(self, after_s=0.0, route=None, running=0):
        super().__init__()
        self.after_s = after_s
        self.route = route
        self.running = running

    def is_bad(self, route, age_s, running):
        return (
            age_s >= self.after_s
            and running >= self.running
            and self.route in (None, route)
        )

    def failure(self, instance, route, age_s, running):
        return 0.5 if self.is_bad(route, age_s, running) else 0.01


class Slow(Failing):
    """The same for a version that answers 8 times slower."""

    def failure(self, instance, route, age_s, running):
        return 0.01

    def slowness(self, instance, route, age_s, running):
        return 8.0 if self.is_bad(route, age_s, running) else 1.0


class Warming(Good):
    """A good version that is slow for seconds after its start."""

    def slowness(self, instance, route, age_s, running):
        return 3.0 if age_s < 2.5 else 1.0


class Sender:
    """A daemon that sends requests of the service."""

    def __init__(self, name, trial, learns_s):
        self.name = name
        self.trial = trial
        self.learns_s = learns_s
        self.next_report_s = learns_s


class Simulation:
    """A trial over many senders.

    Attributes:
        requests: All requests from the order on.
        on_new: Requests that the new version ran before it counted as good.
        bad: Times of its bad answers.
        last_new_s: When the last request was sent to it.
        exposure: Largest number of requests on the new version beyond the
            share of all requests, until the result.
        driver: The trial of the driver; others take its phases over.
        completed_s: When the driver completed it, or None.
        old_at_completion: Requests that ran on old instances then.
    """

    def __init__(
        self,
        version,
        rate=400.0,
        senders=80,
        old=30,
        new=30,
        duration_s=12.0,
        learn_s=1.0,
        start_s=2.0,
        old_version=None,
        seed=1,
        delay_s=0.05,
    ):
        self.rng = random.Random(seed)
        self.version = version
        self.old_version = old_version or Good()
        self.rate = rate
        self.start_s = start_s
        self.duration_s = duration_s
        self.delay_s = delay_s
        self.old = [ids.DaemonId(f"old-{n}") for n in range(old)]
        self.new = [ids.DaemonId(f"new-{n}") for n in range(new)]
        self.speeds = {
            i: self.rng.uniform(0.6, 1.6) for i in (*self.old, *self.new)
        }
        self.running = dict.fromkeys((*self.old, *self.new), 0)
        self.senders = [
            Sender(
                f"s-{n}",
                make_trial(
                    now_s=(learns := self.rng.uniform(0, learn_s)),
                    seed=seed * 1000 + n,
                    duration_s=duration_s,
                ),
                learns,
            )
            for n in range(senders)
        ]
        self.driver = self.senders[0].trial
        self.moved = {}
        self.requests = self.on_new = 0
        self.bad = []
        self.last_new_s = 0.0
        self.exposure = 0.0
        self.completed_s = None
        self.old_at_completion = None
        self._events = []
        self.in_flight = {}
        self._ids = itertools.count()

    def at(self, time_s, call):
        heapq.heappush(self._events, (time_s, next(self._ids), call))

    def run(self):
        """Runs until after the end of the order and returns the phase."""
        now_s, next_check_s, next_slice_s = 0.0, 0.0, 0.0
        while now_s < self.duration_s + 3.0:
            while self._events and self._events[0][0] <= now_s:
                heapq.heappop(self._events)[2]()
            for _ in range(self._arrivals()):
                self._request(now_s)
            self._report(now_s)
            if now_s >= next_check_s:
                next_check_s = now_s + CHECK_S
                self._check(now_s)
            if now_s >= next_slice_s:
                next_slice_s = now_s + SLICE_S
                self.driver.evidence.end_slice()
            now_s += TICK_S
        return self.driver.phase

    def _arrivals(self):
        count = int(self.rate * TICK_S)
        return count + (self.rng.random() < self.rate * TICK_S - count)

    def _request(self, now_s):
        self.requests += 1
        sender = self.rng.choice(self.senders)
        trial = sender.trial
        route = self.rng.choices(list(ROUTES), [s for s, _ in ROUTES.values()])
        route = route[0]
        started = now_s >= self.start_s
        uses_new = (
            started
            and now_s >= sender.learns_s
            and trial.may_use_new(route, now_s, True)
        )
        if not uses_new:
            self._send(sender, route, self._least(self.old), False, now_s)
            return
        names = self.new
        if trial.share(now_s) < 1.0:
            names = trial.focus(self.new, 0, now_s)
        instance = self._least(names)
        trial.spend(route, 1)
        if self.running[instance] >= SLOTS:
            trial.spend(route, -1)
            self._send(sender, route, self._least(self.old), False, now_s)
            return
        self._send(sender, route, instance, True, now_s)

    def _least(self, instances):
        lowest = min(self.running[i] for i in instances)
        return self.rng.choice(
            [i for i in instances if self.running[i] == lowest]
        )

    def _send(self, sender, route, instance, is_new, now_s):
        version = self.version if is_new else self.old_version
        age_s = now_s - self.start_s
        running = self.running[instance]
        model = (instance, route, age_s, running)
        failed = self.rng.random() < version.failure(*model)
        slowness = version.slowness(*model)
        seconds = (
            ROUTES[route][1]
            * self.speeds[instance]
            * slowness
            * self.rng.uniform(0.7, 1.4)
        )
        self.running[instance] += 1
        trial = sender.trial
        if is_new:
            self.last_new_s = now_s
            if self.completed_s is None:
                self.on_new += 1
                excess = self.on_new - 0.1 * self.requests
                self.exposure = max(self.exposure, excess)
            timed = not trial.is_moved(now_s)
            self.in_flight[key := next(self._ids)] = (
                sender,
                route,
                instance,
                now_s if timed else math.inf,
            )
        else:
            trial.on_old += 1

        def end():
            if is_new:
                del self.in_flight[key]
            self.running[instance] -= 1
            if not is_new:
                trial.on_old -= 1
            elif failed or slowness > 2:
                self.bad.append(now_s + seconds)
            counts = trial.counts
            tally = (
                counts.new_tally(route, instance)
                if is_new
                else counts.old_tally(route)
            )
            if failed:
                tally.failed += 1
            else:
                bucket = trial_verdicts.bucket_of(seconds)
                warming = isinstance(version, Warming) and slowness > 1
                if is_new and (warming or not timed):
                    bucket = trial_verdicts.UNTIMED
                tally.add(trial_verdicts.Tally(0, {bucket: 1}))

        self.at(now_s + seconds, end)

    def _report(self, now_s):
        for sender in self.senders:
            if now_s < sender.next_report_s:
                continue
            trial = sender.trial
            shifting = trial.phase is version_trials.Phase.SHIFTING
            sender.next_report_s = now_s + (
                SHIFT_REPORT_S if shifting else REPORT_S
            )
            counts = trial_verdicts.Counts()
            counts.add(trial.counts)
            moved = trial.is_moved(now_s) and trial.on_old == 0
            status = trial.status(now_s)
            pending = self._pending(sender, now_s)

            def arrive(
                sender=sender,
                counts=counts,
                pending=pending,
                moved=moved,
                status=status,
            ):
                self.moved[sender.name] = moved
                self.driver.merge(status, now_s)
                self.driver.evidence.merge(sender.name, counts, pending)
                reply = self.driver.status(now_s)
                self.at(
                    now_s + self.delay_s,
                    lambda: (
                        sender.trial.merge(reply, now_s),
                        sender.trial is self.driver
                        or sender.trial.follow(reply),
                    ),
                )

            self.at(now_s + self.delay_s, arrive)

    def _pending(self, sender, now_s):
        counts = trial_verdicts.Counts()
        for owner, route, instance, since_s in self.in_flight.values():
            if since_s > now_s or isinstance(self.version, Warming):
                continue
            if owner is sender:
                bucket = trial_verdicts.bucket_of(now_s - since_s)
                tally = counts.new_tally(route, instance)
                tally.add(trial_verdicts.Tally(0, {bucket: 1}))
        return counts

    def _check(self, now_s):
        trial = self.driver
        if not trial.is_running:
            return
        before = trial.phase
        count = len(self.new) if now_s >= self.start_s else 0
        verdict = trial.judge(count, now_s)
        trial.drive(verdict, count, now_s)
        if trial.may_complete(all(self.moved.values()), now_s):
            self.completed_s = now_s
            self.old_at_completion = sum(self.running[i] for i in self.old)
            trial.advance(version_trials.Phase.COMPLETED, now_s)
        if trial.phase is not before:
            status = trial.status(now_s)
            for sender in self.senders:
                if now_s >= sender.learns_s:
                    self.at(
                        now_s + self.delay_s,
                        lambda sender=sender: sender.trial.merge(
                            status, now_s + self.delay_s
                        ),
                    )
