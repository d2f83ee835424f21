"""The tree along which the daemons of a region pass on the log's records.

The daemons of a region are ranked. The first one is the root: it reads the log
and feeds the first daemon of each other availability zone, and inside a zone
the daemons form a heap, in which each is fed by one of a higher rank. The
number of calls to the log therefore doesn't grow with the fleet, a version
crosses the link between regions once and enters each other zone about once,
and a daemon that joins moves few others.

A daemon trusts its feed while the latest confirmation from the log, passed on
through that feed, is recent. If the feed is stale, dead or behind, the daemon
chooses another one, and shortly after reads the log itself, once. If a whole
region followed the log, each version would cross the link between regions many
times, and all daemons would become stale.

Daemons with different views of the members, or of which feeds have failed, can
temporarily feed each other in a cycle. A confirmation therefore names the read
that it comes from, and each daemon accepts and forwards it only once. In a
cycle it would otherwise never expire, since its age is understated by the time
in transit, and would circulate as fast as the links allow.
"""

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import roles

# Most daemons that one daemon feeds. In a region of up to one more than this,
# the root feeds all others directly.
FAN_OUT = 8
# Fan-out within a zone, and from the first daemon of a zone to those of other
# zones. At 1,300 daemons a zone the tree is 6 deep.
SITE_FAN_OUT = 5
CROSS_SITE_FAN_OUT = FAN_OUT - SITE_FAN_OUT
# Age of the latest confirmation from which a feed is stale, in seconds, where
# versions must be in force within 2.5 s. Regions of such meshes have at most
# FAN_OUT + 1 daemons.
STALE_AFTER_S = 1.6
# The same for daemons at depth 2 or more, in seconds. When the root is slow,
# its direct children time out first, read the log and feed the others; all
# daemons reading at once would fill the link between regions.
DEEP_STALE_AFTER_S = 2.2
# With a longer convergence time, a feed becomes stale this long before a
# version must be in force, in seconds. The read of the log that follows takes
# TAKEOVER_DELAY_S, two trips, and half a second for 350 KB at 7 Mbit/s.
DEEP_RESERVE_S = 0.8
RESERVE_S = DEEP_RESERVE_S + DEEP_STALE_AFTER_S - STALE_AFTER_S
# Default time within which a version must be in force, in seconds.
CONVERGE_S = 2.5
# How long a starting daemon waits for the configuration from its feed before it
# reads the log, in seconds.
START_WAIT_S = 2.0
# How long after its feed became stale a daemon waits for a confirmation from
# the next one before it reads the log, in seconds. Meanwhile only the new root
# reads it. Covers two checks of feeds and two trips between regions.
TAKEOVER_DELAY_S = 0.3
# How long a daemon is not chosen as a feed after it failed as one, in seconds.
# It doubles with each failure, since a host may be lost for good.
BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
# Log readers whose latest read number is remembered. A region has one, and a
# few more read the log while feeds are replaced.
MAX_READERS = 64

_SCORE_KEY = "feed"


class TreePosition(NamedTuple):
    """A daemon's position in the tree.

    Attributes:
        parent: The daemon that feeds it; None for the root.
        depth: Number of daemons between it and the log.
    """

    parent: ids.DaemonId | None
    depth: int


ROOT = TreePosition(None, 0)


class LogConfirmation(NamedTuple):
    """States that all records up to a read of the log have been passed on.

    Attributes:
        reader: The process that read the log.
        read_number: Counts the reads of that process, from 1.
        age_s: Time since the read, in seconds.
    """

    reader: str
    read_number: int
    age_s: float


class Feeder(NamedTuple):
    """A daemon that may feed others.

    Attributes:
        site: Its availability zone.
        link_mbps: Rate of its host's link, in Mbit/s.
    """

    site: ids.SiteName
    link_mbps: float


def tree_position_of(
    daemon: ids.DaemonId,
    site: ids.SiteName,
    feeders: Mapping[ids.DaemonId, Feeder],
) -> TreePosition:
    """Returns a daemon's position in the tree.

    Daemons on hosts with faster links rank higher, since a daemon feeds
    several others and the root reads each version in full.

    Args:
        daemon: The daemon.
        site: Its availability zone.
        feeders: The daemons of its region that may feed others.
    """
    ranked = sorted(
        feeders,
        key=lambda feeder: (
            int(math.log2(max(1.0, feeders[feeder].link_mbps))),
            roles.score(_SCORE_KEY, feeder),
        ),
        reverse=True,
    )
    if len(ranked) <= FAN_OUT + 1:
        return _heap_position(ranked, daemon, FAN_OUT)
    zone_roots: dict[ids.SiteName, ids.DaemonId] = {}
    for feeder in ranked:
        zone_roots.setdefault(feeders[feeder].site, feeder)
    zone_root = zone_roots.get(site, daemon)
    root_position = _heap_position(
        list(zone_roots.values()), zone_root, CROSS_SITE_FAN_OUT
    )
    if daemon == zone_root:
        return root_position
    in_zone = [feeder for feeder in ranked if feeders[feeder].site == site]
    position = _heap_position(in_zone, daemon, SITE_FAN_OUT)
    return TreePosition(position.parent, root_position.depth + position.depth)


def _heap_position(
    ranked: list[ids.DaemonId], daemon: ids.DaemonId, fan_out: int
) -> TreePosition:
    """Returns a daemon's position in a heap of ranked daemons."""
    rank = ranked.index(daemon) if daemon in ranked else len(ranked)
    if not rank:
        return ROOT
    parent_rank = ancestor_rank = (rank - 1) // fan_out
    depth = 1
    while ancestor_rank:
        ancestor_rank = (ancestor_rank - 1) // fan_out
        depth += 1
    return TreePosition(ranked[parent_rank], depth)


class ReadMode(enum.Enum):
    """How a daemon reads a topic of the log itself.

    Attributes:
        NONE: Not at all; its feed sends the records.
        ONCE: Until the log has answered once, without a long poll.
        ALWAYS: Continuously, with long polls.
    """

    NONE = "none"
    ONCE = "once"
    ALWAYS = "always"


class SyncState(NamedTuple):
    """What a daemon has received since it started.

    Attributes:
        members_synced: Whether it has the members.
        configurations_synced: Whether it has the configuration, from its feed
            or from the log.
        is_registered: Whether it is among the members itself.
        started_s: When it started; steady time.
    """

    members_synced: bool
    configurations_synced: bool
    is_registered: bool
    started_s: float


class FeedState:
    """Which daemon feeds this one, and how recent the last confirmation is."""

    def __init__(self, reader: str, converge_s: float = CONVERGE_S):
        """Creates the state of a process.

        Args:
            reader: Identifies the process in confirmations.
            converge_s: Time within which an accepted version must be in
                force, in seconds.
        """
        self._reader = reader
        self._near_stale_after_s = max(STALE_AFTER_S, converge_s - RESERVE_S)
        self._deep_stale_after_s = max(
            DEEP_STALE_AFTER_S, converge_s - DEEP_RESERVE_S
        )
        self._reads = 0
        # Number of the latest known read by reader, in order of receipt.
        self._read_numbers: dict[str, int] = {}
        # The read that the latest confirmation comes from.
        self._source = (reader, 0)
        self.parent: ids.DaemonId | None = None
        self._stale_after_s = self._near_stale_after_s
        # Time of the latest confirmation, from the feed or from the log.
        self._confirmed_s = -math.inf
        # Time of the parent's latest confirmation, or when the parent was set
        # or lost.
        self._fed_s = -math.inf
        self._excluded_until_s: dict[ids.DaemonId, float] = {}
        self._failures: dict[ids.DaemonId, int] = {}

    def excluded(self, now_s: float) -> frozenset[ids.DaemonId]:
        """Returns the daemons not to be fed by, as they failed recently."""
        self._excluded_until_s = {
            daemon: until_s
            for daemon, until_s in self._excluded_until_s.items()
            if until_s > now_s
        }
        return frozenset(self._excluded_until_s)

    def set_position(self, position: TreePosition, now_s: float) -> bool:
        """Sets the position in the tree; returns whether the parent changed."""
        is_near = position.depth <= 1
        self._stale_after_s = (
            self._near_stale_after_s if is_near else self._deep_stale_after_s
        )
        if position.parent == self.parent:
            return False
        self.parent = position.parent
        # The new feed gets a full timeout for its first confirmation.
        self._fed_s = now_s
        return True

    def on_confirmation(
        self, confirmation: LogConfirmation, now_s: float
    ) -> bool:
        """Accepts a confirmation from the feed, unless it is known already.

        Returns:
            Whether it was accepted, and is to be forwarded.
        """
        is_own = confirmation.reader == self._reader
        if is_own or confirmation.read_number <= self._read_numbers.get(
            confirmation.reader, 0
        ):
            return False
        self._read_numbers.pop(confirmation.reader, None)
        self._read_numbers[confirmation.reader] = confirmation.read_number
        while len(self._read_numbers) > MAX_READERS:
            del self._read_numbers[next(iter(self._read_numbers))]
        if self.parent is not None:
            self._failures.pop(self.parent, None)
        as_of_s = now_s - confirmation.age_s
        self._fed_s = max(self._fed_s, as_of_s)
        self._set_confirmed(
            as_of_s, confirmation.reader, confirmation.read_number
        )
        return True

    def on_log_read(self, as_of_s: float) -> None:
        """Records that this process read the log; `as_of_s` is steady time."""
        self._reads += 1
        self._set_confirmed(as_of_s, self._reader, self._reads)
        if self.parent is None:
            self._failures.clear()

    def _set_confirmed(
        self, as_of_s: float, reader: str, read_number: int
    ) -> None:
        if as_of_s > self._confirmed_s:
            self._confirmed_s = as_of_s
            self._source = (reader, read_number)

    @property
    def _is_confirmed(self) -> bool:
        """Whether any confirmation has been received; reads count from 1."""
        return self._source[1] > 0

    def confirmation(self, now_s: float) -> LogConfirmation:
        """Returns the latest confirmation, to be forwarded."""
        return LogConfirmation(
            *self._source, round(self.confirmation_age_s(now_s), 3)
        )

    def confirmation_age_s(self, now_s: float) -> float:
        """Returns the age of the latest confirmation, in seconds."""
        return now_s - self._confirmed_s

    def on_feed_failed(self, now_s: float) -> None:
        """Drops the parent and excludes it for a while."""
        if self.parent is not None:
            self._exclude(self.parent, now_s)
        self.parent = None
        self._fed_s = now_s

    def step_down(self, daemon: ids.DaemonId, now_s: float) -> bool:
        """Gives up the root if the log doesn't answer this daemon.

        Args:
            daemon: This daemon.
            now_s: Steady time, in seconds.

        Returns:
            Whether this daemon was the root and isn't any more.
        """
        waits_since_s = max(self._confirmed_s, self._fed_s)
        if (
            self.parent is not None
            or now_s - waits_since_s <= self._near_stale_after_s
        ):
            return False
        self._exclude(daemon, now_s)
        return True

    def _exclude(self, daemon: ids.DaemonId, now_s: float) -> None:
        failures = self._failures.get(daemon, 0)
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2.0**failures)
        self._excluded_until_s[daemon] = now_s + backoff_s
        self._failures[daemon] = failures + 1

    def invalidate(self) -> None:
        """Discards the confirmation, since a record is known to be missing."""
        self._confirmed_s = -math.inf

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the feed is no longer trusted."""
        return (
            self.parent is not None
            and now_s - self._fed_s > self._stale_after_s
        )

    def read_modes(
        self, now_s: float, sync: SyncState
    ) -> tuple[ReadMode, ReadMode]:
        """Returns how the members and the configuration are to be read."""
        is_root = self.parent is None
        # When all daemons start for the first time, the root isn't known yet.
        is_root = is_root and (sync.configurations_synced or sync.is_registered)
        if sync.configurations_synced and self._is_confirmed:
            needs_read = self.needs_log_read(now_s)
        else:
            # The feed sends its records before its first confirmation, over
            # the same link.
            needs_read = now_s - sync.started_s > START_WAIT_S
        child_mode = ReadMode.ONCE if needs_read else ReadMode.NONE
        configurations = ReadMode.ALWAYS if is_root else child_mode
        if not sync.members_synced or self.parent is None:
            return ReadMode.ALWAYS, configurations
        # Daemons that feed each other in a cycle would never learn of the
        # members that neither knows, so a stale feed needs a read here too.
        return child_mode, configurations

    def needs_log_read(self, now_s: float) -> bool:
        """Returns whether this daemon must read the log despite its feed."""
        return (
            self.confirmation_age_s(now_s)
            > self._stale_after_s + TAKEOVER_DELAY_S
        )
