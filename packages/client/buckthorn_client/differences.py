"""Differences between two versions, as the sites see them."""

from collections.abc import Iterator
from typing import Any

import msgspec

from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import site_configs

_KINDS = ("services", "resources", "routes")


class Change(msgspec.Struct, frozen=True):
    """A value that differs at some sites.

    Attributes:
        sites: The sites, sorted.
        path: The value, like `services.stock-catalogue.slots`.
        old: Old value as JSON, or None if there was none.
        new: New value as JSON, or None if there is none.
    """

    sites: list[ids.SiteName]
    path: str
    old: str | None
    new: str | None


def compare(
    old: bundles.Bundle | None, new: bundles.Bundle | None
) -> list[Change]:
    """Returns what changes at the sites; None stands for no version."""
    sites = all_sites(old, new)
    grouped: dict[tuple[str, str | None, str | None], list[ids.SiteName]] = {}
    for site in sites:
        before, after = _values(old, site), _values(new, site)
        for path in {**before, **after}:
            values = (before.get(path), after.get(path))
            if values[0] != values[1]:
                grouped.setdefault((path, *values), []).append(site)
    return sorted(
        (Change(found, *key) for key, found in grouped.items()),
        key=lambda change: (change.path, change.sites),
    )


def all_sites(*all_bundles: bundles.Bundle | None) -> list[ids.SiteName]:
    """Returns the sites of some bundles, sorted."""
    return sorted({site for bundle in all_bundles for site in _sites(bundle)})


def _sites(bundle: bundles.Bundle | None) -> Iterator[ids.SiteName]:
    if bundle is not None:
        for sites in bundle.base.regions.values():
            yield from sites


def _values(
    bundle: bundles.Bundle | None, site: ids.SiteName
) -> dict[str, str]:
    """Returns a site's merged configuration as a flat mapping."""
    if bundle is None or site not in set(_sites(bundle)):
        return {}
    view = site_configs.merge(bundle, site)
    state = bundles.SiteState.ACTIVE
    if site in view.draining_sites:
        state = bundles.SiteState.DRAINING
    values = {
        "mesh": _json(bundle.base.mesh),
        "region": _json(view.region),
        "state": _json(state),
    }
    for target, weight in view.traffic.items():
        values[f"traffic.{target}"] = _json(weight)
    for kind in _KINDS:
        for name, item in getattr(view, kind).items():
            for field, value in msgspec.to_builtins(item).items():
                if value is not None:
                    values[f"{kind}.{name}.{field}"] = _json(value)
    return values


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
