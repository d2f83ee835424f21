"""Quarantine of requests that crash upstreams.

A suspicion counts the upstream crashes with a request in flight. It is a
gossip entry, so it is merged by rank. The time of its latest change is
`incarnation + revision` in ms, which lets each daemon compare it with the
completions that it has observed itself, in whatever order entries arrive.
Clocks that differ by a few seconds only shift the expiry.
"""

import collections
import hashlib

import msgspec

from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import gossip
from buckthorn_core import ids

# Number of crashes from which a request is refused.
CRASH_LIMIT = 2
LIFETIME_MS = 300_000
# Bytes of a body that enter the fingerprint: a fixed number, so that it doesn't
# depend on how the network splits the body.
PREFIX_BYTES = 4_096
FINGERPRINT_BYTES = 8
# A crash adds at most one suspicion per connection of the upstream (130 in the
# larger deployment), so the limit covers several crashes within LIFETIME_MS; it
# bounds the memory to 0.5 MB.
MAX_SUSPICIONS = 1_024
MAX_COMPLETIONS = 2_048


def fingerprint(
    service: ids.ServiceName,
    method: str,
    path: str,
    key: str | None,
    prefix: bytes,
) -> ids.Fingerprint:
    """Returns the digest that identifies a repeated request.

    Args:
        service: Service that the request goes to.
        method: HTTP method.
        path: Path and query.
        key: Operation key, or None.
        prefix: Start of the body; used only without a key.
    """
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    last = prefix[:PREFIX_BYTES] if key is None else key.encode()
    kind = b"body" if key is None else b"key"
    for part in (service.encode(), method.encode(), path.encode(), kind, last):
        hasher.update(len(part).to_bytes(4, "big") + part)
    return ids.Fingerprint(hasher.hexdigest())


def encode(suspicion: entries.CrashSuspicion) -> str:
    """Encodes a suspicion as a header value."""
    return (
        f"{suspicion.fingerprint}/{suspicion.incarnation}"
        f"/{suspicion.revision}/{suspicion.crashes}"
    )


def decode(text: str) -> entries.CrashSuspicion | None:
    """Decodes the suspicion in a header value; None if malformed."""
    digest, *numbers = text.split("/")
    if len(digest) != 2 * FINGERPRINT_BYTES or len(numbers) != 3:
        return None
    if not all(n.isdecimal() and len(n) <= 15 for n in numbers):
        return None
    return entries.CrashSuspicion(ids.Fingerprint(digest), *map(int, numbers))


def _last_changed_ms(suspicion: entries.CrashSuspicion) -> int:
    return suspicion.incarnation + suspicion.revision


def is_expired(suspicion: entries.CrashSuspicion, now_ms: int) -> bool:
    """Returns whether a suspicion has no effect any more."""
    # A change far in the future comes from a wrong clock, and expires too.
    return abs(now_ms - _last_changed_ms(suspicion)) >= LIFETIME_MS


class Quarantines:
    """Suspicions of requests, as known to one daemon."""

    def __init__(self, table: gossip.GossipTable):
        self._table = table
        self._suspicions: dict[ids.Fingerprint, entries.CrashSuspicion] = {}
        self._local_counts: dict[ids.Fingerprint, entries.CrashSuspicion] = {}
        self._reached_limit: set[ids.Fingerprint] = set()
        self._completed: collections.OrderedDict[ids.Fingerprint, int] = (
            collections.OrderedDict()
        )
        table.add_listener(self._on_entry)

    def get(self, digest: ids.Fingerprint) -> entries.CrashSuspicion:
        """Returns the suspicion of a request, or one without crashes."""
        return self._suspicions.get(digest) or entries.CrashSuspicion(
            digest, 0, 0, 0
        )

    def count_crash(self, digest: ids.Fingerprint, now_ms: int) -> None:
        """Counts an upstream crash with the request in flight."""
        old = self._suspicions.get(digest)
        if old is None or is_expired(old, now_ms):
            new = entries.CrashSuspicion(digest, now_ms, 0, 1)
        else:
            new = _updated(old, now_ms, old.crashes + 1)
        self._local_counts[digest] = new
        self._table.put(new)
        self._evict_surplus()

    def record_completion(self, digest: ids.Fingerprint, now_ms: int) -> None:
        """Clears the suspicion of a request that an upstream has completed."""
        self._completed[digest] = now_ms
        self._completed.move_to_end(digest)
        if len(self._completed) > MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        suspicion = self._suspicions.get(digest)
        if suspicion is not None and suspicion.crashes:
            self._table.put(_updated(suspicion, now_ms, 0))

    def is_quarantined(self, digest: ids.Fingerprint, now_ms: int) -> bool:
        """Returns whether a request is in quarantine."""
        suspicion = self._suspicions.get(digest)
        return (
            suspicion is not None
            and suspicion.crashes >= CRASH_LIMIT
            and not is_expired(suspicion, now_ms)
        )

    def check(self, digest: ids.Fingerprint, now_ms: int) -> None:
        """Raises an error if a request is in quarantine.

        Raises:
            errors.RequestError: The request is in quarantine; it did not run.
        """
        if self.is_quarantined(digest, now_ms):
            end_ms = _last_changed_ms(self._suspicions[digest]) + LIFETIME_MS
            raise errors.RequestError(
                errors.Code.QUARANTINED,
                f"upstreams crashed {self._suspicions[digest].crashes} times"
                " while they ran this request",
                (end_ms - now_ms) / 1000,
            )

    def quarantined(self, now_ms: int) -> list[ids.Fingerprint]:
        """Returns the requests in quarantine."""
        return sorted(
            n for n in self._suspicions if self.is_quarantined(n, now_ms)
        )

    def has_reached_limit(self, digest: ids.Fingerprint) -> bool:
        """Returns whether a request reached the crash limit at any time."""
        return digest in self._reached_limit

    def for_other_regions(self) -> list[entries.CrashSuspicion]:
        """Returns suspicions that reached the crash limit at any time."""
        return [
            self._suspicions[digest] for digest in sorted(self._reached_limit)
        ]

    def expire(self, now_ms: int) -> None:
        """Removes expired suspicions."""
        for suspicion in list(self._suspicions.values()):
            if is_expired(suspicion, now_ms):
                self._drop(suspicion.fingerprint)
        self._evict_surplus()

    def _evict_surplus(self) -> None:
        surplus = len(self._suspicions) - MAX_SUSPICIONS
        if surplus <= 0:
            return
        order = sorted(
            self._suspicions.values(),
            key=lambda s: (s.crashes >= CRASH_LIMIT, _last_changed_ms(s)),
        )
        for suspicion in order[:surplus]:
            self._drop(suspicion.fingerprint)

    def _drop(self, digest: ids.Fingerprint) -> None:
        self._table.remove(self._suspicions.pop(digest).key)
        self._local_counts.pop(digest, None)
        self._reached_limit.discard(digest)

    def _on_entry(self, entry: entries.Entry) -> None:
        if not isinstance(entry, entries.CrashSuspicion):
            return
        digest = entry.fingerprint
        old, self._suspicions[digest] = self._suspicions.get(digest), entry
        if entry.crashes >= CRASH_LIMIT:
            self._reached_limit.add(digest)
        if entry.crashes == 0:
            self._local_counts.pop(digest, None)
            return
        completed_ms = self._completed.get(digest, 0)
        if completed_ms > _last_changed_ms(entry):
            self._table.put(_updated(entry, completed_ms, 0))
        elif _ignores_completion(old, entry):
            self._table.put(_updated(entry, 0, 1))
        else:
            self._add_local_crash(entry)

    def _add_local_crash(self, entry: entries.CrashSuspicion) -> None:
        """Adds this daemon's crash to an entry that does not include it.

        Two concurrent first crashes create two entries, of which the merge
        keeps one; without this, a request that crashes two upstreams at once
        would count as one crash.
        """
        local = self._local_counts.get(entry.fingerprint)
        if local is None or local.incarnation == entry.incarnation:
            return
        new = _updated(entry, 0, entry.crashes + 1)
        self._local_counts[entry.fingerprint] = new
        self._table.put(new)


def _updated(
    old: entries.CrashSuspicion, now_ms: int, crashes: int
) -> entries.CrashSuspicion:
    revision = max(old.revision + 1, now_ms - old.incarnation)
    return msgspec.structs.replace(old, revision=revision, crashes=crashes)


def _ignores_completion(
    old: entries.CrashSuspicion | None, new: entries.CrashSuspicion
) -> bool:
    """Returns whether an entry ignores a completion that was known."""
    return (
        old is not None
        and old.crashes == 0
        and old.incarnation == new.incarnation
        and new.crashes >= CRASH_LIMIT
    )
