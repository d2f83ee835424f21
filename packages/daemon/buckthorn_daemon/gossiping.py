"""Jobs and handlers of membership: gossip, probes and joins."""

import threading
import time

from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import gossip
from buckthorn_core import ids
from buckthorn_core import membership
from buckthorn_core import messages
from buckthorn_core import ports
from buckthorn_core import records
from buckthorn_daemon import state

SYNC_PERIOD_S = 10.0
MAX_SYNC_BUCKETS = 8
MIN_JOIN_WAIT_S = 0.2
MAX_JOIN_WAIT_S = 10.0
MAX_REJOIN_WAIT_S = 30.0
MAX_JOIN_ATTEMPTS = 3
MAX_CONTACT_RECORDS = 64
INDIRECT_PROBE_TIMEOUT_S = 1.0
REGIONS_PERIOD_S = 10.0
# Less than the number of threads of the peer server, so that indirect probes
# for others can't occupy all of them.
MAX_PROBES = 2


class Gossiper:
    """Keeps the gossip table up to date and detects failed members."""

    def __init__(self, shared: state.State, log: ports.LogService):
        self._shared = shared
        self._log = log
        self._next_sync_s = 0.0
        self._join_wait_s = MIN_JOIN_WAIT_S
        self._probe_slots = threading.BoundedSemaphore(MAX_PROBES)

    def probe(self) -> None:
        """Exchanges gossip with the next member, which also probes it.

        Raises:
            errors.PeerError: The member answered the gossip, but not the
                sync after it.
        """
        shared = self._shared
        with shared.lock:
            shared.membership.tick(time.monotonic())
            target = shared.membership.next_probe_target()
            if target is None:
                return
            message = messages.Gossip(
                [
                    *shared.membership.entries_to_refute(target.id),
                    *shared.table.changes_to_send(),
                ],
                shared.table.digest(),
            )
        try:
            envelope = shared.client.request(
                target.peer_address,
                message,
                timeout_s=membership.PROBE_TIMEOUT_S,
            )
        except errors.PeerError:
            if target.state not in entries.DEPARTED_STATES:
                self._probe_indirectly(target)
            return
        shared.record_peer_version(envelope)
        if isinstance(envelope.payload, messages.GossipReply):
            self._merge_reply(target, envelope.payload)

    def on_gossip(
        self, message: messages.Gossip, sender: ids.DaemonId
    ) -> messages.GossipReply:
        """Merges another daemon's gossip and answers with changes."""
        shared = self._shared
        with shared.lock:
            shared.table.merge(message.changes)
            about_sender = shared.membership.entries_to_refute(sender)
            return messages.GossipReply(
                [*about_sender, *shared.table.changes_to_send()],
                shared.table.digest(),
            )

    def on_sync(self, message: messages.Sync) -> messages.SyncReply:
        """Merges entries and answers with those of buckets that differ.

        Without digests, answers with the whole table.
        """
        shared = self._shared
        with shared.lock:
            shared.table.merge(message.items)
            if not message.digests:
                buckets = list(range(gossip.BUCKETS))
            else:
                buckets = shared.table.differing_buckets(
                    message.digests, MAX_SYNC_BUCKETS
                )
            return messages.SyncReply(
                buckets, shared.table.entries_in_buckets(buckets)
            )

    def on_probe_request(
        self, message: messages.ProbeRequest
    ) -> messages.ProbeReply:
        """Probes a third daemon on behalf of another one.

        Raises:
            errors.PeerError: MAX_PROBES indirect probes are running.
        """
        if not self._probe_slots.acquire(blocking=False):
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, "too many probes run"
            )
        try:
            return messages.ProbeReply(self._is_alive(message.address))
        finally:
            self._probe_slots.release()

    def join(self) -> None:
        """Merges tables with members of the region that are not known yet.

        Daemons that start at the same time can form separate groups. The
        contacts writer of each group therefore keeps looking for others.
        """
        shared = self._shared
        with shared.lock:
            known = {m.peer_address for m in shared.membership.members()}
            is_alone = len(known) < 2
            joined = shared.joined
            is_contacts_writer = shared.holds("contacts_writer")
            searching = is_alone or is_contacts_writer or not joined
        if not searching:
            self._join_wait_s = MAX_REJOIN_WAIT_S
            return
        unknown = [a for a in self._contact_addresses() if a not in known]
        if not joined:
            # The gossip received so far may cover few members. The whole
            # table of a known member shows the others.
            local_address = shared.cfg.peer_address
            unknown.extend(sorted(a for a in known if a != local_address))
        for address in unknown[:MAX_JOIN_ATTEMPTS]:
            if self._merge_tables(address):
                self._join_wait_s = MIN_JOIN_WAIT_S
                return
        doubled_wait_s = self._join_wait_s * 2
        self._join_wait_s = min(
            MAX_JOIN_WAIT_S if is_alone else MAX_REJOIN_WAIT_S, doubled_wait_s
        )

    def join_wait_s(self) -> float:
        """Returns the pause before the next attempt, with full jitter."""
        return MIN_JOIN_WAIT_S + self._shared.rng.random() * self._join_wait_s

    def refresh_regions(self) -> None:
        """Reads contacts of other regions from the log if they don't answer."""
        shared = self._shared
        with shared.lock:
            needs_contacts = (
                shared.is_first_relay() and shared.contacts.needs_log_contacts()
            )
        if needs_contacts:
            self._contact_addresses()

    def _merge_tables(self, address: ids.Address) -> bool:
        shared = self._shared
        with shared.lock:
            local_entries = list(shared.table.entries.values())
        try:
            envelope = shared.client.request(
                address, messages.Sync([], local_entries)
            )
        except errors.PeerError:
            return False
        shared.record_peer_version(envelope)
        if not isinstance(envelope.payload, messages.SyncReply):
            return False
        with shared.lock:
            shared.table.merge(envelope.payload.items)
            shared.joined = True
        return True

    def _merge_reply(
        self, target: entries.Member, reply: messages.GossipReply
    ) -> None:
        shared = self._shared
        now_s = time.monotonic()
        with shared.lock:
            shared.table.merge(reply.changes)
            is_equal = reply.digest == shared.table.digest()
        if is_equal or now_s < self._next_sync_s:
            return
        self._next_sync_s = now_s + SYNC_PERIOD_S
        self._sync(target)

    def _sync(self, target: entries.Member) -> None:
        shared = self._shared
        with shared.lock:
            digests = shared.table.bucket_digests()
        envelope = shared.client.request(
            target.peer_address, messages.Sync(digests)
        )
        reply = envelope.payload
        if not isinstance(reply, messages.SyncReply):
            return
        with shared.lock:
            shared.table.merge(reply.items)
            digests = shared.table.bucket_digests()
            local_entries = shared.table.entries_in_buckets(reply.buckets)
        shared.client.request(
            target.peer_address, messages.Sync(digests, local_entries)
        )

    def _probe_indirectly(self, target: entries.Member) -> None:
        shared = self._shared
        with shared.lock:
            probers = shared.membership.select_indirect_probers(target.id)
        message = messages.ProbeRequest(target.peer_address)
        for prober in probers:
            try:
                envelope = shared.client.request(
                    prober.peer_address,
                    message,
                    timeout_s=INDIRECT_PROBE_TIMEOUT_S,
                )
            except errors.PeerError:
                continue
            reply = envelope.payload
            if isinstance(reply, messages.ProbeReply) and reply.alive:
                return
        with shared.lock:
            shared.membership.on_probe_failed(target.id)

    def _is_alive(self, address: ids.Address) -> bool:
        shared = self._shared
        with shared.lock:
            digest = shared.table.digest()
        try:
            shared.client.request(
                address,
                messages.Gossip([], digest),
                timeout_s=membership.PROBE_TIMEOUT_S,
            )
        except errors.PeerError:
            return False
        return True

    def _contact_addresses(self) -> list[ids.Address]:
        cfg = self._shared.cfg
        addresses = list(cfg.seeds)
        try:
            for contacts in read_contacts(self._log):
                if contacts.region == cfg.region:
                    addresses.extend(contacts.local_addresses)
                else:
                    self._add_region_contacts(contacts)
        except errors.LogError:
            self._shared.metrics.count("buckthorn_contacts_read_failures")
        local_address = cfg.peer_address
        return [a for a in dict.fromkeys(addresses) if a != local_address]

    def _add_region_contacts(self, contacts: records.Contacts) -> None:
        entry = entries.RegionContacts(
            contacts.region, 0, 0, contacts.remote_addresses
        )
        with self._shared.lock:
            self._shared.table.put(entry)
            self._shared.contacts.add_from_log(
                contacts.region, contacts.remote_addresses, contacts.time_ms
            )


def read_contacts(log: ports.LogService) -> list[records.Contacts]:
    """Returns the contacts in the last MAX_CONTACT_RECORDS, newest first.

    Raises:
        errors.LogError: The log can't be read now.
    """
    end = log.read(records.CONTACTS_STREAM, ids.Offset(0), 1).end
    start = ids.Offset(max(0, end - MAX_CONTACT_RECORDS))
    latest: list[records.Contacts] = []
    for log_record in log.read(records.CONTACTS_STREAM, start).records:
        try:
            record = records.decode(log_record.data)
        except errors.LogError:
            continue
        if isinstance(record, records.Contacts):
            latest.append(record)
    latest.reverse()
    return latest
