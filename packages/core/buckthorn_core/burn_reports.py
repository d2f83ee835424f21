"""Burn rates, alerts and remaining budgets, computed from a history.

A burn rate is the share of bad requests divided by the share that the
objective allows: at rate 1 the budget lasts exactly for the period.
"""

from typing import NamedTuple

import msgspec

from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import ids

PERIOD_S = 28 * 86_400
MAX_RATE = 1e6
MAX_CAUSES = 5
# With fewer events than this a single failure of a quiet service would alert.
MIN_EVENTS = 10

WINDOWS: dict[str, tuple[int, burn_history.BucketWidth]] = {
    "5m": (300, burn_history.BucketWidth.HALF_MINUTE),
    "30m": (1_800, burn_history.BucketWidth.THREE_MINUTES),
    "1h": (3_600, burn_history.BucketWidth.THREE_MINUTES),
    "6h": (21_600, burn_history.BucketWidth.HALF_HOUR),
}


class AlertRule(NamedTuple):
    """Alerts when both windows burn faster than a rate.

    The long window shows that the loss matters, the short one that it still
    goes on, so an alert ends soon after its cause.

    Attributes:
        name: Name of the alert.
        long: Name of the long window.
        short: Name of the short window.
        rate: The burn rate.
    """

    name: str
    long: str
    short: str
    rate: float


# 2% of the period's budget in 1 h, and 5% in 6 h.
ALERT_RULES = (
    AlertRule("fast", "1h", "5m", 0.02 * PERIOD_S / 3_600),
    AlertRule("slow", "6h", "30m", 0.05 * PERIOD_S / 21_600),
)


class Budget(msgspec.Struct, frozen=True):
    """How an objective is met.

    Attributes:
        objective: Wanted share of good (or fast) requests, weighted by the
            requests of each site; None without requests.
        rates: Burn rate by window.
        remaining: Share of the period's budget that is left; negative when
            overspent.
        alert: Name of the rule that alerts, or empty.
    """

    objective: float | None
    rates: dict[str, float]
    remaining: float
    alert: str


class EventCount(msgspec.Struct, frozen=True):
    """A cause or daemon, and its bad and slow requests."""

    name: str
    events: int


class ServiceBurn(msgspec.Struct, frozen=True):
    """Burn of one service.

    Attributes:
        service: Its name.
        requests: Counted requests of the last hour.
        bad: Bad requests of the last hour.
        slow: Slow requests of the last hour.
        alert: The more urgent alert of both budgets, or empty.
        availability: The budget for failures.
        latency: The budget for slow answers.
        series: Burn rate of failures by half hour, the oldest first; None
            where there were no requests.
        causes: Causes of the last hour, the most frequent first.
        daemons: Daemons of the last hour, the most frequent first; counts
            are lower bounds.
    """

    service: ids.ServiceName
    requests: int
    bad: int
    slow: int
    alert: str
    availability: Budget
    latency: Budget
    series: list[float | None]
    causes: list[EventCount]
    daemons: list[EventCount]


class Report(msgspec.Struct, frozen=True):
    """Burn of the fleet.

    Attributes:
        root: The daemon that holds the history.
        period_s: Period of the budgets.
        covered_s: Time that the history covers so far.
        services_known: Number of services with counts.
        services: Services, those that burn most first.
    """

    root: ids.DaemonId
    period_s: int
    covered_s: float
    services_known: int
    services: list[ServiceBurn]


def rate(events: int, allowed: int) -> float:
    """Returns the burn rate of events against an allowance in millionths."""
    if not events:
        return 0.0
    if not allowed:
        return MAX_RATE
    return min(MAX_RATE, round(events * burn_counts.MILLION / allowed, 3))


def _alert(rates: dict[str, float], events: dict[str, int]) -> str:
    for rule in ALERT_RULES:
        if (
            events[rule.long] >= MIN_EVENTS
            and rates[rule.long] >= rule.rate
            and rates[rule.short] >= rule.rate
        ):
            return rule.name
    return ""


def _budget(
    windows: dict[str, tuple[int, int]], period: tuple[int, int, int]
) -> Budget:
    rates = {name: rate(*pair) for name, pair in windows.items()}
    requests, events, allowed = period
    objective = None
    if requests:
        objective = round(1.0 - allowed / requests / burn_counts.MILLION, 6)
    return Budget(
        objective,
        rates,
        round(1.0 - rate(events, allowed), 4),
        _alert(rates, {name: pair[0] for name, pair in windows.items()}),
    )


def _top(counts: dict[ids.DaemonId, int] | dict[str, int]) -> list[EventCount]:
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return [
        EventCount(str(name), events) for name, events in ranked[:MAX_CAUSES]
    ]


class _Budgets(NamedTuple):
    """What services are ranked by."""

    service: ids.ServiceName
    hour: burn_history.WindowTotals
    alert: str
    availability: Budget
    latency: Budget

    def urgency(self) -> tuple[int, float, str]:
        names = [rule.name for rule in ALERT_RULES]
        rank = names.index(self.alert) if self.alert else len(names)
        worst = max(
            *self.availability.rates.values(), *self.latency.rates.values()
        )
        return rank, -worst, self.service


def _budgets(
    history: burn_history.History, service: ids.ServiceName, now_s: float
) -> _Budgets:
    windows = {
        name: history.window_totals(service, tier, seconds, now_s)
        for name, (seconds, tier) in WINDOWS.items()
    }
    period = history.window_totals(
        service, burn_history.BucketWidth.DAY, PERIOD_S, now_s
    )
    availability = _budget(
        {n: (w.bad, w.bad_allowed) for n, w in windows.items()},
        (period.total, period.bad, period.bad_allowed),
    )
    latency = _budget(
        {n: (w.slow, w.slow_allowed) for n, w in windows.items()},
        (period.timed, period.slow, period.slow_allowed),
    )
    alerts = {availability.alert, latency.alert}
    return _Budgets(
        service,
        windows["1h"],
        next((r.name for r in ALERT_RULES if r.name in alerts), ""),
        availability,
        latency,
    )


def _service_burn(
    history: burn_history.History, found: _Budgets, now_s: float
) -> ServiceBurn:
    service = found.service
    detail = history.detail(service, now_s)
    series = history.series(service, burn_history.BucketWidth.HALF_HOUR, now_s)
    return ServiceBurn(
        service=service,
        requests=found.hour.total,
        bad=found.hour.bad,
        slow=found.hour.slow,
        alert=found.alert,
        availability=found.availability,
        latency=found.latency,
        series=[
            rate(s.bad, s.bad_allowed) if s.total else None for s in series
        ],
        causes=_top(detail.causes),
        daemons=_top(detail.daemons),
    )


def build_report(
    history: burn_history.History,
    root: ids.DaemonId,
    now_s: float,
    service: str = "",
    limit: int = burn_counts.MAX_SERVICES,
) -> Report:
    """Returns the burn of all services, or of one.

    Args:
        history: The counts.
        root: The daemon that holds them.
        now_s: The time now.
        service: Name of the only service wanted; empty means all.
        limit: Largest number of services; those that burn most are kept.
    """
    names = history.services()
    wanted = [n for n in names if not service or n == service]
    # Causes, daemons and series are read only for the services that are kept.
    ranked = sorted(
        (_budgets(history, name, now_s) for name in wanted),
        key=_Budgets.urgency,
    )
    return Report(
        root,
        PERIOD_S,
        round(history.covered_s(now_s), 1),
        len(names),
        [
            _service_burn(history, found, now_s)
            for found in ranked[: max(0, limit)]
        ],
    )
