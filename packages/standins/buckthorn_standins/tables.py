"""Tables and figures that the experiments print."""

from collections.abc import Sequence
import math
import os
import time
from typing import NamedTuple


class Fit(NamedTuple):
    """A straight line through measured points, by least squares.

    Attributes:
        slope: Change of y for each unit of x.
        intercept: y at x = 0.
        r2: Share of the variance that the line explains; NaN if y is
            constant.
    """

    slope: float
    intercept: float
    r2: float


def fit(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fits a line by least squares.

    Raises:
        ValueError: There are fewer than two different values of x.
    """
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sxx = sum((x - mean_x) ** 2 for x in xs)
    if not sxx:
        raise ValueError("a line needs two different values of x")
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    syy = sum((y - mean_y) ** 2 for y in ys)
    slope = sxy / sxx
    r2 = sxy * sxy / (sxx * syy) if syy else math.nan
    return Fit(slope, mean_y - slope * mean_x, r2)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the nearest-rank quantile; NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def cell(value: object) -> str:
    """Returns the text of a cell, with three or more significant digits."""
    if isinstance(value, float):
        if math.isnan(value):
            return "-"
        if abs(value) >= 100 or value == int(value):
            return f"{value:,.0f}"
        return f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


class Table:
    """A table with a header, printed in Markdown."""

    def __init__(self, *columns: str):
        self._rows: list[list[str]] = [list(columns)]

    def add(self, *cells: object) -> None:
        """Adds a row.

        Raises:
            ValueError: The row has another number of cells than the header.
        """
        if len(cells) != len(self._rows[0]):
            raise ValueError(f"{len(cells)} cells in {self._rows[0]}")
        self._rows.append([cell(value) for value in cells])

    def render(self) -> str:
        """Returns the lines of the table."""
        widths = [
            max(len(text) for text in column)
            for column in zip(*self._rows, strict=True)
        ]
        rule = ["-" * width for width in widths]
        lines = [self._rows[0], rule, *self._rows[1:]]
        return "\n".join(
            "| "
            + " | ".join(
                text.ljust(width) if index == 0 else text.rjust(width)
                for index, (text, width) in enumerate(
                    zip(line, widths, strict=True)
                )
            )
            + " |"
            for line in lines
        )

    def print(self) -> None:
        """Prints the table between empty lines."""
        print(f"\n{self.render()}\n", flush=True)


def add_fit(
    table: Table, what: str, xs: Sequence[float], ys: Sequence[float]
) -> None:
    """Adds a row with name, slope, intercept and R^2, if a line exists."""
    if len(set(xs)) < 2:
        return
    found = fit(xs, ys)
    table.add(what, len(xs), found.slope, found.intercept, found.r2)


def fit_table(unit: str) -> Table:
    """Returns a table for `add_fit`."""
    return Table("figure", "points", f"slope per {unit}", "intercept", "R^2")


def print_preamble(name: str, seed: int) -> None:
    """Prints what a reader needs to judge the figures."""
    load = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    print(
        f"experiment {name}: seed {seed}, {os.cpu_count()} cores,"
        f" load averages {load}, {time.strftime('%Y-%m-%d %H:%M:%S')}",
        flush=True,
    )
