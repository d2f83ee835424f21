"""Failure detection among the daemons of a region.

In each period a daemon exchanges gossip with one other member, which serves as
a probe too. The load of a daemon doesn't depend on the size of the region.
"""

import random

import msgspec

from buckthorn_core import entries
from buckthorn_core import gossip
from buckthorn_core import ids

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPECT_TIMEOUT_S = 3.0
TOMBSTONE_S = 60.0
# On average one probe in this many goes to a member declared dead, so that
# either side notices the end of a partition.
DEAD_PROBE_INTERVAL = 8
# A longer time between ticks means that this daemon was frozen.
MAX_TICK_GAP_S = 2.0

# States whose members may hold roles, the preferred one first.
_CANDIDATE_STATES = (
    entries.MemberState.UP,
    entries.MemberState.STARTING,
    entries.MemberState.DRAINING,
)


class Membership:
    """The members of a region as one daemon sees them."""

    def __init__(
        self,
        local_member: entries.Member,
        table: gossip.GossipTable,
        rng: random.Random,
    ):
        self._rng = rng
        self._table = table
        self._local = local_member
        self._probe_order: list[ids.DaemonId] = []
        # When members became suspect, or departed; steady time.
        self._suspect_since_s: dict[ids.DaemonId, float] = {}
        self._departed_since_s: dict[ids.DaemonId, float] = {}
        # Cached result of `role_candidates`; None after a change.
        self._candidates: list[ids.DaemonId] | None = None
        # Daemons whose entry changed since the last tick.
        self._changed: list[ids.DaemonId] = []
        self._last_tick_s: float | None = None
        table.received_filter = self._downgrade_death
        table.add_listener(self._on_entry)
        table.put(local_member)

    @property
    def local_member(self) -> entries.Member:
        """The record of this daemon."""
        return self._local

    def member(self, daemon: ids.DaemonId) -> entries.Member | None:
        """Returns the record of a daemon."""
        entry = self._table.entries.get(f"m/{daemon}")
        return entry if isinstance(entry, entries.Member) else None

    def members(self) -> list[entries.Member]:
        """Returns the records of all members that haven't departed."""
        return [
            entry
            for entry in self._table.entries.values()
            if isinstance(entry, entries.Member)
            and entry.state not in entries.DEPARTED_STATES
        ]

    def role_candidates(self) -> list[ids.DaemonId]:
        """Returns the members that may hold a role, sorted.

        These are the members that are up; if there are none, those that are
        starting, and otherwise those that are draining. If more members are
        suspect than not, a partition is likelier than so many deaths. Suspect
        members then keep their roles, since otherwise each daemon would assume
        all roles itself.
        """
        if self._candidates is None:
            by_state: dict[entries.MemberState, list[ids.DaemonId]] = {}
            for member in self.members():
                by_state.setdefault(member.state, []).append(member.id)
            self._candidates = []
            for state in _CANDIDATE_STATES:
                if by_state.get(state):
                    candidates = by_state[state]
                    suspects = by_state.get(entries.MemberState.SUSPECT, [])
                    if len(suspects) > len(candidates):
                        candidates = [*candidates, *suspects]
                    self._candidates = sorted(candidates)
                    break
        return self._candidates

    def update_local(self, **changes: object) -> None:
        """Changes the record of this daemon and increments its revision."""
        self._local = msgspec.structs.replace(
            self._local, revision=self._local.revision + 1, **changes
        )
        self._table.put(self._local)

    def next_probe_target(self) -> entries.Member | None:
        """Returns the member to probe next, or None without other members.

        Members are probed in a round robin in random order, and dead ones
        occasionally.
        """
        if self._rng.randrange(DEAD_PROBE_INTERVAL) == 0:
            dead = self._dead_members()
            if dead:
                return self._rng.choice(dead)
        while True:
            if not self._probe_order:
                self._probe_order = [
                    m.id for m in self.members() if not self._is_local(m)
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self.member(self._probe_order.pop())
            if (
                member is not None
                and member.state not in entries.DEPARTED_STATES
            ):
                return member

    def select_indirect_probers(
        self, target: ids.DaemonId
    ) -> list[entries.Member]:
        """Returns members that are to probe one that didn't answer."""
        others = [
            member
            for member in self.members()
            if member.id != target
            and not self._is_local(member)
            and member.state is not entries.MemberState.SUSPECT
        ]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))

    def on_probe_failed(self, target: ids.DaemonId) -> None:
        """Marks a member suspect after direct and indirect probes failed."""
        member = self.member(target)
        if member is None or member.state in entries.DEPARTED_STATES:
            return
        self._table.put(
            msgspec.structs.replace(member, state=entries.MemberState.SUSPECT)
        )

    def tick(self, now_s: float) -> None:
        """Declares members dead after the timeout and drops old tombstones.

        If this daemon was frozen, the timeouts start again, since no member
        could refute the suspicion meanwhile.
        """
        last_tick_s = now_s if self._last_tick_s is None else self._last_tick_s
        self._last_tick_s = now_s
        if now_s - last_tick_s > MAX_TICK_GAP_S:
            for daemon in self._suspect_since_s:
                self._suspect_since_s[daemon] = now_s
        for daemon in self._changed:
            self._start_timers(daemon, now_s)
        self._changed.clear()
        for daemon, since_s in list(self._suspect_since_s.items()):
            if now_s - since_s >= SUSPECT_TIMEOUT_S:
                del self._suspect_since_s[daemon]
                self._declare_dead(daemon)
        for daemon, since_s in list(self._departed_since_s.items()):
            if now_s - since_s >= TOMBSTONE_S:
                del self._departed_since_s[daemon]
                self._table.remove(f"m/{daemon}")

    def entries_to_refute(self, sender: ids.DaemonId) -> list[entries.Entry]:
        """Returns the sender's entry if it is suspect or departed here.

        The sender is to refute it.
        """
        member = self.member(sender)
        if member is None or member.state in _CANDIDATE_STATES:
            return []
        return [member]

    def _dead_members(self) -> list[entries.Member]:
        departed = [self.member(daemon) for daemon in self._departed_since_s]
        return [
            member
            for member in departed
            if member is not None
            and member.state is entries.MemberState.DEAD
            and not self._is_local(member)
        ]

    def _downgrade_death(self, entry: entries.Entry) -> entries.Entry | None:
        """Replaces a death that a peer declares by a suspicion.

        The peer may have been on the other side of a partition. If all members
        there were declared dead at once, no daemon would contact them and they
        could not refute it.
        """
        if (
            not isinstance(entry, entries.Member)
            or entry.state is not entries.MemberState.DEAD
            or self._is_local(entry)
        ):
            return entry
        known = self.member(entry.id)
        if known is None or known.state in entries.DEPARTED_STATES:
            return entry
        return msgspec.structs.replace(entry, state=entries.MemberState.SUSPECT)

    def _is_local(self, member: entries.Member) -> bool:
        return member.id == self._local.id

    def _declare_dead(self, daemon: ids.DaemonId) -> None:
        member = self.member(daemon)
        if member and member.state is entries.MemberState.SUSPECT:
            self._table.put(
                msgspec.structs.replace(member, state=entries.MemberState.DEAD)
            )

    def _start_timers(self, daemon: ids.DaemonId, now_s: float) -> None:
        member = self.member(daemon)
        if member is None:
            return
        if member.state is entries.MemberState.SUSPECT:
            self._suspect_since_s.setdefault(daemon, now_s)
        else:
            self._suspect_since_s.pop(daemon, None)
        if member.state in entries.DEPARTED_STATES:
            self._departed_since_s.setdefault(daemon, now_s)
        else:
            self._departed_since_s.pop(daemon, None)

    def _on_entry(self, entry: entries.Entry) -> None:
        if not isinstance(entry, entries.Member):
            return
        self._candidates = None
        self._changed.append(entry.id)
        if self._is_local(entry) and entry is not self._local:
            self._refute(entry)

    def _refute(self, entry: entries.Member) -> None:
        incarnation = max(self._local.incarnation, entry.incarnation)
        self._local = msgspec.structs.replace(
            self._local,
            incarnation=incarnation,
            revision=max(self._local.revision, entry.revision) + 1,
        )
        self._table.put(self._local)
