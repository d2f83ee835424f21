"""Start, planned stop and close of a daemon."""

from collections.abc import Callable
import time

import loguru

from buckthorn_adapters import log_clients
from buckthorn_adapters import peers
from buckthorn_adapters import servers
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import messages
from buckthorn_core import traffic
from buckthorn_daemon import admin
from buckthorn_daemon import burning
from buckthorn_daemon import claiming
from buckthorn_daemon import egress
from buckthorn_daemon import fleet_status
from buckthorn_daemon import gossiping
from buckthorn_daemon import headers
from buckthorn_daemon import ingress
from buckthorn_daemon import jobs
from buckthorn_daemon import owning
from buckthorn_daemon import quarantine_guard
from buckthorn_daemon import reading
from buckthorn_daemon import relaying
from buckthorn_daemon import settings
from buckthorn_daemon import state
from buckthorn_daemon import summarising

ADMIN_THREADS = 2
DRAIN_POLL_S = 0.05
PRUNE_PERIOD_S = 60.0
LEAVE_GOSSIP_S = 0.6

_logger = loguru.logger.bind(module=__name__)


class Daemon:
    """Creates the components of a daemon, connects, starts and closes them."""

    def __init__(self, cfg: settings.Settings):
        peers.limit_nng_threads()
        self._cfg = cfg
        self.shared = state.State(cfg)
        scope = (
            traffic.Scope.LOCAL
            if cfg.region == cfg.log_region
            else traffic.Scope.REGION
        )
        self._log = log_clients.HttpLogClient(
            cfg.log_url, self.shared.control, scope
        )
        self._reader = reading.LogReader(self.shared, self._log)
        self._gossiper = gossiping.Gossiper(self.shared, self._log)
        self._distributor = relaying.Distributor(self.shared, self._reader)
        self._summariser = summarising.Summariser(self.shared)
        self._burn_aggregator = burning.BurnAggregator(self.shared)
        self._ingress = ingress.Ingress(self.shared)
        self._owners = owning.Owners(self.shared, self._log)
        self._claimer = claiming.Claimer(self.shared, self._owners)
        self._egress = egress.Egress(
            self.shared, self._claimer, self._burn_aggregator.count_request
        )
        self._admin = admin.Admin(
            self.shared, self._ingress, self._burn_aggregator
        )
        self._peer_server = peers.PeerServer(
            cfg.peer_listen,
            self.shared.identity,
            self.shared.control,
            self._on_message,
        )
        self._http = servers.HttpServer(
            cfg.http_listen, cfg.http_threads, self._on_request
        )
        self._admin_http = servers.HttpServer(
            cfg.admin_listen, ADMIN_THREADS, self._admin.handle
        )
        self._message_handlers = self._make_message_handlers()
        self._scheduler = jobs.Scheduler()
        self._add_jobs()

    def _add_jobs(self) -> None:
        add = self._scheduler.add
        reader, distributor = self._reader, self._distributor
        add("gossip", 0.5, self._gossiper.probe)
        add("join", self._gossiper.join_wait_s, self._gossiper.join)
        add("log_poll", reader.poll_wait_s, reader.poll)
        add("checkpoint", 2.0, reader.checkpoint)
        add("contacts", self._contacts_wait_s, reader.write_contacts)
        add("summary", summarising.SUMMARY_PERIOD_S, self._summariser.run)
        add("burn", self._burn_aggregator.wait_s, self._burn_aggregator.run)
        add("prune", PRUNE_PERIOD_S, self._egress.prune)
        add("upstream", 0.5, self._ingress.check_announcements)
        add(
            "quarantine",
            quarantine_guard.TICK_PERIOD_S,
            quarantine_guard.Guard(self.shared).tick,
        )
        add("finals", claiming.FLUSH_PERIOD_S, self._claimer.flush)
        add(
            "regions",
            gossiping.REGIONS_PERIOD_S,
            self._gossiper.refresh_regions,
        )
        add("catch_up", 0.5, distributor.catch_up)
        report = add("report", distributor.report_wait_s, distributor.report)
        self.shared.version_listeners.append(self._on_version)
        self.shared.version_listeners.append(report.wake)

    def _contacts_wait_s(self) -> float:
        if self.shared.holder.ready:
            return reading.CONTACTS_PERIOD_S
        return 1.0

    def start(self) -> None:
        """Starts the servers and the periodic jobs.

        Raises:
            errors.PeerError: Can't listen on the peer address.
            OSError: Can't listen on an HTTP address.
        """
        self._peer_server.start()
        self._http.start()
        self._admin_http.start()
        self._owners.start()
        self._ingress.start()
        self._scheduler.start()
        _logger.info("started", daemon=self._cfg.daemon_id)

    def drain(self) -> None:
        """Stops admitting requests and waits for those in flight.

        Requests of local callers are served for `drain_min_s` more, until
        other daemons have learned that this one is draining.
        """
        _logger.info("draining", daemon=self._cfg.daemon_id)
        self._ingress.stop_admitting()
        self._http.drain()
        with self.shared.lock:
            self.shared.membership.update_local(
                state=entries.MemberState.DRAINING
            )
        end_s = time.monotonic() + self._cfg.drain_min_s
        while time.monotonic() < end_s:
            time.sleep(DRAIN_POLL_S)
        self._egress.stop_admitting()
        while not (self._ingress.idle and self._egress.idle):
            time.sleep(DRAIN_POLL_S)
        self._claimer.drain()
        with self.shared.lock:
            self.shared.membership.update_local(state=entries.MemberState.LEFT)
        time.sleep(LEAVE_GOSSIP_S)
        _logger.info("drained", daemon=self._cfg.daemon_id)

    def close(self) -> None:
        """Stops all components without waiting for requests in flight."""
        self._scheduler.close()
        self._owners.close()
        self._http.close()
        self._admin_http.close()
        self._peer_server.close()
        self.shared.client.close()
        self._egress.close()
        self._ingress.close()
        self._log.close()

    def _on_version(self) -> None:
        version = self.shared.holder.version.number
        _logger.info("version_in_force", version=version)
        self._scheduler.submit(self._distributor.announce)

    def _on_request(self, exchange: servers.Exchange) -> None:
        key = self.shared.identity.key
        if headers.hop_service(exchange, key) is None:
            self._egress.handle(exchange)
            return
        try:
            self._ingress.handle(exchange)
        except errors.BuckthornError as exc:
            self.shared.metrics.count(
                "buckthorn_ingress_errors", code=exc.code.value
            )
            raise

    def _on_message(self, envelope: messages.Envelope) -> messages.Payload:
        self.shared.record_peer_version(envelope)
        handler = self._message_handlers.get(type(envelope.payload))
        if handler is None:
            return messages.ErrorReply("bad_message", "not a request")
        return handler(envelope.payload, envelope)

    def _make_message_handlers(
        self,
    ) -> dict[type, Callable[..., messages.Payload]]:
        gossiper, distributor = self._gossiper, self._distributor
        return {
            messages.Gossip: lambda m, e: gossiper.on_gossip(m, e.sender),
            messages.Sync: lambda m, e: gossiper.on_sync(m),
            messages.ProbeRequest: lambda m, e: gossiper.on_probe_request(m),
            messages.Announce: self._on_announce,
            messages.Pull: lambda m, e: distributor.on_pull(m),
            messages.Report: distributor.on_report,
            messages.Summary: lambda m, e: self._summariser.on_summary(m),
            messages.StatusQuery: lambda m, e: fleet_status.local_status(
                self.shared
            ),
            messages.Claim: self._owners.on_claim,
            messages.Complete: self._owners.on_complete,
            messages.BurnReport: self._burn_aggregator.on_report,
            messages.BurnQuery: lambda m, e: self._burn_aggregator.on_query(m),
            messages.BurnCopy: lambda m, e: self._burn_aggregator.on_copy(),
        }

    def _on_announce(
        self, message: messages.Announce, envelope: messages.Envelope
    ) -> messages.Ack:
        if message.version.number <= self.shared.holder.version.number:
            return messages.Ack()
        scope = (
            traffic.Scope.LOCAL
            if envelope.region == self._cfg.region
            else traffic.Scope.REGION
        )
        address = envelope.address
        self._scheduler.submit(lambda: self._distributor.pull(address, scope))
        return messages.Ack()
