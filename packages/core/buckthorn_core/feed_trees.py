"""Whom a daemon gets the log's records from.

The daemons of a region are ranked. The first reads the log and feeds the first
of each other availability zone, and inside a zone the daemons form a heap: each
is fed by one that ranks before it. So the log's calls don't grow with the
fleet, a version crosses the link between regions once and the way to another
zone about once a zone, and a daemon that joins moves few others.

A feed is trusted while the log's own word behind it is fresh. A daemon whose
feed is stale, dead or behind turns to another one, and soon after reads the
log itself, once: if a whole region followed the log, each version would cross
the link between regions many times, and all would become stale.

Daemons that know different members, or have found different ones dead, can
feed each other in a circle for a while. A word of the log therefore names the
read that it comes from, and is taken and passed on only once: in a circle it
would stay fresh for ever, since its way takes less time than its age shows,
and would go round as fast as the links allow.
"""

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import roles

# Daemons that one daemon feeds. A region of one more is fed by its first.
FAN_OUT = 8
# Of these, the first daemons of other availability zones, and daemons of the
# same zone. At 1,300 daemons a zone the tree is 6 deep.
SITE_FAN_OUT = 5
CROSS_SITE_FAN_OUT = FAN_OUT - SITE_FAN_OUT
# Age of the log's word beyond which a feed is not trusted, in seconds, where
# versions must be in force within 2.5 s; regions of such meshes have at most
# FAN_OUT + 1 daemons.
STALE_AFTER_S = 1.6
# Daemons further from the log wait longer, in seconds: when the first one is
# slow, those it feeds directly read the log, and feed the others. All reading
# at once would fill the link between regions.
DEEP_STALE_AFTER_S = 2.2
# Where there is more time, a feed becomes stale this long before a version must
# be in force, in seconds: the read of the log that follows takes TAKEOVER_S,
# two trips and half a second for 350 KB on a link of 7 Mbit/s.
DEEP_RESERVE_S = 0.8
RESERVE_S = DEEP_RESERVE_S + DEEP_STALE_AFTER_S - STALE_AFTER_S
# In force within this time, in seconds, unless the settings say otherwise.
CONVERGE_S = 2.5
# A daemon that starts waits this long to be fed with the configuration, in
# seconds, before it reads the log.
START_WAIT_S = 2.0
# After its feed has become stale, a daemon waits this long for the word of the
# next one before it reads the log, in seconds. Until then only the daemon that
# is first now reads it: two checks of feeds and two trips between regions.
TAKEOVER_DELAY_S = 0.3
# A daemon whose feed has failed is not followed for this long, in seconds; the
# time doubles with each failure, since hosts are lost for good.
BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
# Readers whose last word is remembered. A region has one, and few others read
# the log while feeds are replaced.
MAX_READERS = 64

_KEY = "feed"


class TreePosition(NamedTuple):
    """A daemon's place in the tree.

    Attributes:
        parent: The daemon that feeds it; None for the first.
        depth: Daemons between it and the log.
    """

    parent: ids.DaemonId | None
    depth: int


ROOT = TreePosition(None, 0)


class LogConfirmation(NamedTuple):
    """The log's word that all its records have been passed on.

    Attributes:
        reader: The process that has read the log.
        number: Counts the reads of that process.
        age_s: Age of the read, in seconds.
    """

    reader: str
    number: int
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
    me: ids.DaemonId,
    site: ids.SiteName,
    feeders: Mapping[ids.DaemonId, Feeder],
) -> TreePosition:
    """Returns a daemon's place in the tree.

    Hosts with wider links rank before others: a daemon feeds several, and
    the first reads each version as a whole.

    Args:
        me: The daemon that is fed.
        site: Its availability zone.
        feeders: The daemons of its region.
    """
    order = sorted(
        feeders,
        key=lambda daemon: (
            int(math.log2(max(1.0, feeders[daemon].link_mbps))),
            roles.score(_KEY, daemon),
        ),
        reverse=True,
    )
    if len(order) <= FAN_OUT + 1:
        return _place_in(order, me, FAN_OUT)
    heads: dict[ids.SiteName, ids.DaemonId] = {}
    for daemon in order:
        heads.setdefault(feeders[daemon].site, daemon)
    head = heads.get(site, me)
    above = _place_in(list(heads.values()), head, CROSS_SITE_FAN_OUT)
    if me == head:
        return above
    mates = [daemon for daemon in order if feeders[daemon].site == site]
    place = _place_in(mates, me, SITE_FAN_OUT)
    return TreePosition(place.parent, above.depth + place.depth)


def _place_in(
    order: list[ids.DaemonId], me: ids.DaemonId, fan_out: int
) -> TreePosition:
    """Returns a daemon's place in a heap of ranked daemons."""
    rank = order.index(me) if me in order else len(order)
    if not rank:
        return ROOT
    parent_rank = above = (rank - 1) // fan_out
    depth = 1
    while above:
        above = (above - 1) // fan_out
        depth += 1
    return TreePosition(order[parent_rank], depth)


class ReadMode(enum.Enum):
    """How a daemon reads a topic of the log itself.

    Attributes:
        NONE: Not at all; it is fed.
        ONCE: Until the log has answered once, without waiting for news.
        ALWAYS: With long reads.
    """

    NONE = "none"
    ONCE = "once"
    ALWAYS = "always"


class SyncState(NamedTuple):
    """What a daemon knows already.

    Attributes:
        members: Whether it has read the members.
        configurations: Whether it has read or been fed the configuration.
        listed: Whether it is among the members.
        starts_s: When it started; steady time.
    """

    members: bool
    configurations: bool
    listed: bool
    starts_s: float


class FeedState:
    """Whether this daemon is fed, and how fresh the log's word is."""

    def __init__(self, reader: str, converge_s: float = CONVERGE_S):
        """Creates the state of a process.

        Args:
            reader: Names the process.
            converge_s: Time within which an accepted version must be in
                force, in seconds.
        """
        self._reader = reader
        self._near_stale_s = max(STALE_AFTER_S, converge_s - RESERVE_S)
        self._deep_stale_s = max(
            DEEP_STALE_AFTER_S, converge_s - DEEP_RESERVE_S
        )
        self._reads = 0
        # The number of each reader's last word, the newest at the end.
        self._numbers: dict[str, int] = {}
        # The read that the newest word comes from.
        self._source = (reader, 0)
        self.parent: ids.DaemonId | None = None
        self._stale_s = self._near_stale_s
        # The log's last word, however it came here.
        self._word_s = -math.inf
        # The last word of the parent, or when the last one was lost or chosen.
        self._fed_s = -math.inf
        self._rests_until_s: dict[ids.DaemonId, float] = {}
        self._failures: dict[ids.DaemonId, int] = {}

    def excluded(self, now_s: float) -> frozenset[ids.DaemonId]:
        """Returns the daemons whose feed has failed a short time ago."""
        self._rests_until_s = {
            daemon: until_s
            for daemon, until_s in self._rests_until_s.items()
            if until_s > now_s
        }
        return frozenset(self._rests_until_s)

    def set_position(self, place: TreePosition, now_s: float) -> bool:
        """Takes the place in the tree; returns whether the parent changed."""
        is_near = place.depth <= 1
        self._stale_s = self._near_stale_s if is_near else self._deep_stale_s
        if place.parent == self.parent:
            return False
        self.parent = place.parent
        # The new feed has the time of a stale one to say its first word.
        self._fed_s = now_s
        return True

    def on_confirmation(self, word: LogConfirmation, now_s: float) -> bool:
        """Takes the log's word from the feed.

        Returns:
            Whether it is news, and is to be passed on.
        """
        is_own = word.reader == self._reader
        if is_own or word.number <= self._numbers.get(word.reader, 0):
            return False
        self._numbers.pop(word.reader, None)
        self._numbers[word.reader] = word.number
        while len(self._numbers) > MAX_READERS:
            del self._numbers[next(iter(self._numbers))]
        if self.parent is not None:
            self._failures.pop(self.parent, None)
        as_of_s = now_s - word.age_s
        self._fed_s = max(self._fed_s, as_of_s)
        self._note(as_of_s, word.reader, word.number)
        return True

    def on_log_read(self, as_of_s: float) -> None:
        """Notes the log's own word, and when it was true."""
        self._reads += 1
        self._note(as_of_s, self._reader, self._reads)
        if self.parent is None:
            self._failures.clear()

    def _note(self, as_of_s: float, reader: str, number: int) -> None:
        if as_of_s > self._word_s:
            self._word_s = as_of_s
            self._source = (reader, number)

    @property
    def _has_heard(self) -> bool:
        """Whether the log's word has come here at all; reads count from 1."""
        return self._source[1] > 0

    def confirmation(self, now_s: float) -> LogConfirmation:
        """Returns the newest word, to be passed on."""
        return LogConfirmation(
            *self._source, round(self.confirmation_age_s(now_s), 3)
        )

    def confirmation_age_s(self, now_s: float) -> float:
        """Returns the age of the log's last word, in seconds."""
        return now_s - self._word_s

    def on_feed_failed(self, now_s: float) -> None:
        """Notes that the feed has ended."""
        if self.parent is not None:
            self._rest(self.parent, now_s)
        self.parent = None
        self._fed_s = now_s

    def step_down(self, me: ids.DaemonId, now_s: float) -> bool:
        """Lets another daemon read the log if it does not answer this one.

        Returns:
            Whether this daemon was the first and is not any more.
        """
        waits_since_s = max(self._word_s, self._fed_s)
        if (
            self.parent is not None
            or now_s - waits_since_s <= self._near_stale_s
        ):
            return False
        self._rest(me, now_s)
        return True

    def _rest(self, daemon: ids.DaemonId, now_s: float) -> None:
        failures = self._failures.get(daemon, 0)
        rest_s = min(MAX_BACKOFF_S, BACKOFF_S * 2.0**failures)
        self._rests_until_s[daemon] = now_s + rest_s
        self._failures[daemon] = failures + 1

    def invalidate(self) -> None:
        """Notes that something is missing here, whatever the feed says."""
        self._word_s = -math.inf

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the feed is no longer trusted."""
        return self.parent is not None and now_s - self._fed_s > self._stale_s

    def read_modes(
        self, now_s: float, known: SyncState
    ) -> tuple[ReadMode, ReadMode]:
        """Returns how the members and the configuration are to be read."""
        first = self.parent is None
        # At the first start of all, nobody knows yet who is first.
        first = first and (known.configurations or known.listed)
        if known.configurations and self._has_heard:
            needed = self.needs_log_read(now_s)
        else:
            # The feed's records come before its first word, which follows
            # them over the same link.
            needed = now_s - known.starts_s > START_WAIT_S
        fed = ReadMode.ONCE if needed else ReadMode.NONE
        configurations = ReadMode.ALWAYS if first else fed
        if not known.members or self.parent is None:
            return ReadMode.ALWAYS, configurations
        # Daemons with different members can feed each other in a circle, and
        # would never learn of the other members.
        return fed, configurations

    def needs_log_read(self, now_s: float) -> bool:
        """Returns whether the log is to be read here, beside the feed."""
        return self.confirmation_age_s(now_s) > self._stale_s + TAKEOVER_DELAY_S
