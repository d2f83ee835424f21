"""Experiment: cost of single membership operations by number of members."""

from collections.abc import Callable
import random
import time

import msgspec
import zstandard

from buckthorn_core import bundles
from buckthorn_core import endpoints
from buckthorn_core import entries
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import membership
from buckthorn_core import messages
from buckthorn_core import roles
from buckthorn_core import snapshots
from buckthorn_standins import experiments
from buckthorn_standins import tables

SIZES = [100, 300, 1_000, 3_000]
SERVICES = [50, 200, 800]
MEMBERS_PER_SERVICE = 36
REPEATS = 5
MIN_TIME_S = 0.02
SITES = 4
REGION = ids.RegionName("region")
# The level of the daemons' codec, which stand-ins can't import.
DELTA_LEVEL = 6
KEY = b"experiment-key-0123456789"
# Ticks after the changes have died down, over which bytes are averaged.
GOSSIP_TICKS = 20


def cost_us(run: Callable[[], object]) -> float:
    """Returns the least processor time of a call, in microseconds."""
    run()
    count = 1
    while True:
        spent_s = _spent_s(run, count)
        if spent_s >= MIN_TIME_S:
            break
        count *= 4
    best_s = min(spent_s, *(_spent_s(run, count) for _ in range(REPEATS - 1)))
    return best_s / count * 1e6


def _spent_s(run: Callable[[], object], count: int) -> float:
    started_s = time.process_time()
    for _ in range(count):
        run()
    return time.process_time() - started_s


def make_members(count: int, rng: random.Random) -> list[entries.Member]:
    """Returns members of one region that are up, with their upstreams."""
    services = max(1, count // MEMBERS_PER_SERVICE)
    return [
        entries.Member(
            id=ids.DaemonId(f"daemon-{rng.getrandbits(48):012x}"),
            incarnation=1_790_000_000_000 + rng.randrange(1_000_000),
            revision=rng.randrange(1, 10),
            state=entries.MemberState.UP,
            region=REGION,
            site=ids.SiteName(f"site-{n % SITES}"),
            peer_address=ids.Address(f"10.0.{n // 250}.{n % 250}:7000"),
            remote_peer_address=ids.Address(f"10.1.{n // 250}.{n % 250}:7000"),
            http_address=ids.Address(f"10.0.{n // 250}.{n % 250}:8000"),
            remote_http_address=ids.Address(f"10.1.{n // 250}.{n % 250}:8000"),
            service=ids.ServiceName(f"service-{n % services}"),
            upstream_state=entries.UpstreamState.UP,
            slots=20,
            connections=130,
        )
        for n in range(count)
    ]


def _envelope_bytes(payload: messages.Payload) -> int:
    envelope = messages.Envelope(
        messages.FORMAT,
        ids.DaemonId("daemon-0123456789ab"),
        ids.Address("10.0.0.1:7000"),
        REGION,
        ids.SiteName("site-0"),
        ids.VersionNumber(1),
        payload,
    )
    return len(messages.encode(envelope, KEY))


class _Region:
    """One daemon's view of a region."""

    def __init__(self, count: int, seed: int):
        self.rng = random.Random(f"{seed}/{count}")
        self.members = make_members(count, self.rng)
        self.table = gossip.GossipTable()
        self.membership = membership.Membership(
            self.members[0], self.table, self.rng
        )
        self.index = endpoints.EndpointIndex(REGION, self.table)
        self.table.merge(self.members)
        self.membership.tick(0.0)
        self.daemons = [member.id for member in self.members]
        self._revision = 100

    def change(self) -> bool:
        """Merges one changed member."""
        self._revision += 1
        return self.table.put(
            msgspec.structs.replace(
                self.rng.choice(self.members[1:]), revision=self._revision
            )
        )

    def quiesce(self) -> None:
        """Sends all rumours, so that only new changes are left."""
        while self.table.changes_to_send():
            pass

    def gossip_bytes(self, changes: float) -> float:
        """Returns the mean size of gossip with its answer.

        Args:
            changes: Changes of the region in each tick.
        """
        self.quiesce()
        due = 0.0
        total = 0
        # Until each tick sends what earlier ticks changed as well.
        warm_up = 3 * GOSSIP_TICKS
        for tick in range(warm_up + GOSSIP_TICKS):
            due += changes
            while due >= 1:
                self.change()
                due -= 1
            found = self.table.changes_to_send(), self.table.digest()
            size = _envelope_bytes(messages.Gossip(*found))
            found = self.table.changes_to_send(), self.table.digest()
            size += _envelope_bytes(messages.GossipReply(*found))
            total += size if tick >= warm_up else 0
        return total / GOSSIP_TICKS


def _tick(region: _Region) -> object:
    region.membership.tick(1.0)
    return region.membership.next_probe_target()


def _full_table(region: _Region) -> float:
    buckets = list(range(gossip.BUCKETS))
    found = region.table.entries_in_buckets(buckets)
    return float(_envelope_bytes(messages.SyncReply(buckets, found)))


def _changed_table(members: list[entries.Member]) -> gossip.GossipTable:
    table = gossip.GossipTable()
    table.merge(members)
    return table


def _member_costs(region: _Region) -> dict[str, float]:
    count = len(region.members)
    tree = roles.DistributionTree(region.daemons)
    service = region.members[0].service
    return {
        "merge of one change, us": cost_us(region.change),
        "merge of a whole table, us": cost_us(
            lambda: _changed_table(region.members)
        ),
        "tick with choice of probe, us": cost_us(lambda: _tick(region)),
        "eligible after a change, us": cost_us(
            lambda: (region.change(), region.membership.role_candidates())
        ),
        "digest, us": cost_us(region.table.digest),
        "changes of a message, us": cost_us(
            lambda: (region.change(), region.table.changes_to_send())
        ),
        "holders of a role, us": cost_us(
            lambda: roles.holders("log_reader", region.daemons)
        ),
        "tree, us": cost_us(lambda: roles.DistributionTree(region.daemons)),
        "parent of one, us": cost_us(lambda: tree.parent(region.daemons[-1])),
        "parents of all, us/member": cost_us(
            lambda: [tree.parent(d) for d in region.daemons]
        )
        / count,
        "endpoints of a service, us": cost_us(
            lambda: region.index.local(service)
        ),
        "summary of the region, us": cost_us(
            lambda: endpoints.summarise(REGION, region.members, frozenset())
        ),
        "gossip at rest, B": region.gossip_bytes(0.0),
        "gossip at 0.1 changes a tick, B": region.gossip_bytes(0.1),
        "gossip at 1 change a tick, B": region.gossip_bytes(1.0),
        "whole table, B": _full_table(region),
    }


def make_bundle(services: int) -> bundles.Bundle:
    """Returns a bundle with a number of services, each with a route."""
    names = [ids.ServiceName(f"service-{n}") for n in range(services)]
    sites = [ids.SiteName(f"site-{n}") for n in range(SITES)]
    resource = ids.ResourceName("lookups")
    base = bundles.Base(
        "experiment",
        {REGION: sites},
        {name: bundles.Service(20, 130) for name in names},
        {resource: bundles.Resource()},
        {
            ids.RouteName(name): bundles.Route(f"/{name}/", name, resource)
            for name in names
        },
    )
    return bundles.Bundle(base, {site: bundles.Overlay(site) for site in sites})


def _delta_bytes(old: bytes, new: bytes) -> int:
    """Returns the size of a delta, compressed as the daemons do it."""
    base = zstandard.ZstdCompressionDict(
        old, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
    return len(
        zstandard.ZstdCompressor(level=DELTA_LEVEL, dict_data=base).compress(
            new
        )
    )


def _snapshot_costs(services: int) -> dict[str, float]:
    bundle = make_bundle(services)
    raw = bundles.encode(bundle)
    changed = dict(bundle.base.services)
    name = ids.ServiceName(f"service-{services // 2}")
    changed[name] = msgspec.structs.replace(changed[name], slots=21)
    base = msgspec.structs.replace(bundle.base, services=changed)
    new = bundles.encode(bundles.Bundle(base, bundle.overlays))
    version = bundles.VersionId(ids.VersionNumber(1), bundles.digest(raw))
    site = ids.SiteName("site-0")
    snapshot = snapshots.build(version, raw, site)
    path = f"/service-{services - 1}/item"
    return {
        "snapshot build, us": cost_us(
            lambda: snapshots.build(version, raw, site)
        ),
        "route of a path, us": cost_us(lambda: snapshot.routes.match(path)),
        "delta, us": cost_us(lambda: _delta_bytes(raw, new)),
        "bundle, B": float(len(raw)),
        "bundle compressed, B": float(len(zstandard.compress(raw))),
        "delta of one change, B": float(_delta_bytes(raw, new)),
    }


def _print(unit: str, costs: dict[int, dict[str, float]]) -> None:
    sizes = list(costs)
    table = tables.Table(
        "cost",
        *(f"{size:,}" for size in sizes),
        f"slope per {unit}",
        "intercept",
        "R^2",
    )
    for name in costs[sizes[0]]:
        values = [costs[size][name] for size in sizes]
        line: tuple[object, ...] = ("", "", "")
        if len(sizes) > 1:
            line = tables.fit([float(size) for size in sizes], values)
        table.add(name, *values, *line)
    table.print()


@experiments.experiment("membership")
def run(options: experiments.Options) -> None:
    """Measures processor time and bytes of single core operations."""
    print(
        "processor time is the least of"
        f" {REPEATS} runs; gossip bytes are one request and its answer,"
        f" which each member starts every {membership.PROBE_PERIOD_S} s"
        " whatever the size, without headers of TCP"
    )
    sizes = options.sizes or SIZES
    _print(
        "member",
        {size: _member_costs(_Region(size, options.seed)) for size in sizes},
    )
    _print("service", {count: _snapshot_costs(count) for count in SERVICES})
