"""Requests for the upstream on the daemon's host."""

import threading
import time
from typing import Any

import loguru
import msgspec
import urllib3

from buckthorn_adapters import http_clients
from buckthorn_adapters import servers
from buckthorn_core import admission
from buckthorn_core import entries
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import inherited_requests
from buckthorn_daemon import crashes
from buckthorn_daemon import headers
from buckthorn_daemon import quarantine_guard
from buckthorn_daemon import settings
from buckthorn_daemon import state

ANNOUNCE_TIMEOUT_S = 3.0
HEARTBEAT_PERIOD_S = 0.8
# Maximum pause of an upstream within a response.
STREAM_TIMEOUT_S = 30.0
MIN_TIMEOUT_S = 0.001

_logger = loguru.logger.bind(module=__name__)


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement that an upstream sends to its daemon every second.

    Attributes:
        service: Service of the upstream.
        port: HTTP port of the upstream on this host.
        state: State of the upstream.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
        running: Number of running requests. A restarted daemon learns from it
            how many slots are occupied by requests of its predecessor.
    """

    service: ids.ServiceName
    port: int
    state: entries.UpstreamState
    slots: int
    connections: int
    running: int = 0


class Ingress:
    """Admits requests and relays them to the upstream."""

    def __init__(self, shared: state.State):
        self._shared = shared
        self._pools = http_clients.ConnectionPools()
        self._lock = threading.Lock()
        self._admission = admission.AdmissionQueue(admission.Limits(1, 1))
        self._inherited = inherited_requests.InheritedRequests()
        self._waiting: dict[int, threading.Event] = {}
        self._upstream: Announcement | None = None
        self._last_announced_s = state.NEVER_S
        self._in_progress: dict[
            servers.Exchange, http_clients.Lease | None
        ] = {}
        self._guard = quarantine_guard.Guard(shared)
        self._crash_detector = crashes.CrashDetector(self._guard)
        self._stop = threading.Event()
        # Not a job of the scheduler: if its workers all block on a failing
        # network, no heartbeats are sent and other daemons give requests up.
        self._heartbeat_thread = threading.Thread(
            target=self._send_heartbeats, name="life", daemon=True
        )

    @property
    def idle(self) -> bool:
        """Whether no request is running or queued."""
        return self._admission.idle

    def start(self) -> None:
        """Starts to send heartbeats for the requests in progress."""
        self._heartbeat_thread.start()

    def close(self) -> None:
        """Stops the heartbeats and closes the connections to the upstream."""
        self._stop.set()
        self._pools.close()

    def stop_admitting(self) -> None:
        """Refuses new and queued requests from now on."""
        with self._lock:
            self._admission.closed = True
            self._refuse_waiting()

    def announce(self, upstream: Announcement) -> None:
        """Handles an announcement of the upstream."""
        with self._lock:
            self._last_announced_s = time.monotonic()
            own_running = self._admission.running
            self._inherited.note_announced(upstream.running, own_running)
            upstream = msgspec.structs.replace(upstream, running=0)
            self._set_limits(upstream)
            if upstream == self._upstream:
                return
            previous, self._upstream = self._upstream, upstream
            if upstream.state is entries.UpstreamState.DRAINING:
                self._refuse_waiting()
        if previous is None:
            _logger.info("upstream_found", service=upstream.service)
        self._publish(upstream)

    def check_announcements(self) -> None:
        """Marks the upstream down if its announcements have stopped."""
        with self._lock:
            upstream = self._upstream
            silence_s = time.monotonic() - self._last_announced_s
            if upstream is None or silence_s < ANNOUNCE_TIMEOUT_S:
                return
        self._crash_detector.on_announcements_missing()
        self._mark_down(upstream)

    def _mark_down(self, upstream: Announcement) -> None:
        with self._lock:
            if self._upstream is not upstream:
                return
            self._upstream = None
            self._refuse_waiting()
        _logger.warning("upstream_gone", service=upstream.service)
        self._publish(
            msgspec.structs.replace(upstream, state=entries.UpstreamState.DOWN)
        )

    def _refuse_waiting(self) -> None:
        """Wakes queued requests, which are then refused."""
        for ready in self._waiting.values():
            ready.set()

    def _send_heartbeats(self) -> None:
        while not self._stop.wait(HEARTBEAT_PERIOD_S):
            for exchange, lease in list(self._in_progress.items()):
                try:
                    exchange.send_heartbeat()
                except Exception as exc:
                    # The other daemon has disconnected. All other requests
                    # need the heartbeats of this thread, too.
                    if not isinstance(exc, OSError | ValueError):
                        _logger.exception("heartbeat_failed")
                    self._in_progress.pop(exchange, None)
                    if lease is not None:
                        lease.cancel()

    def handle(self, exchange: servers.Exchange) -> None:
        """Admits a request and relays it.

        Args:
            exchange: The HTTP exchange with the other daemon.

        Raises:
            errors.RequestError: The request was refused or has failed.
        """
        deadline_s = headers.deadline_s(exchange, time.monotonic())
        self._check(exchange)
        fingerprint = self._guard.record_suspicion(exchange.headers)
        self._guard.check(fingerprint)
        with self._lock:
            ticket = self._admission.admit(time.monotonic(), deadline_s)
            running = self._admission.is_running(ticket)
            ready = threading.Event()
            if not running:
                self._waiting[ticket.number] = ready
        started_s: float | None = None
        self._in_progress[exchange] = None
        try:
            if not running:
                self._wait(ticket, ready)
            # The upstream may have changed while the request was queued.
            upstream = self._check(exchange)
            self._guard.check(fingerprint)
            started_s = time.monotonic()
            self._relay(exchange, upstream, deadline_s, fingerprint)
        finally:
            self._in_progress.pop(exchange, None)
            self._release(ticket, started_s)

    def _check(self, exchange: servers.Exchange) -> Announcement:
        upstream = self._upstream
        if upstream is None:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM, "there is no upstream here", 1.0
            )
        key = self._shared.identity.key
        if headers.hop_service(exchange, key) != upstream.service:
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM,
                f"the upstream here is one of {upstream.service}",
                0.0,
            )
        if upstream.state is entries.UpstreamState.DRAINING:
            raise errors.RequestError(
                errors.Code.DRAINING, "the upstream is leaving", 1.0
            )
        current = self._shared.holder.current
        if current and self._shared.cfg.site in current.config.draining_sites:
            raise errors.RequestError(
                errors.Code.DRAINING, "the site is draining", 1.0
            )
        headers.check_expiry(exchange, time.time())
        return upstream

    def _set_limits(self, upstream: Announcement) -> None:
        limits = self._limits(upstream)
        slots = limits.slots - self._inherited.max_running
        self._admission.set_limits(admission.Limits(slots, limits.connections))
        self._wake_started(self._admission.start_queued())

    def _limits(self, upstream: Announcement) -> admission.Limits:
        slots, connections = upstream.slots, upstream.connections
        current = self._shared.holder.current
        service = current and current.config.services.get(upstream.service)
        if service:
            slots = min(slots, service.slots)
            connections = min(connections, service.connections)
        share = settings.thread_share(self._shared.cfg.http_threads)
        max_connections = min(share, connections)
        return admission.Limits(max(1, slots), max(1, max_connections))

    def _publish(self, upstream: Announcement) -> None:
        with self._shared.lock:
            self._shared.membership.update_local(
                service=upstream.service,
                upstream_state=upstream.state,
                slots=upstream.slots,
                connections=upstream.connections,
            )

    def _wait(self, ticket: admission.Ticket, ready: threading.Event) -> None:
        remaining_s = ticket.deadline_s - time.monotonic()
        woken = ready.wait(max(0.0, remaining_s))
        with self._lock:
            if self._admission.is_running(ticket):
                return
        if woken:
            raise errors.RequestError(
                errors.Code.DRAINING, "the upstream takes no new work", 1.0
            )
        raise errors.RequestError(
            errors.Code.DEADLINE_PASSED, "no slot became free in time", 0.1
        )

    def _release(
        self, ticket: admission.Ticket, started_s: float | None
    ) -> None:
        ran_s = None if started_s is None else time.monotonic() - started_s
        with self._lock:
            self._waiting.pop(ticket.number, None)
            self._wake_started(self._admission.release(ticket, ran_s))
            self._inherited.note_own_running(self._admission.running)

    def _wake_started(self, started: list[admission.Ticket]) -> None:
        for ticket in started:
            event = self._waiting.pop(ticket.number, None)
            if event is not None:
                event.set()

    def _relay(
        self,
        exchange: servers.Exchange,
        upstream: Announcement,
        deadline_s: float,
        fingerprint: ids.Fingerprint | None,
    ) -> None:
        if headers.awaits_admission(exchange):
            exchange.admit()
        left_s = deadline_s - time.monotonic()
        if left_s <= 0:
            raise errors.RequestError(
                errors.Code.DEADLINE_PASSED, "the deadline has passed"
            )
        # The claim may have expired while the request was queued.
        headers.check_expiry(exchange, time.time())
        address = ids.Address(f"127.0.0.1:{upstream.port}")
        lease = self._pools.acquire(address, recently_active=True)
        self._in_progress[exchange] = lease
        body = exchange.body.pieces() if exchange.body.remaining else None
        request = self._crash_detector.begin(fingerprint)
        try:
            resp = lease.send(
                exchange.method,
                exchange.path,
                headers.for_upstream(exchange, left_s),
                body,
                max(MIN_TIMEOUT_S, left_s),
                stream_timeout_s=STREAM_TIMEOUT_S,
                source=exchange.body,
                head_timeout_s=max(MIN_TIMEOUT_S, left_s),
            )
            self._check_not_shed(resp)
            http_clients.relay_response(
                exchange, resp, headers.for_daemon(resp.headers), to_daemon=True
            )
            self._crash_detector.complete(request)
        except http_clients.NotSentError as exc:
            if crashes.refuses_connections(upstream.port):
                self._mark_down(upstream)
            raise errors.RequestError(
                errors.Code.NO_UPSTREAM, str(exc), 1.0
            ) from exc
        except errors.BuckthornError as exc:
            lease.discard()
            if exc.code is errors.Code.UPSTREAM_FAILED:
                self._on_connection_lost(upstream)
            raise
        except TimeoutError as exc:
            # Closing the connection cancels the request at the upstream.
            lease.discard()
            raise errors.RequestError(
                errors.Code.TIMED_OUT, "the deadline passed while it ran"
            ) from exc
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            lease.discard()
            if exchange.started:
                # Once the response has started, failed reads from the upstream
                # raise typed errors: the other daemon has disconnected.
                raise
            self._on_connection_lost(upstream)
            self._guard.add_suspicion_header(exchange, fingerprint)
            raise errors.RequestError(
                errors.Code.UPSTREAM_FAILED, str(exc)
            ) from exc
        finally:
            self._crash_detector.end(request)
        lease.release()

    def _on_connection_lost(self, upstream: Announcement) -> None:
        # A draining upstream closes its connections without a crash.
        if upstream.state is entries.UpstreamState.DRAINING:
            return
        if self._crash_detector.on_connection_lost(upstream.port):
            self._mark_down(upstream)

    def _check_not_shed(self, resp: Any) -> None:
        if servers.NOT_RUN_HEADER not in resp.headers:
            return
        retry_after = resp.headers.get("Retry-After", "1")
        raise errors.RequestError(
            errors.Code.UPSTREAM_SHED,
            "the upstream sheds load",
            float(retry_after) if retry_after.isdecimal() else 1.0,
        )
