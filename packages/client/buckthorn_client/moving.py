"""Command that writes the next overlay edit of a move."""

import os
import pathlib

from absl import flags

from buckthorn_adapters import jsonc
from buckthorn_client import commands
from buckthorn_client import differences
from buckthorn_client import files
from buckthorn_client import moves
from buckthorn_client import outputs
from buckthorn_core import bundles
from buckthorn_core import findings
from buckthorn_core import ids

_FROM = flags.DEFINE_string("from", "", "Site that is emptied.")
_TO = flags.DEFINE_string("to", "", "Site that takes over.")
_STEPS = flags.DEFINE_list(
    "steps", ["25", "50", "100"], "Rising percentages of the requests."
)
_BACK = flags.DEFINE_bool("back", False, "Write the step before instead.")
_STOP = flags.DEFINE_bool(
    "stop", False, "Write the state from before the move instead."
)


@commands.command("move", "folder", "from", "to", "steps", "back", "stop")
def _move() -> commands.Exit:
    """Writes the next overlay edit for emptying one site into another.

    Each run takes one step: the shares of --steps, and at last `draining`,
    after which the site's upstreams take no new work. The step is found from
    the overlay itself, so a move can be continued from any machine that has
    the files. Nothing is published: look at `diff`, publish, watch `status`,
    then run the same command again.

    To hold a move, don't run the command. To go back one step, run it with
    --back; to give the move up, with --stop. Either is published like every
    other step, as a new version.
    """
    old, new = ids.SiteName(_FROM.value), ids.SiteName(_TO.value)
    bundle_files = files.BundleFiles(commands.folder())
    before = bundle_files.load()
    _check_sites(before, old, new)
    try:
        move = moves.Move(old, new, _shares())
        overlay = before.overlays.get(old, bundles.Overlay(old))
        current = move.current(overlay)
        step = _choose(move, current)
        if step is None:
            return _report_end(current)
        path = bundle_files.overlay_path(old)
        text = move.edit(_load(path, old), step)
    except moves.MoveError as exc:
        raise commands.UsageError(str(exc)) from exc
    _write(path, text)
    after = files.BundleFiles(commands.folder()).load()
    shown = outputs.change_table(
        differences.compare(before, after), differences.all_sites(after)
    )
    _report(move, current, step, path, shown)
    return commands.Exit.OK


def _shares() -> list[int]:
    try:
        return [int(text) for text in _STEPS.value]
    except ValueError as exc:
        raise moves.MoveError(
            "--steps takes whole percentages, like 25,50,100"
        ) from exc


def _check_sites(
    bundle: bundles.Bundle, old: ids.SiteName, new: ids.SiteName
) -> None:
    sites = [s for found in bundle.base.regions.values() for s in found]
    for flag, site in (("from", old), ("to", new)):
        if site not in sites:
            raise commands.UsageError(
                f"--{flag}={site}: the sites are {', '.join(sites)}"
            )
    if old == new:
        raise commands.UsageError("--from and --to must differ")
    overlay = bundle.overlays.get(new)
    if overlay is not None and overlay.state is bundles.SiteState.DRAINING:
        raise commands.UsageError(
            f"{new} is draining itself; choose another site or set its"
            ' "state" to "active"'
        )


def _choose(move: moves.Move, current: moves.Step) -> moves.Step | None:
    if _STOP.value:
        return move.steps[0] if current > move.steps[0] else None
    if _BACK.value:
        return move.previous(current)
    return move.next(current)


def _report_end(current: moves.Step) -> commands.Exit:
    if _STOP.value or _BACK.value:
        text = "the overlay is as before the move; nothing is written"
    else:
        text = "the move is at its end: the site is draining"
    outputs.emit(
        commands.as_json(), {"step": str(current), "written": None}, text
    )
    return commands.Exit.OK


def _load(path: pathlib.Path, site: ids.SiteName) -> jsonc.Document:
    if path.exists():
        return jsonc.load(path)
    text = f'// How {site} differs from the base.\n{{\n  "site": "{site}"\n}}\n'
    return jsonc.Document(str(path), text)


def _write(path: pathlib.Path, text: str) -> None:
    """Replaces a file as a whole, so that no reader sees half of it."""
    new = path.with_suffix(".new")
    try:
        path.parent.mkdir(exist_ok=True)
        new.write_text(text, encoding="utf-8")
        os.replace(new, path)
    except OSError as exc:
        raise findings.FindingsError(
            [findings.Finding(str(path), (), "unwritable", str(exc))]
        ) from exc


def _report(
    move: moves.Move,
    current: moves.Step,
    step: moves.Step,
    path: pathlib.Path,
    shown: str,
) -> None:
    path_text = " -> ".join(
        f"[{found}]" if found == step else str(found) for found in move.steps
    )
    outputs.emit(
        commands.as_json(),
        {"from": str(current), "step": str(step), "written": str(path)},
        f"{path_text}\n\n{shown}\n\nwritten to {path};"
        " nothing is published. Next:\n  buckthornctl diff\n  buckthornctl"
        " publish --based_on=N --wait    (N as `diff` shows it)\n  buckthornctl"
        " status",
    )
