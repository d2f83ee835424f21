"""Counts of requests up the tree, and burn reports from its root.

The root is the first relay of the log's region. The second relay is its
standby: it holds a copy of the history and becomes the root when the first
one leaves.
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

# A large message is followed by a longer pause, so that no daemon sends more
# than this; the root, with 16 children and 8 regions, receives 18.4 KB/s.
BYTES_PER_S = 768
# A daemon that starts sees itself as the only member, hence as the root,
# until it has heard from others.
SETTLE_S = 5.0
COPY_TRIES = 3
COPY_TIMEOUT_S = 5.0
KEPT_BATCHES = 256
REPORT_AGE_S = 5.0
DEFAULT_LIMIT = 50

_DEFAULT_OBJECTIVE = bundles.Objective()
_Place = tuple[ids.Address, traffic.Scope]


class _Role(enum.Enum):
    MEMBER = "member"
    STANDBY = "standby"
    ROOT = "root"


class _Batch(msgspec.Struct):
    """Counts that were sent and are not acknowledged yet."""

    number: int
    slots: list[burn_counts.Interval]


class Burner:
    """Counts finished requests and takes the counts to the root."""

    def __init__(self, shared: state.State):
        self._shared = shared
        self._codec = compressors.ZstdDeltaCodec()
        # Requests take only this lock, so that large messages from children
        # don't delay them.
        self._own_lock = threading.Lock()
        self._own = burn_counts.Accumulator()
        self._below_lock = threading.Lock()
        self._below = burn_counts.Accumulator()
        self._seen: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._batch: _Batch | None = None
        self._sent_bytes = 0
        self._history_lock = threading.Lock()
        self._history: burn_history.History | None = None
        self._cache: dict[tuple[str, int], tuple[float, Any]] = {}
        self._role = _Role.MEMBER
        self._role_since_s = time.monotonic()
        self._copy_failures = 0

    # Counting.

    def finished(
        self, call: egress.Call | None, cause: str, seconds: float
    ) -> None:
        """Counts a finished request of a caller.

        Args:
            call: The request; None if it was refused before it had a route.
            cause: Code of the error; empty if it was answered well.
            seconds: Its duration.
        """
        if cause in burn_counts.NOT_COUNTED:
            return
        me = self._shared.cfg.daemon_id
        service, objective, daemon = (
            burn_counts.UNROUTED,
            _DEFAULT_OBJECTIVE,
            me,
        )
        timed: float | None = seconds
        if call is not None:
            service = call.route.service
            objective = call.snapshot.config.services[service].objective
            daemon = call.last_daemon or me
            # The caller's line decides how long a long body takes.
            timed = None if call.streams_body else seconds
        now_s = time.monotonic()
        with self._own_lock:
            self._own.count(service, objective, timed, cause, daemon, now_s)

    # Upwards.

    def wait_s(self) -> float:
        """Returns the pause before the next message, by the last one's size."""
        return max(
            self._shared.cfg.burn_report_s, self._sent_bytes / BYTES_PER_S
        )

    def run(self) -> None:
        """Sends the counts to the parent, or keeps them as the root.

        Raises:
            errors.PeerError: The parent or standby did not answer.
        """
        self._sent_bytes = 0
        role, other = self._find_role()
        if role is not self._role:
            self._role, self._role_since_s = role, time.monotonic()
        if role is _Role.MEMBER:
            self._drop_history()
        elif not self._has_history(other):
            return
        if self._batch is None:
            self._batch = self._take_batch()
        if self._batch is None:
            return
        if role is _Role.ROOT:
            self._keep(self._batch, other)
        else:
            self._send(self._batch)

    def _has_history(self, other: _Place | None) -> bool:
        if time.monotonic() - self._role_since_s < SETTLE_S:
            return False
        return self._history is not None or self._take_history(other)

    def _find_role(self) -> tuple[_Role, _Place | None]:
        """Returns the role, and where the other holder of a history is."""
        shared = self._shared
        me = shared.cfg.daemon_id
        if shared.cfg.region != shared.cfg.log_region:
            return _Role.MEMBER, None
        with shared.lock:
            relays = shared.tree().relays
            others = [daemon for daemon in relays if daemon != me]
            place = self._place(others[0]) if others else None
        if me not in relays:
            return _Role.MEMBER, None
        return (_Role.ROOT if relays[0] == me else _Role.STANDBY), place

    def _place(self, daemon: ids.DaemonId) -> _Place | None:
        member = self._shared.membership.member(daemon)
        if member is None:
            return None
        return member.peer_address, traffic.Scope.LOCAL

    def _take_batch(self) -> _Batch | None:
        now_s = time.monotonic()
        with self._own_lock:
            own = self._own.pop_all()
        with self._below_lock:
            self._below.add(burn_counts.to_aged_intervals(own, now_s), now_s)
            slots = self._below.pop_all()
        if not slots:
            return None
        return _Batch(self._shared.rng.getrandbits(63), slots)

    def _message(self, batch: _Batch, mirror: bool) -> messages.BurnReport:
        raw = burn_counts.encode(
            burn_counts.to_aged_intervals(batch.slots, time.monotonic())
        )
        data = self._codec.encode(raw, None)
        self._sent_bytes = len(data)
        return messages.BurnReport(batch.number, mirror, data)

    def _send(self, batch: _Batch) -> None:
        # The batch stays until it is acknowledged; a parent that has it
        # already recognises its number.
        places = self._above()
        if not places:
            return
        message = self._message(batch, False)
        address, scope = places[0]
        try:
            self._shared.client.request(address, message, scope)
        except errors.PeerError:
            if len(places) == 1:
                raise
            address, scope = places[1]
            self._shared.client.request(address, message, scope)
        self._batch = None

    def _keep(self, batch: _Batch, standby: _Place | None) -> None:
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
                address, self._message(batch, True), scope
            )

    def _above(self) -> list[_Place]:
        """Returns where counts go from here, the first choice first."""
        shared = self._shared
        with shared.lock:
            parent = shared.tree().parent(shared.cfg.daemon_id)
            if parent is not None:
                place = self._place(parent)
                return [] if place is None else [place]
        return self._roots()

    def _roots(self) -> list[_Place]:
        """Returns the daemons that hold a history, the root first."""
        shared = self._shared
        with shared.lock:
            if shared.cfg.region == shared.cfg.log_region:
                found = [self._place(d) for d in shared.tree().relays]
                return [place for place in found if place is not None]
            contacts = shared.table.entries.get(f"r/{shared.cfg.log_region}")
        if not isinstance(contacts, entries.RegionContacts):
            return []
        return [
            (address, traffic.Scope.REGION) for address in contacts.addresses
        ][:2]

    def on_report(
        self, message: messages.BurnReport, envelope: messages.Envelope
    ) -> messages.Payload:
        """Takes the counts of a child, or the root's copy for its standby."""
        now_s = time.monotonic()
        slices = burn_counts.decode(self._codec.decode(message.data, None))
        key = (envelope.sender, message.batch)
        with self._below_lock:
            if key in self._seen:
                return messages.Ack()
            self._seen[key] = None
            if len(self._seen) > KEPT_BATCHES:
                self._seen.popitem(last=False)
            if not message.mirror:
                self._below.add(slices, now_s)
                return messages.Ack()
        with self._history_lock:
            # Without a history the whole of it will be fetched soon.
            if self._history is not None and self._role is _Role.STANDBY:
                self._history.add(slices, now_s)
        return messages.Ack()

    # The history and reports from it.

    def _drop_history(self) -> None:
        with self._history_lock:
            self._history = None
            self._cache.clear()

    def _take_history(self, other: _Place | None) -> bool:
        """Starts a history, with the other holder's if it has one.

        Returns:
            Whether there is a history now; counts wait until then.
        """
        history = burn_history.History(time.monotonic())
        if other is not None and self._copy_failures < COPY_TRIES:
            address, scope = other
            try:
                envelope = self._shared.client.request(
                    address, messages.BurnCopy(), scope, COPY_TIMEOUT_S
                )
                if isinstance(envelope.payload, messages.BurnData):
                    copy = self._decode(
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
        """Answers with the whole history; without one there is nothing."""
        with self._history_lock:
            if self._history is None:
                return messages.Ack()
            raw = msgspec.msgpack.encode(
                self._history.export_copy(time.monotonic())
            )
        return messages.BurnData(self._codec.encode(raw, None))

    def on_query(self, message: messages.BurnQuery) -> messages.Payload:
        """Answers with a report, if this daemon has the history."""
        found = self._local_report(message.service, message.limit)
        if found is None:
            return messages.ErrorReply(
                errors.Code.PEER_UNAVAILABLE.value, "not the root"
            )
        raw = msgspec.msgpack.encode(found)
        return messages.BurnData(self._codec.encode(raw, None))

    def report(self, service: str, limit: int) -> burn_reports.Report:
        """Returns burn rates of the fleet, from the root's history.

        Raises:
            errors.PeerError: Neither the root nor its standby answered.
        """
        found = self._local_report(service, limit)
        if found is not None:
            return found
        query = messages.BurnQuery(service, limit)
        last = errors.PeerError(
            errors.Code.PEER_UNAVAILABLE, "the root is not known yet", 1.0
        )
        for address, scope in self._roots():
            try:
                envelope = self._shared.client.request(address, query, scope)
            except errors.PeerError as exc:
                last = exc
                continue
            if isinstance(envelope.payload, messages.BurnData):
                return self._decode(envelope.payload.data, burn_reports.Report)
        raise last

    def _local_report(
        self, service: str, limit: int
    ) -> burn_reports.Report | None:
        now_s = time.monotonic()
        key = (service, limit)
        with self._history_lock:
            if self._history is None:
                return None
            made_s, found = self._cache.get(key, (state.NEVER_S, None))
            if now_s - made_s < REPORT_AGE_S:
                return found
            found = burn_reports.build_report(
                self._history,
                self._shared.cfg.daemon_id,
                now_s,
                service,
                limit,
            )
            # One entry is enough for a screen that is refreshed.
            self._cache = {key: (now_s, found)}
            return found

    def _decode(self, data: bytes, target: type[Any]) -> Any:
        try:
            return msgspec.msgpack.decode(
                self._codec.decode(data, None), type=target
            )
        except msgspec.DecodeError as exc:
            raise errors.PeerError(errors.Code.BAD_MESSAGE, str(exc)) from exc
