"""Judges a new software version by its answers, against the old version's.

The test is a sequential probability ratio test, evaluated over windows that
all end now, so that a version that turns bad late is found as fast as one that
is bad from the start. Failures and slow answers are tested separately, for each
route and for all routes together.

Instances fail singly for ordinary reasons; a bad version shows on all of them.
So each test leaves out the worst of the new instances. As this costs much of a
thin evidence, a further test over the whole time keeps all instances, and takes
each one for an ordinary failure with a small probability.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

import msgspec

from buckthorn_core import ids

# Error rates of the tests. A good version is rolled back by mistake with at
# most this probability for each answer of it, as any answer can start a window.
FALSE_ALARM_RATE = 1e-5
# Probability that a version which is bad in a route counts as good in it.
MISS_RATE = 0.02
# Probability that a good version is rolled back by the test of all instances,
# for each route and kind of test.
POOLED_FALSE_ALARM_RATE = 0.002
# Odds against a version at which it isn't completed for lack of evidence: in
# the tests of windows, which are many, and in that of all instances.
SUSPICION_ODDS = 400.0
POOLED_SUSPICION_ODDS = 100.0
# Odds against a version from which on it doesn't count as good, whatever its
# earlier answers: slow ones may be on their way.
DOUBT_ODDS = 8.0
# Probability that a single instance fails or is slow for ordinary reasons, and
# that one alone may be all the evidence there is.
ORDINARY_FAILURE_RATE = 0.04
# A version is bad if this fraction of the answers that would be good fails, or
# is slow. Bad versions fail half of their requests, or slow almost all down.
FAILURE_EFFECT = 0.3
SLOW_EFFECT = 0.55
# Assumed rates of failures and slow answers of a good version, at least.
MIN_FAILURE_RATE = 0.05
MIN_SLOW_RATE = 0.1
# Factor on the old version's rates for the differences between instances.
RATE_MARGIN = 1.3
MAX_RATE = 0.5
# An answer is slow if it takes longer than the old version's 90th percentile
# and than this multiple of its median: instances of one version differ by up to
# 2.7 in speed, a bad version is slower by several times.
SLOW_QUANTILE = 0.9
SLOW_FACTOR = 3.0
# Answers of the old version that a comparison with it needs. In a window with
# fewer, all its answers count.
MIN_WINDOW_ANSWERS = 30
MIN_OLD_ANSWERS = 10
# Answers of the old version from which on a route has traffic, and needs
# evidence of the new version.
MIN_ROUTE_ANSWERS = 20
# One more instance is left out for each so many instances with evidence.
INSTANCES_PER_LEFT_OUT = 10
# Upper bounds of durations grow by this factor from 1 ms on; SLOW_FACTOR is
# three steps. Finer steps make reports larger.
BUCKET_FACTOR = 3 ** (1 / 3)
# Bucket of answers whose duration tells nothing, as the instance warms up.
UNTIMED = -1
MAX_BUCKET = 40
# Log likelihood ratio beyond which a higher one makes no difference.
MAX_ODDS_LOG = 50.0
# Slices of time that are kept; the oldest ones are joined.
MAX_SLICES = 64

Pair = tuple[int, int]


class Tally(msgspec.Struct, array_like=True):
    """Counts of answers.

    Attributes:
        failed: Failed answers.
        durations: Other answers, by bucket of their duration.
    """

    failed: int = 0
    durations: dict[int, int] = {}

    @property
    def answers(self) -> int:
        """All answers."""
        return self.failed + sum(self.durations.values())

    @property
    def timed(self) -> int:
        """Answers whose duration counts."""
        return sum(n for b, n in self.durations.items() if b != UNTIMED)

    def slower_than(self, bucket: int) -> int:
        """Returns the number of answers in later buckets."""
        return sum(n for b, n in self.durations.items() if b > bucket)

    def add(self, other: "Tally") -> None:
        """Adds the counts of another tally."""
        self.failed += other.failed
        for bucket, count in other.durations.items():
            self.durations[bucket] = self.durations.get(bucket, 0) + count

    def take_increase(self, newer: "Tally") -> "Tally":
        """Raises the counts to those of a newer tally; returns the increase."""
        increase = Tally(max(0, newer.failed - self.failed))
        for bucket, count in newer.durations.items():
            more = count - self.durations.get(bucket, 0)
            if more > 0:
                increase.durations[bucket] = more
        self.add(increase)
        return increase


class Counts(msgspec.Struct, array_like=True):
    """Answers of a service's instances.

    Attributes:
        old: Answers of the old version, by route.
        new: Answers of the new version, by route and instance.
    """

    old: dict[ids.RouteName, Tally] = {}
    new: dict[ids.RouteName, dict[ids.DaemonId, Tally]] = {}

    @property
    def new_answers(self) -> int:
        """All answers of the new version."""
        return sum(
            tally.answers
            for by_daemon in self.new.values()
            for tally in by_daemon.values()
        )

    @property
    def answers(self) -> int:
        """All answers."""
        return self.new_answers + sum(t.answers for t in self.old.values())

    def old_tally(self, route: ids.RouteName) -> Tally:
        """Returns the tally of a route, created on first use."""
        return self.old.setdefault(route, Tally())

    def new_tally(self, route: ids.RouteName, daemon: ids.DaemonId) -> Tally:
        """Returns the tally of a route and instance, created on first use."""
        return self.new.setdefault(route, {}).setdefault(daemon, Tally())

    def add(self, other: "Counts") -> None:
        """Adds other counts."""
        for route, tally in other.old.items():
            self.old_tally(route).add(tally)
        for route, by_daemon in other.new.items():
            for daemon, tally in by_daemon.items():
                self.new_tally(route, daemon).add(tally)

    def take_increase(self, newer: "Counts") -> "Counts":
        """Raises the counts to newer ones; returns the increase."""
        increase = Counts()
        for route, tally in newer.old.items():
            known = self.old_tally(route)
            if known != tally:
                increase.old[route] = known.take_increase(tally)
        for route, by_daemon in newer.new.items():
            for daemon, tally in by_daemon.items():
                known = self.new_tally(route, daemon)
                if known != tally:
                    increase.new.setdefault(route, {})[daemon] = (
                        known.take_increase(tally)
                    )
        return increase


class Judgement(enum.Enum):
    """What the evidence says of a version."""

    OPEN = "open"
    GOOD = "good"
    SUSPECT = "suspect"
    BAD = "bad"


class Verdict(NamedTuple):
    """Result of the tests.

    Attributes:
        judgement: What the evidence says.
        reason: The test with the strongest evidence against the version.
        odds_log: Its log likelihood ratio.
    """

    judgement: Judgement
    reason: str = ""
    odds_log: float = 0.0

    def or_worse(self, reason: str, odds_log: float) -> "Verdict":
        """Returns the one with the stronger evidence against the version."""
        if odds_log <= self.odds_log:
            return self
        return Verdict(self.judgement, reason, odds_log)


class _Test(NamedTuple):
    """The counts of one test.

    Attributes:
        name: Kind of the test and the route; "all" for all routes.
        pairs: Answers and bad answers, by new instance.
        good_rate: Rate of bad answers of a good version.
        bad_rate: The same of a bad one.
    """

    name: str
    pairs: dict[ids.DaemonId, Pair]
    good_rate: float
    bad_rate: float

    def odds_log(self, instances: int) -> float:
        """Returns the log likelihood ratio of bad to good.

        Args:
            instances: Number of instances of the new version. The worst one is
                left out unless it is the only one.
        """
        bad_weight = math.log(self.bad_rate / self.good_rate)
        good_weight = math.log((1 - self.bad_rate) / (1 - self.good_rate))
        parts = sorted(
            bad * bad_weight + (n - bad) * good_weight
            for n, bad in self.pairs.values()
            if n
        )
        if instances > 1 and parts:
            del parts[-max(1, len(parts) // INSTANCES_PER_LEFT_OUT) :]
        return sum(parts)

    def pooled_odds_log(self) -> float:
        """Returns the log likelihood ratio over all instances.

        A good version's instance is like one of a bad version with the
        probability ORDINARY_FAILURE_RATE, which limits its weight.
        """
        bad_weight = math.log(self.bad_rate / self.good_rate)
        good_weight = math.log((1 - self.bad_rate) / (1 - self.good_rate))
        total = 0.0
        for n, bad in self.pairs.values():
            odds_log = bad * bad_weight + (n - bad) * good_weight
            odds = math.exp(min(odds_log, MAX_ODDS_LOG))
            mixed = 1 - ORDINARY_FAILURE_RATE + ORDINARY_FAILURE_RATE * odds
            total += math.log(odds / mixed)
        return total


class Evidence:
    """Counts of many daemons, in slices of time.

    Daemons report the counts since their start, so that a report which is lost,
    late or repeated does no harm.

    Attributes:
        total: All counts.
    """

    def __init__(self) -> None:
        self.total = Counts()
        self._slices = [Counts()]
        self._known: dict[str, Counts] = {}
        self._pending: dict[str, Counts] = {}

    def merge(
        self, source: str, counts: Counts, pending: Counts | None = None
    ) -> None:
        """Merges counts.

        Args:
            source: Name of the process that has counted.
            counts: All its counts since it started counting.
            pending: Its requests in flight on the new version, by their age. A
                version that answers late shows it before its answers come.
        """
        known = self._known.setdefault(source, Counts())
        increase = known.take_increase(counts)
        self._slices[-1].add(increase)
        self.total.add(increase)
        self._pending[source] = pending or Counts()

    def end_slice(self) -> None:
        """Ends the current slice of time, unless nothing came in it."""
        if not self._slices[-1].new:
            # Answers of the old version alone start no window.
            return
        self._slices.append(Counts())
        if len(self._slices) > MAX_SLICES:
            oldest = self._slices.pop(0)
            oldest.add(self._slices[0])
            self._slices[0] = oldest

    def verdict(self, instances: int, is_whole: bool = True) -> Verdict:
        """Returns what the counts say of the new version.

        Args:
            instances: Number of instances of the new version.
            is_whole: Whether the counts are those of all daemons. The test of
                all instances isn't used on each daemon's own counts, as the
                false alarms of many daemons would add up.
        """
        pending = Counts()
        for counts in self._pending.values():
            pending.add(counts)
        worst = Verdict(Judgement.OPEN, "", -math.inf)
        for window in self._windows():
            for test in _tests(window, self.total, pending):
                worst = worst.or_worse(test.name, test.odds_log(instances))
        pooled = Verdict(Judgement.OPEN, "", -math.inf)
        for test in _tests(self.total, self.total, pending) if is_whole else ():
            pooled = pooled.or_worse(
                f"pooled {test.name}", test.pooled_odds_log()
            )
        bounds = (
            (Judgement.BAD, worst, 1 / FALSE_ALARM_RATE),
            (Judgement.BAD, pooled, 1 / POOLED_FALSE_ALARM_RATE),
            (Judgement.SUSPECT, pooled, POOLED_SUSPICION_ODDS),
            (Judgement.SUSPECT, worst, SUSPICION_ODDS),
        )
        for judgement, found, odds in bounds:
            if found.odds_log >= math.log(odds):
                return found._replace(judgement=judgement)
        doubt = max(worst.odds_log, pooled.odds_log) >= math.log(DOUBT_ODDS)
        if not doubt and _is_good(self.total, pending, instances):
            return worst._replace(judgement=Judgement.GOOD)
        return worst

    def _windows(self) -> Iterable[Counts]:
        """Yields the counts of windows that end now, of growing length."""
        window = Counts()
        next_length = 1
        for length, counts in enumerate(reversed(self._slices), 1):
            window.add(counts)
            if length in (next_length, len(self._slices)):
                yield window
            if length == next_length:
                next_length *= 2


def bucket_of(seconds: float) -> int:
    """Returns the bucket of a duration."""
    steps = math.log(max(0.001, seconds) * 1000) / math.log(BUCKET_FACTOR)
    return min(MAX_BUCKET, math.ceil(steps))


def _is_good(total: Counts, pending: Counts, instances: int) -> bool:
    """Returns whether each route with traffic has enough good answers."""
    with_traffic = {
        route
        for route, tally in total.old.items()
        if tally.answers >= MIN_ROUTE_ANSWERS
    }
    for route in with_traffic | set(total.new):
        by_daemon = total.new.get(route, {})
        old = total.old.get(route, Tally())
        tests = [_failure_test(route, by_daemon, old)]
        slow_test = _slow_test(
            route, by_daemon, old, pending.new.get(route, {})
        )
        if slow_test is not None:
            tests.append(slow_test)
        if any(t.odds_log(instances) > math.log(MISS_RATE) for t in tests):
            return False
    return bool(total.new)


def _tests(window: Counts, total: Counts, pending: Counts) -> Iterable[_Test]:
    """Yields the tests of a window, by route and of all routes together."""
    failures, slow = [], []
    for route in window.new.keys() | pending.new.keys():
        by_daemon = window.new.get(route, {})
        old = window.old.get(route, Tally())
        if old.answers < MIN_WINDOW_ANSWERS:
            old = total.old.get(route, Tally())
        failures.append(_failure_test(route, by_daemon, old))
        slow_test = _slow_test(
            route, by_daemon, old, pending.new.get(route, {})
        )
        if slow_test is not None:
            slow.append(slow_test)
    for name, tests in (("failures", failures), ("slow", slow)):
        yield from tests
        if len(tests) > 1:
            yield _join(name, tests)


def _failure_test(
    route: ids.RouteName, by_daemon: Mapping[ids.DaemonId, Tally], old: Tally
) -> _Test:
    # Half a failure in ten answers is assumed before any were seen.
    rate = (old.failed + 0.5) / (old.answers + 10)
    return _test(
        f"failures/{route}",
        {d: (t.answers, t.failed) for d, t in by_daemon.items()},
        max(MIN_FAILURE_RATE, RATE_MARGIN * rate),
        FAILURE_EFFECT,
    )


def _slow_test(
    route: ids.RouteName,
    by_daemon: Mapping[ids.DaemonId, Tally],
    old: Tally,
    pending: Mapping[ids.DaemonId, Tally],
) -> _Test | None:
    """Returns the test of slow answers; None without a comparison."""
    if old.timed < MIN_OLD_ANSWERS:
        return None
    bucket = slow_bucket(old)
    rate = old.slower_than(bucket) / old.timed
    pairs = {d: (t.timed, t.slower_than(bucket)) for d, t in by_daemon.items()}
    for daemon, tally in pending.items():
        late = tally.slower_than(bucket)
        n, bad = pairs.get(daemon, (0, 0))
        pairs[daemon] = (n + late, bad + late)
    return _test(
        f"slow/{route}",
        pairs,
        max(MIN_SLOW_RATE, RATE_MARGIN * rate),
        SLOW_EFFECT,
    )


def _test(
    name: str, pairs: dict[ids.DaemonId, Pair], rate: float, effect: float
) -> _Test:
    good_rate = min(MAX_RATE, rate)
    return _Test(name, pairs, good_rate, good_rate + effect * (1 - good_rate))


def _join(name: str, tests: Iterable[_Test]) -> _Test:
    """Returns the test of all routes, at the highest of their rates."""
    pairs: dict[ids.DaemonId, Pair] = {}
    good_rate = bad_rate = 0.0
    for test in tests:
        good_rate = max(good_rate, test.good_rate)
        bad_rate = max(bad_rate, test.bad_rate)
        for daemon, (n, bad) in test.pairs.items():
            known_n, known_bad = pairs.get(daemon, (0, 0))
            pairs[daemon] = (known_n + n, known_bad + bad)
    return _Test(f"{name}/all", pairs, good_rate, bad_rate)


def slow_bucket(old: Tally) -> int:
    """Returns the last bucket of answers that aren't slow."""
    factor_buckets = round(math.log(SLOW_FACTOR) / math.log(BUCKET_FACTOR))
    return max(
        _quantile_bucket(old, SLOW_QUANTILE),
        _quantile_bucket(old, 0.5) + factor_buckets,
    )


def _quantile_bucket(tally: Tally, quantile: float) -> int:
    left = quantile * tally.timed
    bucket = 0
    for bucket, count in sorted(tally.durations.items()):
        if bucket == UNTIMED:
            continue
        left -= count
        if left <= 0:
            break
    return bucket
