"""Figures of the experiments."""

import math

import pytest

from buckthorn_standins import progress_logs
from buckthorn_standins import tables


def test_fit_finds_a_line_and_its_scatter():
    """Guards against wrong slopes on the capacity page."""
    exact = tables.fit([1, 2, 4], [5, 7, 11])
    assert exact == pytest.approx((2.0, 3.0, 1.0))
    scattered = tables.fit([0, 1, 2, 3], [0, 2, 1, 3])
    assert scattered == pytest.approx((0.8, 0.3, 0.64))
    assert math.isnan(tables.fit([1, 2], [3, 3]).r2)
    with pytest.raises(ValueError):
        tables.fit([2, 2], [1, 3])


@pytest.mark.parametrize(
    "share, expected", [(0.5, 50), (0.99, 99), (1.0, 100), (0.0, 1)]
)
def test_quantile_is_the_nearest_rank(share, expected):
    """Guards against quantiles that are off by one rank."""
    assert tables.quantile(range(100, 0, -1), share) == expected
    assert math.isnan(tables.quantile([], share))


def test_rows_of_another_width_are_refused():
    """Guards against a table whose cells stand below the wrong heading."""
    table = tables.Table("what", "ms")
    table.add("x", 1_234.5)
    assert table.render().splitlines()[-1] == "| x    | 1,234 |"
    with pytest.raises(ValueError):
        table.add("x")


def test_log_lines_are_read_once_and_only_when_complete(tmp_path):
    """Guards against versions missed at the end of a half-written line."""
    path = tmp_path / "a.log"
    first = (
        b"2026-01-01T00:00:00.250+0000 INFO    version_in_force"
        b" {'module': 'buckthorn_daemon.daemon', 'version': 2}\n"
    )
    path.write_bytes(b"2026 INFO started {}\n" + first[:40])
    logs = progress_logs.ProgressLogs({"a": path})
    logs.update()
    assert logs.reached(1) == {}
    with path.open("ab") as file:
        file.write(first[40:])
    logs.update()
    assert logs.reached(1) == logs.reached(2) == {"a": 1_767_225_600_250.0}
    assert logs.reached(3) == {}
