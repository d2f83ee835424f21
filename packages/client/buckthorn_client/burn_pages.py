"""The burn report as one HTML page with inline plots."""

import html
import io
import math
from typing import Any

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import figure  # noqa: E402

from buckthorn_client import burning  # noqa: E402
from buckthorn_core import burn_reports  # noqa: E402

# More rows than this make the plots unreadable; the table has them all.
PLOTTED = 40
SERIES = 6
_WIDTH_IN = 9.0
_ROW_IN = 0.24
_LEAST_RATE = 0.1
# Colours of the Okabe-Ito palette, which colour-blind readers can tell apart.
_COLOURS = {
    "5m": "#D55E00",
    "30m": "#E69F00",
    "1h": "#56B4E9",
    "6h": "#0072B2",
}
_LINES = ("#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#000000")

_STYLE = """
body { font: 15px/1.4 system-ui, sans-serif; margin: 2em auto;
  max-width: 72em; padding: 0 1em; color: #222; }
table { border-collapse: collapse; width: 100%; font-size: 13px; }
th, td { padding: .25em .5em; border-bottom: 1px solid #ddd;
  text-align: right; font-variant-numeric: tabular-nums; }
th:first-child, td:first-child, .text { text-align: left; }
thead th { position: sticky; top: 0; background: #fff; }
.fast { background: #fbe0d3; } .slow { background: #fdf2d0; }
.over { color: #b03a00; font-weight: 600; }
svg { max-width: 100%; height: auto; }
"""


def _svg(fig: figure.Figure) -> str:
    out = io.StringIO()
    # Text stays text, which is smaller and can be searched.
    with mpl.rc_context({"svg.fonttype": "none", "svg.hashsalt": "burn"}):
        fig.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _label(name: str) -> str:
    return name if len(name) <= 28 else f"{name[:27]}…"


def rates_figure(
    services: list[burn_reports.ServiceBurn], budget: str
) -> figure.Figure:
    """Returns the burn rates of services in each window."""
    names = [_label(s.service) for s in services]
    fig = figure.Figure(
        figsize=(_WIDTH_IN, 1.4 + _ROW_IN * len(names)), layout="constrained"
    )
    axes = fig.subplots()
    rows = range(len(services))
    for offset, (window, colour) in enumerate(_COLOURS.items()):
        values = [
            max(_LEAST_RATE, getattr(s, budget).rates[window]) for s in services
        ]
        axes.scatter(
            values,
            [row + 0.15 * (offset - 1.5) for row in rows],
            s=22,
            color=colour,
            label=window,
            zorder=3,
        )
    axes.axvline(1.0, color="#444", linewidth=1)
    for rule in burn_reports.ALERT_RULES:
        axes.axvline(rule.rate, color="#999", linewidth=1, linestyle="--")
        axes.text(
            rule.rate,
            1.0,
            f" {rule.name}",
            transform=axes.get_xaxis_transform(),
            ha="right" if rule.name == "slow" else "left",
            va="bottom",
            color="#555",
            fontsize=9,
        )
    _finish_rates(axes, names)
    fig.legend(loc="outside upper right", ncols=len(_COLOURS), frameon=False)
    return fig


def _finish_rates(axes: Any, names: list[str]) -> None:
    axes.set_xscale("log")
    left, right = axes.get_xlim()
    axes.set_xlim(min(left, _LEAST_RATE * 0.8), max(right, 30.0))
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(len(names) - 0.5, -0.5)
    axes.grid(axis="y", color="#eee")
    axes.set_xlabel(f"burn rate (up to {_LEAST_RATE:g} drawn at the left edge)")
    axes.spines[["top", "right"]].set_visible(False)


def remaining_figure(
    services: list[burn_reports.ServiceBurn],
) -> figure.Figure:
    """Returns the remaining budgets of services."""
    names = [_label(s.service) for s in services]
    fig = figure.Figure(
        figsize=(_WIDTH_IN, 1.4 + _ROW_IN * len(names)), layout="constrained"
    )
    axes = fig.subplots()
    for offset, (budget, colour) in enumerate(
        (("availability", "#0072B2"), ("latency", "#56B4E9"))
    ):
        values = [
            max(-1.0, getattr(s, budget).remaining) * 100 for s in services
        ]
        axes.barh(
            [row + 0.36 * (offset - 0.5) for row in range(len(names))],
            values,
            height=0.34,
            color=colour,
            label=budget,
        )
    axes.axvline(0.0, color="#444", linewidth=1)
    axes.set_xlim(-105, 105)
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(len(names) - 0.5, -0.5)
    axes.set_xlabel("remaining budget in % (cut off at -100)")
    axes.spines[["top", "right"]].set_visible(False)
    fig.legend(loc="outside upper right", ncols=2, frameon=False)
    return fig


def series_figure(
    services: list[burn_reports.ServiceBurn],
) -> figure.Figure:
    """Returns the failures' burn rates of the last six hours."""
    fig = figure.Figure(figsize=(_WIDTH_IN, 3.6), layout="constrained")
    axes = fig.subplots()
    for found, colour in zip(services, _LINES, strict=False):
        count = len(found.series)
        hours = [(index - count + 1) / 2 for index in range(count)]
        axes.plot(
            hours,
            [math.nan if rate is None else rate for rate in found.series],
            color=colour,
            marker="o",
            markersize=4,
            label=_label(found.service),
        )
    axes.axhline(1.0, color="#444", linewidth=1)
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_ylim(bottom=0.0)
    axes.set_xlabel("hours before now, by half hour")
    axes.set_ylabel("burn rate")
    axes.spines[["top", "right"]].set_visible(False)
    fig.legend(loc="outside right upper", frameon=False)
    return fig


def _budget_cells(budget: burn_reports.Budget) -> str:
    cells = [f"<td>{burning.goal(budget)}</td>"]
    for window in burn_reports.WINDOWS:
        value = budget.rates[window]
        mark = ' class="over"' if value > 1 else ""
        cells.append(f"<td{mark}>{value:.4g}</td>")
    mark = ' class="over"' if budget.remaining < 0 else ""
    cells.append(f"<td{mark}>{budget.remaining:.1%}</td>")
    return "".join(cells)


def _rows(found: burn_reports.ServiceBurn) -> str:
    name = html.escape(found.service)
    lines = []
    for label, budget in (
        ("availability", found.availability),
        ("latency", found.latency),
    ):
        lines.append(
            f'<tr class="{budget.alert}"><td>{name}</td>'
            f'<td class="text">{label}</td>{_budget_cells(budget)}'
            f'<td class="text">{budget.alert}</td></tr>'
        )
    return "".join(lines)


def _budget_table(report: burn_reports.Report) -> str:
    heads = "".join(f"<th>{name}</th>" for name in burn_reports.WINDOWS)
    rows = "".join(_rows(found) for found in report.services)
    return (
        '<table><thead><tr><th>service</th><th class="text">budget</th>'
        f"<th>goal</th>{heads}<th>left</th>"
        f'<th class="text">alert</th></tr></thead><tbody>{rows}</tbody></table>'
    )


def _cause_table(report: burn_reports.Report) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(found.service)}</td>"
        f"<td>{found.requests}</td><td>{found.bad}</td><td>{found.slow}</td>"
        f'<td class="text">{html.escape(burning.names(found.causes))}</td>'
        f'<td class="text">'
        f"{html.escape(burning.names(found.daemons)) or 'spread'}</td></tr>"
        for found in report.services
        if found.causes
    )
    if not rows:
        return "<p>No request failed or was slow in the last hour.</p>"
    return (
        "<table><thead><tr><th>service</th><th>requests</th><th>bad</th>"
        '<th>slow</th><th class="text">causes</th>'
        f'<th class="text">daemons</th></tr></thead><tbody>{rows}</tbody>'
        "</table>"
    )


def _plots(report: burn_reports.Report) -> str:
    shown = report.services[:PLOTTED]
    parts = []
    for title, fig in (
        ("Burn rates of availability", rates_figure(shown, "availability")),
        ("Burn rates of latency", rates_figure(shown, "latency")),
        (
            "Availability over six hours",
            series_figure(report.services[:SERIES]),
        ),
        ("Remaining budgets", remaining_figure(shown)),
    ):
        parts.append(f"<h2>{title}</h2>{_svg(fig)}")
    return "".join(parts)


def page(report: burn_reports.Report) -> str:
    """Returns the page; it refers to no other file."""
    if report.services:
        body = (
            f"{_plots(report)}<h2>Budgets</h2>{_budget_table(report)}"
            "<h2>Causes and daemons of the last hour</h2>"
            f"{_cause_table(report)}"
        )
    else:
        body = "<p>No request has been counted yet.</p>"
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Burn report</title><style>{_STYLE}</style></head><body>"
        f"<h1>Burn report</h1><p>{html.escape(burning.heading(report))}</p>"
        "<p>At burn rate 1 a budget lasts exactly for the period.</p>"
        f"{body}</body></html>\n"
    )
