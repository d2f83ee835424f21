"""Announcements of an upstream, and the lifetime that they describe.

Announcements may arrive late, repeated and out of order. A lifetime is
identified by an instance id and its start time; within a lifetime, the
sequence number orders the announcements. Draining and leaving are final for a
lifetime.

A process that has just started doesn't know which leavings an earlier process
acknowledged: it may have been killed before its record was written. Until such
a process has seen the upstream healthy, or has run for longer than an
announcement can be delayed, an announcement that the upstream is ready may be
older than an acknowledged leaving, and no request is sent on it.
"""

import enum
from typing import Annotated

import msgspec

from buckthorn_core import foreign_values
from buckthorn_core import ids

# Most ids of ended lifetimes that are remembered.
MAX_ENDED = 256
# Most closed lifetimes that a daemon's record holds.
MAX_RECORDED = 4
# Longest delay of an announcement, in seconds: one that arrives later than
# this after the start of a process was sent in the time of that process.
MAX_ANNOUNCEMENT_DELAY_S = 10.0
# Start of a lifetime in ms since the epoch; -1 if not known.
BornMs = Annotated[int, msgspec.Meta(ge=-1, le=foreign_values.MAX_COUNT)]
_UNKNOWN = ids.ServiceName("")


class UpstreamState(enum.Enum):
    """State of an upstream's lifetime."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(msgspec.Struct, frozen=True):
    """Announcement of an upstream.

    Attributes:
        instance: Id of the instance.
        born_ms: When this lifetime started, in ms since the epoch.
        sequence: Increases with each announcement of a lifetime.
        service: Service of the upstream.
        address: Address that it listens on.
        slots: Number of requests that it runs concurrently.
        state: READY or DRAINING.
        warmup_left_s: Remaining warm-up time, in seconds.
        software_version: Version of its software; empty if not known.
    """

    instance: ids.InstanceId
    born_ms: int
    sequence: int
    service: ids.ServiceName
    address: ids.Address
    slots: int
    state: UpstreamState
    warmup_left_s: float
    software_version: str = ""


class ClosedLifetime(msgspec.Struct, frozen=True, array_like=True):
    """A lifetime that must not get requests any more.

    Attributes:
        instance: Id of the instance.
        born_ms: When the lifetime started at the latest, in ms since the
            epoch.
    """

    instance: ids.InstanceId
    born_ms: BornMs


class Change(enum.Enum):
    """Effect of an announcement on the known lifetime.

    CLOSED means that the upstream has ceased to accept requests.
    """

    NOTHING = "nothing"
    UPDATED = "news"
    NEW_LIFETIME = "new_lifetime"
    CLOSED = "closed"


class LifetimeTracker:
    """Tracks the lifetime of the upstream beside this daemon.

    Attributes:
        current: Latest valid announcement of the newest lifetime.
        state: State of that lifetime; GONE if none is known.
        verified: Whether announcements alone show that the upstream is not
            leaving: this process has seen it healthy, or has run for longer
            than MAX_ANNOUNCEMENT_DELAY_S.
    """

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.state = UpstreamState.GONE
        self.verified = False
        self._ended: dict[ids.InstanceId, int] = {}

    @property
    def accepts_requests(self) -> bool:
        """Whether the upstream accepts new requests."""
        return self.verified and self.state is UpstreamState.READY

    @property
    def needs_health_check(self) -> bool:
        """Whether only a health check is missing to send requests."""
        return not self.verified and self.state is UpstreamState.READY

    def verify(self, instance: ids.InstanceId) -> bool:
        """Applies a successful health check of the announced upstream.

        Args:
            instance: Instance id in the answer.

        Returns:
            Whether it is the instance of the current lifetime.
        """
        current = self.current
        if current is None or current.instance != instance:
            return False
        self.verified = True
        return True

    def apply_announcement(self, announcement: Announcement) -> Change:
        """Applies an announcement."""
        old = self.current
        if announcement.born_ms <= self._ended.get(announcement.instance, -1):
            return Change.NOTHING
        if old is None or _is_later(announcement, old):
            self.current = announcement
            self.state = announcement.state
            return Change.NEW_LIFETIME
        same_lifetime = (announcement.instance, announcement.born_ms) == (
            old.instance,
            old.born_ms,
        )
        if not same_lifetime:
            if announcement.state is not UpstreamState.READY:
                self._remember_end(announcement.instance, announcement.born_ms)
            return Change.NOTHING
        if announcement.sequence <= old.sequence:
            return Change.NOTHING
        self.current = announcement
        if self.state is UpstreamState.READY is not announcement.state:
            self.state = announcement.state
            return Change.CLOSED
        return Change.UPDATED

    def infer_from_health(
        self, instance: ids.InstanceId, slots: int, address: ids.Address
    ) -> Change:
        """Applies a successful health check before the first announcement.

        Args:
            instance: Instance id in the answer.
            slots: Number of slots, as far as known.
            address: Address that the upstream listens on.
        """
        if self.current is not None or instance in self._ended:
            return Change.NOTHING
        self.current = Announcement(
            instance, -1, -1, _UNKNOWN, address, slots, UpstreamState.READY, 0.0
        )
        self.state = UpstreamState.READY
        self.verified = True
        return Change.NEW_LIFETIME

    def end(
        self,
        instance: ids.InstanceId,
        born_ms: int | None,
        now_ms: int,
        state: UpstreamState = UpstreamState.GONE,
    ) -> Change:
        """Ends a lifetime.

        Args:
            instance: Id of the instance.
            born_ms: When the lifetime started, in ms since the epoch; None
                if unknown.
            now_ms: Time in ms since the epoch. For an instance that is not
                the current one, an end without a start time ends all
                lifetimes that started before now.
            state: State of the lifetime from now on: GONE, or DRAINING if the
                upstream still answers.
        """
        old = self.current
        is_current = old is not None and old.instance == instance
        if old is not None and is_current:
            # The start of a lifetime inferred from a health check is unknown.
            known_ms = old.born_ms if old.born_ms >= 0 else now_ms
            ended_ms = known_ms if born_ms is None else born_ms
        else:
            ended_ms = now_ms if born_ms is None else born_ms
        self._remember_end(instance, ended_ms)
        if old is None or not is_current or old.born_ms > ended_ms:
            return Change.NOTHING
        if self.state in (UpstreamState.GONE, state):
            return Change.NOTHING
        self.state = state
        return Change.CLOSED

    def _remember_end(self, instance: ids.InstanceId, born_ms: int) -> None:
        if born_ms <= self._ended.get(instance, -1):
            return
        self._ended.pop(instance, None)
        self._ended[instance] = born_ms
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def has_ended(self, instance: ids.InstanceId, born_ms: int) -> bool:
        """Returns whether a lifetime is known to have ended."""
        return born_ms <= self._ended.get(instance, -1)

    def recently_closed(self) -> list[ClosedLifetime]:
        """Returns the lifetimes that were closed last, the latest at the end.

        A restarted daemon needs them to keep these lifetimes closed.
        """
        closed = dict(self._ended)
        current = self.current
        if current is not None and self.state is not UpstreamState.READY:
            start_ms = self.last_start_ms(current.instance)
            closed.pop(current.instance, None)
            closed[current.instance] = start_ms
        return [
            ClosedLifetime(instance, born_ms)
            for instance, born_ms in list(closed.items())[-MAX_RECORDED:]
        ]

    def last_start_ms(self, instance: ids.InstanceId) -> int:
        """Returns when an instance's last known lifetime started at the latest.

        Args:
            instance: Id of the instance.

        Returns:
            Time in ms since the epoch; -1 if unknown.
        """
        current = self.current
        is_current = current is not None and current.instance == instance
        born_ms = current.born_ms if current and is_current else -1
        return max(born_ms, self._ended.get(instance, -1))


def _is_later(announcement: Announcement, old: Announcement) -> bool:
    return announcement.born_ms > old.born_ms
