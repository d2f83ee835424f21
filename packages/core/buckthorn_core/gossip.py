"""A table that gossip replicates: rumours first, digests as a safety net."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import math

import msgspec

from buckthorn_core import entries

BUCKETS = 64
MAX_CHANGES_BYTES = 1_200
# Each change is sent 3*log2(n) times: enough for all members to hear of it
# with high probability under a few percent of loss.
RESEND_FACTOR = 3

Listener = Callable[[entries.Entry], None]
Filter = Callable[[entries.Entry], entries.Entry | None]

_encoder = msgspec.msgpack.Encoder()


def _hash(data: str) -> int:
    digest = hashlib.blake2b(data.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _bucket(key: str) -> int:
    return _hash(key) % BUCKETS


def entry_hash(entry: entries.Entry) -> int:
    """Returns a hash of an entry's key and rank, the same everywhere."""
    return _hash(f"{entry.key}|{entry.rank}")


def _is_tombstone(entry: entries.Entry) -> bool:
    return (
        isinstance(entry, entries.Member)
        and entry.state in entries.DEPARTED_STATES
    )


def _keep(entry: entries.Entry) -> entries.Entry:
    return entry


class GossipTable:
    """Entries by key, and the changes still to be passed on.

    Attributes:
        entries: All entries, those of members that are gone included.
        on_received: Called with each entry from a peer; returns what to
            store of it, or None.
    """

    def __init__(self) -> None:
        self.entries: dict[str, entries.Entry] = {}
        self._rumours: dict[str, int] = {}
        self._digests = [0] * BUCKETS
        self._listeners: list[Listener] = []
        self.received_filter: Filter = _keep

    def add_listener(self, listener: Listener) -> None:
        """Calls the listener with each entry that changes."""
        self._listeners.append(listener)

    def put(self, entry: entries.Entry) -> bool:
        """Stores an entry if its rank is higher than the stored one's."""
        old = self.entries.get(entry.key)
        if old is not None and old.rank >= entry.rank:
            return False
        if old is not None:
            self._toggle(old)
        self.entries[entry.key] = entry
        self._toggle(entry)
        self._rumours[entry.key] = self._resends()
        for listener in self._listeners:
            listener(entry)
        return True

    def merge(self, received: Iterable[entries.Entry]) -> int:
        """Stores received entries and returns how many were news."""
        kept = (self.received_filter(entry) for entry in received)
        return sum(self.put(entry) for entry in kept if entry is not None)

    def remove(self, key: str) -> None:
        """Forgets an entry."""
        entry = self.entries.pop(key, None)
        self._rumours.pop(key, None)
        if entry is not None:
            self._toggle(entry)

    def changes_to_send(
        self, limit_bytes: int = MAX_CHANGES_BYTES
    ) -> list[entries.Entry]:
        """Returns recent changes, those sent least often first."""
        order = sorted(self._rumours, key=lambda k: -self._rumours[k])
        chosen: list[entries.Entry] = []
        size = 0
        for key in order:
            entry = self.entries[key]
            size += len(_encoder.encode(entry))
            if size > limit_bytes:
                break
            chosen.append(entry)
            self._rumours[key] -= 1
            if self._rumours[key] <= 0:
                del self._rumours[key]
        return chosen

    def digest(self) -> int:
        """Returns a digest of the table, without members that are gone."""
        total = 0
        for value in self._digests:
            total ^= value
        return total

    def bucket_digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return list(self._digests)

    def differing_buckets(self, digests: Sequence[int], most: int) -> list[int]:
        """Returns some buckets whose digest differs from a peer's."""
        pairs = zip(self._digests, digests, strict=True)
        differing = [n for n, (a, b) in enumerate(pairs) if a != b]
        return differing[:most]

    def entries_in_buckets(self, buckets: Iterable[int]) -> list[entries.Entry]:
        """Returns the entries of some buckets."""
        wanted = frozenset(buckets)
        return [
            entry
            for key, entry in self.entries.items()
            if _bucket(key) in wanted
        ]

    def _resends(self) -> int:
        size = max(2, len(self.entries))
        return RESEND_FACTOR * math.ceil(math.log2(size))

    def _toggle(self, entry: entries.Entry) -> None:
        if not _is_tombstone(entry):
            self._digests[_bucket(entry.key)] ^= entry_hash(entry)
