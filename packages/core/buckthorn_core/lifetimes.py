"""What an upstream says of itself, and which of its lifetimes counts.

Announcements arrive late, repeated and out of order. A lifetime is an id with
the time of its start; within a lifetime the sequence number orders what it
says. Draining and leaving are final for a lifetime.
"""

import enum

import msgspec

from buckthorn_core import ids

# Ids of lifetimes that left before they were known here.
MAX_LEFT = 256
_UNKNOWN = ids.ServiceName("")


class UpstreamState(enum.Enum):
    """State of an upstream's lifetime."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(msgspec.Struct, frozen=True):
    """What an upstream says of itself.

    Attributes:
        instance: Its id.
        born_ms: When this lifetime started, in ms since the epoch.
        sequence: Rises with each announcement of a lifetime.
        service: Its service.
        address: Where it listens.
        slots: How many requests it runs at the same time.
        state: READY or DRAINING.
        warmup_left_s: How much longer it stays slow, in seconds.
    """

    instance: ids.InstanceId
    born_ms: int
    sequence: int
    service: ids.ServiceName
    address: ids.Address
    slots: int
    state: UpstreamState
    warmup_left_s: float


class Change(enum.Enum):
    """What an announcement changed."""

    NOTHING = "nothing"
    UPDATED = "news"
    NEW_LIFETIME = "new_lifetime"
    CLOSED = "closed"


class LifetimeTracker:
    """The lifetime of the upstream beside this daemon.

    Attributes:
        current: The last valid announcement of the newest lifetime.
        state: State of that lifetime; GONE if none is known.
    """

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.state = UpstreamState.GONE
        self._left: dict[ids.InstanceId, int] = {}

    @property
    def accepts_requests(self) -> bool:
        """Whether the upstream may get new requests."""
        return self.state is UpstreamState.READY

    def apply_announcement(self, announcement: Announcement) -> Change:
        """Applies an announcement."""
        old = self.current
        if announcement.born_ms <= self._left.get(announcement.instance, -1):
            return Change.NOTHING
        if old is None or _is_later(announcement, old):
            self.current = announcement
            self.state = announcement.state
            return Change.NEW_LIFETIME
        same = (announcement.instance, announcement.born_ms) == (
            old.instance,
            old.born_ms,
        )
        if not same or announcement.sequence <= old.sequence:
            return Change.NOTHING
        self.current = announcement
        if self.state is UpstreamState.READY is not announcement.state:
            self.state = announcement.state
            return Change.CLOSED
        return Change.UPDATED

    def infer_from_health(
        self, instance: ids.InstanceId, slots: int, address: ids.Address
    ) -> Change:
        """Applies a good health answer, until the upstream announces itself.

        Args:
            instance: The id in the answer.
            slots: How many requests it runs, as far as known.
            address: Where it listens.
        """
        if self.current is not None or instance in self._left:
            return Change.NOTHING
        self.current = Announcement(
            instance, -1, -1, _UNKNOWN, address, slots, UpstreamState.READY, 0.0
        )
        self.state = UpstreamState.READY
        return Change.NEW_LIFETIME

    def end(
        self, instance: ids.InstanceId, born_ms: int | None, now_ms: int
    ) -> Change:
        """Ends a lifetime.

        Args:
            instance: Its id.
            born_ms: When it started; None if it did not say.
            now_ms: Time of day in ms. An unknown lifetime without a start
                ends all that started before now.
        """
        old = self.current
        known = old is not None and old.instance == instance
        if old is not None and known:
            ended_ms = old.born_ms if born_ms is None else born_ms
        else:
            ended_ms = now_ms if born_ms is None else born_ms
        self._left[instance] = max(ended_ms, self._left.get(instance, -1))
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
        if old is None or not known or old.born_ms > ended_ms:
            return Change.NOTHING
        if self.state is UpstreamState.GONE:
            return Change.NOTHING
        self.state = UpstreamState.GONE
        return Change.CLOSED


def _is_later(announcement: Announcement, old: Announcement) -> bool:
    return announcement.born_ms > old.born_ms
