"""Keeps the rate limits of workspaces over all daemons.

Requests take tokens that this daemon borrows from the holders of shards; this
daemon may hold shards itself. `cap_records` knows and writes who holds them.
"""

import asyncio
from collections.abc import Iterable
import random
from typing import NamedTuple

import loguru

from buckthorn_adapters import metrics
from buckthorn_core import cap_borrowing
from buckthorn_core import cap_holders
from buckthorn_core import cap_shards
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_core import virtual_hosts
from buckthorn_core import workspace_keys
from buckthorn_sidecar import cap_records
from buckthorn_sidecar import frames
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import settings

# How often records of shards are checked, in seconds.
CHECK_INTERVAL_S = 0.1
# How often waiting requests and unspent tokens are checked, in seconds.
STEP_INTERVAL_S = 0.02
# How often a candidate asks a holder whether it can be reached, in seconds.
PROBE_INTERVAL_S = 2.0
# Longest wait for a token, as a fraction of the time that the caller waits.
MAX_WAIT_FRACTION = 0.3
# Bits of the random number that the grants of a process start from.
_GRANT_BITS = 48

_logger = loguru.logger.bind(module=__name__)


class _Sent(NamedTuple):
    """A request for tokens that waits for its reply."""

    daemon: ids.DaemonId
    sent_s: float
    asks: list[cap_borrowing.Ask]


class Caps:
    """Admits requests of workspaces within their rate limits."""

    def __init__(
        self,
        cfg: settings.Settings,
        log: interfaces.KeyedLog,
        topic: str,
        table: topic_tables.TopicTable,
        directory: directories.Directory,
        pool: links.LinkPool,
        server: links.LinkServer,
        meter: metrics.Metrics,
        rng: random.Random | None = None,
    ):
        """Creates the state of a process that knows no rate limit yet.

        Args:
            cfg: The settings.
            log: The log.
            topic: The topic of members.
            table: The records of that topic.
            directory: The members.
            pool: Connections to other daemons.
            server: Accepts the connections of other daemons.
            meter: The metrics.
            rng: Source of random choices and delays.
        """
        self._cfg = cfg
        self._log = log
        self._topic = topic
        self._table = table
        self._directory = directory
        self._pool = pool
        self._meter = meter
        self._rng = rng or random.Random()
        self._terms = cap_shards.terms(
            cfg.cap_window_s, cfg.cap_overage, cfg.cap_slack
        )
        self._borrower = cap_borrowing.Borrower(self._terms, self._rng)
        self._caps: dict[ids.WorkspaceName, cap_shards.Cap] = {}
        self._holders: cap_holders.Holders | None = None
        self._records: cap_records.ShardRecords | None = None
        self._waiting: dict[
            int, asyncio.Future[cap_borrowing.Token | None]
        ] = {}
        self._dirty: set[ids.WorkspaceName] = set()
        self._flush_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._number = 0
        self._sent: dict[int, _Sent] = {}
        self._sends: set[asyncio.Task[None]] = set()
        self._last_probe_s = 0.0
        self._old_members = 0
        self._has_caps = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        pool.on_token_reply = self._on_reply
        server.on_token_request = self._on_request
        meter.register_gauge(
            "buckthorn_cap_shards", lambda: len(self.lending_shards)
        )
        meter.register_gauge(
            "buckthorn_cap_old_members", lambda: self._old_members
        )

    @property
    def lending_shards(self) -> list[int]:
        """The shards that this daemon lends from."""
        if self._holders is None:
            return []
        now_s = self._now_s()
        return [
            shard
            for shard in self._holders.shards
            if self._holders.state(shard, now_s)
            is cap_holders.ShardState.LENDING
        ]

    def start(self) -> None:
        """Starts following the records of shards."""
        now_s = asyncio.get_running_loop().time()
        self._holders = cap_holders.Holders(
            self._cfg.daemon,
            self._terms,
            now_s,
            self._cfg.converge_s,
            self._rng.getrandbits(_GRANT_BITS),
        )
        self._holders.set_caps(self._caps, now_s)
        self._records = cap_records.ShardRecords(
            self._cfg.daemon,
            self._log,
            self._topic,
            self._table,
            self._directory,
            self._holders,
            self._rng,
        )
        self._records.start(now_s)
        self._task = asyncio.create_task(self._run())

    def drain(self) -> None:
        """Takes no shard any more; those held are lent until the end."""
        if self._records is not None:
            self._records.stopping = True

    def close(self) -> None:
        """Stops lending and borrowing."""
        for task in (self._task, *self._sends):
            if task is not None:
                task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._records is not None:
            self._records.close()

    def on_version(self, version: virtual_hosts.Version) -> None:
        """Puts the rate limits of a version in force."""
        self._caps = cap_shards.caps_of(version.workspaces)
        if self._caps:
            self._has_caps.set()
        else:
            self._has_caps.clear()
            self._old_members = 0
        for ticket in self._borrower.set_caps(self._caps):
            self._resolve(ticket, None)
        if self._holders is not None:
            self._holders.set_caps(self._caps, self._now_s())

    async def acquire(
        self, workspace: workspace_keys.Workspace | None, left_s: float
    ) -> cap_borrowing.Token | None:
        """Takes a token for a request, waiting for one if necessary.

        Args:
            workspace: The workspace of the request; None without one.
            left_s: Time until the request's deadline, in seconds.

        Returns:
            The token; None for a request without a rate limit.

        Raises:
            errors.RequestError: There is no token in time.
        """
        if workspace is None or not self._borrower.is_limited(workspace.name):
            return None
        started_s = self._now_s()
        token = self._borrower.take(workspace.name, started_s)
        if token is None:
            token = await self._wait(workspace.name, started_s, left_s)
            self._meter.record("buckthorn_cap_wait", self._now_s() - started_s)
        else:
            self._mark(workspace.name)
        self._meter.count("buckthorn_cap_tokens", result="taken")
        return token

    async def _wait(
        self, workspace: ids.WorkspaceName, now_s: float, left_s: float
    ) -> cap_borrowing.Token | None:
        ticket = self._borrower.wait(
            workspace, now_s, left_s * MAX_WAIT_FRACTION
        )
        fut: asyncio.Future[cap_borrowing.Token | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ticket] = fut
        self._mark(workspace)
        return await fut

    def give_back(self, token: cap_borrowing.Token | None) -> None:
        """Takes back the token of a request that no instance ran."""
        if token is None:
            return
        returned = self._borrower.give_back(token, self._now_s())
        self._meter.count(
            "buckthorn_cap_tokens", result="returned" if returned else "lost"
        )
        if returned:
            self._mark(token.workspace)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _resolve(self, ticket: int, token: cap_borrowing.Token | None) -> None:
        fut = self._waiting.pop(ticket, None)
        if fut is not None and not fut.done():
            fut.set_result(token)
        elif token is not None:
            # The caller has disconnected.
            self._borrower.give_back(token, self._now_s())

    def _refuse(self, refusal: cap_borrowing.Refusal) -> None:
        fut = self._waiting.pop(refusal.ticket, None)
        if fut is not None and not fut.done():
            fut.set_exception(
                errors.RequestError(
                    errors.Code.RATE_LIMITED,
                    "the workspace's rate limit is reached",
                    refusal.retry_after_s,
                )
            )

    def _mark(self, workspace: ids.WorkspaceName) -> None:
        """Has a workspace stepped with others of this turn of the loop."""
        self._dirty.add(workspace)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        # Tokens of shards that this daemon holds arrive at once, and each such
        # answer may lead to the next question.
        while self._dirty:
            workspaces, self._dirty = self._dirty, set()
            self._step(workspaces)
        if self._timer is None and self._borrower.busy(self._now_s()):
            self._timer = asyncio.get_running_loop().call_later(
                STEP_INTERVAL_S, self._on_timer
            )

    def _on_timer(self) -> None:
        self._timer = None
        self._drop_lost()
        self._dirty.update(self._borrower.busy(self._now_s()))
        self._flush()

    def _step(self, workspaces: Iterable[ids.WorkspaceName]) -> None:
        now_s = self._now_s()
        step = self._borrower.step(workspaces, now_s)
        for ticket, token in step.admitted:
            self._resolve(ticket, token)
        for refusal in step.refused:
            self._refuse(refusal)
        messages: dict[
            ids.DaemonId,
            tuple[list[cap_borrowing.Ask], list[cap_borrowing.Return]],
        ] = {}
        for ask in step.asks:
            messages.setdefault(self._holder(ask.shard), ([], []))[0].append(
                ask
            )
        for unspent in step.returns:
            messages.setdefault(self._holder(unspent.shard), ([], []))[
                1
            ].append(unspent)
        for daemon, (asks, returns) in messages.items():
            if daemon == self._cfg.daemon:
                self._borrow_here(asks, returns, now_s)
            else:
                self._send(daemon, asks, returns, now_s)

    def _holder(self, shard: int) -> ids.DaemonId:
        assert self._records is not None
        record = self._records.current.get(shard)
        return ids.DaemonId("") if record is None else record.holder

    def _borrow_here(
        self,
        asks: list[cap_borrowing.Ask],
        returns: list[cap_borrowing.Return],
        now_s: float,
    ) -> None:
        """Borrows from the shards that this daemon holds."""
        for unspent in returns:
            self._take_back(*unspent)
        for ask in asks:
            grant = self._lend(*ask)
            self._borrower.on_grant(ask, grant, now_s, now_s)
            self._dirty.add(ask.workspace)

    def _lend(
        self, shard: int, workspace: ids.WorkspaceName, want: int
    ) -> cap_holders.Grant:
        if self._holders is None:
            return cap_holders.NOT_LENT
        grant = self._holders.lend(shard, workspace, want, self._now_s())
        if grant.tokens:
            self._meter.count("buckthorn_cap_lent", grant.tokens)
        return grant

    def _take_back(
        self, shard: int, workspace: ids.WorkspaceName, grant: int, count: int
    ) -> None:
        if self._holders is not None:
            self._holders.take_back(
                shard, workspace, grant, count, self._now_s()
            )

    def _send(
        self,
        daemon: ids.DaemonId,
        asks: list[cap_borrowing.Ask],
        returns: list[cap_borrowing.Return],
        now_s: float,
    ) -> None:
        """Sends a request to the holder of shards."""
        registration = self._directory.get(daemon)
        if registration is None or not registration.keeps_caps:
            for ask in asks:
                self._borrower.on_unreachable(ask, now_s)
                self._dirty.add(ask.workspace)
            return
        self._number += 1
        frame = frames.TokenRequest(
            self._number,
            [frames.TokenAsk(*ask) for ask in asks],
            [frames.TokenReturn(*unspent) for unspent in returns],
        )
        self._sent[self._number] = _Sent(daemon, now_s, asks)
        self._count_message(registration, "request")
        link = self._pool.get_or_create(registration)
        if link.is_connected:
            link.send_if_connected(frame)
            return
        task = asyncio.create_task(self._connect_and_send(link, frame))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def _connect_and_send(
        self, link: links.Link, frame: frames.TokenRequest
    ) -> None:
        try:
            await link.send(frame)
        except links.NotSentError:
            sent = self._sent.pop(frame.number, None)
            for ask in [] if sent is None else sent.asks:
                self._borrower.on_unreachable(ask, self._now_s())
                self._mark(ask.workspace)

    def _count_message(self, to: directories.Registration, kind: str) -> None:
        scope = "local" if to.region == self._cfg.region else "region"
        self._meter.count("buckthorn_cap_messages", kind=kind, scope=scope)

    def _on_request(
        self, conn: links.FrameConnection, frame: frames.TokenRequest
    ) -> None:
        """Lends tokens to another daemon."""
        for unspent in frame.returns:
            self._take_back(
                unspent.shard, unspent.workspace, unspent.grant, unspent.count
            )
        grants = [
            frames.TokenGrant(*self._lend(ask.shard, ask.workspace, ask.want))
            for ask in frame.asks
        ]
        if frame.asks or not frame.returns:
            conn.send(frames.TokenReply(frame.number, grants))

    def _on_reply(self, daemon: ids.DaemonId, frame: frames.TokenReply) -> None:
        now_s = self._now_s()
        if self._records is not None:
            self._records.reached(daemon, now_s)
        sent = self._sent.pop(frame.number, None)
        if sent is None or sent.daemon != daemon:
            return
        for ask, grant in zip(sent.asks, frame.grants, strict=False):
            self._borrower.on_grant(
                ask,
                cap_holders.Grant(grant.count, grant.grant, grant.next_s),
                sent.sent_s,
                now_s,
            )
            self._mark(ask.workspace)

    def _drop_lost(self) -> None:
        """Drops requests without a reply and closes links that are dead."""
        now_s = self._now_s()
        for number, sent in list(self._sent.items()):
            if now_s - sent.sent_s <= cap_borrowing.LOST_S:
                break
            del self._sent[number]
            registration = self._directory.get(sent.daemon)
            if sent.asks and registration is not None:
                self._pool.get_or_create(registration).close_if_dead(now_s)

    async def _run(self) -> None:
        while True:
            await self._has_caps.wait()
            try:
                self._check(self._now_s())
            except Exception:
                # Without the checks no shard would ever be lent again.
                _logger.exception("caps_failed")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, now_s: float) -> None:
        assert self._records is not None and self._holders is not None
        self._check_members()
        self._records.check(now_s)
        self._holders.check(now_s)
        self._borrower.set_distances(self._distances())
        self._drop_lost()
        if now_s - self._last_probe_s >= PROBE_INTERVAL_S:
            self._last_probe_s = now_s
            for daemon in self._records.to_probe():
                self._send(daemon, [], [], now_s)

    def _distances(self) -> dict[int, cap_borrowing.Distance]:
        """Returns the distances of the holders that may lend."""
        assert self._records is not None
        distances = {}
        for shard, record in self._records.current.items():
            if not record.active:
                continue
            registration = self._directory.get(record.holder)
            if record.holder == self._cfg.daemon:
                distances[shard] = cap_borrowing.Distance.SELF
            elif registration is None:
                continue
            elif registration.region != self._cfg.region:
                distances[shard] = cap_borrowing.Distance.FAR
            elif registration.site != self._cfg.site:
                distances[shard] = cap_borrowing.Distance.REGION
            else:
                distances[shard] = cap_borrowing.Distance.SITE
        return distances

    def _check_members(self) -> None:
        """Reports members that don't keep rate limits."""
        old = sum(not r.keeps_caps for r in self._directory.registrations)
        if bool(old) != bool(self._old_members):
            if old:
                _logger.warning("caps_not_guaranteed", members=old)
            else:
                _logger.info("caps_guaranteed")
        self._old_members = old
