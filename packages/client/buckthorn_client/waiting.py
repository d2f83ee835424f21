"""Waits until every daemon enforces a version."""

import time
from typing import NamedTuple

from buckthorn_client import daemons
from buckthorn_client import outputs
from buckthorn_core import errors
from buckthorn_core import fleets
from buckthorn_core import ids

POLL_S = 0.25


class Result(NamedTuple):
    """End of a wait.

    Attributes:
        converged: Whether every daemon enforces the version.
        seconds: How long the wait took.
        lagging_sites: Number of daemons that lag, by site.
        laggards: Some of these daemons.
        text: What to tell the operator.
    """

    converged: bool
    seconds: float
    lagging_sites: dict[ids.SiteName, int]
    laggards: list[ids.DaemonId]
    text: str


def wait(
    client: daemons.DaemonClient, number: ids.VersionNumber, wait_s: float
) -> Result:
    """Asks a daemon until all enforce a version or the time has passed."""
    started_s = time.monotonic()
    last = ""
    while True:
        status, said = _ask(client, number)
        seconds = time.monotonic() - started_s
        if said != last:
            outputs.note(f"{seconds:5.1f} s  {said}")
            last = said
        if status is not None and fleets.is_in_force(status, number):
            total = sum(status.versions.values())
            text = f"in force on all {total} daemons after {seconds:.1f} s"
            return Result(True, seconds, {}, [], text)
        if seconds >= wait_s:
            return _timed_out(status, number, seconds, said)
        time.sleep(min(POLL_S, wait_s))


def _ask(
    client: daemons.DaemonClient, number: ids.VersionNumber
) -> tuple[fleets.FleetStatus | None, str]:
    try:
        status = client.fleet()
    except errors.PeerError as exc:
        return None, exc.message
    return status, progress(status, number)


def progress(status: fleets.FleetStatus, number: int) -> str:
    """Returns one line on how far a version has come."""
    total = sum(status.versions.values())
    have = sum(n for v, n in status.versions.items() if v >= number)
    parts = [f"{have} of {total} daemons enforce version {number}"]
    parts += [
        f"{site} lacks {count}"
        for site, count in fleets.lagging_sites(status, number).items()
    ]
    parts += [
        f"region {region}: fewer daemons report than have upstreams"
        for region in fleets.silent_regions(status)
    ]
    if not status.whole:
        parts.append(
            f"only the part below {status.counted_by} is counted; the root of"
            " the tree can't be reached, or took over only seconds ago"
        )
    return "; ".join(parts)


def _timed_out(
    status: fleets.FleetStatus | None,
    number: ids.VersionNumber,
    seconds: float,
    said: str,
) -> Result:
    sites = fleets.lagging_sites(status, number) if status else {}
    laggards = status.laggards if status is not None and sites else []
    text = (
        f"not in force everywhere after {seconds:.1f} s: {said}\nThe version"
        " stays accepted; daemons that lag put it in force once they are"
        " reached. Look again with `buckthornctl status`."
    )
    if laggards:
        text += f"\nlagging: {', '.join(laggards)}"
    return Result(False, seconds, sites, laggards, text)
