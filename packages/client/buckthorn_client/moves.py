"""Steps that empty one site into another, as edits of its overlay."""

from collections.abc import Sequence
import json
from typing import Any
from typing import NamedTuple

from buckthorn_adapters import jsonc
from buckthorn_core import bundles
from buckthorn_core import ids

WHOLE = 100


class MoveError(Exception):
    """The move can't be made; the message says what to do."""


class Step(NamedTuple):
    """A state of a move.

    Attributes:
        share: Per cent of the requests of the site's callers that go to the
            other site.
        draining: Whether the site's upstreams take no new work.
    """

    share: int
    draining: bool = False

    def __str__(self) -> str:
        if self.draining:
            return "draining"
        return f"{self.share}%"


class Move:
    """A move of one site into another.

    Attributes:
        steps: All states, from before the move to its end.
    """

    def __init__(
        self, old: ids.SiteName, new: ids.SiteName, shares: Sequence[int]
    ):
        """Plans a move.

        Args:
            old: The site that is emptied.
            new: The site that takes over.
            shares: Rising percentages; 100 and draining end every move.

        Raises:
            MoveError: The percentages are wrong.
        """
        self._old = old
        self._new = new
        wanted = [0, *shares]
        if wanted[-1] != WHOLE:
            wanted.append(WHOLE)
        if any(a >= b for a, b in zip(wanted, wanted[1:], strict=False)):
            raise MoveError(
                "--steps must be rising percentages from 1 to 100, like"
                " 25,50,100"
            )
        self.steps = [*(Step(share) for share in wanted), Step(WHOLE, True)]

    def current(self, overlay: bundles.Overlay) -> Step:
        """Returns how far the move has come in an overlay.

        Raises:
            MoveError: The overlay sends requests to a third site.
        """
        others = set(overlay.traffic) - {self._old, self._new}
        if others:
            raise MoveError(
                f"the overlay of {self._old} sends requests to"
                f" {', '.join(sorted(others))}; take these sites out of"
                ' "traffic" first'
            )
        if overlay.state is bundles.SiteState.DRAINING:
            return self.steps[-1]
        total = sum(overlay.traffic.values())
        moved = overlay.traffic.get(self._new, 0.0)
        return Step(round(WHOLE * moved / total) if total else 0)

    def next(self, current: Step) -> Step | None:
        """Returns the next step, or None at the end."""
        return next((s for s in self.steps if s > current), None)

    def previous(self, current: Step) -> Step | None:
        """Returns the step before, or None at the start."""
        return next((s for s in reversed(self.steps) if s < current), None)

    def edit(self, document: jsonc.Document, step: Step) -> str:
        """Returns the text of the overlay at a step; the rest stays as is."""
        traffic = {}
        if 0 < step.share < WHOLE:
            traffic[self._old] = WHOLE - step.share
        if step.share:
            traffic[self._new] = step.share
        state = (
            bundles.SiteState.DRAINING
            if step.draining
            else bundles.SiteState.ACTIVE
        )
        text = set_member(document, "state", state.value)
        return set_member(
            jsonc.Document(document.file, text), "traffic", traffic
        )


def set_member(document: jsonc.Document, key: str, value: Any) -> str:
    """Returns a document's text with a member of the root set to a value.

    Comments and all other members stay as they are.
    """
    new = json.dumps(value)
    span = document.span((key,))
    if span is not None:
        return document.text[: span.start] + new + document.text[span.end :]
    last = next(reversed(document.value), None)
    after = None if last is None else document.span((last,))
    if after is None:
        raise MoveError(f"{document.file} must at least name its site")
    line = f",\n  {json.dumps(key)}: {new}"
    return document.text[: after.end] + line + document.text[after.end :]
