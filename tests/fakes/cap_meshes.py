"""Daemons that keep rate limits, on a virtual clock and without a network.

They run the wiring of the sidecar against a fake log and fake links, whose
messages are delayed, lost, cut off or delivered late.
"""

import asyncio
import bisect
import collections
import random
import selectors

from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import topic_tables
from buckthorn_core import virtual_hosts
from buckthorn_core import workspace_keys
from buckthorn_sidecar import caps
from buckthorn_sidecar import frames
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import settings

TOPIC = "members"
WORKSPACE = ids.WorkspaceName("choir")
LIMITS = virtual_hosts.CallerLimits(1, 1, 1.0, 1.0)
# One-way latencies in a zone, between zones and between regions, in seconds.
LATENCY_S = (0.001, 0.003, 0.02)
LOG_LATENCY_S = 0.004
# What a packet that is lost and sent again takes in addition, in seconds.
RESENT_S = 0.2
# How often a daemon reads the topic, in seconds.
FOLLOW_S = 0.3
CALL_TIMEOUT_S = 2.0


class _Selector(selectors.DefaultSelector):
    """Advances a virtual clock instead of waiting."""

    now_s = 0.0

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes as fast as its work is done."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


def run(main):
    """Runs a coroutine on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class Log:
    """The log of members, as one daemon sees it."""

    def __init__(self, mesh, daemon):
        self._mesh = mesh
        self._daemon = daemon

    async def _travel(self):
        await asyncio.sleep(LOG_LATENCY_S + self._mesh.delay_s())
        if not self._mesh.log_answers(self._daemon):
            await asyncio.sleep(self._mesh.rng.random() * CALL_TIMEOUT_S)
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "away")

    async def position(self, topic, last_key):
        del topic, last_key
        await self._travel()
        end, epoch = len(self._mesh.records), self._mesh.epoch
        now_s = asyncio.get_running_loop().time()
        await self._travel()
        return interfaces.Position(ids.Offset(end), now_s, epoch)

    async def read(self, topic, start, wait_s):
        del topic, wait_s
        await self._travel()
        mesh = self._mesh
        if start > len(mesh.records):
            return None
        batch = interfaces.Batch(
            list(mesh.records[start:]),
            ids.Offset(len(mesh.records)),
            asyncio.get_running_loop().time(),
            mesh.epoch,
        )
        await self._travel()
        return batch

    async def append(self, topic, key, value, at=None):
        del topic
        mesh = self._mesh
        await self._travel()
        if mesh.rng.random() < mesh.late_appends:
            # Taken for lost, and takes effect later.
            asyncio.get_running_loop().call_later(
                mesh.rng.random() * 6, mesh.append, key, value, at
            )
            raise errors.LogError(errors.Code.LOG_UNAVAILABLE, "lost")
        offset = mesh.append(key, value, at)
        await self._travel()
        if offset is None:
            raise errors.LogError(errors.Code.LOG_MOVED_ON, "moved on")
        return topic_tables.Place(mesh.epoch, offset)


class Link:
    """A link between two daemons."""

    def __init__(self, mesh, sender, peer):
        self._mesh = mesh
        self._sender = sender
        self._peer = peer

    @property
    def is_connected(self):
        return self._mesh.can_connect(self._sender, self._peer)

    def send_if_connected(self, frame):
        if self.is_connected:
            self._mesh.send(self._sender, self._peer, frame, self._on_reply)

    async def send(self, frame):
        await asyncio.sleep(links.CONNECT_TIMEOUT_S)
        if not self.is_connected:
            raise links.NotSentError(self._peer)
        self.send_if_connected(frame)

    def close_if_dead(self, now_s):
        del now_s
        return False

    def _on_reply(self, frame):
        process = self._mesh.processes.get(self._sender)
        if process is not None:
            process.pool.on_token_reply(self._peer, frame)


class Pool:
    """The links of a daemon."""

    def __init__(self, mesh, daemon):
        self._mesh = mesh
        self._daemon = daemon
        self.on_token_reply = None

    def get_or_create(self, registration):
        return Link(self._mesh, self._daemon, registration.daemon)


class Server:
    """Takes the requests for tokens of other daemons."""

    on_token_request = None


class Connection:
    """Carries the reply to a request."""

    def __init__(self, mesh, sender, receiver, on_reply):
        self._mesh = mesh
        self._ends = sender, receiver
        self._on_reply = on_reply

    def send(self, frame):
        self._mesh.deliver(*self._ends, frame, self._on_reply)


class Process:
    """A process of a daemon, from its start until it is killed."""

    def __init__(self, mesh, registration):
        self._mesh = mesh
        self.daemon = registration.daemon
        self.table = topic_tables.TopicTable()
        self.directory = directories.Directory()
        for member in mesh.members.values():
            self.directory.put(member)
        self.pool, self.server = Pool(mesh, self.daemon), Server()
        cfg = settings.Settings(
            daemon=self.daemon,
            site=registration.site,
            region=registration.region,
            service=registration.service,
            converge_s=3.0,
            **dict.fromkeys(
                (
                    "upstream_address",
                    "callers_listen",
                    "daemons_listen",
                    "control_listen",
                    "ready_listen",
                ),
                ids.Address(""),
            ),
        )
        self.caps = caps.Caps(
            cfg,
            Log(mesh, self.daemon),
            TOPIC,
            self.table,
            self.directory,
            self.pool,
            self.server,
            metrics.Metrics(traffic_counters.ThreadSafeControlTraffic()),
            random.Random(mesh.rng.getrandbits(32)),
        )
        self.version = 0
        self._tasks = []

    def start(self):
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._follow()),
            loop.create_task(self._follow_versions()),
        ]
        self.caps.start()

    def close(self):
        for task in self._tasks:
            task.cancel()
        self.caps.close()

    async def _follow(self):
        """Keeps the table up to date, with the delay of the feed."""
        mesh = self._mesh
        while True:
            if mesh.log_answers(self.daemon):
                table, start = self.table, self.table.next_offset
                end = ids.Offset(len(mesh.records))
                if start is None or table.epoch != mesh.epoch:
                    newest = {r.key: r for r in mesh.records}
                    table.replace(newest.values(), end, mesh.epoch)
                else:
                    table.put(list(mesh.records[start:]), end)
            await asyncio.sleep(FOLLOW_S * (0.2 + mesh.rng.random()))

    async def _follow_versions(self):
        while True:
            await asyncio.sleep(0.05 + 2.5 * self._mesh.rng.random())
            self.apply_version()

    def apply_version(self):
        number, rate_per_s, burst = self._mesh.version
        if number == self.version:
            return
        self.version = number
        self.caps.on_version(
            virtual_hosts.Version(
                ids.VersionNumber(number),
                (),
                {},
                LIMITS,
                workspaces=(workspace(rate_per_s, burst),),
            )
        )


def workspace(rate_per_s, burst):
    return workspace_keys.Workspace(WORKSPACE, ("k",), 0, rate_per_s, burst)


class Mesh:
    """Daemons in two regions of two zones each.

    Attributes:
        processes: Running processes by daemon.
        version: Number of the version in force, with rate and burst.
        records: Records of the log.
        log_down: Whether the log does not answer.
        cuts: Pairs of daemons that can't reach each other, or a daemon and
            `log`. They must be sorted.
        loss: Probability that a packet is sent again.
        late_appends: Probability that an append takes effect late.
        runs: Times at which requests ran.
        refusals: Times at which they were refused, with Retry-After.
        messages: Number of frames by whether they cross regions.
    """

    def __init__(self, seed, daemons=6, rate_per_s=40.0, burst=20.0):
        self.rng = random.Random(seed)
        self.processes = {}
        self.version = (1, rate_per_s, burst)
        self.records = []
        self.epoch = ids.LogEpoch(1)
        self.log_down = False
        self.cuts = set()
        self.loss = 0.0
        self.late_appends = 0.0
        self.runs = []
        self.refusals = []
        self.messages = collections.Counter()
        self.frame_bytes = collections.Counter()
        self.members = {}
        self._requests = set()
        self._held_back = []
        for n in range(daemons):
            self.add(n)

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def add(self, n):
        daemon = ids.DaemonId(f"d-{n}")
        self.members[daemon] = directories.Registration(
            daemon,
            ids.Address("127.0.0.1:1"),
            ids.ServiceName("s"),
            ids.SiteName(f"z{n % 4}"),
            ids.RegionName(f"r{n % 2}"),
            4,
            keeps_caps=True,
        )
        for process in self.processes.values():
            process.directory.put(self.members[daemon])
        return daemon

    def start(self, daemon):
        if daemon not in self.processes:
            process = Process(self, self.members[daemon])
            self.processes[daemon] = process
            process.apply_version()
            process.start()

    def kill(self, daemon):
        process = self.processes.pop(daemon, None)
        if process is not None:
            process.close()

    def close(self):
        for daemon in list(self.processes):
            self.kill(daemon)
        for task in self._requests:
            task.cancel()

    def append(self, key, value, at):
        if at is not None and at != len(self.records):
            return None
        offset = ids.Offset(len(self.records))
        self.records.append(topic_tables.Record(key, value, offset))
        return offset

    def restore(self, records):
        """Brings the log back from a copy."""
        self.records = list(records)
        self.epoch = ids.LogEpoch(self.epoch + 1)

    def delay_s(self):
        return RESENT_S if self.rng.random() < self.loss else 0.0

    def log_answers(self, daemon):
        return not self.log_down and (daemon, "log") not in self.cuts

    def is_cut(self, a, b):
        return tuple(sorted((a, b))) in self.cuts

    def can_connect(self, a, b):
        return b in self.processes and not self.is_cut(a, b)

    def heal(self):
        """Ends all cuts; frames that were held back arrive late."""
        self.cuts.clear()
        held_back, self._held_back = self._held_back, []
        for args in held_back:
            self.deliver(*args)

    def send(self, sender, receiver, frame, on_reply):
        target = self.processes.get(receiver)

        def receive(delivered):
            if self.processes.get(receiver) is target is not None:
                target.server.on_token_request(
                    Connection(self, receiver, sender, on_reply), delivered
                )

        self.deliver(sender, receiver, frame, receive)

    def deliver(self, sender, receiver, frame, receive):
        if self.is_cut(sender, receiver):
            self._held_back.append((sender, receiver, frame, receive))
            return
        data = frames.encode(frame)
        (decoded,) = frames.FrameReader().feed(data)
        a, b = self.members[sender], self.members[receiver]
        crosses = a.region != b.region
        self.messages[crosses] += 1
        self.frame_bytes[crosses] += len(data)
        distance = 2 if crosses else int(a.site != b.site)
        delay_s = LATENCY_S[distance] * (1 + self.rng.random())
        asyncio.get_running_loop().call_later(
            delay_s + self.delay_s(), receive, decoded
        )

    async def request(self, daemon, not_run=0.0):
        """Sends a caller's request, of which some are not run."""
        process = self.processes.get(daemon)
        if process is None:
            return
        _, rate_per_s, burst = self.version
        try:
            token = await process.caps.acquire(
                workspace(rate_per_s, burst), 2.0
            )
        except errors.RequestError as exc:
            self.refusals.append((self.now_s, exc.retry_after_s))
            return
        if self.rng.random() < not_run:
            await asyncio.sleep(self.rng.random() * 0.5)
            process.caps.give_back(token)
            return
        self.runs.append(self.now_s)

    async def demand(self, daemons, per_s, seconds, not_run=0.0, within=False):
        """Sends requests to some daemons for a time, in seconds.

        Args:
            daemons: The daemons.
            per_s: Requests per second.
            seconds: Duration.
            not_run: Fraction that no instance runs.
            within: Whether to leave out requests above the rate limit.
        """
        _, rate_per_s, burst = self.version
        level, at_s = max(1.0, burst), self.now_s
        end_s = self.now_s + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.now_s >= end_s:
                return
            level += (self.now_s - at_s) * rate_per_s
            level, at_s = min(level, max(1.0, burst)), self.now_s
            if within and level < 1:
                continue
            level -= 1
            task = asyncio.create_task(
                self.request(self.rng.choice(daemons), not_run)
            )
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def lending(self):
        """Returns how many shards are lent."""
        return len(self.lent_shards())

    def lent_shards(self):
        """Returns the shards that are lent, once for each lender."""
        return [
            shard
            for process in self.processes.values()
            for shard in process.caps.lending_shards
        ]


def count_from(times_s, n, window_s=5.0):
    """Returns the events in the window that begins with the n-th one."""
    return bisect.bisect_left(times_s, times_s[n] + window_s) - n


def allowed(rate_per_s, burst, window_s=5.0):
    """Returns the most runs in one window."""
    return (rate_per_s * window_s + burst) * 1.1 + 20
