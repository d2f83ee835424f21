"""A table that is replicated by gossip.

Recent changes are sent with each message. Digests of the whole table reveal the
changes that were lost.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import math

import msgspec

from buckthorn_core import entries

BUCKETS = 64
MAX_CHANGES_BYTES = 1_200
# Each change is sent 3*log2(n) times, by which it reaches all members with high
# probability if a few percent of the messages are lost.
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
    """Returns a hash of an entry's key and rank, equal on all daemons."""
    return _hash(f"{entry.key}|{entry.rank}")


def _is_tombstone(entry: entries.Entry) -> bool:
    return (
        isinstance(entry, entries.Member)
        and entry.state in entries.DEPARTED_STATES
    )


def _accept(entry: entries.Entry) -> entries.Entry:
    return entry


class GossipTable:
    """Entries by key, and the changes that are still to be sent.

    Attributes:
        entries: All entries, including those of departed members.
        on_received: Called with each entry from a peer; returns what to
            store of it, or None.
    """

    def __init__(self) -> None:
        self.entries: dict[str, entries.Entry] = {}
        self._remaining_sends: dict[str, int] = {}
        self._bucket_digests = [0] * BUCKETS
        self._listeners: list[Listener] = []
        self.received_filter: Filter = _accept

    def add_listener(self, listener: Listener) -> None:
        """Adds a function that is called with each changed entry."""
        self._listeners.append(listener)

    def put(self, entry: entries.Entry) -> bool:
        """Stores an entry if it outranks the stored one.

        Returns:
            Whether it was stored.
        """
        old = self.entries.get(entry.key)
        if old is not None and old.rank >= entry.rank:
            return False
        if old is not None:
            self._toggle_in_digest(old)
        self.entries[entry.key] = entry
        self._toggle_in_digest(entry)
        self._remaining_sends[entry.key] = self._send_count()
        for listener in self._listeners:
            listener(entry)
        return True

    def merge(self, received: Iterable[entries.Entry]) -> int:
        """Stores received entries and returns how many changed the table."""
        accepted = (self.received_filter(entry) for entry in received)
        return sum(self.put(entry) for entry in accepted if entry is not None)

    def remove(self, key: str) -> None:
        """Removes an entry, if there is one."""
        entry = self.entries.pop(key, None)
        self._remaining_sends.pop(key, None)
        if entry is not None:
            self._toggle_in_digest(entry)

    def changes_to_send(
        self, limit_bytes: int = MAX_CHANGES_BYTES
    ) -> list[entries.Entry]:
        """Returns recent changes, those sent least often first.

        Each call counts as one sending of the returned entries.
        """
        order = sorted(
            self._remaining_sends, key=lambda k: -self._remaining_sends[k]
        )
        chosen: list[entries.Entry] = []
        size = 0
        for key in order:
            entry = self.entries[key]
            size += len(_encoder.encode(entry))
            if size > limit_bytes:
                break
            chosen.append(entry)
            self._remaining_sends[key] -= 1
            if self._remaining_sends[key] <= 0:
                del self._remaining_sends[key]
        return chosen

    def digest(self) -> int:
        """Returns a digest of the table without departed members."""
        total = 0
        for value in self._bucket_digests:
            total ^= value
        return total

    def bucket_digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return list(self._bucket_digests)

    def differing_buckets(
        self, digests: Sequence[int], limit: int
    ) -> list[int]:
        """Returns the first buckets whose digest differs from a peer's.

        Args:
            digests: The peer's digest of each bucket.
            limit: Most buckets to return.
        """
        pairs = zip(self._bucket_digests, digests, strict=True)
        differing = [n for n, (a, b) in enumerate(pairs) if a != b]
        return differing[:limit]

    def entries_in_buckets(self, buckets: Iterable[int]) -> list[entries.Entry]:
        """Returns the entries in the given buckets."""
        wanted = frozenset(buckets)
        return [
            entry
            for key, entry in self.entries.items()
            if _bucket(key) in wanted
        ]

    def _send_count(self) -> int:
        size = max(2, len(self.entries))
        return RESEND_FACTOR * math.ceil(math.log2(size))

    def _toggle_in_digest(self, entry: entries.Entry) -> None:
        """Adds an entry to its bucket's digest, or removes it."""
        if not _is_tombstone(entry):
            self._bucket_digests[_bucket(entry.key)] ^= entry_hash(entry)
