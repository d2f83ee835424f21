"""Requests that crash upstreams: counting, clearing, refusal.

A suspicion is a gossip entry, so it is merged by rank. The time of its latest
change is `incarnation + revision` in ms, which lets each daemon compare a
suspicion with the completions it has seen itself, whatever order news arrive
in. Clocks that differ by a few seconds only shift the expiry.
"""

import collections
import hashlib

import msgspec

from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import gossip
from buckthorn_core import ids

CRASH_LIMIT = 2
LIFETIME_MS = 300_000
# Only this many bytes of a body count, however the network cuts it in pieces.
PREFIX_BYTES = 4_096
FINGERPRINT_BYTES = 8
# A crash names at most the connections of an upstream (130 in the larger
# deployment), so this holds the crashes of a bad five minutes in 0.5 MB.
MAX_SUSPICIONS = 1_024
MAX_COMPLETIONS = 2_048


def fingerprint(
    service: ids.ServiceName,
    method: str,
    path: str,
    key: str | None,
    prefix: bytes,
) -> ids.Fingerprint:
    """Returns the digest that recognises a repeated request.

    Args:
        service: The service that it goes to.
        method: The method.
        path: Path and query.
        key: The operation key, or None.
        prefix: Start of the body; counts only without a key.
    """
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    last = prefix[:PREFIX_BYTES] if key is None else key.encode()
    kind = b"body" if key is None else b"key"
    for part in (service.encode(), method.encode(), path.encode(), kind, last):
        hasher.update(len(part).to_bytes(4, "big") + part)
    return ids.Fingerprint(hasher.hexdigest())


def encode(suspicion: entries.CrashSuspicion) -> str:
    """Returns a suspicion as the value of a header."""
    return (
        f"{suspicion.fingerprint}/{suspicion.incarnation}"
        f"/{suspicion.revision}/{suspicion.crashes}"
    )


def decode(text: str) -> entries.CrashSuspicion | None:
    """Returns the suspicion in a header's value, or None if malformed."""
    name, *numbers = text.split("/")
    if len(name) != 2 * FINGERPRINT_BYTES or len(numbers) != 3:
        return None
    if not all(n.isdecimal() and len(n) <= 15 for n in numbers):
        return None
    return entries.CrashSuspicion(ids.Fingerprint(name), *map(int, numbers))


def _changed_ms(suspicion: entries.CrashSuspicion) -> int:
    return suspicion.incarnation + suspicion.revision


def _is_expired(suspicion: entries.CrashSuspicion, now_ms: int) -> bool:
    # A change far in the future comes from a clock that is wrong.
    return abs(now_ms - _changed_ms(suspicion)) >= LIFETIME_MS


class Quarantines:
    """What one daemon knows of requests that were in flight at crashes."""

    def __init__(self, table: gossip.GossipTable):
        self._table = table
        self._held: dict[ids.Fingerprint, entries.CrashSuspicion] = {}
        self._own: dict[ids.Fingerprint, entries.CrashSuspicion] = {}
        self._spread: set[ids.Fingerprint] = set()
        self._completed: collections.OrderedDict[ids.Fingerprint, int] = (
            collections.OrderedDict()
        )
        table.add_listener(self._on_entry)

    def get(self, name: ids.Fingerprint) -> entries.CrashSuspicion:
        """Returns the suspicion of a request; one without crashes if none."""
        return self._held.get(name) or entries.CrashSuspicion(name, 0, 0, 0)

    def count_crash(self, name: ids.Fingerprint, now_ms: int) -> None:
        """Counts an upstream crash with the request in flight."""
        old = self._held.get(name)
        if old is None or _is_expired(old, now_ms):
            new = entries.CrashSuspicion(name, now_ms, 0, 1)
        else:
            new = _change(old, now_ms, old.crashes + 1)
        self._own[name] = new
        self._table.put(new)
        self._limit()

    def record_completion(self, name: ids.Fingerprint, now_ms: int) -> None:
        """Clears a request that an upstream has completed."""
        self._completed[name] = now_ms
        self._completed.move_to_end(name)
        if len(self._completed) > MAX_COMPLETIONS:
            self._completed.popitem(last=False)
        held = self._held.get(name)
        if held is not None and held.crashes:
            self._table.put(_change(held, now_ms, 0))

    def is_quarantined(self, name: ids.Fingerprint, now_ms: int) -> bool:
        """Returns whether a request is in quarantine."""
        held = self._held.get(name)
        return (
            held is not None
            and held.crashes >= CRASH_LIMIT
            and not _is_expired(held, now_ms)
        )

    def check(self, name: ids.Fingerprint, now_ms: int) -> None:
        """Refuses a request that is in quarantine.

        Raises:
            errors.RequestError: It is in quarantine; it has not run.
        """
        if self.is_quarantined(name, now_ms):
            end_ms = _changed_ms(self._held[name]) + LIFETIME_MS
            raise errors.RequestError(
                errors.Code.QUARANTINED,
                f"upstreams crashed {self._held[name].crashes} times while"
                " they ran this request",
                (end_ms - now_ms) / 1000,
            )

    def quarantined(self, now_ms: int) -> list[ids.Fingerprint]:
        """Returns the requests in quarantine."""
        return sorted(n for n in self._held if self.is_quarantined(n, now_ms))

    def for_other_regions(self) -> list[entries.CrashSuspicion]:
        """Returns suspicions that refuse requests, or have done so."""
        return [self._held[name] for name in sorted(self._spread)]

    def expire(self, now_ms: int) -> None:
        """Drops suspicions whose lifetime has passed."""
        for held in list(self._held.values()):
            if _is_expired(held, now_ms):
                self._drop(held.fingerprint)
        self._limit()

    def _limit(self) -> None:
        surplus = len(self._held) - MAX_SUSPICIONS
        if surplus <= 0:
            return
        order = sorted(
            self._held.values(),
            key=lambda s: (s.crashes >= CRASH_LIMIT, _changed_ms(s)),
        )
        for suspicion in order[:surplus]:
            self._drop(suspicion.fingerprint)

    def _drop(self, name: ids.Fingerprint) -> None:
        self._table.remove(self._held.pop(name).key)
        self._own.pop(name, None)
        self._spread.discard(name)

    def _on_entry(self, entry: entries.Entry) -> None:
        if not isinstance(entry, entries.CrashSuspicion):
            return
        name = entry.fingerprint
        old, self._held[name] = self._held.get(name), entry
        if entry.crashes >= CRASH_LIMIT:
            self._spread.add(name)
        if entry.crashes == 0:
            self._own.pop(name, None)
            return
        completed_ms = self._completed.get(name, 0)
        if completed_ms > _changed_ms(entry):
            self._table.put(_change(entry, completed_ms, 0))
        elif _misses_clearing(old, entry):
            self._table.put(_change(entry, 0, 1))
        else:
            self._add_own(entry)

    def _add_own(self, entry: entries.CrashSuspicion) -> None:
        """Adds the own crash to one that another daemon counted alone.

        Two first crashes at the same time make two entries, of which only
        one can stay; without this a request that kills two upstreams at
        once would count as one crash.
        """
        own = self._own.get(entry.fingerprint)
        if own is None or own.incarnation == entry.incarnation:
            return
        new = _change(entry, 0, entry.crashes + 1)
        self._own[entry.fingerprint] = new
        self._table.put(new)


def _change(
    old: entries.CrashSuspicion, now_ms: int, crashes: int
) -> entries.CrashSuspicion:
    revision = max(old.revision + 1, now_ms - old.incarnation)
    return msgspec.structs.replace(old, revision=revision, crashes=crashes)


def _misses_clearing(
    old: entries.CrashSuspicion | None, new: entries.CrashSuspicion
) -> bool:
    """Returns whether a count goes on from before a known completion."""
    return (
        old is not None
        and old.crashes == 0
        and old.incarnation == new.incarnation
        and new.crashes >= CRASH_LIMIT
    )
