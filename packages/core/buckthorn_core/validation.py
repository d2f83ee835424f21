"""Checks of a bundle. A check is a function that yields findings."""

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
    """Registers a check of bundles."""
    _checks.append(function)
    return function


def overlay_file(site: ids.SiteName) -> str:
    """Returns the name under which findings refer to a site's overlay."""
    return f"overlay:{site}"


def validate(bundle: bundles.Bundle) -> list[findings.Finding]:
    """Runs all checks; an empty list means that the bundle is valid.

    A fault in the base shows at each site; it is reported once.
    """
    found: dict[tuple[str, findings.Path, str], findings.Finding] = {}
    for run in _checks:
        for finding in run(bundle):
            key = (finding.file, finding.path, finding.code)
            found.setdefault(key, finding)
    return list(found.values())


def _origin(
    bundle: bundles.Bundle, site: ids.SiteName, path: findings.Path
) -> str:
    """Returns the file that sets a value of a site's merged view."""
    kind, name, field = (str(step) for step in path)
    for overlay in reversed(site_configs.overlay_chain(bundle, site)):
        change = getattr(overlay, kind).get(name)
        if change is not None and getattr(change, field) is not None:
            return overlay_file(overlay.site)
    return BASE_FILE


def _all_sites(base: bundles.Base) -> set[ids.SiteName]:
    return {site for sites in base.regions.values() for site in sites}


def _distinct_sites(bundle: bundles.Bundle) -> list[ids.SiteName]:
    """Returns one site for each different merged configuration.

    Most overlays change little or nothing; merging all sites took 70 ms at 780
    services and 21 sites, too much for a log reader at a change every 2 s.
    """
    found: dict[bytes, ids.SiteName] = {}
    for site in sorted(_all_sites(bundle.base)):
        chain = site_configs.overlay_chain(bundle, site)
        differences = [
            (o.services, o.resources, o.routes)
            for o in chain
            if o.services or o.resources or o.routes
        ]
        found.setdefault(msgspec.msgpack.encode(differences), site)
    return list(found.values())


@check
def _site_names(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    seen: dict[ids.SiteName, ids.RegionName] = {}
    for region, sites in bundle.base.regions.items():
        for index, site in enumerate(sites):
            if site in seen:
                yield findings.Finding(
                    BASE_FILE,
                    ("regions", region, index),
                    "duplicate-site",
                    f"site {site!r} is already in region {seen[site]!r}",
                )
            seen[site] = region


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
        seen = {site}
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
            if name in seen:
                yield findings.Finding(
                    overlay_file(site),
                    ("extends",),
                    "cycle",
                    f"the overlays extend each other in a cycle at {name!r}",
                )
                break
            seen.add(name)
            name = bundle.overlays[name].extends


@check
def _overlay_targets(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    base = bundle.base
    for site, overlay in bundle.overlays.items():
        pairs = (
            ("services", set(overlay.services), set(base.services)),
            ("resources", set(overlay.resources), set(base.resources)),
            ("routes", set(overlay.routes), set(base.routes)),
        )
        for kind, named, known in pairs:
            for name in sorted(named - known):
                yield findings.Finding(
                    overlay_file(site),
                    (kind, name),
                    "unknown-name",
                    f"the base has no {name!r} in {kind}",
                )


@check
def _limits(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
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
    for field, (least, most) in _RANGES[path[0]].items():
        value = getattr(item, field)
        if not least <= value <= most:
            yield findings.Finding(
                _origin(bundle, site, (*path, field)),
                (*path, field),
                "out-of-range",
                f"{value} at site {site} is not between {least} and {most}",
            )


@check
def _prefixes(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site in _distinct_sites(bundle):
        owners: dict[str, ids.RouteName] = {}
        for name, route in site_configs.merge(bundle, site).routes.items():
            path = ("routes", name, "prefix")
            file = _origin(bundle, site, path)
            if not route.prefix.startswith("/"):
                yield findings.Finding(
                    file,
                    path,
                    "bad-prefix",
                    f"prefix {route.prefix!r} does not start with '/'",
                )
            if route.prefix in owners:
                yield findings.Finding(
                    file,
                    path,
                    "duplicate-prefix",
                    f"at site {site} route {owners[route.prefix]!r} has the"
                    f" prefix {route.prefix!r} too",
                )
            owners[route.prefix] = name


@check
def _closed(bundle: bundles.Bundle) -> Iterator[findings.Finding]:
    for site in _distinct_sites(bundle):
        for finding in site_configs.find_dangling_references(
            site_configs.merge(bundle, site)
        ):
            yield _locate_dangling(bundle, site, finding)


def _locate_dangling(
    bundle: bundles.Bundle, site: ids.SiteName, finding: findings.Finding
) -> findings.Finding:
    """Moves a dangling reference to the overlay that makes it dangle."""
    _, route, field = (str(step) for step in finding.path)
    merged = site_configs.merge(bundle, site).routes[ids.RouteName(route)]
    kind, target = f"{field}s", getattr(merged, field)
    for overlay in reversed(site_configs.overlay_chain(bundle, site)):
        change = getattr(overlay, kind).get(target)
        if change is not None and change.absent:
            file = overlay_file(overlay.site)
            path: findings.Path = (kind, target, "absent")
            return findings.Finding(file, path, finding.code, finding.message)
    return findings.Finding(
        _origin(bundle, site, finding.path),
        finding.path,
        finding.code,
        finding.message,
    )
