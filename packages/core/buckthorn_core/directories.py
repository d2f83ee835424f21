"""The registered daemons, each with the upstream on its host."""

from collections.abc import Iterable

import msgspec

from buckthorn_core import feed_trees
from buckthorn_core import foreign_values
from buckthorn_core import ids
from buckthorn_core import lifetimes


class Registration(msgspec.Struct, frozen=True):
    """A daemon's record in the keyed topic of members.

    It holds only what rarely changes, so that a daemon writes it a few times in
    the life of its host. Daemons report their state and load to each other
    directly.

    Attributes:
        daemon: The daemon.
        address: Address for requests from other daemons.
        service: The service of the upstream on its host.
        site: Its availability zone.
        region: Its region.
        slots: How many requests its upstream runs at the same time.
        link_mbps: Rate of its host's link, in Mbit/s.
        closed: The last lifetime of the upstream that announced it leaves;
            empty if none did. A daemon that restarts must not send requests to
            it, even if delayed announcements of it arrive.
        closed_born_ms: When that lifetime started, in ms since the epoch.
        closed_before: Lifetimes that were closed before that one, the latest
            at the end. A delayed announcement may come from any of them.
        revision: Rises with each record of the daemon. Tells which of two
            records is newer after the log was restored from a copy.
        keeps_caps: Whether it keeps the rate limits of workspaces; daemons of
            earlier releases don't.
        software_version: Version of the upstream's software, as it was last
            announced; empty if not known.
    """

    daemon: ids.DaemonId
    address: ids.Address
    service: ids.ServiceName
    site: ids.SiteName
    region: ids.RegionName
    slots: foreign_values.Slots
    link_mbps: foreign_values.LinkRate = 0.0
    closed: ids.InstanceId = ids.InstanceId("")
    closed_born_ms: lifetimes.BornMs = 0
    closed_before: tuple[lifetimes.ClosedLifetime, ...] = ()
    revision: foreign_values.Count = 0
    keeps_caps: bool = False
    software_version: str = ""

    @property
    def closings(self) -> list[lifetimes.ClosedLifetime]:
        """All closed lifetimes of the record, the latest at the end."""
        if not self.closed:
            return []
        latest = lifetimes.ClosedLifetime(self.closed, self.closed_born_ms)
        return [*self.closed_before, latest]

    def says_the_same(self, other: "Registration | None") -> bool:
        """Returns whether another registration differs by its revision only."""
        return other is not None and self == msgspec.structs.replace(
            other, revision=self.revision
        )


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Registration)


def encode(registration: Registration) -> bytes:
    """Encodes a registration as a record's value."""
    return _encoder.encode(registration)


def decode(value: bytes) -> Registration:
    """Decodes a registration from a record's value.

    Raises:
        errors.ConfigError: The value isn't a registration.
    """
    registration = foreign_values.decode(_decoder, value)
    foreign_values.check_address(registration.address)
    return registration


class Directory:
    """Registrations by daemon and by service.

    Attributes:
        revision: Incremented with each change.
    """

    def __init__(self) -> None:
        self._by_daemon: dict[ids.DaemonId, Registration] = {}
        self._by_service: dict[
            ids.ServiceName, dict[ids.DaemonId, Registration]
        ] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._by_daemon)

    @property
    def daemons(self) -> list[ids.DaemonId]:
        """The registered daemons."""
        return list(self._by_daemon)

    def get(self, daemon: ids.DaemonId) -> Registration | None:
        """Returns a daemon's registration, or None."""
        return self._by_daemon.get(daemon)

    @property
    def registrations(self) -> Iterable[Registration]:
        """All registrations."""
        return self._by_daemon.values()

    def for_service(self, service: ids.ServiceName) -> Iterable[Registration]:
        """Returns the registrations of a service."""
        return self._by_service.get(service, {}).values()

    def feeders_in(
        self, region: ids.RegionName
    ) -> dict[ids.DaemonId, feed_trees.Feeder]:
        """Returns the daemons of a region that can feed others."""
        return {
            daemon: feed_trees.Feeder(r.site, r.link_mbps)
            for daemon, r in self._by_daemon.items()
            if r.region == region
        }

    def put(self, registration: Registration) -> bool:
        """Stores a registration; returns whether it changed anything."""
        old = self._by_daemon.get(registration.daemon)
        if registration.says_the_same(old):
            self._by_daemon[registration.daemon] = registration
            self._by_service[registration.service][registration.daemon] = (
                registration
            )
            return False
        self.remove(registration.daemon)
        self.revision += 1
        self._by_daemon[registration.daemon] = registration
        registrations = self._by_service.setdefault(registration.service, {})
        registrations[registration.daemon] = registration
        return True

    def remove(self, daemon: ids.DaemonId) -> None:
        """Removes a daemon's registration, if there is one."""
        old = self._by_daemon.pop(daemon, None)
        if old is not None:
            self.revision += 1
            del self._by_service[old.service][daemon]
