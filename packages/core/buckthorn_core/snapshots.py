"""The configuration version that is in force on a daemon."""

import msgspec

from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import routes
from buckthorn_core import site_configs


class Snapshot:
    """One configuration version, merged for one site; immutable.

    Attributes:
        version: The version.
        raw: The encoded bundle, as peers pull it.
        config: The site's merged configuration.
        routes: Index of the site's routes by path prefix.
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
    """Decodes a bundle, merges it for a site and checks its references.

    Args:
        version: The version, with the digest of its encoded bundle.
        raw: The encoded bundle.
        site: The site to merge for.

    Raises:
        errors.ConfigError: The digest differs, the bundle can't be decoded,
            or a route refers to a missing service or resource.
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
    dangling = site_configs.find_dangling_references(config)
    if dangling:
        raise errors.ConfigError(
            errors.Code.VERSION_NOT_CLOSED, dangling[0].message
        )
    return Snapshot(version, raw, config)


class SnapshotHolder:
    """Holds the snapshot in force; version numbers only increase.

    Attributes:
        current: The snapshot in force, or None.
        floor: Lowest version number from which callers may be served.
        floor_known: Whether the floor was determined since the start.
    """

    def __init__(self) -> None:
        self.current: Snapshot | None = None
        self.floor = ids.VersionNumber(0)
        self.floor_known = False

    @property
    def version(self) -> bundles.VersionId:
        """Version of the snapshot in force; NO_VERSION without one."""
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
        """Puts a snapshot in force if its version is newer.

        Returns:
            Whether it was newer.
        """
        if snapshot.version.number <= self.version.number:
            return False
        self.current = snapshot
        return True

    def raise_floor(self, number: ids.VersionNumber) -> None:
        """Raises the floor to a version that another daemon has in force."""
        self.floor = max(self.floor, number)

    def confirm_floor(self) -> None:
        """Marks the floor as known, so that it allows serving callers."""
        self.floor_known = True
