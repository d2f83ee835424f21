"""Merges the base with a site's overlays into the configuration of the site."""

from collections.abc import Mapping
from typing import Any
from typing import TypeVar

import msgspec

from buckthorn_core import bundles
from buckthorn_core import findings
from buckthorn_core import ids

_Item = TypeVar("_Item", bound=msgspec.Struct)
_Name = TypeVar("_Name", bound=str)


class SiteConfig(msgspec.Struct, frozen=True):
    """Merged configuration of one site.

    Attributes:
        site: The site.
        region: Its region; empty if the base has no such site.
        services: Services by name.
        resources: Resources by name.
        routes: Routes by name.
        traffic: Weights of the sites to which requests of this site's
            callers go; empty keeps them at the site itself.
        draining_sites: All sites whose upstreams get no new requests.
        region_by_site: Region of each site.
    """

    site: ids.SiteName
    region: ids.RegionName
    services: dict[ids.ServiceName, bundles.Service]
    resources: dict[ids.ResourceName, bundles.Resource]
    routes: dict[ids.RouteName, bundles.Route]
    traffic: dict[ids.SiteName, float]
    draining_sites: frozenset[ids.SiteName]
    region_by_site: dict[ids.SiteName, ids.RegionName]


def overlay_chain(
    bundle: bundles.Bundle, site: ids.SiteName
) -> list[bundles.Overlay]:
    """Returns a site's overlays in the order in which they are applied.

    The overlays that it extends come first. A cycle or an unknown name ends
    the chain; validation reports both.
    """
    chain: list[bundles.Overlay] = []
    visited: set[ids.SiteName] = set()
    name: ids.SiteName | None = site
    while name is not None and name in bundle.overlays and name not in visited:
        visited.add(name)
        overlay = bundle.overlays[name]
        chain.append(overlay)
        name = overlay.extends
    chain.reverse()
    return chain


def _changed_fields(overlay: msgspec.Struct) -> dict[str, Any]:
    return {
        name: value
        for name, value in msgspec.structs.asdict(overlay).items()
        if name != "absent" and value is not None
    }


def _merge_items(
    base: Mapping[_Name, _Item], overlays: list[Mapping[_Name, Any]]
) -> dict[_Name, _Item]:
    merged = dict(base)
    for overlay in overlays:
        for name, change in overlay.items():
            if name not in base:
                continue
            if change.absent:
                merged.pop(name, None)
            else:
                item = merged.get(name, base[name])
                merged[name] = msgspec.structs.replace(
                    item, **_changed_fields(change)
                )
    return merged


def merge(bundle: bundles.Bundle, site: ids.SiteName) -> SiteConfig:
    """Applies a site's overlays to the base.

    The traffic weights come from the site's own overlay only, not from those
    that it extends.
    """
    chain = overlay_chain(bundle, site)
    site_overlay = bundle.overlays.get(site)
    base = bundle.base
    return SiteConfig(
        site=site,
        region=bundles.region_of(base, site) or ids.RegionName(""),
        services=_merge_items(base.services, [o.services for o in chain]),
        resources=_merge_items(base.resources, [o.resources for o in chain]),
        routes=_merge_items(base.routes, [o.routes for o in chain]),
        traffic=dict(site_overlay.traffic) if site_overlay else {},
        draining_sites=frozenset(
            name
            for name, overlay in bundle.overlays.items()
            if overlay.state is bundles.SiteState.DRAINING
        ),
        region_by_site={
            name: region
            for region, sites in base.regions.items()
            for name in sites
        },
    )


def find_dangling_references(config: SiteConfig) -> list[findings.Finding]:
    """Finds routes whose service or resource is missing at the site."""
    dangling = []
    for name, route in config.routes.items():
        if route.service not in config.services:
            dangling.append(
                _dangling(config, name, "service", route.service),
            )
        if route.resource not in config.resources:
            dangling.append(
                _dangling(config, name, "resource", route.resource),
            )
    return dangling


def _dangling(
    config: SiteConfig, route: ids.RouteName, kind: str, target: str
) -> findings.Finding:
    return findings.Finding(
        file="base",
        path=("routes", route, kind),
        code="dangling-reference",
        message=(
            f"at site {config.site} route {route!r} uses {kind} {target!r},"
            " which the site does not have"
        ),
    )
