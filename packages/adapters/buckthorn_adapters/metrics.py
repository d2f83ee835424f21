"""Counters and histograms, and their text exposition."""

import collections
from collections.abc import Iterable
import threading
from typing import Any

from hdrh import histogram

from buckthorn_core import traffic

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters and latency histograms by name and labels."""

    def __init__(self, control: traffic.ControlTraffic):
        self._control = control
        self._lock = threading.Lock()
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], Any] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counters[key] += amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._gauges[key] = value

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        value_us = max(1, min(MAX_LATENCY_US, int(seconds * 1e6)))
        with self._lock:
            found = self._histograms.get(key)
            if found is None:
                found = histogram.HdrHistogram(
                    1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._histograms[key] = found
            found.record_value(value_us)

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
        """Yields metric families, as prometheus_client asks for them."""
        # Imported when first scraped: it takes 2 MB of memory.
        from prometheus_client import core

        with self._lock:
            counters = dict(self._counters)
            gauges = dict(self._gauges)
            summaries = {
                key: (
                    found.get_total_count(),
                    [found.get_value_at_percentile(q * 100) for q in QUANTILES],
                )
                for key, found in self._histograms.items()
            }
        for (name, labels), value in counters.items():
            family = core.CounterMetricFamily(
                name, name, labels=[k for k, _ in labels]
            )
            family.add_metric([v for _, v in labels], value)
            yield family
        for (name, labels), level in gauges.items():
            gauge = core.GaugeMetricFamily(
                name, name, labels=[k for k, _ in labels]
            )
            gauge.add_metric([v for _, v in labels], level)
            yield gauge
        yield from self._quantiles(summaries)
        yield from self._control_families()

    def _quantiles(self, summaries: dict[Any, Any]) -> Iterable[Any]:
        from prometheus_client import core

        for (name, labels), (count, values) in summaries.items():
            names = [k for k, _ in labels]
            family = core.GaugeMetricFamily(
                f"{name}_seconds", name, labels=[*names, "quantile"]
            )
            for quantile, value in zip(QUANTILES, values, strict=True):
                family.add_metric(
                    [*(v for _, v in labels), str(quantile)], value / 1e6
                )
            yield family
            total = core.CounterMetricFamily(
                f"{name}_count", name, labels=names
            )
            total.add_metric([v for _, v in labels], count)
            yield total

    def _control_families(self) -> Iterable[Any]:
        from prometheus_client import core

        family = core.CounterMetricFamily(
            "buckthorn_control_bytes",
            "Control bytes sent, by kind and scope",
            labels=["kind", "scope"],
        )
        for (kind, scope), size in list(self._control.bytes.items()):
            family.add_metric([kind, scope.value], size)
        yield family

    def exposition(self) -> bytes:
        """Returns all metrics in the usual text format."""
        import prometheus_client
        from prometheus_client import registry

        collectors = registry.CollectorRegistry()
        collectors.register(self)  # type: ignore[arg-type]
        return prometheus_client.generate_latest(collectors)
