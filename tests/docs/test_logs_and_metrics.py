"""The page on logs and metrics agrees with the code."""

import ast
import pathlib
import re

from buckthorn_adapters import logs
from buckthorn_adapters import metric_names

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operators" / "logs-and-metrics.md"
LEVELS = ("debug", "info", "warning", "error", "exception")


def calls():
    """Yields called names and first arguments in the packages."""
    folders = (ROOT / "packages", ROOT / "platform")
    for path in (p for folder in folders for p in folder.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call):
                first = node.args[0] if node.args else None
                name = first.value if isinstance(first, ast.Constant) else None
                yield ast.unparse(node.func), name


def listed(heading):
    """Returns the names in the first column of a section's table."""
    text = PAGE.read_text(encoding="utf-8")
    section = text.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    return set(re.findall(r"^\| `(\w+)", section, flags=re.M))


def test_events_are_listed():
    """Guards against an event that operators can't look up."""
    found = {
        name
        for called, name in calls()
        if called.rpartition(".")[0].endswith("logger")
        and called.rpartition(".")[2] in LEVELS
    }
    assert None not in found, "event names are constants, values are fields"
    assert found == listed("Events")
    assert found >= logs.UNLIMITED_EVENTS


def test_metrics_are_listed():
    """Guards against a metric without help text, or an outdated one."""
    meters = re.compile(r"(^|\.)(count|record|set_gauge|register_gauge)$")
    metered = [
        (called, name) for called, name in calls() if meters.search(called)
    ]
    found = {n for _, n in metered if str(n).startswith("buckthorn_")}
    passed = {n for called, n in metered if "metrics." in called}
    assert passed <= found, "metric names are constants"
    made = {name for name in metric_names.HELP if "_control_" in name}
    assert found | made == set(metric_names.HELP)
    shown = set()
    for name in listed("Metrics"):
        shown.add(name.removesuffix("_total").removesuffix("_seconds"))
    assert shown == set(metric_names.HELP)
