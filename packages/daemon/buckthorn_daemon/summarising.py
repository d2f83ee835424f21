"""Exchange of summaries of services between regions."""

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

SUMMARY_PERIOD_S = 1.0
KEEPALIVE_PERIOD_S = 10.0

_SummaryEntry = entries.ServiceSummary | entries.RegionContacts


class Summariser:
    """Sends summaries to other regions and stores theirs."""

    def __init__(self, shared: state.State):
        self._shared = shared
        self._confirmed_entries: dict[
            ids.RegionName, dict[str, entries.Entry]
        ] = {}
        self._sent_suspicions: dict[
            ids.RegionName, dict[str, entries.CrashSuspicion]
        ] = {}
        self._last_sent_s: dict[ids.RegionName, float] = {}

    def run(self) -> None:
        """Sends changes to the other regions if this is the first relay."""
        shared = self._shared
        with shared.lock:
            if not shared.is_first_relay():
                return
            local_entries = self._local_entries()
            contacts = [
                entry
                for entry in shared.table.entries.values()
                if isinstance(entry, entries.RegionContacts)
                and entry.region != shared.cfg.region
            ]
        for contact in contacts:
            self._send(contact, local_entries)

    def on_summary(self, message: messages.Summary) -> messages.SummaryReply:
        """Stores another region's summary and answers with its digest."""
        shared = self._shared
        with shared.lock:
            shared.table.merge(
                entry
                for entry in message.items
                if not isinstance(entry, entries.Member)
            )
            return messages.SummaryReply(self._stored_digest(message.region))

    def _local_entries(self) -> dict[str, entries.Entry]:
        """Returns this region's summary, with new revisions for changes."""
        shared = self._shared
        current = shared.holder.current
        draining = current.config.draining_sites if current else frozenset()
        summary: list[_SummaryEntry] = list(
            endpoints.summarise(
                shared.cfg.region, shared.membership.members(), draining
            )
        )
        summary.append(
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
        return {entry.key: self._put_if_changed(entry) for entry in summary}

    def _put_if_changed(self, entry: _SummaryEntry) -> entries.Entry:
        """Stores an entry with the next revision, unless it is unchanged."""
        table = self._shared.table
        old = table.entries.get(entry.key)
        incarnation, revision = self._shared.incarnation, 0
        if isinstance(old, entries.ServiceSummary | entries.RegionContacts):
            # The daemon that wrote the old entry may have started later, and
            # the higher incarnation wins.
            incarnation = max(incarnation, old.incarnation)
            revision = old.revision + 1
            with_old_revision = msgspec.structs.replace(
                entry, incarnation=old.incarnation, revision=old.revision
            )
            if with_old_revision == old:
                return old
        new = msgspec.structs.replace(
            entry, incarnation=incarnation, revision=revision
        )
        table.put(new)
        return new

    def _send(
        self,
        contact: entries.RegionContacts,
        local_entries: dict[str, entries.Entry],
    ) -> None:
        shared = self._shared
        region = contact.region
        confirmed = self._confirmed_entries.get(region, {})
        changed = [
            e for key, e in local_entries.items() if confirmed.get(key) != e
        ]
        with shared.lock:
            # Suspicions are not part of the digest: the other region may have
            # them already from requests between the regions.
            suspicions = shared.quarantines.for_other_regions()
        sent_suspicions = self._sent_suspicions.get(region, {})
        changed_suspicions = [
            s for s in suspicions if sent_suspicions.get(s.key) != s
        ]
        idle_s = time.monotonic() - self._last_sent_s.get(region, state.NEVER_S)
        if (
            not changed
            and not changed_suspicions
            and idle_s < KEEPALIVE_PERIOD_S
        ):
            return
        with shared.lock:
            address = shared.region_address(region)
        if address is None:
            return
        digest = _digest(local_entries.values())
        message = messages.Summary(
            shared.cfg.region, [*changed, *changed_suspicions], digest
        )
        try:
            envelope = shared.client.request(
                address, message, traffic.Scope.REGION
            )
        except errors.PeerError:
            shared.metrics.count("buckthorn_summary_failures")
            with shared.lock:
                shared.contacts.record_failure(region)
            return
        self._sent_suspicions[region] = {s.key: s for s in suspicions}
        with shared.lock:
            shared.contacts.record_success(region)
        reply = envelope.payload
        if isinstance(reply, messages.SummaryReply) and reply.digest == digest:
            self._confirmed_entries[region] = local_entries
        else:
            self._confirmed_entries.pop(region, None)
        self._last_sent_s[region] = time.monotonic()

    def _stored_digest(self, region: ids.RegionName) -> int:
        stored = [
            entry
            for entry in self._shared.table.entries.values()
            if isinstance(
                entry, entries.ServiceSummary | entries.RegionContacts
            )
            and entry.region == region
        ]
        return _digest(stored)


def _digest(items: Iterable[entries.Entry]) -> int:
    total = 0
    for entry in items:
        total ^= gossip.entry_hash(entry)
    return total
