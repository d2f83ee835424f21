"""Validates a bundle with checks: functions that yield findings."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from buckthorn_core import bundles
from buckthorn_core import findings
from buckthorn_core import ids
from buckthorn_core import site_configs

Check = Callable[[bundles.Bundle], Iterable[findings.Finding]]

MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
MAX_DEADLINE_MS = 3_600_000
MAX_BODY_BYTES = 16 * 1024**3

BASE_FILE = "base"

_checks: list[Check] = []


def check(function: Check) -> Check:
    """Registers a function as a check that `validate` runs."""
    _checks.append(function)
    return function


def overlay_file(site: ids.SiteName) -> str:
    """Returns the file name that findings give for a site's overlay."""
    return f"overlay:{site}"


def validate(bundle: bundles.Bundle) -> list[findings.Finding]:
    """Runs all checks; an empty list means that the bundle is valid.

    An error in the base is found again at each site and reported once.
    """
    unique: dict[tuple[str, findings.Path, str], findings.Finding] = {}
    for run_check in _checks:
        for finding in run_check(bundle):
            key = (finding.file, finding.path, finding.code)
            unique.setdefault(key, finding)
    return list(unique.values())


def _defining_file(
    bundle: bundles.Bundle, site: ids.SiteName, path: findings.Path
) -> str:
    """Returns the file that sets a value of a site's merged configuration."""
    kind, name, field = (str(part) for part in path)
    for overlay in reversed(site_configs.overlay_chain(bundle, site)):
        change = getattr(overlay, kind).get(name)
        if change is not None and getattr(change, field) is not None:
            return overlay_file(overlay.site)
    return BASE_FILE


def _all_sites(base: bundles.Base) -> set[ids.SiteName]:
    return {site for sites in base.regions.values() for site in sites}


def _distinct_sites(bundle: bundles.Bundle) -> list[ids.SiteName]:
    """Returns one site for each distinct merged configuration.

    Most overlays change little or nothing. Merging all sites took 70 ms for
    780 services and 21 sites, too long for a log reader with a change every
    2 s.
    """
    site_by_changes: dict[bytes, ids.SiteName] = {}
    for site in sorted(_all_sites(bundle.base)):
        chain = site_configs.overlay_chain(bundle, site)
        changes = [
            (o.services, o.resources, o.routes)
            for o in chain
            if o.services or o.resources or o.routes
        ]
        site_by_changes.setdefault(msgspec.msgpack.encode(changes), site)
    return list(site_by_changes.values())


@check
def _site_names(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    region_by_site: dict[ids.SiteName, ids.RegionName] = {}
    for region, sites in bundle.base.regions.items():
        for index, site in enumerate(sites):
            if site in region_by_site:
                yield findings.Finding(
                    BASE_FILE,
                    ("regions", region, index),
                    "duplicate-site",
                    f"site {site!r} is already in region"
                    f" {region_by_site[site]!r}",
                )
            region_by_site[site] = region


@check
def _overlay_sites(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    sites = _all_sites(bundle.base)
    for site, overlay in bundle.overlays.items():
        file = overlay_file(site)
        if overlay.site != site:
            yield findings.Finding(
                file,
                ("site",),
                "wrong-site",
                f"the overlay of {site!r} names site {overlay.site!r}",
            )
        if site not in sites:
            yield findings.Finding(
                file,
                ("site",),
                "unknown-site",
                f"the base has no site {site!r}",
            )
        for target, weight in overlay.traffic.items():
            if target not in sites:
                yield findings.Finding(
                    file,
                    ("traffic", target),
                    "unknown-site",
                    f"the base has no site {target!r}",
                )
            if weight < 0:
                yield findings.Finding(
                    file,
                    ("traffic", target),
                    "bad-weight",
                    "a weight must be 0 or more",
                )


@check
def _overlay_chains(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site, overlay in bundle.overlays.items():
        visited = {site}
        name = overlay.extends
        while name is not None:
            if name not in bundle.overlays:
                yield findings.Finding(
                    overlay_file(site),
                    ("extends",),
                    "unknown-overlay",
                    f"there is no overlay of {name!r} to extend",
                )
                break
            if name in visited:
                yield findings.Finding(
                    overlay_file(site),
                    ("extends",),
                    "cycle",
                    f"the overlays extend each other in a cycle at {name!r}",
                )
                break
            visited.add(name)
            name = bundle.overlays[name].extends


@check
def _overlay_names(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    base = bundle.base
    for site, overlay in bundle.overlays.items():
        pairs = (
            ("services", set(overlay.services), set(base.services)),
            ("resources", set(overlay.resources), set(base.resources)),
            ("routes", set(overlay.routes), set(base.routes)),
        )
        for kind, changed, known in pairs:
            for name in sorted(changed - known):
                yield findings.Finding(
                    overlay_file(site),
                    (kind, name),
                    "unknown-name",
                    f"the base has no {name!r} in {kind}",
                )


@check
def _limit_ranges(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site in _distinct_sites(bundle):
        config = site_configs.merge(bundle, site)
        for kind, items in (
            ("services", config.services.items()),
            ("resources", config.resources.items()),
        ):
            for name, item in items:
                yield from _out_of_range(bundle, site, (kind, name), item)


_RANGES: dict[str, dict[str, tuple[int, int]]] = {
    "services": {
        "slots": (1, MAX_SLOTS),
        "connections": (1, MAX_CONNECTIONS),
    },
    "resources": {
        "deadline_ms": (1, MAX_DEADLINE_MS),
        "max_body_bytes": (0, MAX_BODY_BYTES),
    },
}


def _out_of_range(
    bundle: bundles.Bundle,
    site: ids.SiteName,
    path: tuple[str, str],
    item: bundles.Service | bundles.Resource,
) -> Iterator[findings.Finding]:
    for field, (minimum, maximum) in _RANGES[path[0]].items():
        value = getattr(item, field)
        if not minimum <= value <= maximum:
            yield findings.Finding(
                _defining_file(bundle, site, (*path, field)),
                (*path, field),
                "out-of-range",
                f"{value} at site {site} is not between {minimum} and"
                f" {maximum}",
            )


@check
def _route_prefixes(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site in _distinct_sites(bundle):
        route_by_prefix: dict[str, ids.RouteName] = {}
        for name, route in site_configs.merge(bundle, site).routes.items():
            path = ("routes", name, "prefix")
            file = _defining_file(bundle, site, path)
            if not route.prefix.startswith("/"):
                yield findings.Finding(
                    file,
                    path,
                    "bad-prefix",
                    f"prefix {route.prefix!r} does not start with '/'",
                )
            if route.prefix in route_by_prefix:
                yield findings.Finding(
                    file,
                    path,
                    "duplicate-prefix",
                    f"at site {site} route {route_by_prefix[route.prefix]!r}"
                    f" has the prefix {route.prefix!r} too",
                )
            route_by_prefix[route.prefix] = name


@check
def _references(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site in _distinct_sites(bundle):
        for finding in site_configs.find_dangling_references(
            site_configs.merge(bundle, site)
        ):
            yield _attribute_to_removal(bundle, site, finding)


def _attribute_to_removal(
    bundle: bundles.Bundle, site: ids.SiteName, finding: findings.Finding
) -> findings.Finding:
    """Attributes a dangling reference to the overlay that removes its target.

    Without such an overlay it stays with the file that sets the reference.
    """
    _, route, field = (str(part) for part in finding.path)
    merged = site_configs.merge(bundle, site).routes[ids.RouteName(route)]
    kind, target = f"{field}s", getattr(merged, field)
    for overlay in reversed(site_configs.overlay_chain(bundle, site)):
        change = getattr(overlay, kind).get(target)
        if change is not None and change.absent:
            file = overlay_file(overlay.site)
            path: findings.Path = (kind, target, "absent")
            return findings.Finding(file, path, finding.code, finding.message)
    return findings.Finding(
        _defining_file(bundle, site, finding.path),
        finding.path,
        finding.code,
        finding.message,
    )
