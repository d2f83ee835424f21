"""Command that shows the state of the fleet."""

from collections.abc import Iterator

from buckthorn_client import commands
from buckthorn_client import outputs
from buckthorn_client import waiting
from buckthorn_core import fleets


@commands.command("status", "daemon")
def _status() -> commands.Exit:
    """Shows versions, laggards, roles, upstreams, drains and control bytes.

    Any daemon can be asked; it asks the root of the distribution tree for the
    counts of the whole fleet. The exit status is 6 if not every daemon
    enforces the accepted version, or if not all daemons could be counted.

    Version 0 stands for daemons that refuse callers because they have not yet
    learnt which version they may serve.
    """
    client = commands.make_daemon_client(commands.load_settings())
    status = client.fleet()
    outputs.emit(commands.as_json(), status, render(status))
    if fleets.is_in_force(status, status.accepted.number):
        return commands.Exit.OK
    return commands.Exit.NOT_CONVERGED


def render(status: fleets.FleetStatus) -> str:
    """Returns the status as tables."""
    return "\n\n".join(_sections(status))


def _sections(status: fleets.FleetStatus) -> Iterator[str]:
    number = status.accepted.number
    yield (
        f"accepted version {number}; {waiting.progress(status, number)}\n"
        f"asked {status.daemon}, counted by {status.counted_by}"
    )
    yield outputs.table(
        ("SITE", "REGION", "STATE", "DAEMONS", "LAGGING", "VERSIONS"),
        (_site_row(site, number) for site in status.sites),
    )
    if fleets.lagging_sites(status, number):
        yield f"lagging: {', '.join(status.laggards)}"
    yield outputs.table(
        ("REGION", "SERVICE", "UPSTREAMS", "SLOTS"),
        ((s.region, s.service, s.instances, s.slots) for s in status.services),
    )
    yield outputs.table(
        ("REGION", "ROLE", "HOLDERS"),
        (
            (region, role, ", ".join(holders))
            for region, found in status.roles.items()
            for role, holders in found.items()
        ),
    )
    drains = ", ".join(status.draining_daemons) or "none"
    yield f"daemons that leave in region {status.region}: {drains}"
    local = status.control_bytes.get("local", 0)
    crossed = status.control_bytes.get("region", 0)
    yield (
        f"control bytes sent by {status.daemon} since its start: {local}"
        f" inside its region, {crossed} to other regions"
    )


def _site_row(site: fleets.SiteStatus, number: int) -> tuple[object, ...]:
    versions = sorted(site.versions.items(), reverse=True)
    return (
        site.site,
        site.region,
        site.state.value,
        sum(site.versions.values()),
        sum(n for v, n in site.versions.items() if v < number),
        ", ".join(f"{v}: {n}" for v, n in versions) or "-",
    )
