"""Pulls from peers that are ahead, when the tree does not deliver.

The tree fails to deliver to a daemon whose parents are behind too: for
example when the region's root can't read the log but the other reader can.
Each message carries its sender's version, so any peer can show the way.
"""

import collections
from typing import NamedTuple

from buckthorn_core import ids
from buckthorn_core import traffic

# The tree delivers within a second; pulling earlier would cost second copies.
GRACE_S = 1.0
MAX_SOURCES = 8


class Source(NamedTuple):
    """A peer that has a version in force."""

    address: ids.Address
    scope: traffic.Scope
    number: ids.VersionNumber


class CatchUp:
    """Remembers peers that are ahead and decides when to pull from one."""

    def __init__(self) -> None:
        self._sources: collections.OrderedDict[ids.Address, Source] = (
            collections.OrderedDict()
        )
        self._since_s: float | None = None

    def add_source(
        self, source: Source, held: ids.VersionNumber, now_s: float
    ) -> None:
        """Notes the version of a peer, if it is higher than the held one."""
        if source.number <= held:
            return
        self._sources[source.address] = source
        self._sources.move_to_end(source.address)
        if len(self._sources) > MAX_SOURCES:
            self._sources.popitem(last=False)
        if self._since_s is None:
            self._since_s = now_s

    def next_source(
        self, held: ids.VersionNumber, now_s: float
    ) -> Source | None:
        """Returns a peer to pull from now, at most one each `GRACE_S`.

        The one heard last comes first; a peer is tried once and then again
        only after it was heard again.
        """
        for source in list(self._sources.values()):
            if source.number <= held:
                del self._sources[source.address]
        if not self._sources or self._since_s is None:
            self._since_s = None
            return None
        if now_s - self._since_s < GRACE_S:
            return None
        self._since_s = now_s
        _, source = self._sources.popitem()
        return source
