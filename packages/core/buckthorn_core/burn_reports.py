"""Computes burn rates, alerts and remaining error budgets from a history.

A burn rate is the fraction of bad requests divided by the fraction that the
objective allows: at rate 1 the error budget lasts exactly for the period.
"""

from typing import NamedTuple

import msgspec

from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import ids

# Period over which an error budget is spent.
PERIOD_S = 28 * 86_400
# Reported when the objective allows no bad requests at all.
MAX_RATE = 1e6
# Largest number of causes, and of daemons, in a report.
MAX_CAUSES = 5
# Fewer events don't alert, so that a service with few requests doesn't alert
# on a single failure.
MIN_EVENTS = 10

WINDOWS: dict[str, tuple[int, burn_history.BucketWidth]] = {
    "5m": (300, burn_history.BucketWidth.HALF_MINUTE),
    "30m": (1_800, burn_history.BucketWidth.THREE_MINUTES),
    "1h": (3_600, burn_history.BucketWidth.THREE_MINUTES),
    "6h": (21_600, burn_history.BucketWidth.HALF_HOUR),
}


class AlertRule(NamedTuple):
    """Alerts when the burn rates of two windows reach a threshold.

    The long window shows that the loss is significant, the short one that it
    continues, so an alert ends soon after its cause.

    Attributes:
        name: Name of the alert.
        long: Name of the long window.
        short: Name of the short window.
        rate: Burn rate from which both windows alert.
    """

    name: str
    long: str
    short: str
    rate: float


# Alerts when 2% of the period's budget is spent in 1 h, or 5% in 6 h.
ALERT_RULES = (
    AlertRule("fast", "1h", "5m", 0.02 * PERIOD_S / 3_600),
    AlertRule("slow", "6h", "30m", 0.05 * PERIOD_S / 21_600),
)


class Budget(msgspec.Struct, frozen=True):
    """Error budget of an objective.

    Attributes:
        objective: Required fraction of good (or fast) requests, weighted by
            the requests of each site; None without requests.
        rates: Burn rate by window.
        remaining: Fraction of the period's budget that is left; negative if
            it is overspent.
        alert: Name of the rule that alerts, or empty.
    """

    objective: float | None
    rates: dict[str, float]
    remaining: float
    alert: str


class EventCount(msgspec.Struct, frozen=True):
    """Number of bad and slow requests of a cause or daemon.

    Attributes:
        name: The cause, or the daemon's id.
        events: Number of bad and slow requests.
    """

    name: str
    events: int


class ServiceBurn(msgspec.Struct, frozen=True):
    """Burn of one service.

    Attributes:
        service: Name of the service.
        requests: Counted requests of the last hour.
        bad: Bad requests of the last hour.
        slow: Slow requests of the last hour.
        alert: The more urgent alert of both budgets, or empty.
        availability: Error budget of failed requests.
        latency: Error budget of slow requests.
        series: Burn rate of failures by half hour, the oldest first; None
            without requests.
        causes: Causes of bad and slow requests in the last hour, the most
            frequent first.
        daemons: Daemons with bad and slow requests in the last hour, the
            most frequent first; the counts are lower bounds.
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
        period_s: Period of the error budgets, in seconds.
        covered_s: Time that the history covers so far, in seconds.
        services_known: Number of services with counts.
        services: Services, the most urgent first.
    """

    root: ids.DaemonId
    period_s: int
    covered_s: float
    services_known: int
    services: list[ServiceBurn]


def rate(events: int, allowed: int) -> float:
    """Returns the burn rate of bad events.

    Args:
        events: Number of bad events.
        allowed: Number that the objective allows, in millionths.
    """
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
    """Computes an error budget.

    Args:
        windows: Bad events and those allowed, in millionths, by window.
        period: Requests, bad events and those allowed in the whole period.
    """
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


def _most_frequent(
    counts: dict[ids.DaemonId, int] | dict[str, int],
) -> list[EventCount]:
    ranked = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return [
        EventCount(str(name), events) for name, events in ranked[:MAX_CAUSES]
    ]


class _ServiceBudgets(NamedTuple):
    """Budgets of a service, by which services are ranked."""

    service: ids.ServiceName
    hour: burn_history.WindowTotals
    alert: str
    availability: Budget
    latency: Budget

    def sort_key(self) -> tuple[int, float, str]:
        """Sorts by alert, then by burn rate, the most urgent first."""
        names = [rule.name for rule in ALERT_RULES]
        rank = names.index(self.alert) if self.alert else len(names)
        highest = max(
            *self.availability.rates.values(), *self.latency.rates.values()
        )
        return rank, -highest, self.service


def _service_budgets(
    history: burn_history.History, service: ids.ServiceName, now_s: float
) -> _ServiceBudgets:
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
    return _ServiceBudgets(
        service,
        windows["1h"],
        next((r.name for r in ALERT_RULES if r.name in alerts), ""),
        availability,
        latency,
    )


def _service_burn(
    history: burn_history.History, budgets: _ServiceBudgets, now_s: float
) -> ServiceBurn:
    service = budgets.service
    detail = history.detail(service, now_s)
    series = history.series(service, burn_history.BucketWidth.HALF_HOUR, now_s)
    return ServiceBurn(
        service=service,
        requests=budgets.hour.total,
        bad=budgets.hour.bad,
        slow=budgets.hour.slow,
        alert=budgets.alert,
        availability=budgets.availability,
        latency=budgets.latency,
        series=[
            rate(s.bad, s.bad_allowed) if s.total else None for s in series
        ],
        causes=_most_frequent(detail.causes),
        daemons=_most_frequent(detail.daemons),
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
        history: The history of counts.
        root: The daemon that holds the history.
        now_s: The local time, in seconds.
        service: Name of a service to report alone; empty reports all.
        limit: Largest number of services; the most urgent ones are reported.
    """
    names = history.services()
    selected = [n for n in names if not service or n == service]
    # Causes, daemons and series are computed for the reported services only.
    ranked = sorted(
        (_service_budgets(history, name, now_s) for name in selected),
        key=_ServiceBudgets.sort_key,
    )
    return Report(
        root,
        PERIOD_S,
        round(history.covered_s(now_s), 1),
        len(names),
        [
            _service_burn(history, budgets, now_s)
            for budgets in ranked[: max(0, limit)]
        ],
    )
