"""Borrows tokens of rate limits from the holders of shards.

A request takes a token that the daemon has borrowed, or waits for one. Tokens
are borrowed for requests that wait and, where there is much demand, ahead of
it. Holders nearby are asked first. All times are steady, in seconds.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
import random
from typing import NamedTuple

from buckthorn_core import cap_holders
from buckthorn_core import cap_shards
from buckthorn_core import event_rates
from buckthorn_core import ids

# Longest wait of a request for a token, in seconds: a lost packet in the own
# region, and a round trip to another one.
MAX_WAIT_S = 0.3
# Tokens are borrowed ahead for the demand of this time, in seconds.
AHEAD_S = 0.1
# Time without an answer after which other holders are asked as well, and after
# which a holder is not asked for BLOCKED_S, in seconds.
SLOW_S = 0.06
SLOW_FAR_S = 0.15
LOST_S = 0.5
BLOCKED_S = 0.5
# Shortest time between two requests to a shard that lacked tokens, in seconds.
MIN_REPEAT_S = 0.06
# The same for one in another region that lent nothing and promised its next
# tokens to others: its own region uses them up, and each question crosses the
# link between regions. A lone borrower is told at most the time of one token.
FAR_REPEAT_S = 0.5
CONTENDED_TOKENS = 1.5
# Unspent tokens are returned this long before they expire, in seconds.
RETURN_S = 0.12
# Bounds of Retry-After, in seconds, and its value if no holder is known.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 5.0
NO_HOLDER_RETRY_S = 1.0
# Callers that are refused are spread over at least this part of the rate.
MIN_SHARE = 0.05


class Distance(enum.IntEnum):
    """Distance to the holder of a shard; nearer ones are asked first."""

    SELF = 0
    SITE = 1
    REGION = 2
    FAR = 3


class Token(NamedTuple):
    """A token that a request has taken.

    Attributes:
        workspace: The workspace.
        shard: The shard that it was borrowed from.
        grant: Number of the grant.
        expires_s: End of its lease.
    """

    workspace: ids.WorkspaceName
    shard: int
    grant: int
    expires_s: float


class Ask(NamedTuple):
    """A request for tokens of a shard.

    Attributes:
        shard: The shard.
        workspace: The workspace.
        want: Number of tokens.
    """

    shard: int
    workspace: ids.WorkspaceName
    want: int


class Return(NamedTuple):
    """Unspent tokens to give back to a shard."""

    shard: int
    workspace: ids.WorkspaceName
    grant: int
    tokens: int


class Refusal(NamedTuple):
    """A waiting request that gets no token.

    Attributes:
        ticket: Number of the waiting request.
        retry_after_s: When a token will be free, in seconds from now.
    """

    ticket: int
    retry_after_s: float


class Step(NamedTuple):
    """What to do next.

    Attributes:
        asks: Tokens to ask for.
        returns: Tokens to return.
        admitted: Waiting requests that got a token, by ticket.
        refused: Waiting requests that get none.
    """

    asks: list[Ask]
    returns: list[Return]
    admitted: list[tuple[int, Token]]
    refused: list[Refusal]


class _Lot:
    """Borrowed tokens of one grant."""

    __slots__ = ("count", "expires_s", "grant", "shard")

    def __init__(self, shard: int, grant: int, count: int, expires_s: float):
        self.shard = shard
        self.grant = grant
        self.count = count
        self.expires_s = expires_s


class _Source:
    """A shard as a source of a workspace's tokens.

    Attributes:
        asked: Tokens asked for without an answer yet.
        sent_s: When they were asked for.
        empty_until_s: Until when the shard is taken to lack tokens.
    """

    __slots__ = ("asked", "empty_until_s", "sent_s")

    def __init__(self) -> None:
        self.asked = 0
        self.sent_s = -math.inf
        self.empty_until_s = -math.inf


class _Routes:
    """Which shards can be asked.

    Attributes:
        distances: Distance of the holder by shard; shards without an active
            holder are missing.
        blocked_until_s: Until when a holder is taken to be unreachable, by
            shard.
    """

    def __init__(self) -> None:
        self.distances: dict[int, Distance] = {}
        self.blocked_until_s: dict[int, float] = {}

    def is_blocked(self, shard: int, now_s: float) -> bool:
        return (
            shard not in self.distances
            or self.blocked_until_s.get(shard, -math.inf) > now_s
        )

    def is_far(self, shard: int) -> bool:
        return self.distances.get(shard) is Distance.FAR

    def slow_s(self, shard: int) -> float:
        return SLOW_FAR_S if self.is_far(shard) else SLOW_S


class _Wallet:
    """Borrowed tokens and waiting requests of a workspace."""

    def __init__(
        self,
        workspace: ids.WorkspaceName,
        cap: cap_shards.Cap,
        shards: list[int],
        routes: _Routes,
        rng: random.Random,
    ):
        self._workspace = workspace
        self.cap = cap
        self._routes = routes
        self._rng = rng
        self._sources = {shard: _Source() for shard in shards}
        self._lots: list[_Lot] = []
        self.waiting: collections.deque[tuple[int, float]] = collections.deque()
        self._demand = event_rates.EventRate()
        self._spent = event_rates.EventRate()
        self._promised_s = -math.inf

    def set_cap(self, cap: cap_shards.Cap, shards: list[int]) -> None:
        self.cap = cap
        self._sources = {s: self._sources.get(s, _Source()) for s in shards}

    def is_idle(self, now_s: float) -> bool:
        """Returns whether there is nothing to do until the next request."""
        return not (
            self.waiting
            or self._lots
            or any(s.asked for s in self._sources.values())
        )

    def take(self, now_s: float) -> Token | None:
        """Takes a token, the one that expires first."""
        self._drop_expired(now_s)
        if not self._lots:
            return None
        lot = min(self._lots, key=lambda lot: lot.expires_s)
        lot.count -= 1
        if not lot.count:
            self._lots.remove(lot)
        self._spent.add(now_s)
        return Token(self._workspace, lot.shard, lot.grant, lot.expires_s)

    def count_request(self, now_s: float) -> None:
        self._demand.add(now_s)

    def put(
        self, shard: int, grant: int, count: int, expires_s: float, now_s: float
    ) -> bool:
        """Adds tokens; returns whether they can still be spent."""
        if count <= 0 or expires_s <= now_s:
            return False
        self._lots.append(_Lot(shard, grant, count, expires_s))
        return True

    def on_grant(
        self,
        shard: int,
        grant: cap_holders.Grant,
        expires_s: float,
        now_s: float,
    ) -> None:
        source = self._sources.get(shard)
        if source is not None:
            if grant.next_s is None:
                source.empty_until_s = now_s + BLOCKED_S
            elif grant.tokens < source.asked:
                repeat_s = MIN_REPEAT_S
                if not grant.tokens and self._is_contended(shard, grant.next_s):
                    repeat_s = FAR_REPEAT_S
                source.empty_until_s = now_s + max(repeat_s, grant.next_s)
            source.asked = 0
        self.put(shard, grant.grant, grant.tokens, expires_s, now_s)

    def _is_contended(self, shard: int, next_s: float) -> bool:
        """Returns whether others borrow all tokens of a far shard."""
        rate_per_s = self.cap.rate_per_s / len(self._sources)
        return (
            self._routes.is_far(shard)
            and next_s * rate_per_s > CONTENDED_TOKENS
        )

    def on_lost(self, shard: int) -> None:
        source = self._sources.get(shard)
        if source is not None:
            source.asked = 0

    def step(self, now_s: float, step: Step) -> None:
        self._drop_expired(now_s)
        for shard, source in self._sources.items():
            if source.asked and now_s - source.sent_s > LOST_S:
                source.asked = 0
                self._routes.blocked_until_s[shard] = now_s + BLOCKED_S
        while self.waiting:
            token = self.take(now_s)
            if token is None:
                break
            step.admitted.append((self.waiting.popleft()[0], token))
        self._ask(now_s, step)
        self._refuse(now_s, step)
        self._return(now_s, step)

    def _drop_expired(self, now_s: float) -> None:
        if any(lot.expires_s <= now_s for lot in self._lots):
            self._lots = [lot for lot in self._lots if lot.expires_s > now_s]

    def _demand_for(self, seconds: float, now_s: float) -> float:
        rate_per_s = min(self._demand.per_second(now_s), self.cap.rate_per_s)
        return rate_per_s * seconds

    def _expected(self, now_s: float) -> int:
        """Returns how many tokens answers that are not late may bring."""
        return sum(
            source.asked
            for shard, source in self._sources.items()
            if now_s - source.sent_s <= self._routes.slow_s(shard)
        )

    def _can_ask(self, shard: int, now_s: float) -> bool:
        source = self._sources[shard]
        return (
            not source.asked
            and source.empty_until_s <= now_s
            and not self._routes.is_blocked(shard, now_s)
        )

    def _ask(self, now_s: float, step: Step) -> None:
        """Asks the nearest holders for what is missing."""
        ahead = int(self._demand_for(AHEAD_S, now_s))
        held = sum(lot.count for lot in self._lots)
        missing = len(self.waiting) + ahead - held - self._expected(now_s)
        if missing <= 0 or (not self.waiting and missing * 2 < ahead):
            return
        nearer_failed = False
        for distance in Distance:
            group = [
                shard
                for shard in self._sources
                if self._routes.distances.get(shard) is distance
            ]
            askable = [s for s in group if self._can_ask(s, now_s)]
            nearer_failed |= len(askable) < len(group)
            if not askable:
                continue
            self._rng.shuffle(askable)
            if not nearer_failed:
                askable = askable[:missing]
            want = -(-missing // len(askable))
            for shard in askable:
                source = self._sources[shard]
                source.asked, source.sent_s = want, now_s
                step.asks.append(Ask(shard, self._workspace, want))
            return

    def _refuse(self, now_s: float, step: Step) -> None:
        """Refuses requests that have waited too long or in vain."""
        while self.waiting and self.waiting[0][1] <= now_s:
            self._refuse_one(self.waiting.popleft()[0], now_s, step)
        if not self.waiting or self._expected(now_s):
            return
        until_s = self.waiting[0][1]
        soon = sum(at_s <= until_s for at_s in self._free_times(now_s))
        while len(self.waiting) > soon:
            self._refuse_one(self.waiting.pop()[0], now_s, step)

    def _free_times(self, now_s: float) -> list[float]:
        """Returns when each shard is expected to have a token."""
        return [
            max(
                now_s,
                source.empty_until_s,
                self._routes.blocked_until_s.get(shard, -math.inf),
            )
            for shard, source in self._sources.items()
            if shard in self._routes.distances
        ]

    def _refuse_one(self, ticket: int, now_s: float, step: Step) -> None:
        """Refuses a request and names a time of its own for the next try."""
        free_s = min(self._free_times(now_s), default=now_s + NO_HOLDER_RETRY_S)
        rate_per_s = min(
            self.cap.rate_per_s,
            max(self._spent.per_second(now_s), MIN_SHARE * self.cap.rate_per_s),
        )
        at_s = min(
            max(free_s, self._promised_s, now_s + MIN_RETRY_AFTER_S),
            now_s + MAX_RETRY_AFTER_S,
        )
        self._promised_s = at_s + 1 / rate_per_s
        step.refused.append(Refusal(ticket, at_s - now_s))

    def _return(self, now_s: float, step: Step) -> None:
        """Returns tokens that would expire unspent."""
        if not self._lots or self.waiting:
            return
        held = sum(lot.count for lot in self._lots)
        surplus = held - math.ceil(self._demand_for(RETURN_S, now_s))
        for lot in list(self._lots):
            count = min(lot.count, surplus)
            if lot.expires_s - now_s > RETURN_S or count <= 0:
                continue
            surplus -= count
            lot.count -= count
            if not lot.count:
                self._lots.remove(lot)
            step.returns.append(
                Return(lot.shard, self._workspace, lot.grant, count)
            )


class Borrower:
    """A daemon's borrowed tokens of all workspaces."""

    def __init__(self, terms: cap_shards.Terms, rng: random.Random):
        """Creates a borrower without tokens.

        Args:
            terms: How tokens are lent.
            rng: Chooses among holders at the same distance.
        """
        self._terms = terms
        self._rng = rng
        self._routes = _Routes()
        self._wallets: dict[ids.WorkspaceName, _Wallet] = {}
        self._tickets = 0

    def set_caps(
        self, caps: Mapping[ids.WorkspaceName, cap_shards.Cap]
    ) -> list[int]:
        """Puts the rate limits of a version in force.

        Returns:
            Tickets of requests that wait for a token of a rate limit that has
            ended.
        """
        released = []
        for name in set(self._wallets) - set(caps):
            wallet = self._wallets.pop(name)
            released += [ticket for ticket, _ in wallet.waiting]
        for name, cap in caps.items():
            shards = cap_shards.shards_of(name, cap, self._terms)
            known = self._wallets.get(name)
            if known is None:
                self._wallets[name] = _Wallet(
                    name, cap, shards, self._routes, self._rng
                )
            elif known.cap != cap:
                known.set_cap(cap, shards)
        return released

    def set_distances(self, distances: Mapping[int, Distance]) -> None:
        """Sets the distances of the active holders by shard."""
        self._routes.distances = dict(distances)

    def unblock(self, shard: int) -> None:
        """Asks a holder again at once, as it may have changed."""
        self._routes.blocked_until_s.pop(shard, None)

    def is_limited(self, workspace: ids.WorkspaceName) -> bool:
        """Returns whether requests of a workspace need a token."""
        return workspace in self._wallets

    def take(self, workspace: ids.WorkspaceName, now_s: float) -> Token | None:
        """Takes a token for a new request, if one is here and nobody waits."""
        wallet = self._wallets[workspace]
        wallet.count_request(now_s)
        return None if wallet.waiting else wallet.take(now_s)

    def wait(
        self, workspace: ids.WorkspaceName, now_s: float, wait_s: float
    ) -> int:
        """Lets a request wait for a token; returns its ticket.

        Args:
            workspace: The workspace.
            now_s: Steady time, in seconds.
            wait_s: Longest wait, in seconds.
        """
        self._tickets += 1
        until_s = now_s + min(wait_s, MAX_WAIT_S)
        self._wallets[workspace].waiting.append((self._tickets, until_s))
        return self._tickets

    def give_back(self, token: Token, now_s: float) -> bool:
        """Takes the token of a request that did not run.

        Returns:
            Whether it can be spent again; false after the end of its lease.
        """
        wallet = self._wallets.get(token.workspace)
        return wallet is not None and wallet.put(
            token.shard, token.grant, 1, token.expires_s, now_s
        )

    def on_grant(
        self,
        ask: Ask,
        grant: cap_holders.Grant,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Applies the answer of a holder.

        The lease counts from when the tokens were asked for, which is before
        they were lent.
        """
        self._routes.blocked_until_s.pop(ask.shard, None)
        wallet = self._wallets.get(ask.workspace)
        if wallet is not None:
            wallet.on_grant(
                ask.shard, grant, sent_s + self._terms.lease_s, now_s
            )

    def on_unreachable(self, ask: Ask, now_s: float) -> None:
        """Records that an ask did not reach the holder."""
        self._routes.blocked_until_s[ask.shard] = now_s + BLOCKED_S
        wallet = self._wallets.get(ask.workspace)
        if wallet is not None:
            wallet.on_lost(ask.shard)

    def busy(self, now_s: float) -> list[ids.WorkspaceName]:
        """Returns the workspaces that need regular steps."""
        return [n for n, w in self._wallets.items() if not w.is_idle(now_s)]

    def step(
        self, workspaces: Iterable[ids.WorkspaceName], now_s: float
    ) -> Step:
        """Returns what to do next for some workspaces."""
        step = Step([], [], [], [])
        for name in workspaces:
            wallet = self._wallets.get(name)
            if wallet is not None:
                wallet.step(now_s, step)
        return step
