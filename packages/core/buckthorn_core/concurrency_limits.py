"""Learns how many requests an upstream runs at once without slowing down.

The limit starts at the slots that the upstream announces, and goes below them
only if run times rise. A run's time is compared with the mean time of its own
route at low concurrency, so that a mix with heavier routes raises nothing. A
rise alone says little: an instance may be slow at any concurrency, and then a
lower limit wastes it. Each lower limit is therefore a trial, which is kept only
if as many runs complete per second as before. Raised limits are trials, too.

Callers pass run times without the time that calls to other services have taken
beyond their usual time.
"""

import math
from typing import NamedTuple

from buckthorn_core import ids

# Mean run time near the limit, relative to the baseline, from which on a lower
# limit is tried. Instances that lose half of their speed as their slots fill up
# still complete more runs with all slots than with fewer.
MAX_RISE = 1.5
# Lower limits that are tried, as a share of the present one: the further run
# times have risen, the lower. A large step shows its effect in fewer runs.
MAX_DOWN_FACTOR = 0.8
MIN_DOWN_FACTOR = 0.6
# Share by which the limit is raised in a trial, by one slot at least.
UP_SHARE = 0.15
# A lower limit is kept if it completes at least this share of the runs per
# second that the higher one completed. The means of 24 runs whose times vary by
# a third differ by 0.1 by chance; lowering by a fifth without gain costs 0.2.
MIN_DOWN_GAIN = 0.95
# A higher limit is kept from this share on.
MIN_UP_GAIN = 1.0
# From this share on a lower limit has shown that the instance thrashes.
CLEAR_GAIN = 1.1
# Runs and time that an evaluation needs. Run times vary by a third, so the
# smaller the step of a trial, the more runs it takes to see its effect.
EVALUATION_RUNS = 16
TRIAL_RUNS = 24
LARGE_STEP_TRIAL_RUNS = 10
LARGE_STEP = 0.3
MIN_WINDOW_S = 0.25
# Runs count for an evaluation from this share of the limit on.
NEAR_SHARE = 0.75
# Runs count for the baseline up to this share of the limit.
LOW_SHARE = 0.5
# Runs that a baseline needs, and the weight of the newest one.
BASELINE_RUNS = 8
BASELINE_SMOOTHING = 0.05
# Pauses after a trial that failed, in seconds; they double up to the maximum.
# A failed trial costs a fifth to two fifths of the capacity for a second or so.
FIRST_HOLD_S = 2.0
MAX_HOLD_S = 30.0
FIRST_PROBE_S = 0.5
MAX_PROBE_S = 4.0
# Without runs near the limit for this time the limit rises by one slot, and
# again after each such time: what was learned under load may no longer hold.
IDLE_RISE_S = 1.0
# Share of the slots that a cold instance starts with. Each completed run adds
# one slot.
COLD_SHARE = 0.7


class _Baseline:
    """Mean run time of a route at low concurrency."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, run_s: float) -> None:
        self.count += 1
        weight = max(BASELINE_SMOOTHING, 1 / self.count)
        self.value += weight * (run_s - self.value)


class Run(NamedTuple):
    """State of a run at its start.

    Attributes:
        epoch: Number of limit changes before it.
        running: Number of runs, with itself.
    """

    epoch: int
    running: int


class _Trial(NamedTuple):
    """A limit that is being tried.

    Attributes:
        previous: The limit before.
        rate: Relative number of runs completed per second before.
    """

    previous: int
    rate: float


class ConcurrencyLimit:
    """The learned limit of one upstream; times are monotonic, in seconds.

    Attributes:
        slots: Slots that the upstream announces: the highest limit.
        value: Number of requests that the upstream is given at once.
    """

    def __init__(self, slots: int = 0, learns: bool = True):
        """Creates the limit of a lifetime.

        Args:
            slots: Slots that the upstream announces.
            learns: Whether the limit may differ from the slots.
        """
        self._learns = learns
        self._start(slots)

    def _start(self, slots: int) -> None:
        self.slots = slots
        self.value = slots
        self._cold = False
        self._epoch = 0
        self._baselines: dict[ids.RouteName, _Baseline] = {}
        self._trial: _Trial | None = None
        self._hold_s = FIRST_HOLD_S
        self._hold_until_s = -math.inf
        self._probe_s = FIRST_PROBE_S
        self._probe_at_s = -math.inf
        self._near_s = -math.inf
        self._clear_window()

    @property
    def expected(self) -> int:
        """Limit by which waits are estimated.

        Each run that a cold instance completes opens two slots.
        """
        return self.slots if self._cold else self.value

    @property
    def is_lowered(self) -> bool:
        """Whether the limit is below the slots because run times rose."""
        return self.value < self.slots and not self._cold

    def reset(self, slots: int, cold: bool) -> None:
        """Starts anew for another lifetime of the upstream.

        Args:
            slots: Slots that it announces.
            cold: Whether it warms up.
        """
        self._start(slots)
        self._cold = cold and self._learns
        if self._cold:
            self.value = min(slots, max(1, math.ceil(COLD_SHARE * slots)))

    def set_slots(self, slots: int) -> None:
        """Applies a changed number of announced slots."""
        if slots == self.slots:
            return
        was_limited = self.value < self.slots
        self.slots = slots
        self._set(min(self.value, slots) if was_limited else slots)

    def keep_only(self, routes: set[ids.RouteName]) -> None:
        """Drops the baselines of removed routes."""
        self._baselines = {
            k: v for k, v in self._baselines.items() if k in routes
        }

    def start(self, running: int) -> Run:
        """Returns what to pass to `end` when the run ends.

        Args:
            running: Number of runs, with this one.
        """
        return Run(self._epoch, running)

    def end(
        self,
        now_s: float,
        run: Run,
        running: int,
        route: ids.RouteName,
        own_s: float,
        aborted: bool,
    ) -> None:
        """Counts a run that has ended.

        Args:
            now_s: Monotonic time.
            run: Its state at the start.
            running: Number of runs, with this one.
            route: Its route.
            own_s: Run time without waits elsewhere, in seconds.
            aborted: Whether it was aborted, so that its time is a lower bound.
        """
        if not self._learns:
            return
        if self._cold and not aborted:
            self.value = min(self.slots, self.value + 1)
            self._cold = self.value < self.slots
        concurrency = (run.running + running) / 2
        baseline = self._baselines.setdefault(route, _Baseline())
        if concurrency <= max(1.0, LOW_SHARE * self.value):
            if not aborted:
                baseline.add(own_s)
            return
        if concurrency < NEAR_SHARE * self.value:
            return
        self._near_s = now_s
        if (
            run.epoch != self._epoch
            or concurrency > self.value + 0.5
            or baseline.count < BASELINE_RUNS
        ):
            return
        ratio = own_s / max(baseline.value, 1e-6)
        if aborted and ratio < 1:
            return
        if self._count == 0:
            self._window_s = now_s
        self._count += 1
        self._ratios += ratio
        self._concurrency += concurrency
        self._evaluate(now_s)

    def relax(self, now_s: float) -> None:
        """Raises the limit if no run has come near it for a while."""
        if self._cold or self.value >= self.slots:
            return
        if now_s - self._near_s > IDLE_RISE_S:
            self._near_s = now_s
            self._trial = None
            self._set(self.value + 1)

    def _clear_window(self) -> None:
        self._count = 0
        self._ratios = 0.0
        self._concurrency = 0.0
        self._window_s = 0.0

    def _set(self, value: int) -> None:
        self.value = max(min(1, self.slots), min(self.slots, value))
        self._epoch += 1
        self._clear_window()

    def _evaluate(self, now_s: float) -> None:
        needed = EVALUATION_RUNS
        if self._trial is not None:
            step = abs(1 - self.value / self._trial.previous)
            needed = TRIAL_RUNS if step < LARGE_STEP else LARGE_STEP_TRIAL_RUNS
        # At low limits runs are few, and one slot more or less is a large step.
        needed = max(6, min(needed, 4 * self.value))
        if self._count < needed or now_s - self._window_s < MIN_WINDOW_S:
            return
        rise = self._ratios / self._count
        rate = self._concurrency / self._count / rise
        self._clear_window()
        trial, self._trial = self._trial, None
        if trial is not None and not self._is_kept(trial, rate):
            self._end_failed_trial(now_s, trial)
            return
        if trial is not None:
            self._end_kept_trial(now_s, trial, rate)
        if rise > MAX_RISE and now_s >= self._hold_until_s and self.value > 1:
            factor = min(MAX_DOWN_FACTOR, max(MIN_DOWN_FACTOR, MAX_RISE / rise))
            lower = min(self.value - 1, math.floor(factor * self.value))
            self._try(max(1, lower), rate)
            self._probe_at_s = now_s + self._probe_s
        elif self.value < self.slots and now_s >= self._probe_at_s:
            self._try(
                self.value + max(1, round(UP_SHARE * self.value)),
                rate,
            )

    def _try(self, value: int, rate: float) -> None:
        self._trial = _Trial(self.value, rate)
        self._set(value)

    def _is_kept(self, trial: _Trial, rate: float) -> bool:
        is_lower = self.value < trial.previous
        return rate >= trial.rate * (MIN_DOWN_GAIN if is_lower else MIN_UP_GAIN)

    def _end_kept_trial(self, now_s: float, trial: _Trial, rate: float) -> None:
        if self.value < trial.previous:
            if rate >= CLEAR_GAIN * trial.rate:
                self._hold_s = FIRST_HOLD_S
            return
        self._probe_s = FIRST_PROBE_S
        if self.value == self.slots:
            # What was lowered is back: lowering it had no use.
            self._hold(now_s)

    def _hold(self, now_s: float) -> None:
        self._hold_until_s = now_s + self._hold_s
        self._hold_s = min(MAX_HOLD_S, 2 * self._hold_s)

    def _end_failed_trial(self, now_s: float, trial: _Trial) -> None:
        if self.value < trial.previous:
            self._hold(now_s)
        else:
            self._probe_at_s = now_s + self._probe_s
            self._probe_s = min(MAX_PROBE_S, 2 * self._probe_s)
        self._set(trial.previous)
