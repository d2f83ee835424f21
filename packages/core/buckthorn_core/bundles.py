"""The published configuration: a base, and overlays that change it by site."""

import enum
import hashlib

import msgspec

from buckthorn_core import ids


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective (SLO).

    Attributes:
        availability: Fraction of requests that must succeed.
        latency_ms: Longest duration of a fast answer, in milliseconds.
        latency_fraction: Fraction of answers that must be fast.
    """

    availability: float = 0.999
    latency_ms: float = 100.0
    latency_fraction: float = 0.99


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service, and the limits of each of its upstreams.

    Attributes:
        slots: Requests that one upstream runs at the same time.
        connections: Requests that run or wait at one upstream.
        cold_start_s: Cold start time of an upstream, in seconds.
        objective: The service-level objective.
    """

    slots: int
    connections: int
    cold_start_s: float = 0.0
    objective: Objective = Objective()


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of requests; routes refer to them by name.

    Attributes:
        deadline_ms: Deadline of a request whose caller states none, in
            milliseconds.
        max_body_bytes: Size limit of a request's body.
        idempotent: Whether requests may run more than once; None decides by
            the HTTP method.
    """

    deadline_ms: int = 5_000
    max_body_bytes: int = 1_048_576
    idempotent: bool | None = None


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sends requests to a service by path prefix.

    Attributes:
        prefix: Path prefix of the requests.
        service: Name of the service.
        resource: Name of the resource with the limits of the requests.
    """

    prefix: str
    service: ids.ServiceName
    resource: ids.ResourceName


class Base(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration that all sites share.

    Attributes:
        mesh: Name of the mesh.
        regions: Sites by region.
        services: Services by name.
        resources: Resources by name.
        routes: Routes by name.
    """

    mesh: str
    regions: dict[ids.RegionName, list[ids.SiteName]]
    services: dict[ids.ServiceName, Service]
    resources: dict[ids.ResourceName, Resource]
    routes: dict[ids.RouteName, Route]


class SiteState(enum.Enum):
    """Whether the upstreams of a site get new requests."""

    ACTIVE = "active"
    DRAINING = "draining"


class ServiceOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of a service at a site; None keeps the base's value.

    `absent` removes the service from the site, as in the other overlays.
    """

    slots: int | None = None
    connections: int | None = None
    cold_start_s: float | None = None
    objective: Objective | None = None
    absent: bool = False


class ResourceOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of a resource at a site; None keeps the base's value."""

    deadline_ms: int | None = None
    max_body_bytes: int | None = None
    idempotent: bool | None = None
    absent: bool = False


class RouteOverlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of a route at a site; None keeps the base's value."""

    prefix: str | None = None
    service: ids.ServiceName | None = None
    resource: ids.ResourceName | None = None
    absent: bool = False


class Overlay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of the base at one site.

    Attributes:
        site: The site.
        extends: Another site whose overlay is applied before this one.
        state: Whether the site's upstreams get new requests.
        traffic: Weights of the sites to which requests of this site's
            callers go; empty keeps them at the site itself.
        services: Changes by service.
        resources: Changes by resource.
        routes: Changes by route.
    """

    site: ids.SiteName
    extends: ids.SiteName | None = None
    state: SiteState = SiteState.ACTIVE
    traffic: dict[ids.SiteName, float] = {}
    services: dict[ids.ServiceName, ServiceOverlay] = {}
    resources: dict[ids.ResourceName, ResourceOverlay] = {}
    routes: dict[ids.RouteName, RouteOverlay] = {}


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A base and its overlays by site, published together."""

    base: Base
    overlays: dict[ids.SiteName, Overlay]


class VersionId(msgspec.Struct, frozen=True, array_like=True):
    """Number and digest of a version; number 0 means that there is none."""

    number: ids.VersionNumber = ids.VersionNumber(0)
    digest: str = ""


NO_VERSION = VersionId()
DIGEST_BYTES = 16

_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Bundle)


def encode(bundle: Bundle) -> bytes:
    """Encodes a bundle; equal bundles have equal encodings and digests."""
    return _encoder.encode(bundle)


def decode(raw: bytes) -> Bundle:
    """Decodes a bundle.

    Raises:
        msgspec.DecodeError: The data is not a bundle.
    """
    return _decoder.decode(raw)


def digest(raw: bytes) -> str:
    """Returns the BLAKE2b digest of an encoded bundle, in hexadecimal."""
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def region_of(base: Base, site: ids.SiteName) -> ids.RegionName | None:
    """Returns the region of a site, or None if the base has no such site."""
    for region, sites in base.regions.items():
        if site in sites:
            return region
    return None
