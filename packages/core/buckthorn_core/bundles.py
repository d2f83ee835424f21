"""The published configuration: a base, and an overlay for each site."""

import enum
import hashlib

import msgspec

from buckthorn_core import ids


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective.

    Attributes:
        availability: Fraction of requests that succeed.
        latency_ms: Bound of a fast answer.
        latency_fraction: Fraction of answers that are fast.
    """

    availability: float = 0.999
    latency_ms: float = 100.0
    latency_fraction: float = 0.99


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, and the limits of each of its instances."""

    slots: int
    connections: int
    cold_start_s: float = 0.0
    objective: Objective = Objective()


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and rules that routes refer to by name.

    Attributes:
        deadline_ms: Time for a request when the caller names none.
        max_body_bytes: Longest body of a request.
        idempotent: Whether requests may run more than once; None goes by
            the method.
    """

    deadline_ms: int = 5_000
    max_body_bytes: int = 1_048_576
    idempotent: bool | None = None


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests whose path starts with the prefix go to the service."""

    prefix: str
    service: ids.ServiceName
    resource: ids.ResourceName


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all sites have in common."""

    mesh: str
    regions: dict[ids.RegionName, list[ids.SiteName]]
    services: dict[ids.ServiceName, Service]
    resources: dict[ids.ResourceName, Resource]
    routes: dict[ids.RouteName, Route]


class SiteState(enum.Enum):
    """Whether a site takes new work."""

    ACTIVE = "active"
    DRAINING = "draining"


class ServiceOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a service differs at a site."""

    slots: int | None = None
    connections: int | None = None
    cold_start_s: float | None = None
    objective: Objective | None = None
    absent: bool = False


class ResourceOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a resource differs at a site."""

    deadline_ms: int | None = None
    max_body_bytes: int | None = None
    idempotent: bool | None = None
    absent: bool = False


class RouteOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a route differs at a site."""

    prefix: str | None = None
    service: ids.ServiceName | None = None
    resource: ids.ResourceName | None = None
    absent: bool = False


class Overlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a site differs from the base.

    Attributes:
        site: The site.
        extends: Another site whose overlay is applied first.
        state: Whether the site's upstreams take new work.
        traffic: Sites that take the requests of this site's callers, with
            weights; empty sends them to the site itself.
        services: Differences by service.
        resources: Differences by resource.
        routes: Differences by route.
    """

    site: ids.SiteName
    extends: ids.SiteName | None = None
    state: SiteState = SiteState.ACTIVE
    traffic: dict[ids.SiteName, float] = {}
    services: dict[ids.ServiceName, ServiceOverlay] = {}
    resources: dict[ids.ResourceName, ResourceOverlay] = {}
    routes: dict[ids.RouteName, RouteOverlay] = {}


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A base and its overlays, published together."""

    base: Base
    overlays: dict[ids.SiteName, Overlay]


class VersionId(msgspec.Struct, frozen=True, array_like=True):
    """Number and digest of a configuration version; number 0 is none."""

    number: ids.VersionNumber = ids.VersionNumber(0)
    digest: str = ""


NO_VERSION = VersionId()
DIGEST_BYTES = 16

_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Bundle)


def encode(bundle: Bundle) -> bytes:
    """Returns the one encoding that a bundle's digest is computed over."""
    return _encoder.encode(bundle)


def decode(raw: bytes) -> Bundle:
    """Decodes a bundle.

    Raises:
        msgspec.DecodeError: The bytes are not a bundle.
    """
    return _decoder.decode(raw)


def digest(raw: bytes) -> str:
    """Returns the digest of an encoded bundle, in hex."""
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def region_of(base: Base, site: ids.SiteName) -> ids.RegionName | None:
    """Returns the region of a site, or None if the base has no such site."""
    for region, sites in base.regions.items():
        if site in sites:
            return region
    return None
