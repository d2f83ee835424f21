"""Lends the tokens of the shards that a daemon holds."""

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from buckthorn_core import cap_shards
from buckthorn_core import ids

# Longest time that borrowers are told to wait for a token, in seconds.
MAX_HINT_S = 1.0
# Whole tokens are counted with this tolerance.
_EPSILON = 1e-9


class Grant(NamedTuple):
    """Answer to a request for tokens.

    Attributes:
        tokens: Number of tokens.
        grant: Number of the grant, to return tokens of it.
        next_s: When to ask again for what is missing, in seconds from now;
            None if this daemon does not lend from the shard.
    """

    tokens: int
    grant: int
    next_s: float | None


NOT_LENT = Grant(0, 0, None)


class TokenBucket:
    """A token bucket whose tokens are lent and may be returned.

    At any time the tokens in the bucket and those lent within a lease are at
    most the capacity and the tokens of a lease. So in a time T at most
    `capacity + rate * (lease + T)` tokens are spent.
    """

    def __init__(self, part: cap_shards.Part, lease_s: float, now_s: float):
        """Creates an empty bucket that fills from a time on.

        Args:
            part: Rate and capacity.
            lease_s: Time in which a lent token must be spent, in seconds.
            now_s: Start, in seconds of steady time; may be in the future.
        """
        self._part = part
        self._lease_s = lease_s
        self._level = 0.0
        self._updated_s = now_s
        # Time and remaining tokens of the grants within a lease, by number.
        self._lent: dict[int, tuple[float, int]] = {}
        self._lent_count = 0
        self._promised_s = -math.inf

    def set_part(self, part: cap_shards.Part, now_s: float) -> None:
        """Changes rate and capacity from now on."""
        if part != self._part:
            self._refill(now_s)
            self._part = part
            self._refill(now_s)

    def lend(self, want: int, grant: int, now_s: float) -> Grant:
        """Lends up to a number of tokens.

        Args:
            want: Number of tokens wanted.
            grant: Number of the grant; unique.
            now_s: Steady time, in seconds.
        """
        self._refill(now_s)
        count = max(0, min(want, int(self._level + _EPSILON)))
        if count:
            self._level = max(0.0, self._level - count)
            self._lent[grant] = (now_s, count)
            self._lent_count += count
            self._promised_s = -math.inf
        next_s = 0.0
        if count < want:
            next_s = self._hint_s(now_s)
        return Grant(count, grant, next_s)

    def _hint_s(self, now_s: float) -> float:
        """Returns when to ask again; each borrower gets a time of its own."""
        rate_per_s = self._part.rate_per_s
        if rate_per_s <= 0:
            return MAX_HINT_S
        start_s = max(now_s, self._updated_s)
        free_s = start_s + (1 - self._level) / rate_per_s
        at_s = min(max(self._promised_s, free_s), now_s + MAX_HINT_S)
        self._promised_s = at_s + 1 / rate_per_s
        return max(0.0, at_s - now_s)

    def take_back(self, grant: int, count: int, now_s: float) -> int:
        """Takes unspent tokens back; returns how many.

        Tokens whose lease has ended are lost: a window might count them twice.
        """
        self._refill(now_s)
        lent_s, left = self._lent.get(grant, (0.0, 0))
        taken = max(0, min(count, left))
        if taken:
            self._lent[grant] = (lent_s, left - taken)
            self._lent_count -= taken
            self._level = min(self._part.capacity, self._level + taken)
        return taken

    def _refill(self, now_s: float) -> None:
        """Adds tokens up to now, leaving out those over the limit.

        The limit rises when a lease ends, so each such time is a step.
        """
        while self._lent:
            grant, (lent_s, count) = next(iter(self._lent.items()))
            end_s = lent_s + self._lease_s
            if end_s > now_s:
                break
            self._fill_until(end_s)
            del self._lent[grant]
            self._lent_count -= count
        self._fill_until(now_s)

    def _fill_until(self, now_s: float) -> None:
        part = self._part
        if now_s > self._updated_s:
            self._level += part.rate_per_s * (now_s - self._updated_s)
            self._updated_s = now_s
        limit = part.capacity + part.rate_per_s * self._lease_s
        self._level = max(
            0.0, min(self._level, part.capacity, limit - self._lent_count)
        )


class ShardState(enum.Enum):
    """State of a shard on its holder.

    Attributes:
        HOLDING: It waits until no earlier holder can lend.
        LENDING: It lends.
        UNCONFIRMED: It doesn't lend, as the log has not confirmed its record.
    """

    HOLDING = "holding"
    LENDING = "lending"
    UNCONFIRMED = "unconfirmed"


class _HeldShard:
    """A shard that this daemon holds; times are steady, in seconds.

    Attributes:
        active: Whether its record is active.
        epoch: Epoch of its record.
        since_s: When the record was first seen.
        lends_from_s: When tokens of an earlier process have expired.
        confirmed_s: The latest time as of which the record is known to have
            been the newest.
        buckets: Buckets by workspace.
    """

    def __init__(
        self,
        record: cap_shards.ShardRecord,
        since_s: float,
        lends_from_s: float,
    ):
        self.active = record.active
        self.epoch = record.epoch
        self.since_s = since_s
        self.lends_from_s = lends_from_s
        self.confirmed_s = -math.inf
        self.buckets: dict[ids.WorkspaceName, TokenBucket] = {}


class Holders:
    """The shards that a daemon holds."""

    def __init__(
        self,
        daemon: ids.DaemonId,
        terms: cap_shards.Terms,
        started_s: float,
        settle_s: float,
        first_grant: int = 1,
    ):
        """Creates the state of a process that holds no shard yet.

        Args:
            daemon: This daemon.
            terms: How tokens are lent.
            started_s: When the process started; steady time, in seconds.
            settle_s: Time within which all daemons know a version.
            first_grant: Number of the first grant. Processes of a daemon
                should have different ones.
        """
        self._daemon = daemon
        self._terms = terms
        self._started_s = started_s
        self._settle_s = settle_s
        self._next_grant = first_grant
        self._caps: dict[ids.WorkspaceName, cap_shards.Cap] = {}
        # Earlier caps that were divided over other shards, with the time until
        # which other holders may still have them.
        self._changed: dict[
            ids.WorkspaceName, list[tuple[cap_shards.Cap, float]]
        ] = {}
        self._held: dict[int, _HeldShard] = {}

    @property
    def shards(self) -> list[int]:
        """The shards that this daemon holds."""
        return list(self._held)

    def set_caps(
        self, caps: Mapping[ids.WorkspaceName, cap_shards.Cap], now_s: float
    ) -> None:
        """Puts the rate limits of a version in force."""
        old_caps, self._caps = self._caps, dict(caps)
        for name, cap in self._caps.items():
            old = old_caps.get(name)
            if old is None or old == cap:
                continue
            if self._shards_of(name, old) != self._shards_of(name, cap):
                self._changed.setdefault(name, []).append(
                    (old, now_s + self._settle_s)
                )
        self._update_buckets(now_s)

    def check(self, now_s: float) -> None:
        """Ends the changes of rate limits that all holders know by now."""
        if any(
            until_s <= now_s
            for changes in self._changed.values()
            for _, until_s in changes
        ):
            self._update_buckets(now_s)

    def _update_buckets(self, now_s: float) -> None:
        for name, changes in list(self._changed.items()):
            left = [change for change in changes if change[1] > now_s]
            if left and name in self._caps:
                self._changed[name] = left
            else:
                del self._changed[name]
        for shard, held in self._held.items():
            parts = {}
            for name in self._caps:
                part = self._part(shard, name)
                if part is not None:
                    parts[name] = part
            for name in set(held.buckets) - set(parts):
                del held.buckets[name]
            for name, part in parts.items():
                bucket = held.buckets.get(name)
                if bucket is None:
                    held.buckets[name] = TokenBucket(
                        part,
                        self._terms.lease_s,
                        max(now_s, held.lends_from_s),
                    )
                else:
                    bucket.set_part(part, now_s)

    def _shards_of(
        self, name: ids.WorkspaceName, cap: cap_shards.Cap
    ) -> list[int]:
        return cap_shards.shards_of(name, cap, self._terms)

    def _part(
        self, shard: int, name: ids.WorkspaceName
    ) -> cap_shards.Part | None:
        """Returns a shard's part of a rate limit; None if it has none.

        Holders learn of a version at different times. If it changes the number
        of shards, each lends the lesser of its old and new parts meanwhile, so
        that all together do not exceed both rate limits.
        """
        part = self._part_of_cap(shard, name, self._caps[name])
        for old_cap, _ in self._changed.get(name, ()):
            old = self._part_of_cap(shard, name, old_cap)
            if part is None or old is None:
                return None
            part = cap_shards.Part(
                min(part.rate_per_s, old.rate_per_s),
                min(part.capacity, old.capacity),
            )
        return part

    def _part_of_cap(
        self, shard: int, name: ids.WorkspaceName, cap: cap_shards.Cap
    ) -> cap_shards.Part | None:
        shards = self._shards_of(name, cap)
        if shard not in shards:
            return None
        return cap_shards.part_of(cap, len(shards), self._terms)

    def update(
        self,
        records: Mapping[int, cap_shards.ShardRecord],
        epoch: ids.LogEpoch,
        confirmed_s: float,
        now_s: float,
    ) -> None:
        """Applies the records of all shards.

        Args:
            records: The newest known records by shard.
            epoch: Epoch of the log that they are from.
            confirmed_s: The latest time as of which they are known to have been
                the newest; steady time, in seconds.
            now_s: Steady time, in seconds.
        """
        for shard in range(cap_shards.SHARDS):
            record = records.get(shard)
            held = self._held.get(shard)
            if record is None or record.epoch != epoch:
                # The log was restored from a copy. A holder goes on as long as
                # it would without the log, and writes its record again.
                if held is not None and not self._may_rewrite(held, now_s):
                    del self._held[shard]
            elif record.holder != self._daemon:
                self._held.pop(shard, None)
            else:
                if held is None:
                    held = _HeldShard(
                        record, now_s, self._started_s + self._terms.lease_s
                    )
                    self._held[shard] = held
                    self._update_buckets(now_s)
                held.active, held.epoch = record.active, epoch
                held.confirmed_s = max(held.confirmed_s, confirmed_s)

    def _may_rewrite(self, held: _HeldShard, now_s: float) -> bool:
        """Returns whether a record that the log has lost still counts."""
        return held.active and now_s - held.confirmed_s <= cap_shards.CONFIRM_S

    def state(self, shard: int, now_s: float) -> ShardState | None:
        """Returns the state of a shard; None if this daemon doesn't hold it."""
        held = self._held.get(shard)
        if held is None:
            return None
        if not held.active or now_s < held.lends_from_s:
            return ShardState.HOLDING
        if now_s - held.confirmed_s > cap_shards.CONFIRM_S:
            return ShardState.UNCONFIRMED
        return ShardState.LENDING

    def wanted_record(
        self, shard: int, epoch: ids.LogEpoch, now_s: float
    ) -> cap_shards.ShardRecord | None:
        """Returns the record to write for a shard; None if there is none.

        Args:
            shard: The shard.
            epoch: The log's epoch.
            now_s: Steady time, in seconds.
        """
        held = self._held.get(shard)
        if held is None:
            return None
        if held.epoch != epoch and self._may_rewrite(held, now_s):
            return cap_shards.ShardRecord(self._daemon, True, epoch)
        if (
            not held.active
            and held.epoch == epoch
            and now_s - held.since_s >= self._terms.hold_s
        ):
            return cap_shards.ShardRecord(self._daemon, True, epoch)
        return None

    def lend(
        self, shard: int, workspace: ids.WorkspaceName, want: int, now_s: float
    ) -> Grant:
        """Lends up to a number of tokens of a shard."""
        if self.state(shard, now_s) is not ShardState.LENDING:
            return NOT_LENT
        bucket = self._held[shard].buckets.get(workspace)
        if bucket is None:
            return NOT_LENT
        grant = self._next_grant
        self._next_grant += 1
        return bucket.lend(want, grant, now_s)

    def take_back(
        self,
        shard: int,
        workspace: ids.WorkspaceName,
        grant: int,
        count: int,
        now_s: float,
    ) -> int:
        """Takes unspent tokens of a grant back; returns how many."""
        held = self._held.get(shard)
        bucket = None if held is None else held.buckets.get(workspace)
        return 0 if bucket is None else bucket.take_back(grant, count, now_s)
