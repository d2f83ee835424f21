"""The version in force on a daemon."""

import msgspec

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import routes
from buckthorn_core import site_configs


class Snapshot:
    """An immutable version, merged for one site.

    Attributes:
        version: The version.
        raw: The encoded bundle, for peers.
        config: The site's configuration.
        routes: Search for the route of a request.
    """

    __slots__ = ("config", "raw", "routes", "version")

    def __init__(
        self,
        version: bundles.VersionId,
        raw: bytes,
        config: site_configs.SiteConfig,
    ):
        self.version = version
        self.raw = raw
        self.config = config
        self.routes = routes.RouteIndex(config.routes)


def build(
    version: bundles.VersionId, raw: bytes, site: ids.SiteName
) -> Snapshot:
    """Builds a snapshot; it is whole and closed, or there is none.

    Raises:
        errors.ConfigError: The bytes are not those of the version, are not a
            bundle, or a route's service or resource is missing.
    """
    if bundles.digest(raw) != version.digest:
        raise errors.ConfigError(
            errors.Code.VERSION_MISMATCH,
            f"the bytes are not those of version {version.number}",
        )
    try:
        bundle = bundles.decode(raw)
    except msgspec.DecodeError as exc:
        raise errors.ConfigError(errors.Code.BAD_RECORD, str(exc)) from exc
    config = site_configs.merge(bundle, site)
    found = site_configs.find_dangling_references(config)
    if found:
        raise errors.ConfigError(
            errors.Code.VERSION_NOT_CLOSED, found[0].message
        )
    return Snapshot(version, raw, config)


class SnapshotHolder:
    """Holds the snapshot in force, which only moves forward.

    Attributes:
        current: The snapshot in force, or None.
        floor: The lowest version that callers may be served from.
        floor_known: Whether the floor has been learnt since the start.
    """

    def __init__(self) -> None:
        self.current: Snapshot | None = None
        self.floor = ids.VersionNumber(0)
        self.floor_known = False

    @property
    def version(self) -> bundles.VersionId:
        """The version in force."""
        current = self.current
        return bundles.NO_VERSION if current is None else current.version

    @property
    def ready(self) -> bool:
        """Whether callers may be served."""
        return (
            self.floor_known
            and self.current is not None
            and self.current.version.number >= self.floor
        )

    def apply(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot in force unless an equal or newer one is."""
        if snapshot.version.number <= self.version.number:
            return False
        self.current = snapshot
        return True

    def raise_floor(self, number: ids.VersionNumber) -> None:
        """Raises the floor to a version seen in force elsewhere."""
        self.floor = max(self.floor, number)

    def confirm_floor(self) -> None:
        """Notes that no higher floor can come from before the start."""
        self.floor_known = True
