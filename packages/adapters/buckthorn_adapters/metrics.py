"""Counters, gauges and duration summaries, and their text exposition."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import threading
from typing import Any

from hdrh import histogram

from buckthorn_adapters import metric_names
from buckthorn_core import traffic

# One significant digit in counts of 4 bytes takes 2.5 KB a label set, and a
# quantile is at most 6% off; two digits in 8 bytes take 26 KB, which is 20 MB
# for 780 services.
SIGNIFICANT_DIGITS = 1
WORD_BYTES = 4
MAX_DURATION_US = 3_600_000_000
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]
_Key = tuple[str, Labels]


class DurationSummary:
    """Durations of one label set."""

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
        """Counts a duration."""
        value_us = max(1, min(MAX_DURATION_US, int(seconds * 1e6)))
        self._histogram.record_value(value_us)
        self.sum_s += seconds

    def quantiles(self) -> list[float]:
        """Returns the durations in s at `QUANTILES`; zeros if empty."""
        if not self.count:
            return [0.0] * len(QUANTILES)
        return [
            self._histogram.get_value_at_percentile(q * 100) / 1e6
            for q in QUANTILES
        ]


class Metrics:
    """Counters, gauges and durations by name and labels.

    `count` and `record` are on the request path. They keep labels in the
    order in which they were passed; the exposition adds up label sets that
    differ only in order.
    """

    def __init__(self, control: traffic.ControlTraffic):
        self._control = control
        self._lock = threading.Lock()
        self._counters: collections.defaultdict[_Key, int] = (
            collections.defaultdict(int)
        )
        self._gauges: dict[_Key, float] = {}
        self._watched: dict[str, Callable[[], float]] = {}
        self._durations: dict[_Key, DurationSummary] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        key = (name, tuple(labels.items()))
        with self._lock:
            self._counters[key] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._gauges[key] = value

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge without labels that is read when it is asked for."""
        self._watched[name] = read

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration; the exposition adds `_seconds` to the name."""
        key = (name, tuple(labels.items()))
        with self._lock:
            found = self._durations.get(key)
            if found is None:
                found = self._durations[key] = DurationSummary()
            found.add(seconds)

    def counter(self, name: str, **labels: str) -> int:
        """Returns the sum of a counter over all labels that match."""
        wanted = set(labels.items())
        with self._lock:
            return sum(
                value
                for (found, has), value in self._counters.items()
                if found == name and wanted <= set(has)
            )

    def collect(self) -> Iterable[Any]:
        """Yields metric families, as prometheus_client asks for them.

        Each name makes one family. What an operator looks for first comes
        first: the version in force, bytes to other regions, refusals.
        """
        with self._lock:
            gauges = dict(self._gauges)
            counters: collections.Counter[_Key] = collections.Counter()
            for (name, labels), value in self._counters.items():
                counters[(name, tuple(sorted(labels)))] += value
            durations = {
                key: (found.quantiles(), found.count, found.sum_s)
                for key, found in self._durations.items()
            }
        for name, read in self._watched.items():
            gauges[(name, ())] = read()
        families = [
            *_families("gauge", gauges),
            *self._control_families(),
            *_families("counter", counters),
            *_summaries(durations),
        ]
        return sorted(families, key=_order)

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
        """Returns all metrics in the usual text format."""
        # Imported when first scraped: it takes memory.
        import prometheus_client
        from prometheus_client import registry

        collectors = registry.CollectorRegistry()
        collectors.register(self)  # type: ignore[arg-type]
        return prometheus_client.generate_latest(collectors)


def _families(kind: str, values: dict[_Key, Any]) -> Iterable[Any]:
    """Yields one family a name, with a sample for each label set."""
    from prometheus_client import metrics_core

    suffix = "_total" if kind == "counter" else ""
    found: dict[str, Any] = {}
    for (name, labels), value in sorted(values.items()):
        family = found.get(name)
        if family is None:
            help_text = metric_names.HELP.get(name, name)
            family = metrics_core.Metric(name, help_text, kind)
            found[name] = family
        family.add_sample(f"{name}{suffix}", dict(labels), value)
    return found.values()


def _summaries(
    durations: dict[_Key, tuple[list[float], int, float]],
) -> Iterable[Any]:
    from prometheus_client import metrics_core

    found: dict[str, Any] = {}
    for (key, unsorted), (values, count, sum_s) in sorted(durations.items()):
        name, labels = f"{key}_seconds", dict(sorted(unsorted))
        family = found.get(name)
        if family is None:
            help_text = metric_names.HELP.get(key, key)
            family = metrics_core.Metric(name, help_text, "summary")
            found[name] = family
        for quantile, value in zip(QUANTILES, values, strict=True):
            family.add_sample(
                name, {**labels, "quantile": str(quantile)}, value
            )
        family.add_sample(f"{name}_count", labels, count)
        family.add_sample(f"{name}_sum", labels, sum_s)
    return found.values()


def _order(family: Any) -> tuple[int, str]:
    first = metric_names.FIRST_METRICS
    rank = first.index(family.name) if family.name in first else len(first)
    return rank, family.name
