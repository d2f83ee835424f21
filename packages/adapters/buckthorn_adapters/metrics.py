"""Counters, gauges and duration summaries, and their text exposition."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any

from hdrh import histogram

from buckthorn_adapters import metric_names
from buckthorn_core import traffic

# One significant digit and 4-byte counts take 2.5 KB per label set, with an
# error of at most 6% in a quantile. Two digits and 8-byte counts take 26 KB,
# which is 20 MB for 780 services.
SIGNIFICANT_DIGITS = 1
WORD_BYTES = 4
MAX_DURATION_US = 3_600_000_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]
_Key = tuple[str, Labels]


class DurationSummary:
    """Histogram and sum of the durations of one label set."""

    __slots__ = ("_histogram", "sum_s")

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS, word_size=WORD_BYTES
        )
        self.sum_s = 0.0

    @property
    def count(self) -> int:
        """Number of durations."""
        return int(self._histogram.get_total_count())

    def add(self, seconds: float) -> None:
        """Adds a duration."""
        value_us = max(1, min(MAX_DURATION_US, int(seconds * 1e6)))
        self._histogram.record_value(value_us)
        self.sum_s += seconds

    def quantiles(self) -> list[float]:
        """Returns the durations at `QUANTILES`, in seconds; zeros if empty."""
        if not self.count:
            return [0.0] * len(QUANTILES)
        return [
            self._histogram.get_value_at_percentile(q * 100) / 1e6
            for q in QUANTILES
        ]


class Metrics:
    """Counters, gauges and durations by name and labels.

    `count` and `record` are on the request path, so they do not sort labels;
    `collect` merges counters whose labels differ only in order.
    """

    def __init__(self, control: traffic.ControlTraffic):
        self._control = control
        self._lock = threading.Lock()
        self._counters: collections.defaultdict[_Key, int] = (
            collections.defaultdict(int)
        )
        self._gauges: dict[_Key, float] = {}
        self._gauge_functions: dict[str, Callable[[], float]] = {}
        self._durations: dict[_Key, DurationSummary] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increments a counter."""
        key = (name, tuple(labels.items()))
        with self._lock:
            self._counters[key] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._gauges[key] = value

    def register_gauge(
        self, name: str, read_value: Callable[[], float]
    ) -> None:
        """Registers a gauge without labels that is read when scraped."""
        self._gauge_functions[name] = read_value

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration; the exposition adds `_seconds` to the name."""
        key = (name, tuple(labels.items()))
        with self._lock:
            summary = self._durations.get(key)
            if summary is None:
                summary = self._durations[key] = DurationSummary()
            summary.add(seconds)

    def counter(self, name: str, **labels: str) -> int:
        """Returns the sum of a counter over all matching label sets."""
        expected_labels = set(labels.items())
        with self._lock:
            return sum(
                value
                for (key_name, key_labels), value in self._counters.items()
                if key_name == name and expected_labels <= set(key_labels)
            )

    def collect(self) -> Iterable[Any]:
        """Returns metric families, as the collector of prometheus_client.

        There is one family for each name. `FIRST_METRICS` come first: the
        version in force, bytes to other regions, refusals.
        """
        with self._lock:
            gauges = dict(self._gauges)
            counters: collections.Counter[_Key] = collections.Counter()
            for (name, labels), value in self._counters.items():
                counters[(name, tuple(sorted(labels)))] += value
            durations = {
                key: (summary.quantiles(), summary.count, summary.sum_s)
                for key, summary in self._durations.items()
            }
        for name, read_value in self._gauge_functions.items():
            gauges[(name, ())] = read_value()
        families = [
            *_families("gauge", gauges),
            *self._control_families(),
            *_families("counter", counters),
            *_summaries(durations),
        ]
        return sorted(families, key=_sort_key)

    def _control_families(self) -> Iterable[Any]:
        sent = dict(self._control.bytes)
        scopes = {scope.value: 0 for scope in traffic.Scope}
        for (_, scope), size in sent.items():
            scopes[scope.value] += size
        yield from _families(
            "counter",
            {
                ("buckthorn_control_scope_bytes", (("scope", scope),)): size
                for scope, size in scopes.items()
            },
        )
        yield from _families(
            "counter",
            {
                (
                    "buckthorn_control_bytes",
                    (("kind", kind), ("scope", scope.value)),
                ): size
                for (kind, scope), size in sent.items()
            },
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # Imported at the first scrape, to save memory until then.
        import prometheus_client
        from prometheus_client import registry

        collectors = registry.CollectorRegistry()
        collectors.register(self)  # type: ignore[arg-type]
        return prometheus_client.generate_latest(collectors)


def _families(kind: str, values: dict[_Key, Any]) -> Iterable[Any]:
    """Returns one family for each name, with a sample for each label set."""
    from prometheus_client import metrics_core

    suffix = "_total" if kind == "counter" else ""
    families: dict[str, Any] = {}
    for (name, labels), value in sorted(values.items()):
        family = families.get(name)
        if family is None:
            help_text = metric_names.HELP.get(name, name)
            family = metrics_core.Metric(name, help_text, kind)
            families[name] = family
        family.add_sample(f"{name}{suffix}", dict(labels), value)
    return families.values()


def _summaries(
    durations: dict[_Key, tuple[list[float], int, float]],
) -> Iterable[Any]:
    from prometheus_client import metrics_core

    families: dict[str, Any] = {}
    for (key, unsorted_labels), (values, count, sum_s) in sorted(
        durations.items()
    ):
        name, labels = f"{key}_seconds", dict(sorted(unsorted_labels))
        family = families.get(name)
        if family is None:
            help_text = metric_names.HELP.get(key, key)
            family = metrics_core.Metric(name, help_text, "summary")
            families[name] = family
        for quantile, value in zip(QUANTILES, values, strict=True):
            family.add_sample(
                name, {**labels, "quantile": str(quantile)}, value
            )
        family.add_sample(f"{name}_count", labels, count)
        family.add_sample(f"{name}_sum", labels, sum_s)
    return families.values()


def _sort_key(family: Any) -> tuple[int, str]:
    first_names = metric_names.FIRST_METRICS
    rank = (
        first_names.index(family.name)
        if family.name in first_names
        else len(first_names)
    )
    return rank, family.name
