"""Pulls from peers that are ahead if the tree doesn't deliver a version.

The tree doesn't deliver to a daemon whose parents are behind too, for example
if the region's root can't read the log but the other reader can. As each
message carries the version of its sender, any peer can serve as a source.
"""

import collections
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import traffic

# The tree delivers within a second; an earlier pull would transfer the version
# twice.
GRACE_S = 1.0
MAX_SOURCES = 8


class Source(NamedTuple):
    """A peer and the number of its version in force."""

    address: ids.Address
    scope: traffic.Scope
    number: ids.VersionNumber


class CatchUp:
    """Peers that are ahead, and when to pull from one of them."""

    def __init__(self) -> None:
        self._sources: collections.OrderedDict[ids.Address, Source] = (
            collections.OrderedDict()
        )
        self._wait_since_s: float | None = None

    def add_source(
        self, source: Source, held: ids.VersionNumber, now_s: float
    ) -> None:
        """Stores a peer if its version is higher than the held one."""
        if source.number <= held:
            return
        self._sources[source.address] = source
        self._sources.move_to_end(source.address)
        if len(self._sources) > MAX_SOURCES:
            self._sources.popitem(last=False)
        if self._wait_since_s is None:
            self._wait_since_s = now_s

    def next_source(
        self, held: ids.VersionNumber, now_s: float
    ) -> Source | None:
        """Returns a peer to pull from now, at most one each `GRACE_S`.

        The peer with the latest message comes first. A returned peer is
        removed until its next message.
        """
        for source in list(self._sources.values()):
            if source.number <= held:
                del self._sources[source.address]
        if not self._sources or self._wait_since_s is None:
            self._wait_since_s = None
            return None
        if now_s - self._wait_since_s < GRACE_S:
            return None
        self._wait_since_s = now_s
        _, source = self._sources.popitem()
        return source
