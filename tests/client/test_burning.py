"""The burn report as table and page."""

import html.parser
import re

import pytest

from buckthorn_client import burn_pages
from buckthorn_client import burning
from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import burn_reports


def make_report(services: int) -> burn_reports.Report:
    history = burn_history.History(0.0)
    for minute in range(0, 420, 10):
        tallies: burn_counts.Tallies = {}
        for number in range(services):
            bad = (number * 7 + minute) % 23 if number % 3 else 0
            tallies[f"service-{number:02d}"] = burn_counts.Tally(
                total=1_000,
                bad=bad,
                bad_allowed=1_000_000,
                timed=1_000 - bad,
                slow=number,
                slow_allowed=10_000_000,
                causes={"slots_full": bad, "slow": number} if bad else {},
                daemons={f"daemon-<{number}>": bad} if bad else {},
            )
        history.add([burn_counts.AgedInterval(0.0, tallies)], minute * 60.0)
    return burn_reports.build_report(history, "root-1", 420 * 60.0)


class _Parser(html.parser.HTMLParser):
    """Collects tags and what they refer to."""

    def __init__(self):
        super().__init__()
        self.tags: list[str] = []
        self.references: list[str] = []

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        self.references += [
            value or ""
            for name, value in attrs
            if name in ("src", "href", "xlink:href")
        ]


@pytest.mark.parametrize(("services", "plots"), [(0, 0), (1, 4), (40, 4)])
def test_page_stands_alone(services, plots):
    """Guards against a page that needs other files, or a broken empty one."""
    report = make_report(services)
    page = burn_pages.page(report)
    parser = _Parser()
    parser.feed(page)
    assert parser.tags.count("svg") == plots
    assert all(found.startswith("#") for found in parser.references)
    assert not re.search(r"url\((?!#)", page)
    assert "<3>" not in page
    if services:
        assert parser.tags.count("tr") > 2 * services
    text = burning.render(report)
    assert text.count("availability") == text.count("latency") == services
