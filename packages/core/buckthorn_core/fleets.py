"""State of the whole fleet, as returned by a daemon's admin interface.

Its size depends on the numbers of sites, services and roles, but not on the
number of daemons.
"""

import msgspec

from buckthorn_core import bundles
from buckthorn_core import ids

# Most daemons to list in `FleetStatus.draining_daemons`.
MAX_DRAINS = 8


class SiteStatus(msgspec.Struct, frozen=True):
    """Versions in force on the daemons of a site.

    Attributes:
        site: The site.
        region: Its region; empty if the version in force lacks the site.
        state: State of the site in the version in force.
        versions: Number of daemons by version number; 0 stands for daemons
            that refuse callers, as they don't know yet the lowest version that
            they may serve.
    """

    site: ids.SiteName
    region: ids.RegionName
    state: bundles.SiteState
    versions: dict[int, int]


class ServiceStatus(msgspec.Struct, frozen=True):
    """Upstreams of a service in a region that accept requests."""

    region: ids.RegionName
    service: ids.ServiceName
    instances: int
    slots: int


class FleetStatus(msgspec.Struct, frozen=True):
    """State of the fleet.

    Attributes:
        daemon: The daemon that was asked.
        region: Its region.
        counted_by: The daemon that counted the versions.
        whole: Whether that daemon is the root of the distribution tree and has
            been so for long enough to have the reports of all daemons. If not,
            the counts cover only the daemons below it.
        accepted: The latest version that the counting daemon knows.
        versions: Number of daemons by version number.
        sites: Daemons by site.
        laggards: Some daemons with the lowest version.
        roles: Holders of roles by region, of the region of the log and of
            the asked daemon.
        services: Upstreams by region and service, as the asked daemon knows
            them.
        draining_daemons: Some daemons of the asked daemon's region that
            leave when their requests in flight have ended.
        control_bytes: Bytes of control messages that the asked daemon has
            sent since its start, by whether they crossed regions.
    """

    daemon: ids.DaemonId
    region: ids.RegionName
    counted_by: ids.DaemonId
    whole: bool
    accepted: bundles.VersionId
    versions: dict[int, int]
    sites: list[SiteStatus]
    laggards: list[ids.DaemonId]
    roles: dict[ids.RegionName, dict[str, list[ids.DaemonId]]]
    services: list[ServiceStatus]
    draining_daemons: list[ids.DaemonId]
    control_bytes: dict[str, int]


def lagging_sites(status: FleetStatus, number: int) -> dict[ids.SiteName, int]:
    """Returns the number of daemons below a version, by site."""
    lagging = {}
    for site in status.sites:
        behind = sum(n for v, n in site.versions.items() if v < number)
        if behind:
            lagging[site.site] = behind
    return lagging


def silent_regions(status: FleetStatus) -> list[ids.RegionName]:
    """Returns the regions in which fewer daemons report than have upstreams.

    Such a region is unreachable, or some of its daemons have just started or
    left.
    """
    reporting: dict[ids.RegionName, int] = {}
    for site in status.sites:
        count = sum(site.versions.values())
        reporting[site.region] = reporting.get(site.region, 0) + count
    expected: dict[ids.RegionName, int] = {}
    for service in status.services:
        expected[service.region] = (
            expected.get(service.region, 0) + service.instances
        )
    return sorted(
        region
        for region, count in expected.items()
        if reporting.get(region, 0) < count
    )


def is_in_force(status: FleetStatus, number: int) -> bool:
    """Returns whether every daemon enforces a version, or a later one."""
    return (
        status.whole
        and bool(status.versions)
        and min(status.versions) >= number
        and not silent_regions(status)
    )
