"""Status of the whole fleet, available from any daemon.

The root of the distribution tree, which is the first relay of the log's region,
aggregates the acknowledgements of all daemons. Other daemons query it.
"""

from collections.abc import Iterator
import time

import msgspec

from buckthorn_adapters import servers
from buckthorn_core import bundles
from buckthorn_core import endpoints
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import fleets
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import roles
from buckthorn_core import snapshots
from buckthorn_core import traffic
from buckthorn_daemon import admin
from buckthorn_daemon import state

QUERY_TIMEOUT_S = 1.0
MAX_ROOT_TRIES = 2


def local_status(shared: state.State) -> messages.StatusReply:
    """Returns the status of this daemon and its subtree."""
    with shared.lock:
        now_s = time.monotonic()
        total = shared.acks.total(shared.ready_version(), now_s)
        return messages.StatusReply(
            accepted=max(
                shared.holder.version,
                shared.acceptor.version,
                key=lambda version: version.number,
            ),
            counts=total.counts,
            laggards=total.laggards,
            sites=total.sites,
            covers_fleet=shared.is_root() and shared.acks.covers_fleet(now_s),
            roles=_role_holders(shared),
        )


def collect(shared: state.State) -> fleets.FleetStatus:
    """Returns the status of the fleet, or of its reachable part."""
    counted_by, reply = shared.cfg.daemon_id, local_status(shared)
    if not reply.covers_fleet:
        counted_by, reply = _query_root(shared, counted_by, reply)
    with shared.lock:
        region_roles = {shared.cfg.region: _role_holders(shared)}
        if reply.covers_fleet:
            region_roles[shared.cfg.log_region] = reply.roles
        return fleets.FleetStatus(
            daemon=shared.cfg.daemon_id,
            region=shared.cfg.region,
            counted_by=counted_by,
            whole=reply.covers_fleet,
            accepted=reply.accepted,
            versions=reply.counts,
            sites=_site_statuses(shared.holder.current, reply),
            laggards=reply.laggards,
            roles=region_roles,
            services=sorted(
                _service_statuses(shared), key=lambda s: (s.region, s.service)
            ),
            draining_daemons=_draining_daemons(shared),
            control_bytes={
                scope.value: shared.control.total(scope)
                for scope in traffic.Scope
            },
        )


@admin.endpoint("GET", "/v1/fleet")
def _fleet(interface: admin.Admin, exchange: servers.Exchange) -> None:
    exchange.respond(200, msgspec.json.encode(collect(interface.shared)))


def _role_holders(shared: state.State) -> dict[str, list[ids.DaemonId]]:
    return {name: shared.holders(name) for name in roles.names()}


def _query_root(
    shared: state.State, counted_by: ids.DaemonId, reply: messages.StatusReply
) -> tuple[ids.DaemonId, messages.StatusReply]:
    """Queries candidates for the root until one covers the whole fleet.

    Args:
        shared: State of this daemon.
        counted_by: The daemon that made `reply`.
        reply: Status of this daemon's subtree.

    Returns:
        The root and its status. If the root doesn't answer, the status that
        covers the most daemons, with its sender; `reply` is one of them.
    """
    with shared.lock:
        targets = list(_root_candidates(shared))
    for address, scope in targets:
        try:
            envelope = shared.client.request(
                address, messages.StatusQuery(), scope, QUERY_TIMEOUT_S
            )
        except errors.PeerError:
            shared.metrics.count("buckthorn_status_query_failures")
            continue
        candidate = envelope.payload
        if not isinstance(candidate, messages.StatusReply):
            continue
        if candidate.covers_fleet:
            return envelope.sender, candidate
        if sum(candidate.counts.values()) > sum(reply.counts.values()):
            counted_by, reply = envelope.sender, candidate
    return counted_by, reply


def _root_candidates(
    shared: state.State,
) -> Iterator[tuple[ids.Address, traffic.Scope]]:
    cfg = shared.cfg
    if cfg.region == cfg.log_region:
        for daemon in shared.tree().relays:
            member = shared.membership.member(daemon)
            if member is not None and daemon != cfg.daemon_id:
                yield member.peer_address, traffic.Scope.LOCAL
        return
    contacts = shared.table.entries.get(f"r/{cfg.log_region}")
    if isinstance(contacts, entries.RegionContacts):
        for address in contacts.addresses[:MAX_ROOT_TRIES]:
            yield address, traffic.Scope.REGION
    # If the log's region is unreachable, the first relay of this region still
    # has the status of this region.
    for daemon in shared.tree().relays[:1]:
        member = shared.membership.member(daemon)
        if member is not None and daemon != cfg.daemon_id:
            yield member.peer_address, traffic.Scope.LOCAL


def _site_statuses(
    current: snapshots.Snapshot | None, reply: messages.StatusReply
) -> list[fleets.SiteStatus]:
    regions = current.config.region_by_site if current else {}
    draining = current.config.draining_sites if current else frozenset()
    statuses = []
    for site in sorted({*regions, *reply.sites}):
        is_draining = site in draining
        statuses.append(
            fleets.SiteStatus(
                site=site,
                region=regions.get(site, ids.RegionName("")),
                state=bundles.SiteState.DRAINING
                if is_draining
                else bundles.SiteState.ACTIVE,
                versions=reply.sites.get(site, {}),
            )
        )
    return sorted(statuses, key=lambda s: (s.region, s.site))


def _service_statuses(shared: state.State) -> Iterator[fleets.ServiceStatus]:
    current = shared.holder.current
    draining = current.config.draining_sites if current else frozenset()
    local_summaries = endpoints.summarise(
        shared.cfg.region, shared.membership.members(), draining
    )
    remote_summaries = [
        entry
        for entry in shared.table.entries.values()
        if isinstance(entry, entries.ServiceSummary)
        and entry.region != shared.cfg.region
    ]
    for summary in [*local_summaries, *remote_summaries]:
        yield fleets.ServiceStatus(
            summary.region, summary.service, summary.instances, summary.slots
        )


def _draining_daemons(shared: state.State) -> list[ids.DaemonId]:
    daemons = [
        member.id
        for member in shared.membership.members()
        if member.state is entries.MemberState.DRAINING
    ]
    return sorted(daemons)[: fleets.MAX_DRAINS]
