"""Assembles a sidecar and controls its start, drain and stop."""

import asyncio
from collections.abc import Iterator
import contextlib
import math
import os
import resource
import sys
from typing import NamedTuple

import loguru

from buckthorn_adapters import http1
from buckthorn_adapters import metrics
from buckthorn_adapters import traffic_counters
from buckthorn_core import byte_budgets
from buckthorn_core import connection_limits
from buckthorn_core import directories
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import lifetimes
from buckthorn_core import topic_tables
from buckthorn_core import virtual_hosts
from buckthorn_sidecar import caps
from buckthorn_sidecar import egress
from buckthorn_sidecar import feeds
from buckthorn_sidecar import frames
from buckthorn_sidecar import ingress
from buckthorn_sidecar import interfaces
from buckthorn_sidecar import links
from buckthorn_sidecar import listeners
from buckthorn_sidecar import recorders
from buckthorn_sidecar import settings
from buckthorn_sidecar import topic_followers
from buckthorn_sidecar import trials

# Callers switch to another daemon after two failed readiness checks, a second
# apart; until then their requests are served.
READINESS_PROPAGATION_S = 2.3
# Part of the grace period that is reserved for the exit of the process, in
# seconds.
SHUTDOWN_RESERVE_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# Time for other daemons to learn that this one has stopped admitting requests,
# in seconds: a frame between regions takes 20 ms, and a lost packet is sent
# again after 200 ms.
PEER_NOTICE_S = 0.25
# How long the acknowledgement of a leaving upstream waits until its record is
# written, in seconds; the upstream's own timeout is one second.
CLOSING_WRITE_TIMEOUT_S = 0.4
# Number of health checks of an upstream that is already running when the daemon
# starts, and the pause between them in seconds. An upstream announces itself
# every 1.5 s.
HEALTH_CHECKS = 3
HEALTH_CHECK_INTERVAL_S = 0.25
# How long an acknowledgement waits for a health check, in seconds.
HEALTH_CHECK_WAIT_S = 0.4
# Size of the secret with which keys of workspaces are hashed.
SECRET_BYTES = 32

_logger = loguru.logger.bind(module=__name__)


class Topics(NamedTuple):
    """The topics and keys that a sidecar reads from the log.

    Attributes:
        configurations: The configuration topic.
        configuration_key: Key of the configuration records.
        members: The topic of the daemons' registrations.
        trial_prefix: Prefix of the keys of trials of versions; orders are in
            the configuration topic. Empty if there are no trials.
        trial_results: The topic of the results of trials.
    """

    configurations: str
    configuration_key: str
    members: str
    trial_prefix: str = ""
    trial_results: str = ""


class Sidecar:
    """A daemon beside an upstream.

    Attributes:
        meter: The metrics.
        holder: The configuration version in force.
        directory: The members.
        ingress: Runs requests on the upstream.
        callers: Serves the callers on this host.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        mesh_headers: interfaces.MeshHeaders,
        log: interfaces.KeyedLog,
        topics: Topics,
        decode: interfaces.VersionDecoder,
        trial_codec: interfaces.TrialCodec | None = None,
    ):
        self._cfg = cfg
        self.meter = metrics.Metrics(
            traffic_counters.ThreadSafeControlTraffic()
        )
        self.holder = virtual_hosts.VersionHolder(os.urandom(SECRET_BYTES))
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
            cfg.callers_listen,
            self._egress.handle,
            body_budget,
            connection_limits.max_connections(
                _max_descriptors(cfg.max_descriptors), body_budget.limit
            ),
            self.meter,
        )
        self._link_server = links.LinkServer(
            cfg.daemons_listen, self.ingress, self.ingress.bodies
        )
        self.ingress.on_admission_change = lambda: self._link_server.broadcast(
            self.ingress.pong()
        )
        self.ingress.on_upstream_closed = self._on_upstream_closed
        self._member_applier = topic_followers.MemberApplier(
            cfg.daemon, self.directory, self._egress.remove, self.meter
        )
        self._version_applier = applier = topic_followers.VersionApplier(
            topics.configuration_key,
            decode,
            self.holder,
            self._on_version,
            self.meter,
        )
        self._configuration_follower = topic_followers.TopicFollower(
            log,
            topics.configurations,
            topic_followers.CONFIGURATION_WAIT_S,
            self._on_configuration_record,
            lambda removed_keys: None,
            self.meter,
            applier.revision_of,
        )
        self._member_follower = topic_followers.TopicFollower(
            log,
            topics.members,
            topic_followers.MEMBERS_WAIT_S,
            self._member_applier.on_record,
            self._member_applier.on_snapshot,
            self.meter,
            self._member_applier.revision_of,
            topic_followers.FED_MEMBERS_DELAY_S,
        )
        self._feed = feeds.Feed(
            cfg,
            self._configuration_follower,
            self._member_follower,
            self.directory,
            self._egress.links,
            self._link_server,
            lambda: self.holder.number,
            lambda: (
                self._egress.newest_peer_version,
                self._egress.newest_peer,
            ),
            self.ingress.boot_id,
        )
        self._caps = caps.Caps(
            cfg,
            log,
            topics.members,
            self._member_follower.table,
            self.directory,
            self._egress.links,
            self._link_server,
            self.meter,
        )
        self._egress.caps = self._caps
        self._trials = trials.Trials(
            cfg,
            log,
            trials.Place(topics.trial_prefix, topics.trial_results),
            trial_codec,
            self.directory,
            self._egress.trial_routing,
            self._egress.links,
            self._link_server,
            self.ingress,
            self.meter,
        )
        self._configuration_follower.on_lost = self._trials.on_log_restored
        self._registrar = recorders.Registrar(
            log,
            topics.members,
            cfg.daemon,
            self.directory,
            self._member_follower.table,
        )
        self._member_applier.on_local_record = self._on_local_record
        self._suspicion_recorder = recorders.SuspicionRecorder(
            log, topics.members, self._member_follower.table
        )
        self._lost_record_writer = recorders.LostRecordWriter(
            log,
            topics.members,
            cfg.daemon,
            self._member_follower.table,
            self._suspicion_recorder.is_own,
            lambda: self._feed.is_root,
        )
        self._member_follower.on_lost = self._on_records_lost
        suspicions = self.ingress.suspicions
        suspicions.on_change = self._on_suspicion_change
        self._member_applier.on_suspicion = lambda s: suspicions.merge([s])
        self._tasks: list[asyncio.Task[None]] = []
        self._closing_writes: set[asyncio.Task[None]] = set()
        self._notifications: set[asyncio.Task[None]] = set()
        self._health_check: asyncio.Task[None] | None = None
        self._announced_slots: int | None = None
        self._stopping = False
        self.meter.register_gauge(
            "buckthorn_version", lambda: self.holder.number
        )
        self.meter.register_gauge(
            "buckthorn_log_epoch",
            lambda: self._configuration_follower.table.epoch,
        )
        self.meter.register_gauge(
            "buckthorn_unrecorded_changes",
            lambda: (
                len(self._configuration_follower.table.unrecorded)
                + len(self._member_follower.table.unrecorded)
            ),
        )
        self.meter.register_gauge(
            "buckthorn_members", lambda: len(self.directory)
        )
        self.meter.register_gauge(
            "buckthorn_quarantines", lambda: self.ingress.suspicions.count
        )
        self.meter.register_gauge(
            "buckthorn_body_bytes", lambda: body_budget.used
        )
        schedule = self.ingress.bodies.schedule
        self.meter.register_gauge(
            "buckthorn_link_queued_bytes", lambda: schedule.queued_bytes
        )
        self.meter.register_gauge(
            "buckthorn_link_rate", lambda: schedule.link.rate
        )
        self.meter.register_gauge(
            "buckthorn_region_rate", lambda: schedule.region.rate
        )
        self.meter.register_gauge(
            "buckthorn_caller_connections", lambda: len(self.callers.conns)
        )
        self.meter.register_gauge("buckthorn_ready", lambda: int(self.ready))
        self.meter.register_gauge(
            "buckthorn_upstream_concurrency",
            lambda: self.ingress.queue.slots,
        )
        self.meter.register_gauge(
            "buckthorn_upstream_limit",
            lambda: (
                math.inf
                if self.ingress.queue.limit.per_s is None
                else self.ingress.queue.limit.per_s
            ),
        )

    @property
    def ready(self) -> bool:
        """Whether callers may send requests to this daemon."""
        return (
            self.holder.current is not None
            and self._member_follower.synced.is_set()
            and not self._stopping
        )

    async def start(self) -> None:
        """Starts listening and all background tasks.

        Raises:
            OSError: An address can't be listened on.
        """
        self.ingress.start()
        self._egress.links.start()
        await self._link_server.start()
        await self.callers.start()
        self._configuration_follower.start()
        self._member_follower.start()
        self._registrar.start()
        self._suspicion_recorder.start()
        self._lost_record_writer.start()
        self._tasks = [
            asyncio.create_task(self._check_health_at_start()),
        ]
        self._feed.start()
        self._caps.start()
        self._trials.start()
        _logger.info("started", daemon=self._cfg.daemon)

    async def drain(self) -> None:
        """Stops admitting requests and waits for those in flight."""
        _logger.info("draining", daemon=self._cfg.daemon)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._cfg.grace_s - SHUTDOWN_RESERVE_S
        self._stopping = True
        with _drain_step("caps"):
            self._caps.drain()
        with _drain_step("callers"):
            self.callers.drain()
        if self.ingress.lifetimes.state is lifetimes.UpstreamState.GONE:
            with _drain_step("registration"):
                await self._withdraw()
        await asyncio.sleep(READINESS_PROPAGATION_S)
        # Connections that are open may still bring requests.
        self._egress.stops_at_s = end_s
        with _drain_step("admission"):
            self.ingress.stop_admitting()
        with _drain_step("listening"):
            self.callers.stop_listening()
        # Requests that other daemons sent before they learned of the drain
        # still get their responses.
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
        """Stops immediately, without waiting for requests in flight."""
        for task in (*self._tasks, *self._closing_writes, *self._notifications):
            task.cancel()
        if self._health_check is not None:
            self._health_check.cancel()
        self._feed.close()
        self._caps.close()
        self._trials.close()
        self._registrar.close()
        self._suspicion_recorder.close()
        self._lost_record_writer.close()
        self._member_follower.close()
        self._configuration_follower.close()
        self.callers.close()
        self._link_server.close()
        self._egress.links.close()
        self.ingress.close()
        _logger.info("stopped", daemon=self._cfg.daemon)

    async def announce(self, announcement: lifetimes.Announcement) -> None:
        """Handles an announcement of the upstream beside this daemon."""
        if announcement.service != self._cfg.service:
            _logger.warning(
                "foreign_announcement",
                instance=announcement.instance,
                service=announcement.service,
            )
            return
        self.ingress.announce(announcement)
        closing = announcement.state is not lifetimes.UpstreamState.READY
        await self._register(announcement.slots, closing)
        await self._await_closing_writes()
        await self._await_health_check()

    async def leave(
        self, instance: ids.InstanceId, born_ms: int | None, now_ms: int
    ) -> None:
        """Handles the announcement of an upstream that it is leaving."""
        self.ingress.leave(instance, born_ms, now_ms)
        await self._register(self._known_slots(), closing=True)
        await self._await_closing_writes()

    def _known_slots(self) -> int:
        """Returns the upstream's slots, also before it announces itself."""
        if self._announced_slots is not None:
            return self._announced_slots
        local_record = self.directory.get(self._cfg.daemon)
        return 0 if local_record is None else local_record.slots

    def _on_upstream_closed(self) -> None:
        """Records that the current lifetime of the upstream is leaving."""
        task = asyncio.create_task(
            self._register(self._known_slots(), closing=True)
        )
        self._closing_writes.add(task)
        task.add_done_callback(self._closing_writes.discard)

    async def _await_closing_writes(self) -> None:
        """Waits until a closing that a response caused is recorded, too."""
        if self._closing_writes:
            await asyncio.wait(self._closing_writes)

    async def _register(self, slots: int, closing: bool) -> None:
        """Updates this daemon's registration.

        After the acknowledgement of a leaving the daemon's next process must
        keep that lifetime closed, too, whatever this process knew of it. So
        each such announcement waits up to CLOSING_WRITE_TIMEOUT_S for the
        write, repeated ones included.

        Args:
            slots: The upstream's slots.
            closing: Whether the upstream has announced that it leaves.
        """
        self._announced_slots = slots
        self._update_record(slots)
        if closing and not await self._registrar.flush(CLOSING_WRITE_TIMEOUT_S):
            closed = self.ingress.lifetimes.recently_closed()
            _logger.warning(
                "closing_not_written",
                instance=closed[-1].instance if closed else "",
            )

    def _update_record(self, slots: int) -> None:
        cfg = self._cfg
        *before, latest = self.ingress.lifetimes.recently_closed() or [
            lifetimes.ClosedLifetime(ids.InstanceId(""), 0)
        ]
        self._registrar.set_desired(
            directories.Registration(
                cfg.daemon,
                cfg.daemons_listen,
                cfg.service,
                cfg.site,
                cfg.region,
                slots,
                cfg.link_mbps,
                latest.instance,
                latest.born_ms,
                tuple(before),
                keeps_caps=True,
                software_version=self._software_version(),
            )
        )

    def _software_version(self) -> str:
        """Returns the upstream's version, also before it announces itself."""
        current = self.ingress.lifetimes.current
        if current is not None and current.software_version:
            return current.software_version
        local_record = self.directory.get(self._cfg.daemon)
        return "" if local_record is None else local_record.software_version

    def _on_local_record(self) -> None:
        local_record = self.directory.get(self._cfg.daemon)
        if local_record is not None:
            # An earlier process may have recorded them.
            for closed in local_record.closings:
                self.ingress.leave(closed.instance, closed.born_ms, 0)
            if self._announced_slots is not None:
                self._update_record(self._announced_slots)
        self._registrar.reconcile()

    def _on_records_lost(self) -> None:
        """Has this daemon's records written again that the log has lost."""
        table = self._member_follower.table
        table.merge_unrecorded(self._suspicion_recorder.lost_changes())
        self._registrar.reconcile()
        self._lost_record_writer.check()

    def _on_suspicion_change(
        self, changed: list[entries.CrashSuspicion]
    ) -> None:
        """Passes suspicions on to the daemons that need them first.

        Those of the same service are told in any case: each of them refuses
        the request for all senders that don't know of it. All others get it
        from the log.
        """
        self._link_server.broadcast(self.ingress.pong(changed))
        pool = self._egress.links
        links_to_notify = set(pool.connected())
        for registration in self.directory.for_service(self._cfg.service):
            if registration.daemon != self._cfg.daemon:
                links_to_notify.add(pool.get_or_create(registration))
        for link in links_to_notify:
            task = asyncio.create_task(self._notify(link, changed))
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)
        for suspicion in changed:
            if self.ingress.suspicions.has_reached_limit(suspicion.fingerprint):
                self._suspicion_recorder.record(suspicion)

    async def _notify(
        self, link: links.Link, changed: list[entries.CrashSuspicion]
    ) -> None:
        # A daemon that can't be reached now gets those from the crash limit on
        # with the next connection.
        with contextlib.suppress(links.NotSentError):
            await link.send(frames.Ping(changed))

    async def _check_health_at_start(self) -> None:
        """Checks the health of an upstream that is already running.

        A daemon without a record has had no process before.
        """
        await self._member_follower.synced.wait()
        if self.directory.get(self._cfg.daemon) is not None:
            await self._check_health()

    async def _check_health(self) -> None:
        """Checks the health of the upstream until admission opens."""
        await self.ingress.health_path_known.wait()
        tracker = self.ingress.lifetimes
        for _ in range(HEALTH_CHECKS):
            if tracker.current is not None and not tracker.needs_health_check:
                return
            await self.ingress.check_health(self._known_slots())
            if tracker.accepts_requests:
                return
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _await_health_check(self) -> None:
        """Checks the health of an upstream whose announcement may be late.

        The acknowledgement waits for the first result, so that an upstream
        that has it gets requests from then on.
        """
        if not self.ingress.lifetimes.needs_health_check:
            return
        if self._health_check is None or self._health_check.done():
            self._health_check = asyncio.create_task(self._check_health())
        await asyncio.wait((self._health_check,), timeout=HEALTH_CHECK_WAIT_S)

    async def handle_readiness(self, req: http1.Request) -> http1.Response:
        """Returns 200 if callers may send requests here, else 503."""
        del req
        return text_response(200 if self.ready else 503, b"")

    async def handle_metrics(self, req: http1.Request) -> http1.Response:
        """Returns all metrics in the text exposition format."""
        del req
        return text_response(200, self.meter.exposition())

    def _on_configuration_record(self, record: topic_tables.Record) -> None:
        self._version_applier.on_record(record)
        self._trials.on_record(record, self._configuration_follower.table.epoch)

    def _on_version(self, version: virtual_hosts.Version) -> None:
        self.callers.limits = version.limits
        self.ingress.version = version.number
        path = version.health_paths.get(self._cfg.service)
        if path is not None:
            self.ingress.set_health_path(path)
        names = {route.name for route in version.routes}
        self.ingress.keep_only(names)
        self._egress.keep_only(names)
        self._caps.on_version(version)


@contextlib.contextmanager
def _drain_step(name: str) -> Iterator[None]:
    """Logs an unexpected exception of a step.

    Without it the process would end with the requests that are in flight.
    """
    try:
        yield
    except Exception:
        _logger.exception("drain_step_failed", step=name)


def _max_descriptors(configured: int) -> int:
    """Returns the most descriptors: the host's or the process's limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = sys.maxsize
    return min(configured or soft, soft)


def text_response(status: int, body: bytes) -> http1.Response:
    """Returns a plain-text response."""
    response = http1.Response()
    response.status = status
    response.headers = [("Content-Type", "text/plain; version=0.0.4")]
    response.body = body
    return response
