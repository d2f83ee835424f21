"""The text exposition and the durations."""

import collections
import random

from prometheus_client import parser
import pytest

from buckthorn_adapters import metric_names
from buckthorn_adapters import metrics
from buckthorn_core import traffic


def test_exposition_is_valid():
    """Guards against a family that is declared once for each label set."""
    control = traffic.ControlTraffic()
    control.add("gossip", traffic.Scope.LOCAL, 10)
    control.add("report", traffic.Scope.REGION, 5)
    control.add("summary", traffic.Scope.REGION, 7)
    found = metrics.Metrics(control)
    found.register_gauge("buckthorn_version", lambda: 3)
    name = "buckthorn_request_errors"
    found.count(name, service='a"\\\n', code="no_upstream")
    found.count(name, code="no_upstream", service='a"\\\n')
    found.count(name, service="b", code="slots_full")
    found.set_gauge("unknown_gauge", 2.5)
    for service in "ab":
        found.record("buckthorn_request", 0.01, service=service)
    text = found.exposition().decode()
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
    assert found.counter(name, code="no_upstream") == 2


@pytest.mark.parametrize("scale_s", [0.0002, 0.01, 30.0])
def test_quantiles_are_close(scale_s):
    """Guards against buckets that are off by one or too wide."""
    rng = random.Random(5)
    values = sorted(scale_s * rng.lognormvariate(0, 1) for _ in range(20_000))
    found = metrics.DurationSummary()
    for value in values:
        found.add(value)
    for quantile, got in zip(metrics.QUANTILES, found.quantiles(), strict=True):
        want = values[int(quantile * len(values)) - 1]
        assert got == pytest.approx(want, rel=0.07)


def test_extreme_durations_are_counted():
    """Guards against a duration outside the histogram's range."""
    found = metrics.DurationSummary()
    for value in (-1.0, 0.0, 1e-9, 1e9):
        found.add(value)
    assert found.count == 4
    assert 0 < found.quantiles()[0] < found.quantiles()[-1]


def test_first_names_have_help():
    """Guards against a name at the top that is misspelt."""
    assert set(metric_names.FIRST_METRICS) <= set(metric_names.HELP)
