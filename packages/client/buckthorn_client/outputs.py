"""Output of commands: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import sys
from typing import Any

import msgspec

from buckthorn_client import differences


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns a table with columns as wide as their longest cell."""
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def change_table(
    changes: Sequence[differences.Change], sites: Sequence[str]
) -> str:
    """Returns a table of changes, with the sites that each concerns.

    Args:
        changes: The changes.
        sites: All sites, for changes that concern them all.
    """
    if not changes:
        return "no differences"
    return table(
        ("SITES", "VALUE", "OLD", "NEW"),
        (
            (
                "all" if c.sites == list(sites) else ",".join(c.sites),
                c.path,
                c.old or "-",
                c.new or "-",
            )
            for c in changes
        ),
    )


def emit(as_json: bool, document: Any, text: str) -> None:
    """Prints a result, as one JSON document or as text."""
    print(msgspec.json.encode(document).decode() if as_json else text)


def note(text: str) -> None:
    """Prints progress or advice, apart from the result."""
    print(text, file=sys.stderr, flush=True)
