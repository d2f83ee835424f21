"""Summaries of a region's services for the other regions."""

from collections.abc import Iterable
import time

import msgspec

from buckthorn_core import endpoints
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic
from buckthorn_daemon import state

SUMMARY_S = 1.0
KEEPALIVE_S = 10.0

_Summed = entries.ServiceSummary | entries.RegionContacts


class Summariser:
    """Exchanges summaries with other regions."""

    def __init__(self, shared: state.State):
        self._shared = shared
        self._sent: dict[ids.RegionName, dict[str, entries.Entry]] = {}
        self._suspicions_sent: dict[
            ids.RegionName, dict[str, entries.CrashSuspicion]
        ] = {}
        self._sent_s: dict[ids.RegionName, float] = {}

    def run(self) -> None:
        """Sends changes to the other regions, as their first relay."""
        shared = self._shared
        with shared.lock:
            if not shared.is_first_relay():
                return
            own = self._own_entries()
            contacts = [
                entry
                for entry in shared.table.entries.values()
                if isinstance(entry, entries.RegionContacts)
                and entry.region != shared.cfg.region
            ]
        for contact in contacts:
            self._send(contact, own)

    def on_summary(self, message: messages.Summary) -> messages.SummaryReply:
        """Takes another region's summary."""
        shared = self._shared
        with shared.lock:
            shared.table.merge(
                entry
                for entry in message.items
                if not isinstance(entry, entries.Member)
            )
            return messages.SummaryReply(self._digest_held(message.region))

    def _own_entries(self) -> dict[str, entries.Entry]:
        """Returns this region's summary, with revisions raised on change."""
        shared = self._shared
        current = shared.holder.current
        draining = current.config.draining_sites if current else frozenset()
        fresh: list[_Summed] = list(
            endpoints.summarise(
                shared.cfg.region, shared.membership.members(), draining
            )
        )
        fresh.append(
            entries.RegionContacts(
                shared.cfg.region,
                0,
                0,
                [
                    member.remote_peer_address
                    for daemon in shared.tree().relays
                    if (member := shared.membership.member(daemon)) is not None
                ],
            )
        )
        return {entry.key: self._keep(entry) for entry in fresh}

    def _keep(self, entry: _Summed) -> entries.Entry:
        """Stores an entry with a raised revision, unless it is unchanged."""
        table = self._shared.table
        old = table.entries.get(entry.key)
        incarnation, revision = self._shared.incarnation, 0
        if isinstance(old, entries.ServiceSummary | entries.RegionContacts):
            # The last writer may have started later than this one.
            incarnation = max(incarnation, old.incarnation)
            revision = old.revision + 1
            same = msgspec.structs.replace(
                entry, incarnation=old.incarnation, revision=old.revision
            )
            if same == old:
                return old
        new = msgspec.structs.replace(
            entry, incarnation=incarnation, revision=revision
        )
        table.put(new)
        return new

    def _send(
        self, contact: entries.RegionContacts, own: dict[str, entries.Entry]
    ) -> None:
        shared = self._shared
        region = contact.region
        sent = self._sent.get(region, {})
        changed = [e for key, e in own.items() if sent.get(key) != e]
        with shared.lock:
            # Not part of the digest: the other region may know them already
            # from requests that crossed.
            suspicions = shared.quarantines.for_other_regions()
        held = self._suspicions_sent.get(region, {})
        news = [s for s in suspicions if held.get(s.key) != s]
        quiet_s = time.monotonic() - self._sent_s.get(region, state.NEVER_S)
        if not changed and not news and quiet_s < KEEPALIVE_S:
            return
        with shared.lock:
            address = shared.region_address(region)
        if address is None:
            return
        digest = _digest(own.values())
        message = messages.Summary(shared.cfg.region, [*changed, *news], digest)
        try:
            envelope = shared.client.request(
                address, message, traffic.Scope.REGION
            )
        except errors.PeerError:
            shared.metrics.count("buckthorn_summary_failures")
            with shared.lock:
                shared.contacts.record_failure(region)
            return
        self._suspicions_sent[region] = {s.key: s for s in suspicions}
        with shared.lock:
            shared.contacts.record_success(region)
        reply = envelope.payload
        if isinstance(reply, messages.SummaryReply) and reply.digest == digest:
            self._sent[region] = own
        else:
            self._sent.pop(region, None)
        self._sent_s[region] = time.monotonic()

    def _digest_held(self, region: ids.RegionName) -> int:
        held = [
            entry
            for entry in self._shared.table.entries.values()
            if isinstance(
                entry, entries.ServiceSummary | entries.RegionContacts
            )
            and entry.region == region
        ]
        return _digest(held)


def _digest(found: Iterable[entries.Entry]) -> int:
    total = 0
    for entry in found:
        total ^= gossip.entry_hash(entry)
    return total
