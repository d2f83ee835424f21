"""Text exposition of metrics, and quantiles of durations."""

import collections
import random

from prometheus_client import parser
import pytest

from buckthorn_adapters import metric_names
from buckthorn_adapters import metrics
from buckthorn_core import traffic


def test_exposition_is_valid():
    """Guards against a HELP or TYPE line for each label set of a family."""
    control = traffic.ControlTraffic()
    control.add("gossip", traffic.Scope.LOCAL, 10)
    control.add("report", traffic.Scope.REGION, 5)
    control.add("summary", traffic.Scope.REGION, 7)
    metric_set = metrics.Metrics(control)
    metric_set.register_gauge("buckthorn_version", lambda: 3)
    name = "buckthorn_request_errors"
    metric_set.count(name, service='a"\\\n', code="no_upstream")
    metric_set.count(name, code="no_upstream", service='a"\\\n')
    metric_set.count(name, service="b", code="slots_full")
    metric_set.set_gauge("unknown_gauge", 2.5)
    for service in "ab":
        metric_set.record("buckthorn_request", 0.01, service=service)
    text = metric_set.exposition().decode()
    declared = collections.Counter(
        tuple(line.split()[1:3])
        for line in text.splitlines()
        if line.startswith("#")
    )
    assert set(declared.values()) == {1}
    samples = {
        (s.name, *(f"{k}={v}" for k, v in sorted(s.labels.items()))): s.value
        for family in parser.text_string_to_metric_families(text)
        for s in family.samples
    }
    for key, value in (
        (("buckthorn_version",), 3),
        ((f"{name}_total", "code=no_upstream", 'service=a"\\\n'), 2),
        ((f"{name}_total", "code=slots_full", "service=b"), 1),
        (("buckthorn_control_scope_bytes_total", "scope=region"), 12),
        (("buckthorn_request_seconds_count", "service=b"), 1),
    ):
        assert samples[key] == value
    kinds = [
        k for line in text.splitlines() if (k := line.split())[1] == "TYPE"
    ]
    assert kinds[0][2:] == ["buckthorn_version", "gauge"]
    assert metric_set.counter(name, code="no_upstream") == 2


@pytest.mark.parametrize("scale_s", [0.0002, 0.01, 30.0])
def test_quantiles_are_close(scale_s):
    """Guards against histogram buckets that are shifted or too wide."""
    rng = random.Random(5)
    values = sorted(scale_s * rng.lognormvariate(0, 1) for _ in range(20_000))
    summary = metrics.DurationSummary()
    for value in values:
        summary.add(value)
    for quantile, got in zip(
        metrics.QUANTILES, summary.quantiles(), strict=True
    ):
        want = values[int(quantile * len(values)) - 1]
        assert got == pytest.approx(want, rel=0.07)


def test_extreme_durations_are_counted():
    """Guards against durations outside the range of the histogram."""
    summary = metrics.DurationSummary()
    for value in (-1.0, 0.0, 1e-9, 1e9):
        summary.add(value)
    assert summary.count == 4
    assert 0 < summary.quantiles()[0] < summary.quantiles()[-1]


def test_first_metrics_have_help():
    """Guards against a misspelt name in `FIRST_METRICS`."""
    assert set(metric_names.FIRST_METRICS) <= set(metric_names.HELP)
