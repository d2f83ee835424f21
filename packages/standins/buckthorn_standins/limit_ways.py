"""Ways to keep many senders within one upstream's limit.

Callers of all senders send more than the limit together, and some senders far
more than others. Pacing at the upstream is compared with an even share of the
limit for each sender.
"""

import random
import time
from typing import Protocol

import msgspec

from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import load_balancing
from buckthorn_core import slot_queues
from buckthorn_core import stated_limits
from buckthorn_standins import experiments
from buckthorn_standins import tables

SENDERS = (12, 81, 3_000)
LIMITS_PER_S = (1.0, 20.0, 200.0)
SECONDS = 60.0
# Requests of all senders, as a multiple of the limit.
DEMAND = 2.0
WINDOW_S = 4.0
ADMISSIONS = 20_000


class _Pace(Protocol):
    def try_send(self, now_s: float, sender: int) -> bool:
        """Returns whether a sender's request may reach the upstream."""


class _AtUpstream:
    """The daemon beside the upstream paces all requests."""

    def __init__(self, limit_per_s: float, senders: int):
        del senders
        self._limit = stated_limits.StatedLimit()
        self._limit.on_response(0.0, limit_per_s)

    def try_send(self, now_s: float, sender: int) -> bool:
        del sender
        if self._limit.delay_s(now_s) > 0:
            return False
        self._limit.on_request(now_s)
        return True


class _EvenShares:
    """Each sender paces its own requests at an even share of the limit."""

    def __init__(self, limit_per_s: float, senders: int):
        self._interval_s = senders / limit_per_s
        self._next_s = [0.0] * senders

    def try_send(self, now_s: float, sender: int) -> bool:
        if now_s < self._next_s[sender]:
            return False
        self._next_s[sender] = now_s + self._interval_s
        return True


def _sent_times(
    pace: _Pace, rng: random.Random, limit_per_s: float, senders: int
) -> list[float]:
    weights = [1 / (n + 1) for n in range(senders)]
    count = int(SECONDS * limit_per_s * DEMAND)
    arrivals_s = sorted(rng.uniform(0, SECONDS) for _ in range(count))
    chosen = rng.choices(range(senders), weights, k=count)
    return [
        now_s
        for now_s, sender in zip(arrivals_s, chosen, strict=True)
        if pace.try_send(now_s, sender)
    ]


def _most_in_window(times_s: list[float]) -> int:
    most = first = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def _admission_us(limit_per_s: float | None) -> float:
    """Returns the processor time of one admission or refusal, in us."""
    queue = slot_queues.SlotQueue(18)
    queue.limit.on_response(0.0, limit_per_s)
    start_s = time.process_time()
    for n in range(ADMISSIONS):
        now_s = n / 1_000
        request = slot_queues.SlotRequest(
            ids.RouteName("browse"),
            slot_queues.Priority(n % 3, n % 3),
            now_s + 2,
            now_s + 0.8,
            now_s + 1.5,
            0.8,
        )
        try:
            ticket, _ = queue.admit(now_s, request)
        except errors.RequestError:
            continue
        queue.release(ticket, 0.02)
    return (time.process_time() - start_s) / ADMISSIONS * 1e6


@experiments.experiment("limits")
def run(options: experiments.Options) -> None:
    """Compares ways to keep an upstream's limit; measures what it costs."""
    table = tables.Table(
        "senders", "limit a second", "way", "used", "most in 4 s", "allowed"
    )
    for senders in options.sizes or SENDERS:
        for limit_per_s in LIMITS_PER_S:
            for way in (_AtUpstream, _EvenShares):
                rng = random.Random(options.seed)
                times_s = _sent_times(
                    way(limit_per_s, senders), rng, limit_per_s, senders
                )
                table.add(
                    senders,
                    limit_per_s,
                    way.__name__.strip("_"),
                    len(times_s) / (SECONDS * limit_per_s),
                    _most_in_window(times_s),
                    1.5 * WINDOW_S * limit_per_s + 5,
                )
    print(table.render())
    notice = stated_limits.UpstreamNotice(
        ids.InstanceId("i-7f3a91c2"), 10**12, 37.5, False
    )
    plain = load_balancing.LoadReport(18, 4, 0, 0.2)
    limited = load_balancing.LoadReport(18, 4, 0, 0.2, 13, notice)
    size = len(msgspec.msgpack.encode(limited))
    print(
        f"a load report: {len(msgspec.msgpack.encode(plain))} B, with a limit"
        f" {size} B; a notice in a request:"
        f" {len(msgspec.msgpack.encode(notice))} B"
    )
    print(
        f"an admission: {_admission_us(None):.1f} us without a limit,"
        f" {_admission_us(40.0):.1f} us at 40 a second"
    )
