"""Shards of the rate limits of workspaces, and which daemon holds them.

The rate limit ("cap") of a workspace is divided over shards. The holder of a
shard lends its part of the tokens; its record in the topic of members names it.
Two holders never lend from a shard at the same time: one that can't confirm its
record for CONFIRM_S stops, and its successor waits longer than that.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

import msgspec

from buckthorn_core import foreign_values
from buckthorn_core import ids
from buckthorn_core import roles
from buckthorn_core import workspace_keys

# Number of shards; all daemons of a mesh must have the same.
SHARDS = 8
# Prefix of the keys of the records in the topic of members.
KEY_PREFIX = "cap/"
# How long a holder lends after the last time as of which its record was
# confirmed, in seconds. It bridges 9 s without the log, with CONFIRM_EVERY_S
# before it and a repetition after it.
CONFIRM_S = 12.0
# How often a holder asks the log for the end of the topic, in seconds.
CONFIRM_EVERY_S = 2.0
# Added to the waits that replace messages, for clocks that run at different
# rates, in seconds.
MARGIN_S = 0.3
# Time without contact to a holder until the first candidate takes its shard
# over, and the additional time of each further candidate, in seconds. Daemons
# that are killed are back within 4 s.
TAKEOVER_S = 8.0
TAKEOVER_STEP_S = 1.5
# The same until the first candidate takes a shard that nobody holds.
CLAIM_STEP_S = 0.7
# How long a shard without a record is left to its holder after the log was
# restored from a copy that lacks the record, in seconds.
REWRITE_S = 4.0
# Candidates of a shard in its zone, in the next one, and in the next region.
CANDIDATES = (4, 2, 2)
# Least part of a shard, in tokens per second, and least bucket, in tokens;
# smaller rate limits use fewer shards. With smaller buckets, requests at 0.6 of
# the rate limit are refused, as the tokens are in other shards.
MIN_PART_PER_S = 2.0
MIN_BUCKET = 2.0
# Epochs in which a log has not been restored yet: logs count from 0 or 1.
FIRST_EPOCHS = frozenset((ids.LogEpoch(0), ids.LogEpoch(1)))
# Parts of the allowed overage that leases and the least bucket use. The rest is
# for requests that wait between their token and their run.
LEASE_FRACTION = 0.6
RESERVE_FRACTION = 0.3
MIN_LEASE_S = 0.05
# Part of the allowed slack that buckets hold, as tokens that are spread over
# shards are not always where they are asked for.
EXTRA_FRACTION = 0.4


class Terms(NamedTuple):
    """How tokens are lent, so that the bound on runs holds.

    Attributes:
        lease_s: Time in which a token must be spent, in seconds.
        reserve_s: A bucket holds at least the tokens of this time, in seconds.
        max_shards: Most shards of a workspace, as each holds at least a token.
        extra: Tokens that all buckets of a workspace hold beyond its burst.
    """

    lease_s: float
    reserve_s: float
    max_shards: int
    extra: float

    @property
    def hold_s(self) -> float:
        """How long a new holder waits until it lends, in seconds."""
        return CONFIRM_S + self.lease_s + MARGIN_S


def terms(window_s: float, overage: float, slack: float) -> Terms:
    """Returns the terms that keep within a bound.

    In a window are spent at most the tokens of `window_s + lease_s` and full
    buckets, while `rate * window_s + burst` are allowed, more by the fraction
    `overage` and `slack` tokens.

    Args:
        window_s: Length of the window, in seconds.
        overage: Allowed excess, as a fraction.
        slack: Allowed excess, in tokens.
    """
    spare_s = window_s * overage
    return Terms(
        max(MIN_LEASE_S, LEASE_FRACTION * spare_s),
        RESERVE_FRACTION * spare_s,
        max(1, min(SHARDS, int(slack / 2))),
        EXTRA_FRACTION * slack,
    )


class Cap(NamedTuple):
    """Rate limit of a workspace.

    Attributes:
        rate_per_s: Rate, in requests per second.
        burst: Burst, in requests.
    """

    rate_per_s: float
    burst: float


class Part(NamedTuple):
    """A shard's part of a rate limit.

    Attributes:
        rate_per_s: Rate at which tokens are added, in tokens per second.
        capacity: Most tokens in the bucket.
    """

    rate_per_s: float
    capacity: float


def caps_of(
    workspaces: Iterable[workspace_keys.Workspace],
) -> dict[ids.WorkspaceName, Cap]:
    """Returns the rate limits of the workspaces that have one."""
    return {
        w.name: Cap(w.rate_per_s, max(0.0, w.burst))
        for w in workspaces
        if 0 < w.rate_per_s < math.inf
    }


def _capacity(cap: Cap, lending: Terms) -> float:
    """Returns the capacity of all buckets of a rate limit."""
    return max(cap.burst + lending.extra, cap.rate_per_s * lending.reserve_s)


def shards_of(
    workspace: ids.WorkspaceName, cap: Cap, lending: Terms
) -> list[int]:
    """Returns the shards among which a rate limit is divided.

    Numbers of shards are powers of two, so that few changes of a rate limit
    change them. Neighbouring shards are in different regions.
    """
    capacity, count = _capacity(cap, lending), 1
    while (
        count * 2 <= lending.max_shards
        and cap.rate_per_s >= MIN_PART_PER_S * count * 2
        and capacity >= MIN_BUCKET * count * 2
    ):
        count *= 2
    first = roles.score(KEY_PREFIX, ids.DaemonId(workspace)) % SHARDS
    return [(first + n) % SHARDS for n in range(count)]


def part_of(cap: Cap, shards: int, lending: Terms) -> Part:
    """Returns the part of one of several shards of a rate limit.

    A bucket holds at least one whole token.
    """
    return Part(
        cap.rate_per_s / shards, max(1.0, _capacity(cap, lending) / shards)
    )


class ShardRecord(msgspec.Struct, frozen=True):
    """Record of a shard in the topic of members.

    Attributes:
        holder: The daemon that holds the shard.
        active: Whether it has waited until no earlier holder can lend.
        epoch: Epoch of the log that the record was written in. A record of an
            earlier epoch may have been superseded by one that the log has lost.
    """

    holder: ids.DaemonId
    active: bool
    epoch: ids.LogEpoch


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ShardRecord)


def key_of(shard: int) -> str:
    """Returns the key of a shard's record."""
    return f"{KEY_PREFIX}{shard}"


def encode(record: ShardRecord) -> bytes:
    """Encodes a shard's record."""
    return _encoder.encode(record)


def decode(value: bytes) -> ShardRecord:
    """Decodes a shard's record.

    Raises:
        errors.ConfigError: The value isn't a shard's record.
    """
    return foreign_values.decode(_decoder, value)


class Home(NamedTuple):
    """Where a daemon is.

    Attributes:
        region: Its region.
        site: Its availability zone.
    """

    region: ids.RegionName
    site: ids.SiteName


def candidates(
    shard: int, members: Mapping[ids.DaemonId, Home]
) -> list[ids.DaemonId]:
    """Returns the daemons that may hold a shard, the first choice first.

    The number of a shard chooses a zone, so that shards are spread over regions
    and zones. Further candidates are in the next zone of its region and in one
    of the next region. Only the members of these zones are ranked, since a
    region may have thousands.
    """
    sites: dict[ids.RegionName, set[ids.SiteName]] = {}
    for home in members.values():
        sites.setdefault(home.region, set()).add(home.site)
    if not sites:
        return []
    regions = sorted(sites)
    index, place = shard % len(regions), shard // len(regions)
    homes = [
        _home(regions, sites, index, place),
        _home(regions, sites, index, place + 1),
        _home(regions, sites, index + 1, place),
    ]
    found: list[ids.DaemonId] = []
    for home, count in zip(homes, CANDIDATES, strict=True):
        members_there = [
            daemon
            for daemon, of_daemon in members.items()
            if of_daemon == home and daemon not in found
        ]
        found += roles.ranked(key_of(shard), members_there, count)
    return found


def _home(
    regions: list[ids.RegionName],
    sites: Mapping[ids.RegionName, Collection[ids.SiteName]],
    region_index: int,
    site_index: int,
) -> Home:
    region = regions[region_index % len(regions)]
    of_region = sorted(sites[region])
    return Home(region, of_region[site_index % len(of_region)])


class Situation(NamedTuple):
    """What a candidate knows about a shard.

    Attributes:
        record: The shard's record; None if there is none.
        epoch: The log's epoch.
        known_s: How long the record has been as it is, in seconds.
        unreached_s: How long the holder has not been reached, in seconds.
    """

    record: ShardRecord | None
    epoch: ids.LogEpoch
    known_s: float
    unreached_s: float


def takeover(
    daemon: ids.DaemonId, rank: int, situation: Situation
) -> ShardRecord | None:
    """Returns the record by which a candidate takes a shard over, if it does.

    Args:
        daemon: The candidate.
        rank: Its place among the candidates, from 0.
        situation: What it knows about the shard.
    """
    record, epoch = situation.record, situation.epoch
    claim = ShardRecord(daemon, False, epoch)
    if record is None:
        # A copy of the log may lack the record of a daemon that lends.
        never_held = epoch in FIRST_EPOCHS
        wait_s = rank * CLAIM_STEP_S + (0.0 if never_held else REWRITE_S)
        if situation.known_s < wait_s:
            return None
        return msgspec.structs.replace(claim, active=never_held)
    if record.holder == daemon:
        return claim if record.epoch != epoch else None
    wait_s = TAKEOVER_S + rank * TAKEOVER_STEP_S
    return claim if situation.unreached_s >= wait_s else None
