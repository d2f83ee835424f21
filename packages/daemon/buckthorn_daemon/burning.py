"""Sends counts of requests up the tree; the root reports burn rates.

The root is the first relay of the log's region. The second relay is its
standby: it keeps a copy of the history and becomes the root when the first
relay leaves.
"""

import collections
import enum
import threading
import time
from typing import Any

import msgspec

from buckthorn_adapters import compressors
from buckthorn_core import bundles
from buckthorn_core import burn_counts
from buckthorn_core import burn_history
from buckthorn_core import burn_reports
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic
from buckthorn_daemon import egress
from buckthorn_daemon import state

# Limits what a daemon sends on average: the pause after a message grows with
# its size. The root, with 16 children and 8 regions, receives up to 18.4 KB/s.
MAX_BYTES_PER_S = 768
# A starting daemon is the only member in its table, and therefore the root,
# until it has received entries of others.
STARTUP_WAIT_S = 5.0
MAX_COPY_ATTEMPTS = 3
COPY_TIMEOUT_S = 5.0
MAX_REMEMBERED_BATCHES = 256
REPORT_CACHE_S = 5.0
DEFAULT_SERVICE_LIMIT = 50

_DEFAULT_OBJECTIVE = bundles.Objective()
_Target = tuple[ids.Address, traffic.Scope]


class _Role(enum.Enum):
    MEMBER = "member"
    STANDBY = "standby"
    ROOT = "root"


class _Batch(msgspec.Struct):
    """Counts that the parent or the history has not accepted yet.

    Attributes:
        number: Random number by which a receiver recognises a repetition.
        slots: The counts by interval.
    """

    number: int
    slots: list[burn_counts.Interval]


class BurnAggregator:
    """Counts finished requests and sends the counts towards the root."""

    def __init__(self, shared: state.State):
        self._shared = shared
        self._codec = compressors.ZstdDeltaCodec()
        # Requests acquire only this lock, so that large messages from children
        # don't delay them.
        self._local_lock = threading.Lock()
        self._local_counts = burn_counts.Accumulator()
        self._subtree_lock = threading.Lock()
        self._subtree_counts = burn_counts.Accumulator()
        self._received_batches: collections.OrderedDict[
            tuple[str, int], None
        ] = collections.OrderedDict()
        self._batch: _Batch | None = None
        self._last_sent_bytes = 0
        self._history_lock = threading.Lock()
        self._history: burn_history.History | None = None
        self._report_cache: dict[tuple[str, int], tuple[float, Any]] = {}
        self._role = _Role.MEMBER
        self._role_changed_s = time.monotonic()
        self._copy_failures = 0

    # Counts of local callers.

    def count_request(
        self, ctx: egress.RequestContext | None, cause: str, seconds: float
    ) -> None:
        """Counts a finished request of a caller.

        Args:
            ctx: The request; None if it was refused before it had a route.
            cause: Code of the error; empty if the request succeeded.
            seconds: Its duration in seconds.
        """
        if cause in burn_counts.NOT_COUNTED:
            return
        local_daemon = self._shared.cfg.daemon_id
        service, objective, daemon = (
            burn_counts.UNROUTED,
            _DEFAULT_OBJECTIVE,
            local_daemon,
        )
        latency_s: float | None = seconds
        if ctx is not None:
            service = ctx.route.service
            objective = ctx.snapshot.config.services[service].objective
            daemon = ctx.last_daemon or local_daemon
            # The duration of a streamed body depends on the caller's link.
            latency_s = None if ctx.streams_body else seconds
        now_s = time.monotonic()
        with self._local_lock:
            self._local_counts.count(
                service, objective, latency_s, cause, daemon, now_s
            )

    # To and from other daemons.

    def wait_s(self) -> float:
        """Returns the pause before the next run, by the size last sent."""
        return max(
            self._shared.cfg.burn_report_s,
            self._last_sent_bytes / MAX_BYTES_PER_S,
        )

    def run(self) -> None:
        """Sends the counts to the parent, or stores them if this is the root.

        Raises:
            errors.PeerError: The parent or the standby did not answer.
        """
        self._last_sent_bytes = 0
        role, other_holder = self._find_role()
        if role is not self._role:
            self._role, self._role_changed_s = role, time.monotonic()
        if role is _Role.MEMBER:
            self._drop_history()
        elif not self._ensure_history(other_holder):
            return
        if self._batch is None:
            self._batch = self._make_batch()
        if self._batch is None:
            return
        if role is _Role.ROOT:
            self._add_to_history(self._batch, other_holder)
        else:
            self._send_to_parent(self._batch)

    def _ensure_history(self, other_holder: _Target | None) -> bool:
        if time.monotonic() - self._role_changed_s < STARTUP_WAIT_S:
            return False
        return self._history is not None or self._fetch_history(other_holder)

    def _find_role(self) -> tuple[_Role, _Target | None]:
        """Returns the role and the target of the other holder of a history."""
        shared = self._shared
        local_daemon = shared.cfg.daemon_id
        if shared.cfg.region != shared.cfg.log_region:
            return _Role.MEMBER, None
        with shared.lock:
            relays = shared.tree().relays
            others = [daemon for daemon in relays if daemon != local_daemon]
            target = self._target_of(others[0]) if others else None
        if local_daemon not in relays:
            return _Role.MEMBER, None
        return (
            _Role.ROOT if relays[0] == local_daemon else _Role.STANDBY
        ), target

    def _target_of(self, daemon: ids.DaemonId) -> _Target | None:
        member = self._shared.membership.member(daemon)
        if member is None:
            return None
        return member.peer_address, traffic.Scope.LOCAL

    def _make_batch(self) -> _Batch | None:
        now_s = time.monotonic()
        with self._local_lock:
            local_intervals = self._local_counts.pop_all()
        with self._subtree_lock:
            self._subtree_counts.add(
                burn_counts.to_aged_intervals(local_intervals, now_s), now_s
            )
            intervals = self._subtree_counts.pop_all()
        if not intervals:
            return None
        return _Batch(self._shared.rng.getrandbits(63), intervals)

    def _make_report(self, batch: _Batch, mirror: bool) -> messages.BurnReport:
        raw = burn_counts.encode(
            burn_counts.to_aged_intervals(batch.slots, time.monotonic())
        )
        data = self._codec.encode(raw, None)
        self._last_sent_bytes = len(data)
        return messages.BurnReport(batch.number, mirror, data)

    def _send_to_parent(self, batch: _Batch) -> None:
        # The batch is sent again until it is acknowledged. A parent that has
        # received it before recognises its number.
        targets = self._parent_targets()
        if not targets:
            return
        message = self._make_report(batch, False)
        address, scope = targets[0]
        try:
            self._shared.client.request(address, message, scope)
        except errors.PeerError:
            if len(targets) == 1:
                raise
            address, scope = targets[1]
            self._shared.client.request(address, message, scope)
        self._batch = None

    def _add_to_history(self, batch: _Batch, standby: _Target | None) -> None:
        now_s = time.monotonic()
        with self._history_lock:
            assert self._history is not None
            self._history.add(
                burn_counts.to_aged_intervals(batch.slots, now_s), now_s
            )
        self._batch = None
        if standby is not None:
            address, scope = standby
            self._shared.client.request(
                address, self._make_report(batch, True), scope
            )

    def _parent_targets(self) -> list[_Target]:
        """Returns the targets for counts in order of preference."""
        shared = self._shared
        with shared.lock:
            parent = shared.tree().parent(shared.cfg.daemon_id)
            if parent is not None:
                target = self._target_of(parent)
                return [] if target is None else [target]
        return self._history_targets()

    def _history_targets(self) -> list[_Target]:
        """Returns the targets that hold a history, the root first."""
        shared = self._shared
        with shared.lock:
            if shared.cfg.region == shared.cfg.log_region:
                targets = [self._target_of(d) for d in shared.tree().relays]
                return [target for target in targets if target is not None]
            contacts = shared.table.entries.get(f"r/{shared.cfg.log_region}")
        if not isinstance(contacts, entries.RegionContacts):
            return []
        return [
            (address, traffic.Scope.REGION) for address in contacts.addresses
        ][:2]

    def on_report(
        self, message: messages.BurnReport, envelope: messages.Envelope
    ) -> messages.Payload:
        """Stores counts of a child, or a copy of those of the root.

        The root mirrors each of its batches to its standby.
        """
        now_s = time.monotonic()
        intervals = burn_counts.decode(self._codec.decode(message.data, None))
        key = (envelope.sender, message.batch)
        with self._subtree_lock:
            if key in self._received_batches:
                return messages.Ack()
            self._received_batches[key] = None
            if len(self._received_batches) > MAX_REMEMBERED_BATCHES:
                self._received_batches.popitem(last=False)
            if not message.mirror:
                self._subtree_counts.add(intervals, now_s)
                return messages.Ack()
        with self._history_lock:
            # A standby without a history fetches the whole of it next.
            if self._history is not None and self._role is _Role.STANDBY:
                self._history.add(intervals, now_s)
        return messages.Ack()

    # History and reports.

    def _drop_history(self) -> None:
        with self._history_lock:
            self._history = None
            self._report_cache.clear()

    def _fetch_history(self, other_holder: _Target | None) -> bool:
        """Creates a history from that of the other holder, if it has one.

        After MAX_COPY_ATTEMPTS failures, starts with an empty history.

        Returns:
            Whether there is a history now. Counts are kept until then.
        """
        history = burn_history.History(time.monotonic())
        if other_holder is not None and self._copy_failures < MAX_COPY_ATTEMPTS:
            address, scope = other_holder
            try:
                envelope = self._shared.client.request(
                    address, messages.BurnCopy(), scope, COPY_TIMEOUT_S
                )
                if isinstance(envelope.payload, messages.BurnData):
                    copy = self._decode_reply(
                        envelope.payload.data, burn_history.HistoryCopy
                    )
                    history.replace_if_longer(copy, time.monotonic())
            except errors.PeerError:
                self._copy_failures += 1
                self._shared.metrics.count("buckthorn_burn_copy_failures")
                return False
        self._copy_failures = 0
        with self._history_lock:
            self._history = history
        return True

    def on_copy(self) -> messages.Payload:
        """Answers with the whole history, or with an Ack if there is none."""
        with self._history_lock:
            if self._history is None:
                return messages.Ack()
            raw = msgspec.msgpack.encode(
                self._history.export_copy(time.monotonic())
            )
        return messages.BurnData(self._codec.encode(raw, None))

    def on_query(self, message: messages.BurnQuery) -> messages.Payload:
        """Answers with a report, or with an error if there is no history."""
        report = self._local_report(message.service, message.limit)
        if report is None:
            return messages.ErrorReply(
                errors.Code.PEER_UNAVAILABLE.value, "not the root"
            )
        raw = msgspec.msgpack.encode(report)
        return messages.BurnData(self._codec.encode(raw, None))

    def report(self, service: str, limit: int) -> burn_reports.Report:
        """Returns burn rates of the fleet, from the root's history.

        Args:
            service: Service to report alone; empty reports all.
            limit: Largest number of services; the most urgent ones are
                reported.

        Raises:
            errors.PeerError: Neither the root nor its standby answered.
        """
        report = self._local_report(service, limit)
        if report is not None:
            return report
        query = messages.BurnQuery(service, limit)
        last_error = errors.PeerError(
            errors.Code.PEER_UNAVAILABLE, "the root is not known yet", 1.0
        )
        for address, scope in self._history_targets():
            try:
                envelope = self._shared.client.request(address, query, scope)
            except errors.PeerError as exc:
                last_error = exc
                continue
            if isinstance(envelope.payload, messages.BurnData):
                return self._decode_reply(
                    envelope.payload.data, burn_reports.Report
                )
        raise last_error

    def _local_report(
        self, service: str, limit: int
    ) -> burn_reports.Report | None:
        now_s = time.monotonic()
        key = (service, limit)
        with self._history_lock:
            if self._history is None:
                return None
            built_s, report = self._report_cache.get(key, (state.NEVER_S, None))
            if now_s - built_s < REPORT_CACHE_S:
                return report
            report = burn_reports.build_report(
                self._history,
                self._shared.cfg.daemon_id,
                now_s,
                service,
                limit,
            )
            # One entry suffices for a page that repeats the same query.
            self._report_cache = {key: (now_s, report)}
            return report

    def _decode_reply(self, data: bytes, reply_type: type[Any]) -> Any:
        try:
            return msgspec.msgpack.decode(
                self._codec.decode(data, None), type=reply_type
            )
        except msgspec.DecodeError as exc:
            raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc
