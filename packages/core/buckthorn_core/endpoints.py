"""Index of upstream endpoints by service, updated from the gossip table."""

from typing import NamedTuple

from buckthorn_core import entries
from buckthorn_core import gossip
from buckthorn_core import ids

MAX_SUMMARY_ADDRESSES = 4

_ROUTABLE_MEMBER_STATES = frozenset(
    {entries.MemberState.UP, entries.MemberState.SUSPECT}
)
_ROUTABLE_UPSTREAM_STATES = frozenset(
    {entries.UpstreamState.UP, entries.UpstreamState.COLD}
)


class Endpoint(NamedTuple):
    """An upstream behind its daemon.

    Attributes:
        daemon: Id of the daemon; for another region, its address.
        address: Address to send requests to.
        region: Region of the upstream.
        site: Site of the upstream; empty for another region.
        slots: Number of requests that it runs concurrently.
        cold: Whether it has started recently.
        suspect: Whether its daemon is suspected to be dead.
    """

    daemon: ids.DaemonId
    address: ids.Address
    region: ids.RegionName
    site: ids.SiteName
    slots: int
    cold: bool = False
    suspect: bool = False


class EndpointIndex:
    """Endpoints by service, in this region and in others."""

    def __init__(self, region: ids.RegionName, table: gossip.GossipTable):
        self._region = region
        self._local: dict[ids.ServiceName, dict[ids.DaemonId, Endpoint]] = {}
        self._service_of: dict[ids.DaemonId, ids.ServiceName] = {}
        self._remote: dict[
            ids.ServiceName, dict[ids.RegionName, list[Endpoint]]
        ] = {}
        for entry in table.entries.values():
            self._on_entry(entry)
        table.add_listener(self._on_entry)

    def local(self, service: ids.ServiceName) -> list[Endpoint]:
        """Returns the endpoints in this region."""
        return list(self._local.get(service, {}).values())

    def remote(self, service: ids.ServiceName) -> list[Endpoint]:
        """Returns known endpoints in other regions."""
        by_region = self._remote.get(service, {})
        return [e for endpoints in by_region.values() for e in endpoints]

    def all_endpoints(self) -> list[Endpoint]:
        """Returns all known endpoints of all services."""
        found = [e for group in self._local.values() for e in group.values()]
        for by_region in self._remote.values():
            for group in by_region.values():
                found.extend(group)
        return found

    def services(self) -> list[ids.ServiceName]:
        """Returns the services with endpoints in this region."""
        return [name for name, found in self._local.items() if found]

    def _on_entry(self, entry: entries.Entry) -> None:
        if isinstance(entry, entries.Member):
            self._on_member(entry)
        elif isinstance(entry, entries.ServiceSummary):
            self._on_summary(entry)

    def _on_member(self, member: entries.Member) -> None:
        old = self._service_of.pop(member.id, None)
        if old is not None:
            self._local[old].pop(member.id, None)
        is_routable = (
            member.state in _ROUTABLE_MEMBER_STATES
            and member.upstream_state in _ROUTABLE_UPSTREAM_STATES
        )
        if not member.service or not is_routable:
            return
        self._service_of[member.id] = member.service
        self._local.setdefault(member.service, {})[member.id] = Endpoint(
            daemon=member.id,
            address=member.http_address,
            region=member.region,
            site=member.site,
            slots=member.slots,
            cold=member.upstream_state is entries.UpstreamState.COLD,
            suspect=member.state is entries.MemberState.SUSPECT,
        )

    def _on_summary(self, summary: entries.ServiceSummary) -> None:
        if summary.region == self._region:
            return
        mean_slots = summary.slots // max(1, summary.instances)
        endpoints = [
            Endpoint(
                daemon=ids.DaemonId(address),
                address=address,
                region=summary.region,
                site=ids.SiteName(""),
                slots=mean_slots,
            )
            for address in summary.http_addresses
        ]
        self._remote.setdefault(summary.service, {})[summary.region] = endpoints


def summarise(
    region: ids.RegionName,
    members: list[entries.Member],
    draining_sites: frozenset[ids.SiteName],
) -> list[entries.ServiceSummary]:
    """Summarizes a region's services for other regions.

    The summaries have incarnation and revision 0.
    """
    grouped: dict[ids.ServiceName, list[entries.Member]] = {}
    for member in members:
        if not member.service:
            continue
        group = grouped.setdefault(member.service, [])
        if (
            member.state is entries.MemberState.UP
            and member.upstream_state in _ROUTABLE_UPSTREAM_STATES
            and member.site not in draining_sites
        ):
            group.append(member)
    return [
        entries.ServiceSummary(
            region=region,
            service=service,
            incarnation=0,
            revision=0,
            instances=len(group),
            slots=sum(member.slots for member in group),
            http_addresses=[
                member.remote_http_address
                for member in sorted(group, key=lambda m: m.id)
            ][:MAX_SUMMARY_ADDRESSES],
        )
        for service, group in grouped.items()
    ]
