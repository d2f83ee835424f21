"""The burn report: a table, JSON, or one HTML page."""

import json
import pathlib
import urllib.parse

from absl import flags
import msgspec
import urllib3

from buckthorn_client import commands
from buckthorn_client import settings
from buckthorn_core import burn_reports
from buckthorn_core import errors

TIMEOUT_S = 10.0
_WIDTH = 24

_SERVICE = flags.DEFINE_string("service", "", "Only this service.")
_LIMIT = flags.DEFINE_integer("limit", 50, "Services to show.", 1, 1_024)
_JSON = flags.DEFINE_bool("json", False, "Print the report as JSON.")
_HTML = flags.DEFINE_string("html", "", "Write one HTML page to this file.")


def fetch(url: str, service: str, limit: int) -> burn_reports.Report:
    """Asks a daemon for the report.

    Raises:
        errors.PeerError: It does not answer, or can't reach the root.
    """
    query = urllib.parse.urlencode({"service": service, "limit": limit})
    try:
        resp = urllib3.request(
            "GET", f"{url}/v1/burn?{query}", timeout=TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as exc:
        raise errors.PeerError(
            errors.Code.PEER_UNAVAILABLE, f"{url}: {exc}"
        ) from exc
    if resp.status != 200:
        raise errors.PeerError(
            errors.Code.PEER_UNAVAILABLE,
            f"{url}: {resp.status} {resp.data.decode('utf-8', 'replace')}",
        )
    try:
        return msgspec.json.decode(resp.data, type=burn_reports.Report)
    except msgspec.DecodeError as exc:
        raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc


def duration(seconds: float) -> str:
    """Returns a duration with its two largest units."""
    minutes = int(seconds) // 60
    days, hours = minutes // 1_440, minutes // 60 % 24
    if days:
        return f"{days} d {hours} h"
    return f"{hours} h {minutes % 60} min"


def heading(report: burn_reports.Report) -> str:
    """Returns what the report covers, in one line."""
    shown = len(report.services)
    return (
        f"{shown} of {report.services_known} services; the history covers"
        f" {duration(report.covered_s)} of the period of"
        f" {duration(report.period_s)}; root {report.root}"
    )


def _cut(text: str, width: int = _WIDTH) -> str:
    return text if len(text) <= width else f"{text[: width - 1]}~"


def _names(counts: list[burn_reports.Count], shown: int) -> str:
    return ", ".join(f"{c.name} {c.events}" for c in counts[:shown])


def table(report: burn_reports.Report) -> str:
    """Returns the report as a table of text."""
    columns = [*burn_reports.WINDOWS]
    lines = [
        heading(report),
        "burn rates: 1 uses up the budget in exactly the period",
        f"{'service':{_WIDTH}} {'budget':12} {'goal':>8}"
        + "".join(f"{name:>9}" for name in columns)
        + f" {'left':>8}  alert",
    ]
    for found in report.services:
        for label, budget in (
            ("availability", found.availability),
            ("latency", found.latency),
        ):
            goal = budget.objective
            wanted = "-" if goal is None else f"{goal:.3%}"
            lines.append(
                f"{_cut(found.service):{_WIDTH}} {label:12} {wanted:>8}"
                + "".join(f"{budget.rates[name]:9.4g}" for name in columns)
                + f" {budget.remaining:8.1%}  {budget.alert}"
            )
        if found.causes:
            lines.append(f"    causes   {_names(found.causes, 3)}")
            lines.append(f"    daemons  {_names(found.daemons, 3) or 'spread'}")
    return "\n".join(lines)


@commands.command("burn")
def run() -> commands.Exit:
    """Shows how fast services use up their error budgets."""
    cfg = settings.load(pathlib.Path(flags.FLAGS.cfg))
    if not cfg.daemon_url:
        raise errors.ConfigError(
            errors.Code.BAD_SETTINGS, "daemon_url is not set"
        )
    report = fetch(cfg.daemon_url, _SERVICE.value, _LIMIT.value)
    if _HTML.value:
        # matplotlib takes about a second to load.
        from buckthorn_client import burn_pages

        pathlib.Path(_HTML.value).write_text(
            burn_pages.page(report), encoding="utf-8"
        )
    if _JSON.value:
        print(json.dumps(msgspec.to_builtins(report), indent=2))
    else:
        print(table(report))
    return commands.Exit.OK
