"""State that the components of a daemon share, guarded by one lock."""

from collections.abc import Callable
import random
import threading
import time

from buckthorn_adapters import compressors
from buckthorn_adapters import metrics
from buckthorn_adapters import peers
from buckthorn_adapters import traffic_counters
from buckthorn_core import acceptance
from buckthorn_core import acks
from buckthorn_core import address_books
from buckthorn_core import bundles
from buckthorn_core import catchups
from buckthorn_core import endpoints
from buckthorn_core import entries
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import membership
from buckthorn_core import messages
from buckthorn_core import quarantines
from buckthorn_core import relays
from buckthorn_core import roles
from buckthorn_core import snapshots
from buckthorn_core import traffic
from buckthorn_core import version_floors
from buckthorn_daemon import settings

NEVER_S = float("-inf")
_VERSION_KNOWN_STATES = frozenset(
    {entries.MemberState.UP, entries.MemberState.SUSPECT}
)


class State:
    """Shared state of a daemon.

    Attributes:
        cfg: The settings.
        lock: Guards the core objects, which aren't thread-safe, and the
            attributes below.
        confirmed_s: When a log reader last found the version in force to be
            the latest, in local monotonic seconds.
        joined: Whether this daemon has merged the whole table of a member.
        contacts: Peer addresses in other regions.
        version_listeners: Called after each change of the version in force,
            without the lock.
    """

    def __init__(self, cfg: settings.Settings):
        self.cfg = cfg
        self.lock = threading.RLock()
        self.rng = random.Random()
        self.started_s = time.monotonic()
        self.incarnation = time.time_ns() // 1_000_000
        self.control = traffic_counters.ThreadSafeControlTraffic()
        self.metrics = metrics.Metrics(self.control)
        self.table = gossip.GossipTable()
        self.membership = membership.Membership(
            self._own_record(), self.table, self.rng
        )
        self.endpoints = endpoints.EndpointIndex(cfg.region, self.table)
        self.quarantines = quarantines.Quarantines(self.table)
        self.relay = relays.Relay(compressors.ZstdDeltaCodec())
        self.acks = acks.AckAggregator(cfg.daemon_id, cfg.site)
        self.holder = snapshots.SnapshotHolder()
        self.metrics.register_gauge(
            "buckthorn_version", lambda: self.holder.version.number
        )
        self.metrics.register_gauge(
            "buckthorn_ready", lambda: int(self.holder.ready)
        )
        self.floor_search = version_floors.FloorSearch(cfg.site, self.started_s)
        self.acceptor = acceptance.Acceptor(
            cfg.publish_key.encode(), cfg.peer_key.encode()
        )
        self.catch_up = catchups.CatchUp()
        self.contacts = address_books.AddressBook()
        self.joined = False
        self.confirmed_s = NEVER_S
        self.version_listeners: list[Callable[[], None]] = []
        self.identity = peers.Identity(
            daemon=cfg.daemon_id,
            address=cfg.peer_address,
            remote_address=cfg.remote_peer_address,
            region=cfg.region,
            site=cfg.site,
            key=cfg.peer_key.encode(),
            version=self.ready_version,
        )
        self.client = peers.PeerClient(self.identity, self.control)
        self._tree = roles.DistributionTree([])
        self._holders: dict[str, list[ids.DaemonId]] = {}
        self._role_members: list[ids.DaemonId] = []

    def _own_record(self) -> entries.Member:
        cfg = self.cfg
        return entries.Member(
            id=cfg.daemon_id,
            incarnation=self.incarnation,
            revision=0,
            state=entries.MemberState.STARTING,
            region=cfg.region,
            site=cfg.site,
            peer_address=cfg.peer_address,
            remote_peer_address=cfg.remote_peer_address,
            http_address=cfg.http_address,
            remote_http_address=cfg.remote_http_address,
        )

    def ready_version(self) -> ids.VersionNumber:
        """Returns the version in force, or 0 while callers are refused."""
        if not self.holder.ready:
            return ids.VersionNumber(0)
        return self.holder.version.number

    def tree(self) -> roles.DistributionTree:
        """Returns the distribution tree of the live members."""
        self._refresh_roles()
        return self._tree

    def holders(self, role: str) -> list[ids.DaemonId]:
        """Returns the members of this region that hold a role."""
        self._refresh_roles()
        role_holders = self._holders.get(role)
        if role_holders is None:
            role_holders = roles.holders(
                role, self.membership.role_candidates()
            )
            self._holders[role] = role_holders
        return role_holders

    def holds(self, role: str) -> bool:
        """Returns whether this daemon holds a role in its region."""
        return self.cfg.daemon_id in self.holders(role)

    def _refresh_roles(self) -> None:
        # Ranking hashes the id of every member, which takes 3 ms with 3,000
        # members: too long to repeat at each read of the log.
        members = self.membership.role_candidates()
        if self._role_members is not members:
            self._role_members = members
            self._tree = roles.DistributionTree(members)
            self._holders = {}

    def is_first_relay(self) -> bool:
        """Returns whether this daemon is the first relay of its region."""
        return self.tree().relays[:1] == [self.cfg.daemon_id]

    def is_root(self) -> bool:
        """Returns whether this daemon is the root of the distribution tree."""
        return self.cfg.region == self.cfg.log_region and self.is_first_relay()

    def region_address(self, region: ids.RegionName) -> ids.Address | None:
        """Returns a peer address in another region, or None without one."""
        entry = self.table.entries.get(f"r/{region}")
        announced: list[ids.Address] = []
        if isinstance(entry, entries.RegionContacts):
            announced = entry.addresses
        return self.contacts.choose(region, announced)

    def apply(self, version: bundles.VersionId, raw: bytes) -> bool:
        """Puts a version in force and calls the listeners.

        Args:
            version: The version.
            raw: Its encoded bundle.

        Returns:
            Whether the version in force changed.

        Raises:
            errors.ConfigError: The bundle is damaged, or a route in it refers
                to a missing service or resource.
        """
        snapshot = snapshots.build(version, raw, self.cfg.site)
        with self.lock:
            if not self.holder.apply(snapshot):
                return False
            self.relay.put(version, raw)
        for listener in self.version_listeners:
            listener()
        return True

    def record_peer_version(self, envelope: messages.Envelope) -> None:
        """Records the version that the sender of a message enforces."""
        if envelope.version <= 0:
            return
        local = envelope.region == self.cfg.region
        source = catchups.Source(
            envelope.address,
            traffic.Scope.LOCAL if local else traffic.Scope.REGION,
            envelope.version,
        )
        with self.lock:
            self.floor_search.add_answer(
                envelope.sender, envelope.site, envelope.version
            )
            self.catch_up.add_source(
                source, self.holder.version.number, time.monotonic()
            )

    def record_confirmation(self, confirmed_s: float) -> None:
        """Records that the version in force was the latest in the log.

        Args:
            confirmed_s: When it was, in local monotonic seconds.
        """
        with self.lock:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
            self.floor_search.add_confirmation(self.confirmed_s)

    def update_floor(self) -> None:
        """Applies the floor once enough members of the site have answered.

        The daemon is UP from the time when its version reaches the floor.
        """
        with self.lock:
            if self.holder.floor_known:
                return
            reachable = sum(
                1
                for member in self.membership.members()
                if member.site == self.cfg.site
                and member.id != self.cfg.daemon_id
                and member.state in _VERSION_KNOWN_STATES
            )
            if not self.joined:
                # The table is incomplete: other members may be reachable.
                reachable = max(reachable, version_floors.QUORUM)
            floor = self.floor_search.floor(reachable)
            if floor is None:
                return
            self.holder.raise_floor(floor)
            if self.holder.version.number >= max(1, floor):
                self.holder.confirm_floor()
                self.membership.update_local(state=entries.MemberState.UP)
