"""Jobs and handlers that distribute versions along the tree."""

import time

from buckthorn_core import acks
from buckthorn_core import bundles
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import relays
from buckthorn_core import traffic
from buckthorn_daemon import reading
from buckthorn_daemon import state

REPORT_PERIOD_S = 2.0
STARTING_REPORT_PERIOD_S = 0.2
BUSY_RETRY_AFTER_MS = 100


class Distributor:
    """Distributes versions down the tree and acknowledgements up."""

    def __init__(self, shared: state.State, reader: reading.LogReader):
        self._shared = shared
        self._reader = reader
        self._remote_children: dict[ids.DaemonId, ids.Address] = {}

    # To and from the parent.

    def report_wait_s(self) -> float:
        """Returns the period of reports; shorter until the daemon is ready."""
        return (
            REPORT_PERIOD_S
            if self._shared.holder.ready
            else STARTING_REPORT_PERIOD_S
        )

    def report(self) -> None:
        """Reports to the parent, and pulls if the parent has a newer version.

        Raises:
            errors.PeerError: The parent did not answer.
        """
        shared = self._shared
        shared.update_floor()
        parent = self._parent()
        with shared.lock:
            shared.acks.note_root(shared.is_root(), time.monotonic())
        if parent is None:
            return
        address, scope = parent
        with shared.lock:
            total = shared.acks.total(shared.ready_version(), time.monotonic())
            message = messages.Report(shared.holder.version, *total)
        sent_s = time.monotonic()
        try:
            envelope = shared.client.request(address, message, scope)
        except errors.PeerError:
            if scope is traffic.Scope.REGION:
                with shared.lock:
                    shared.contacts.record_failure(shared.cfg.log_region)
            raise
        if scope is traffic.Scope.REGION:
            self._reader.log_region_contact_s = time.monotonic()
            with shared.lock:
                shared.contacts.record_success(shared.cfg.log_region)
        shared.record_peer_version(envelope)
        reply = envelope.payload
        if not isinstance(reply, messages.ReportReply):
            return
        if reply.version.number > shared.holder.version.number:
            self.pull(address, scope)
        if (
            reply.confirmed_ms >= 0
            and shared.holder.version.number >= reply.version.number
        ):
            shared.record_confirmation(sent_s - reply.confirmed_ms / 1000)
        shared.update_floor()

    def catch_up(self) -> None:
        """Pulls from a peer that is ahead if the parent doesn't deliver.

        Raises:
            errors.PeerError: The peer did not answer or sent damaged data.
            errors.ConfigError: The bundle is damaged, or a route in it refers
                to a missing service or resource.
        """
        shared = self._shared
        with shared.lock:
            source = shared.catch_up.next_source(
                shared.holder.version.number, time.monotonic()
            )
        if source is not None:
            shared.metrics.count("buckthorn_catch_ups")
            self.pull(source.address, source.scope)

    def pull(self, address: ids.Address, scope: traffic.Scope) -> None:
        """Pulls the current version of a peer and puts it in force.

        If the reply is a delta against a bundle that isn't kept here, pulls
        the whole bundle.

        Raises:
            errors.PeerError: The peer did not answer or sent damaged data.
            errors.ConfigError: The bundle is damaged, or a route in it refers
                to a missing service or resource.
        """
        shared = self._shared
        held = shared.holder.version
        reply = self._pull_once(address, scope, held)
        if reply is None or reply.version.number <= held.number:
            return
        raw = self._decode_reply(reply)
        if raw is None:
            reply = self._pull_once(address, scope, bundles.NO_VERSION)
            raw = None if reply is None else self._decode_reply(reply)
        if reply is not None and raw is not None:
            shared.apply(reply.version, raw)

    def _pull_once(
        self,
        address: ids.Address,
        scope: traffic.Scope,
        held: bundles.VersionId,
    ) -> messages.PullReply | None:
        shared = self._shared
        envelope = shared.client.request(address, messages.Pull(held), scope)
        reply = envelope.payload
        if not isinstance(reply, messages.PullReply):
            return None
        if reply.result == relays.PullResult.BUSY.value:
            time.sleep(shared.rng.random() * reply.retry_after_ms / 1000)
            return None
        return reply

    def _decode_reply(self, reply: messages.PullReply) -> bytes | None:
        with self._shared.lock:
            return self._shared.relay.decode_answer(
                relays.PullAnswer(
                    relays.PullResult(reply.result),
                    reply.version,
                    reply.based_on,
                    reply.data,
                )
            )

    def _parent(self) -> tuple[ids.Address, traffic.Scope] | None:
        shared = self._shared
        with shared.lock:
            parent = shared.tree().parent(shared.cfg.daemon_id)
            if parent is not None:
                member = shared.membership.member(parent)
                if member is None:
                    return None
                return member.peer_address, traffic.Scope.LOCAL
            if shared.cfg.region == shared.cfg.log_region:
                return None
            address = shared.region_address(shared.cfg.log_region)
        return None if address is None else (address, traffic.Scope.REGION)

    # To and from the children.

    def announce(self) -> None:
        """Announces the version in force to the children."""
        shared = self._shared
        with shared.lock:
            version = shared.holder.version
            children = shared.relay.children(time.monotonic())
            targets = [self._child_target(child) for child in children]
        message = messages.Announce(version)
        for target in targets:
            if target is None:
                continue
            address, scope = target
            try:
                shared.client.request(address, message, scope, timeout_s=0.5)
            except errors.PeerError:
                # The child learns of the version from the answer to its next
                # report.
                shared.metrics.count("buckthorn_announce_failures")

    def _child_target(
        self, child: ids.DaemonId
    ) -> tuple[ids.Address, traffic.Scope] | None:
        member = self._shared.membership.member(child)
        if member is not None:
            return member.peer_address, traffic.Scope.LOCAL
        address = self._remote_children.get(child)
        if address is None:
            return None
        return address, traffic.Scope.REGION

    def on_report(
        self, message: messages.Report, envelope: messages.Envelope
    ) -> messages.ReportReply:
        """Stores a child's report and answers with the version in force."""
        shared = self._shared
        now_s = time.monotonic()
        with shared.lock:
            shared.relay.add_child(envelope.sender, now_s)
            if envelope.region != shared.cfg.region:
                self._remote_children[envelope.sender] = envelope.address
            shared.acks.add_report(
                envelope.sender,
                acks.VersionCounts(
                    message.counts, message.laggards, message.sites
                ),
                now_s,
            )
            age_ms = -1
            if shared.confirmed_s != state.NEVER_S:
                age_ms = int((now_s - shared.confirmed_s) * 1000)
            return messages.ReportReply(shared.holder.version, age_ms)

    def on_pull(self, message: messages.Pull) -> messages.PullReply:
        """Answers a pull, or rejects it as busy beyond the rate limit."""
        shared = self._shared
        with shared.lock:
            answer = shared.relay.answer_pull(message.held, time.monotonic())
        shared.metrics.count("buckthorn_pulls", result=answer.result.value)
        return messages.PullReply(
            answer.result.value,
            answer.version,
            answer.based_on,
            answer.data,
            BUSY_RETRY_AFTER_MS
            if answer.result is relays.PullResult.BUSY
            else 0,
        )
