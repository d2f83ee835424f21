"""Wires the parts of a sidecar: start, planned stop, close."""

import asyncio
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import byte_budgets
from buckthorn_core import directories
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import lifetimes
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import egress
from buckthorn_sidecar import feeds
from buckthorn_sidecar import ingress
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import listeners
from buckthorn_sidecar import settings
from buckthorn_sidecar import topic_followers

# Callers learn from two failed readiness checks, a second apart, that they
# are to go elsewhere; until then they are served.
READINESS_PROPAGATION_S = 2.3
# What is left of the grace period for the end of the process, in seconds.
SHUTDOWN_RESERVE_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# A message between regions takes 20 ms; a lost packet is sent again after
# 200 ms. In seconds.
PEER_NOTICE_S = 0.25
# An acknowledgement waits this long for the record behind it, in seconds; the
# upstream gives up after one second.
CLOSING_WRITE_TIMEOUT_S = 0.4
# Health checks of an upstream that runs when the daemon starts, and the pause
# between them in seconds. It announces itself every 1.5 s.
HEALTH_CHECKS = 3
HEALTH_CHECK_INTERVAL_S = 0.25

_logger = loguru.logger.bind(module=__name__)


class Topics(NamedTuple):
    """Where the log keeps what a sidecar needs.

    Attributes:
        configurations: Topic of configurations.
        configuration_key: Key of the configuration in it.
        members: Topic of this project's daemons.
    """

    configurations: str
    configuration_key: str
    members: str


class Sidecar:
    """The process beside an upstream."""

    def __init__(
        self,
        cfg: settings.Settings,
        mesh_headers: interfaces.MeshHeaders,
        log: interfaces.KeyedLog,
        topics: Topics,
        decode: interfaces.VersionDecoder,
    ):
        self._cfg = cfg
        self.meter = metrics.Metrics(
            traffic_counters.ThreadSafeControlTraffic()
        )
        self.holder = virtual_hosts.VersionHolder()
        self.directory = directories.Directory()
        body_budget = byte_budgets.from_host_memory(cfg.memory_mb)
        self.ingress = ingress.Ingress(
            cfg, mesh_headers, self.meter, body_budget
        )
        self._egress = egress.Egress(
            cfg,
            mesh_headers,
            self.ingress,
            self.holder,
            self.directory,
            self.meter,
        )
        self.callers = listeners.Listener(
            cfg.callers_listen, self._egress.handle, body_budget
        )
        self._link_server = links.LinkServer(cfg.daemons_listen, self.ingress)
        self.ingress.on_admission_change = lambda: self._link_server.broadcast(
            self.ingress.pong()
        )
        self._members = topic_followers.MemberApplier(
            cfg.daemon, self.directory, self._egress.forget, self.meter
        )
        applier = topic_followers.VersionApplier(
            topics.configuration_key,
            decode,
            self.holder,
            self._on_version,
            self.meter,
        )
        self._configurations = topic_followers.TopicFollower(
            log,
            topics.configurations,
            topic_followers.CONFIGURATION_WAIT_S,
            applier.on_record,
            lambda gone: None,
            self.meter,
        )
        self._member_topic = topic_followers.TopicFollower(
            log,
            topics.members,
            topic_followers.MEMBERS_WAIT_S,
            self._members.on_record,
            self._members.on_snapshot,
            self.meter,
        )
        self._feed = feeds.Feed(
            cfg,
            self._configurations,
            self._member_topic,
            self.directory,
            self._egress.links,
            self._link_server,
            lambda: self.holder.number,
            lambda: self._egress.newest_peer_version,
            self.ingress.boot_id,
        )
        self._registrar = topic_followers.Registrar(
            log, topics.members, cfg.daemon, self.directory
        )
        self._members.on_local_record = self._on_local_record
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.meter.register_gauge(
            "buckthorn_version", lambda: self.holder.number
        )
        self.meter.register_gauge(
            "buckthorn_body_bytes", lambda: body_budget.used
        )
        self.meter.register_gauge("buckthorn_ready", lambda: int(self.ready))

    @property
    def ready(self) -> bool:
        """Whether callers are to send requests here."""
        return (
            self.holder.current is not None
            and self._member_topic.synced.is_set()
            and not self._stopping
        )

    async def start(self) -> None:
        """Starts to listen and to work.

        Raises:
            OSError: An address can't be listened on.
        """
        self._egress.links.start()
        await self._link_server.start()
        await self.callers.start()
        self._configurations.start()
        self._member_topic.start()
        self._registrar.start()
        self._tasks = [
            asyncio.create_task(self._check_health()),
        ]
        self._feed.start()
        _logger.info("started", daemon=self._cfg.daemon)

    async def drain(self) -> None:
        """Stops taking work and waits for what is in flight."""
        _logger.info("draining", daemon=self._cfg.daemon)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._cfg.grace_s - SHUTDOWN_RESERVE_S
        self._stopping = True
        self.callers.drain()
        if self.ingress.lifetimes.state is lifetimes.UpstreamState.GONE:
            await self._withdraw()
        await asyncio.sleep(READINESS_PROPAGATION_S)
        self.ingress.stop_admitting()
        self.callers.stop_listening()
        # What others sent before they heard of it still gets its answer.
        await asyncio.sleep(PEER_NOTICE_S)
        while loop.time() < end_s:
            if self.ingress.idle and not self.callers.busy:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        _logger.info("drained", daemon=self._cfg.daemon)

    async def _withdraw(self) -> None:
        try:
            await self._registrar.withdraw()
        except errors.LogError as exc:
            _logger.warning("registration_failed", error=str(exc))

    def close(self) -> None:
        """Stops everything at once."""
        for task in self._tasks:
            task.cancel()
        self._feed.close()
        self._registrar.close()
        self._member_topic.close()
        self._configurations.close()
        self.callers.close()
        self._link_server.close()
        self._egress.links.close()
        self.ingress.close()
        _logger.info("stopped", daemon=self._cfg.daemon)

    async def announce(self, announcement: lifetimes.Announcement) -> None:
        """Takes an announcement of the upstream beside this daemon."""
        if announcement.service != self._cfg.service:
            _logger.warning(
                "foreign_announcement",
                instance=announcement.instance,
                service=announcement.service,
            )
            return
        change = self.ingress.announce(announcement)
        await self._register(announcement.slots, change)

    async def leave(
        self, instance: ids.InstanceId, born_ms: int | None, now_ms: int
    ) -> None:
        """Takes the word of an upstream that it leaves."""
        change = self.ingress.leave(instance, born_ms, now_ms)
        await self._register(self.ingress.queue.slots, change)

    async def _register(self, slots: int, change: lifetimes.Change) -> None:
        """Keeps this daemon's record current.

        That a lifetime leaves is written before it is acknowledged, as far as
        the log answers in time: the acknowledgement binds the daemon's next
        process too.
        """
        cfg = self._cfg
        old = self.directory.get(cfg.daemon)
        current = self.ingress.lifetimes.current
        closed = old.closed if old is not None else ids.InstanceId("")
        closed_born_ms = old.closed_born_ms if old is not None else 0
        closing = change is lifetimes.Change.CLOSED and current is not None
        if closing and current is not None:
            closed, closed_born_ms = current.instance, current.born_ms
        self._registrar.set_desired(
            directories.Registration(
                cfg.daemon,
                cfg.daemons_listen,
                cfg.service,
                cfg.site,
                cfg.region,
                slots,
                cfg.link_mbps,
                closed,
                closed_born_ms,
            )
        )
        if closing and not await self._registrar.flush(CLOSING_WRITE_TIMEOUT_S):
            _logger.warning("closing_not_written", instance=closed)

    def _on_local_record(self) -> None:
        local_record = self.directory.get(self._cfg.daemon)
        if local_record is not None and local_record.closed:
            self.ingress.leave(
                local_record.closed, local_record.closed_born_ms, 0
            )
        self._registrar.reconcile()

    async def _check_health(self) -> None:
        """Asks an upstream that runs already whether it takes work."""
        await self._member_topic.synced.wait()
        await self._configurations.synced.wait()
        for _ in range(HEALTH_CHECKS):
            version = self.holder.current
            local_record = self.directory.get(self._cfg.daemon)
            known = self.ingress.lifetimes.current is not None
            if version is None or local_record is None or known:
                return
            path = version.health_paths.get(self._cfg.service)
            if path is None:
                return
            await self.ingress.check_health(path, local_record.slots)
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def handle_readiness(self, req: http1.Request) -> http1.Response:
        """Answers whether callers are to send requests here."""
        del req
        return text_response(200 if self.ready else 503, b"")

    async def handle_metrics(self, req: http1.Request) -> http1.Response:
        """Answers with all metrics."""
        del req
        return text_response(200, self.meter.exposition())

    def _on_version(self, version: virtual_hosts.Version) -> None:
        self.callers.limits = version.limits
        self.ingress.version = version.number
        names = {route.name for route in version.routes}
        self.ingress.keep_only(names)
        self._egress.keep_only(names)


def text_response(status: int, body: bytes) -> http1.Response:
    """Returns an answer with a text."""
    response = http1.Response()
    response.status = status
    response.headers = [("Content-Type", "text/plain; version=0.0.4")]
    response.body = body
    return response
