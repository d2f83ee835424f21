"""Suspicions of requests that crash upstreams, as one sidecar knows them.

A suspicion travels with the request that it concerns: the daemon beside the
crashed upstream returns it with the failure, and the sender attaches it to its
next attempt. The request also comes again at other hosts, so each crash is told
to all linked daemons and to those of the same service. From the crash limit on,
a suspicion is exchanged on each new connection, and recorded in the log, from
which daemons get it that had no connection or were restarted.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import time

import loguru
import msgspec

from buckthorn_adapters import http1
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import foreign_values
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import quarantines
from buckthorn_core import topic_tables

# Most suspicions in the first message on a connection, the latest ones.
MAX_EXCHANGED = 128
# Prefix of the keys of suspicions in the topic of members.
KEY_PREFIX = "quarantine/"
_LENGTH_BYTES = 8

_logger = loguru.logger.bind(module=__name__)
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(entries.CrashSuspicion)


def now_ms() -> int:
    """Returns the timestamp for suspicions, in ms since the epoch."""
    return time.time_ns() // 1_000_000


def fingerprint(
    service: ids.ServiceName, host: str, req: http1.Request
) -> ids.Fingerprint:
    """Returns the digest that identifies a caller's repeated request.

    The request's id is not part of it: each attempt of a caller has its own.
    """
    body = req.body
    part_bytes = quarantines.PREFIX_BYTES
    if len(body) > part_bytes:
        # Uploads of one kind often begin alike.
        hasher = hashlib.blake2b(body[:part_bytes])
        hasher.update(body[-part_bytes:])
        hasher.update(len(body).to_bytes(_LENGTH_BYTES, "big"))
        body = hasher.digest()
    return quarantines.fingerprint(
        service, req.method, f"{host}{req.target}", None, body
    )


def record_key(suspicion: entries.CrashSuspicion) -> str:
    """Returns the key of a suspicion in the topic of members."""
    return KEY_PREFIX + suspicion.fingerprint


def encode(suspicion: entries.CrashSuspicion) -> bytes:
    """Encodes a suspicion as a record's value."""
    return _encoder.encode(suspicion)


def decode(value: bytes) -> entries.CrashSuspicion:
    """Decodes a suspicion from a record's value.

    Raises:
        errors.ConfigError: The value isn't a suspicion.
    """
    return foreign_values.decode(_decoder, value)


def revision_of(suspicion: entries.CrashSuspicion) -> topic_tables.Revision:
    """Returns the revision of a suspicion's record."""
    return suspicion.incarnation, suspicion.revision


class Suspicions:
    """Counts crashes, refuses requests in quarantine and spreads changes.

    Attributes:
        on_change: Called with the suspicions that this daemon changed and
            others must know.
    """

    def __init__(self) -> None:
        self._table = gossip.GossipTable()
        self._quarantines = quarantines.Quarantines(self._table)
        self.on_change: Callable[[list[entries.CrashSuspicion]], None] = (
            lambda changed: None
        )

    @property
    def count(self) -> int:
        """Number of requests in quarantine."""
        return len(self._quarantines.quarantined(now_ms()))

    def get(self, digest: ids.Fingerprint) -> entries.CrashSuspicion:
        """Returns the suspicion of a request, or one without crashes."""
        return self._quarantines.get(digest)

    def is_quarantined(self, digest: ids.Fingerprint) -> bool:
        """Returns whether a request must not be run."""
        return self._quarantines.is_quarantined(digest, now_ms())

    def check(self, digest: ids.Fingerprint) -> None:
        """Refuses a request in quarantine.

        Callers take only some statuses for a statement that a request has not
        run, so this is another error than that of the product's own daemon.

        Raises:
            errors.RequestError: The request is in quarantine; it did not run.
        """
        try:
            self._quarantines.check(digest, now_ms())
        except errors.RequestError as exc:
            raise errors.RequestError(
                errors.Code.CRASHES_UPSTREAMS, exc.message, exc.retry_after_s
            ) from exc

    def count_crash(self, digests: Iterable[ids.Fingerprint]) -> None:
        """Counts a crash of the upstream with these requests in flight."""
        self._quarantines.expire(now_ms())
        counted = sorted(digests)
        for digest in counted:
            self._quarantines.count_crash(digest, now_ms())
        self._spread(counted)

    def complete(self, digest: ids.Fingerprint) -> None:
        """Records that an upstream has completed a request."""
        suspected = self.get(digest).crashes > 0
        self._quarantines.record_completion(digest, now_ms())
        if suspected and self.has_reached_limit(digest):
            self._spread([digest])

    def merge(self, received: Iterable[entries.CrashSuspicion]) -> None:
        """Applies suspicions of other daemons, or of the log."""
        corrected = [
            suspicion.fingerprint
            for suspicion in received
            # One without a crash only names a request.
            if suspicion.incarnation
            and self._table.put(suspicion)
            and self.get(suspicion.fingerprint) != suspicion
        ]
        if corrected:
            self._spread(corrected)

    def has_reached_limit(self, digest: ids.Fingerprint) -> bool:
        """Returns whether a request is, or was, in quarantine."""
        return self._quarantines.has_reached_limit(digest)

    def reached_limit(self) -> list[entries.CrashSuspicion]:
        """Returns what a daemon that connects must know, the latest first."""
        self._quarantines.expire(now_ms())
        return sorted(
            self._quarantines.for_other_regions(),
            key=lambda s: -(s.incarnation + s.revision),
        )[:MAX_EXCHANGED]

    def _spread(self, digests: Iterable[ids.Fingerprint]) -> None:
        changed = [self.get(digest) for digest in digests]
        for suspicion in changed:
            if self.has_reached_limit(suspicion.fingerprint):
                _logger.warning(
                    "quarantine_changed",
                    fingerprint=suspicion.fingerprint,
                    crashes=suspicion.crashes,
                )
        self.on_change(changed)


def is_expired(suspicion: entries.CrashSuspicion) -> bool:
    """Returns whether a suspicion has no effect any more."""
    return quarantines.is_expired(suspicion, now_ms())
