"""Failure detection between daemons of a region.

Each period a daemon exchanges gossip with one member, which is also the
probe. The load per daemon does not depend on the size of the region.
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
# One probe in so many goes to a member that is taken for dead, so that a
# partition that heals is noticed from either side.
DEAD_PROBE_INTERVAL = 8
# A longer pause between ticks means that this daemon was frozen.
MAX_TICK_GAP_S = 2.0

_ELIGIBLE = (
    entries.MemberState.UP,
    entries.MemberState.STARTING,
    entries.MemberState.DRAINING,
)


class Membership:
    """The members of a region as one daemon sees them."""

    def __init__(
        self, me: entries.Member, table: gossip.GossipTable, rng: random.Random
    ):
        self._rng = rng
        self._table = table
        self._local = me
        self._order: list[ids.DaemonId] = []
        self._suspected: dict[ids.DaemonId, float] = {}
        self._gone: dict[ids.DaemonId, float] = {}
        self._live: list[ids.DaemonId] | None = None
        self._changed: list[ids.DaemonId] = []
        self._ticked_s: float | None = None
        table.received_filter = self._downgrade_death
        table.add_listener(self._on_entry)
        table.put(me)

    @property
    def local_member(self) -> entries.Member:
        """The own record."""
        return self._local

    def member(self, daemon: ids.DaemonId) -> entries.Member | None:
        """Returns the record of a daemon."""
        entry = self._table.entries.get(f"m/{daemon}")
        return entry if isinstance(entry, entries.Member) else None

    def members(self) -> list[entries.Member]:
        """Returns the records of all members that are not gone."""
        return [
            entry
            for entry in self._table.entries.values()
            if isinstance(entry, entries.Member)
            and entry.state not in entries.DEPARTED_STATES
        ]

    def role_candidates(self) -> list[ids.DaemonId]:
        """Returns the members that may hold a role, sorted.

        Members that are up come first; only without any of them may those
        that start, and then those that leave, hold roles. When most are
        suspected, a cut or a partition that heals is likelier than so many
        deaths, so they keep their roles: else each member would take all.
        """
        if self._live is None:
            by_state: dict[entries.MemberState, list[ids.DaemonId]] = {}
            for member in self.members():
                by_state.setdefault(member.state, []).append(member.id)
            self._live = []
            for state in _ELIGIBLE:
                if by_state.get(state):
                    live = by_state[state]
                    suspects = by_state.get(entries.MemberState.SUSPECT, [])
                    if len(suspects) > len(live):
                        live = [*live, *suspects]
                    self._live = sorted(live)
                    break
        return self._live

    def update_local(self, **changes: object) -> None:
        """Changes the own record and raises its revision."""
        self._local = msgspec.structs.replace(
            self._local, revision=self._local.revision + 1, **changes
        )
        self._table.put(self._local)

    def next_probe_target(self) -> entries.Member | None:
        """Returns the member to probe next; all get their turn."""
        if self._rng.randrange(DEAD_PROBE_INTERVAL) == 0:
            dead = self._dead_members()
            if dead:
                return self._rng.choice(dead)
        while True:
            if not self._order:
                self._order = [
                    m.id for m in self.members() if not self._is_local(m)
                ]
                self._rng.shuffle(self._order)
            if not self._order:
                return None
            member = self.member(self._order.pop())
            if (
                member is not None
                and member.state not in entries.DEPARTED_STATES
            ):
                return member

    def select_indirect_probers(
        self, target: ids.DaemonId
    ) -> list[entries.Member]:
        """Returns members to ask for a probe of one that didn't answer."""
        others = [
            member
            for member in self.members()
            if member.id != target
            and not self._is_local(member)
            and member.state is not entries.MemberState.SUSPECT
        ]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))

    def on_probe_failed(self, target: ids.DaemonId) -> None:
        """Suspects a member that neither direct nor indirect probes reach."""
        member = self.member(target)
        if member is None or member.state in entries.DEPARTED_STATES:
            return
        self._table.put(
            msgspec.structs.replace(member, state=entries.MemberState.SUSPECT)
        )

    def tick(self, now_s: float) -> None:
        """Turns old suspicions into deaths and drops old tombstones.

        Time in which this daemon was frozen gave nobody a chance to refute.
        """
        ticked_s = now_s if self._ticked_s is None else self._ticked_s
        self._ticked_s = now_s
        if now_s - ticked_s > MAX_TICK_GAP_S:
            for daemon in self._suspected:
                self._suspected[daemon] = now_s
        for daemon in self._changed:
            self._start_timers(daemon, now_s)
        self._changed.clear()
        for daemon, since in list(self._suspected.items()):
            if now_s - since >= SUSPECT_TIMEOUT_S:
                del self._suspected[daemon]
                self._declare_dead(daemon)
        for daemon, since in list(self._gone.items()):
            if now_s - since >= TOMBSTONE_S:
                del self._gone[daemon]
                self._table.remove(f"m/{daemon}")

    def entries_to_refute(self, sender: ids.DaemonId) -> list[entries.Entry]:
        """Returns what a sender must hear: that it is taken for gone."""
        member = self.member(sender)
        if member is None or member.state in _ELIGIBLE:
            return []
        return [member]

    def _dead_members(self) -> list[entries.Member]:
        found = [self.member(daemon) for daemon in self._gone]
        return [
            member
            for member in found
            if member is not None
            and member.state is entries.MemberState.DEAD
            and not self._is_local(member)
        ]

    def _downgrade_death(self, entry: entries.Entry) -> entries.Entry | None:
        """Takes a death that a peer declares as a suspicion at first.

        The peer may have been on the other side of a partition. If all were
        taken for dead at once, nobody would be left to tell them.
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
            self._suspected.setdefault(daemon, now_s)
        else:
            self._suspected.pop(daemon, None)
        if member.state in entries.DEPARTED_STATES:
            self._gone.setdefault(daemon, now_s)
        else:
            self._gone.pop(daemon, None)

    def _on_entry(self, entry: entries.Entry) -> None:
        if not isinstance(entry, entries.Member):
            return
        self._live = None
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
