"""Entries of the table that is replicated by gossip within a region."""

import enum
import zlib

import msgspec

from buckthorn_core import foreign_values
from buckthorn_core import ids


class MemberState(enum.Enum):
    """State of a daemon."""

    STARTING = "starting"
    UP = "up"
    DRAINING = "draining"
    LEFT = "left"
    SUSPECT = "suspect"
    DEAD = "dead"


class UpstreamState(enum.Enum):
    """State of a daemon's upstream."""

    NONE = "none"
    COLD = "cold"
    UP = "up"
    DRAINING = "draining"
    DOWN = "down"


# At equal incarnation and revision a suspicion supersedes the state that the
# member announced, and a death supersedes the suspicion.
_SEVERITY = {MemberState.SUSPECT: 1, MemberState.DEAD: 2}
DEPARTED_STATES = frozenset({MemberState.LEFT, MemberState.DEAD})


class Member(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """A daemon and the upstream on its host.

    Attributes:
        id: The daemon.
        incarnation: Start time of the daemon, in ms since the epoch.
        revision: Incremented by the daemon at each change of its record.
        state: State of the daemon.
        region: Its region.
        site: Its site.
        peer_address: Address for messages from daemons of its region.
        remote_peer_address: Address for messages from other regions.
        http_address: Address for requests from daemons of its region.
        remote_http_address: Address for requests from other regions.
        service: Service of the upstream; empty without an upstream.
        upstream_state: State of the upstream.
        slots: Requests that the upstream runs at once.
        connections: Most connections that the upstream accepts.
        gapped: Whether the daemon reads the log and has missed records that
            the log no longer holds.
    """

    id: ids.DaemonId
    incarnation: int
    revision: int
    state: MemberState
    region: ids.RegionName
    site: ids.SiteName
    peer_address: ids.Address
    remote_peer_address: ids.Address
    http_address: ids.Address
    remote_http_address: ids.Address
    service: ids.ServiceName = ids.ServiceName("")
    upstream_state: UpstreamState = UpstreamState.NONE
    slots: int = 0
    connections: int = 0
    gapped: bool = False

    @property
    def key(self) -> str:
        """Key of the entry in the table."""
        return f"m/{self.id}"

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two entries with a key, the one with the higher rank is kept."""
        severity = _SEVERITY.get(self.state, 0)
        return (self.incarnation, self.revision, severity)


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A region's capacity for a service, for other regions.

    Attributes:
        region: The region.
        service: The service.
        incarnation: Start time of the writer, in ms since the epoch.
        revision: Incremented by the writer at each change.
        instances: Instances that accept requests.
        slots: Sum of their slots.
        http_addresses: Remote HTTP addresses of some of their daemons.
    """

    region: ids.RegionName
    service: ids.ServiceName
    incarnation: int
    revision: int
    instances: int
    slots: int
    http_addresses: list[ids.Address]

    @property
    def key(self) -> str:
        """Key of the entry in the table."""
        return f"s/{self.region}/{self.service}"

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two entries with a key, the one with the higher rank is kept."""
        return (self.incarnation, self.revision, _tie_breaker(self))


class RegionContacts(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Remote peer addresses of a region, its relays first.

    Attributes:
        region: The region.
        incarnation: Start time of the writer, in ms since the epoch.
        revision: Incremented by the writer at each change.
        addresses: The addresses.
    """

    region: ids.RegionName
    incarnation: int
    revision: int
    addresses: list[ids.Address]

    @property
    def key(self) -> str:
        """Key of the entry in the table."""
        return f"r/{self.region}"

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two entries with a key, the one with the higher rank is kept."""
        return (self.incarnation, self.revision, _tie_breaker(self))


class CrashSuspicion(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A request that was in flight when upstreams crashed.

    Attributes:
        fingerprint: Digest that identifies the request.
        incarnation: Time of the first crash, in ms since the epoch.
        revision: Time of the last crash, or of the completion that cleared the
            suspicion, in ms after the first crash.
        crashes: Upstream crashes without a completion in between.
    """

    fingerprint: ids.Fingerprint
    incarnation: foreign_values.Count
    revision: foreign_values.Count
    crashes: foreign_values.Count

    @property
    def key(self) -> str:
        """Key of the entry in the table."""
        return f"q/{self.fingerprint}"

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two entries with a key, the one with the higher rank is kept."""
        return (self.incarnation, self.revision, self.crashes)


def _tie_breaker(entry: ServiceSummary | RegionContacts) -> int:
    """Returns a checksum of the content.

    Two daemons that both hold the writer role can write the same revision with
    different contents. Without a tie-breaker, tables would keep different
    entries, and the digests, which depend on the rank, would not show it.
    """
    return zlib.crc32(msgspec.msgpack.encode(entry))


Entry = Member | ServiceSummary | RegionContacts | CrashSuspicion
