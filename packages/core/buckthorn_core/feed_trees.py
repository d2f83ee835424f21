"""Whom a daemon gets the log's records from.

The daemons of a region are ranked and form a heap: the first reads the log,
and each of the others is fed by one that ranks before it. So the log's calls
don't grow with the fleet, a version crosses the link between regions once,
and a daemon that joins moves few others.

A feed is trusted while the log's own word behind it is fresh. A daemon whose
feed is stale, dead or behind reads the log itself at once.
"""

from collections.abc import Mapping
import math
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import roles

# Daemons that one daemon feeds. At 3,100 daemons a region the tree is 4 deep.
FAN_OUT = 8
# Age of the log's word beyond which a feed is not trusted, in seconds. With
# the read that follows it stays within the time in which a version must be in
# force, 2.5 s after its acceptance; regions with more than FAN_OUT + 1 daemons
# have 3 s and more.
STALE_S = 1.6
# Daemons further from the log wait longer, in seconds: when the first one is
# slow, those it feeds directly read the log, and feed the others. All reading
# at once would fill the link between regions.
DEEP_STALE_S = 2.2
# A daemon whose feed has failed is not followed for this long, in seconds; the
# time doubles with each failure, since hosts are lost for good.
REST_S = 5.0
MAX_REST_S = 300.0

_KEY = "feed"


class Place(NamedTuple):
    """A daemon's place in the tree.

    Attributes:
        parent: The daemon that feeds it; None for the first.
        depth: Daemons between it and the log.
    """

    parent: ids.DaemonId | None
    depth: int


FIRST = Place(None, 0)


def place_of(me: ids.DaemonId, links: Mapping[ids.DaemonId, float]) -> Place:
    """Returns a daemon's place in the tree.

    Hosts with wider links rank before others: a daemon feeds several, and
    the first reads each version as a whole.

    Args:
        me: The daemon that is fed.
        links: The daemons of its region, with their hosts' links in Mbit/s.
    """
    order = sorted(
        links,
        key=lambda daemon: (
            int(math.log2(max(1.0, links[daemon]))),
            roles.score(_KEY, daemon),
        ),
        reverse=True,
    )
    rank = order.index(me) if me in links else len(order)
    if not rank:
        return FIRST
    parent_rank = above = (rank - 1) // FAN_OUT
    depth = 1
    while above:
        above = (above - 1) // FAN_OUT
        depth += 1
    return Place(order[parent_rank], depth)


class FeedState:
    """Whether this daemon is fed, and how fresh the log's word is."""

    def __init__(self) -> None:
        self.parent: ids.DaemonId | None = None
        self._stale_s = STALE_S
        self._confirmed_s = -math.inf
        self._rests_until_s: dict[ids.DaemonId, float] = {}
        self._failures: dict[ids.DaemonId, int] = {}

    def resting(self, now_s: float) -> frozenset[ids.DaemonId]:
        """Returns the daemons whose feed has failed a short time ago."""
        self._rests_until_s = {
            daemon: until_s
            for daemon, until_s in self._rests_until_s.items()
            if until_s > now_s
        }
        return frozenset(self._rests_until_s)

    def follow(self, place: Place, now_s: float) -> bool:
        """Takes the place in the tree; returns whether the parent changed."""
        self._stale_s = STALE_S if place.depth <= 1 else DEEP_STALE_S
        if place.parent == self.parent:
            return False
        self.parent = place.parent
        # The new feed has the time of a stale one to say its first word.
        self._confirmed_s = max(self._confirmed_s, now_s)
        return True

    def confirm(self, age_s: float, now_s: float) -> None:
        """Notes the log's word of an age, from the feed or the log itself."""
        if self.parent is not None:
            self._failures.pop(self.parent, None)
        self._confirmed_s = max(self._confirmed_s, now_s - age_s)

    def age_s(self, now_s: float) -> float:
        """Returns the age of the log's last word, in seconds."""
        return now_s - self._confirmed_s

    def fail(self, now_s: float) -> None:
        """Notes that the feed has ended; the log is read directly."""
        parent = self.parent
        if parent is not None:
            failures = self._failures.get(parent, 0)
            rest_s = min(MAX_REST_S, REST_S * 2.0**failures)
            self._rests_until_s[parent] = now_s + rest_s
            self._failures[parent] = failures + 1
        self.parent = None

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the feed is no longer trusted."""
        return self.parent is not None and self.age_s(now_s) > self._stale_s
