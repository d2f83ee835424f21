"""Command that shows burn rates: a table, JSON, or one HTML page."""

from collections.abc import Iterator
import pathlib

from absl import flags

from buckthorn_client import commands
from buckthorn_client import outputs
from buckthorn_core import burn_reports

_SERVICE = flags.DEFINE_string("service", "", "Only this service.")
_TOP = flags.DEFINE_integer(
    "top", 50, "Services to show; those that burn most come first.", 1, 1_024
)
_HTML = flags.DEFINE_string(
    "html", "", "Also write one HTML page with plots to this file."
)


@commands.command("burn", "daemon", "service", "top", "html")
def _burn() -> commands.Exit:
    """Shows how fast services use up their error budgets, and why.

    Any daemon can be asked; it asks the root of the distribution tree, which
    holds the counts of the whole fleet. At burn rate 1 a budget lasts exactly
    for its period.
    """
    client = commands.make_daemon_client(commands.load_settings())
    report = client.burn(_SERVICE.value, _TOP.value)
    if _HTML.value:
        # matplotlib takes about a second to load.
        from buckthorn_client import burn_pages

        pathlib.Path(_HTML.value).write_text(
            burn_pages.page(report), encoding="utf-8"
        )
    outputs.emit(commands.as_json(), report, render(report))
    return commands.Exit.OK


def duration(seconds: float) -> str:
    """Returns a duration with its two largest units."""
    minutes = int(seconds) // 60
    days, hours = minutes // 1_440, minutes // 60 % 24
    if days:
        return f"{days} d {hours} h"
    return f"{hours} h {minutes % 60} min"


def heading(report: burn_reports.Report) -> str:
    """Returns what the report covers, in one line."""
    return (
        f"{len(report.services)} of {report.services_known} services; the"
        f" history covers {duration(report.covered_s)} of the period of"
        f" {duration(report.period_s)}; counted by {report.root}"
    )


def names(counts: list[burn_reports.EventCount]) -> str:
    """Returns causes or daemons with their counts."""
    return ", ".join(f"{c.name} {c.events}" for c in counts)


def goal(budget: burn_reports.Budget) -> str:
    """Returns the objective as a share."""
    return "-" if budget.objective is None else f"{budget.objective:.3%}"


def render(report: burn_reports.Report) -> str:
    """Returns the report as tables."""
    return "\n\n".join(_sections(report))


def _sections(report: burn_reports.Report) -> Iterator[str]:
    yield heading(report)
    windows = [name.upper() for name in burn_reports.WINDOWS]
    yield outputs.table(
        ("SERVICE", "BUDGET", "GOAL", *windows, "LEFT", "ALERT"),
        (
            _budget_row(found.service, label, budget)
            for found in report.services
            for label, budget in (
                ("availability", found.availability),
                ("latency", found.latency),
            )
        ),
    )
    burning = [found for found in report.services if found.causes]
    if burning:
        yield "bad and slow requests of the last hour\n" + outputs.table(
            ("SERVICE", "REQUESTS", "BAD", "SLOW", "CAUSES", "DAEMONS"),
            (
                (
                    found.service,
                    found.requests,
                    found.bad,
                    found.slow,
                    names(found.causes),
                    names(found.daemons) or "spread",
                )
                for found in burning
            ),
        )


def _budget_row(
    service: str, label: str, budget: burn_reports.Budget
) -> tuple[object, ...]:
    return (
        service,
        label,
        goal(budget),
        *(f"{budget.rates[name]:.4g}" for name in burn_reports.WINDOWS),
        f"{budget.remaining:.1%}",
        budget.alert or "-",
    )
