"""Measures the burn report at the target size, and the metrics' cost.

Run it with the packages on PYTHONPATH; it prints one figure a line.
"""

from collections.abc import Callable
import random
import time
import tracemalloc

import msgspec

from buckthorn_adapters import compressors
from buckthorn_adapters import metrics
from buckthorn_core import bundles
from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import burn_reports
from buckthorn_core import ids
from buckthorn_core import traffic

SERVICES = 780
CALLS = 50_000
ROUNDS = 7
OBJECTIVE = bundles.Objective()
_CAUSES = ("no_upstream", "slots_full", "upstream_failed", "timed_out")
_ME = ids.DaemonId("stock-catalogue-roskilde-nord-1234")


def _time_us(run: Callable[[], object], times: int) -> float:
    # The best of several rounds; the others were disturbed.
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        for _ in range(times):
            run()
        best_s = min(best_s, time.perf_counter() - started_s)
    return best_s / times * 1e6


def _tallies(
    rng: random.Random, services: int, burning: int
) -> burn_counts.Tallies:
    found: burn_counts.Tallies = {}
    for number in range(services):
        tally = burn_counts.Tally(
            total=rng.randrange(200_000), timed=rng.randrange(200_000)
        )
        tally.bad_allowed = tally.total * 1_000
        tally.slow_allowed = tally.timed * 10_000
        if number < burning:
            tally.causes = {c: rng.randrange(1, 9_999) for c in _CAUSES}
            tally.bad = sum(tally.causes.values())
            tally.daemons = {
                ids.DaemonId(f"service-{number}-site-{rng.randrange(99)}"): n
                for n in range(1, burn_counts.TOP_DAEMONS + 1)
            }
        found[ids.ServiceName(f"service-name-{number}")] = tally
    return found


def measure_hook() -> None:
    """Measures counting one request."""
    counter = burn_counts.Accumulator()
    service = ids.ServiceName("stock-catalogue")
    for cause in ("", "slots_full"):
        cost_us = _time_us(
            lambda cause=cause: counter.count(  # type: ignore[misc]
                service, OBJECTIVE, 0.01, cause, _ME, time.monotonic()
            ),
            CALLS,
        )
        print(f"burn count cause={cause or 'none'}: {cost_us:.2f} us")


def measure_messages() -> None:
    """Measures messages of a leaf and near the root."""
    rng = random.Random(1)
    codec = compressors.ZstdDeltaCodec()
    for services, burning in ((5, 0), (780, 0), (780, 40), (780, 780)):
        raw = burn_counts.encode(
            [burn_counts.AgedInterval(10.0, _tallies(rng, services, burning))]
        )
        data = codec.encode(raw, None)
        other = burn_counts.Accumulator()
        started_s = time.perf_counter()
        other.add(burn_counts.decode(codec.decode(data, None)), 0.0)
        merge_ms = (time.perf_counter() - started_s) * 1e3
        print(
            f"message services={services} burning={burning}: raw={len(raw)}"
            f" sent={len(data)} bytes, decode and merge {merge_ms:.1f} ms"
        )


def measure_history() -> None:
    """Measures a full history of the target size."""
    rng = random.Random(1)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    history = burn_history.History(0.0)
    end_s = 40.0 * 86_400
    for age_s in [*range(30 * 86_400, 0, -43_200), *range(3_600, 0, -60)]:
        piece = burn_counts.AgedInterval(0.0, _tallies(rng, SERVICES, 40))
        history.add([piece], end_s - age_s)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"history of {SERVICES} services: {held / 1e6:.1f} MB")
    piece = burn_counts.AgedInterval(0.0, _tallies(rng, SERVICES, 40))
    add_us = _time_us(lambda: history.add([piece], end_s), 5)
    report_us = _time_us(
        lambda: burn_reports.build_report(history, _ME, end_s), 5
    )
    screen_us = _time_us(
        lambda: burn_reports.build_report(history, _ME, end_s, "", 50), 5
    )
    print(f"report of 50 of them: {screen_us / 1e3:.1f} ms")
    raw = msgspec.msgpack.encode(history.export_copy(end_s))
    codec = compressors.ZstdDeltaCodec()
    copy = codec.encode(raw, None)
    report = burn_reports.build_report(history, _ME, end_s, "", 50)
    answer = codec.encode(msgspec.msgpack.encode(report), None)
    print(f"history add of all services: {add_us / 1e3:.1f} ms")
    print(f"report of all services: {report_us / 1e3:.1f} ms")
    print(f"copy for the standby: raw={len(raw)} sent={len(copy)} bytes")
    print(f"answer to a query of 50 services: sent={len(answer)} bytes")


def measure_metrics() -> None:
    """Measures a counter, a histogram, and the memory of histograms."""
    found = metrics.Metrics(traffic.ControlTraffic())
    count_us = _time_us(
        lambda: found.count("buckthorn_requests", service="stock"), CALLS
    )
    record_us = _time_us(
        lambda: found.record("buckthorn_request", 0.0123, service="stock"),
        CALLS,
    )
    print(f"metrics count: {count_us:.2f} us, record: {record_us:.2f} us")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(100):
        found.record("buckthorn_request", 0.0123, service=f"s{number}")
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"metrics memory of one histogram: {held / 100:.0f} bytes")


if __name__ == "__main__":
    measure_hook()
    measure_messages()
    measure_history()
    measure_metrics()
