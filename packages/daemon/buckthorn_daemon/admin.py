"""Admin HTTP interface: announcements, status, burn reports, metrics."""

from collections.abc import Callable
import time
import urllib.parse

import msgspec

from buckthorn_adapters import servers
from buckthorn_core import errors
from buckthorn_core import roles
from buckthorn_core import traffic
from buckthorn_daemon import burning
from buckthorn_daemon import ingress
from buckthorn_daemon import quarantine_guard
from buckthorn_daemon import state

MAX_BODY_BYTES = 65_536

Handler = Callable[["Admin", servers.Exchange], None]
_endpoints: dict[tuple[str, str], Handler] = {}


def endpoint(method: str, path: str) -> Callable[[Handler], Handler]:
    """Registers the decorated function as the handler of an endpoint."""

    def register(function: Handler) -> Handler:
        _endpoints[(method, path)] = function
        return function

    return register


class Admin:
    """Serves the admin interface."""

    def __init__(
        self,
        shared: state.State,
        local_ingress: ingress.Ingress,
        burn_aggregator: burning.BurnAggregator,
    ):
        self.shared = shared
        self.local_ingress = local_ingress
        self.burn_aggregator = burn_aggregator

    def handle(self, exchange: servers.Exchange) -> None:
        """Serves a request.

        Raises:
            errors.RequestError: The request is malformed or its endpoint
                doesn't exist.
        """
        path = exchange.path.split("?", 1)[0]
        handler = _endpoints.get((exchange.method, path))
        if handler is None:
            raise errors.RequestError(errors.Code.NO_ROUTE, path)
        exchange.body.limit(MAX_BODY_BYTES)
        handler(self, exchange)


@endpoint("POST", "/v1/announce")
def _announce(admin: Admin, exchange: servers.Exchange) -> None:
    body = b"".join(exchange.body.pieces())
    try:
        upstream = msgspec.json.decode(body, type=ingress.Announcement)
    except msgspec.DecodeError as exc:
        raise errors.RequestError(errors.Code.BAD_REQUEST, str(exc)) from exc
    admin.local_ingress.announce(upstream)
    exchange.respond(200, b"{}")


@endpoint("GET", "/v1/status")
def _status(admin: Admin, exchange: servers.Exchange) -> None:
    shared = admin.shared
    with shared.lock:
        members = shared.membership.members()
        document = {
            "daemon": shared.cfg.daemon_id,
            "region": shared.cfg.region,
            "site": shared.cfg.site,
            "ready": shared.holder.ready,
            "version": shared.holder.version.number,
            "digest": shared.holder.version.digest,
            "members": len(members),
            "roles": {name: shared.holders(name) for name in roles.names()},
            "control_bytes": {
                scope.value: shared.control.total(scope)
                for scope in traffic.Scope
            },
            "upstreams": [
                {
                    "daemon": member.id,
                    "site": member.site,
                    "state": member.state.value,
                    "service": member.service,
                    "upstream_state": member.upstream_state.value,
                    "slots": member.slots,
                }
                for member in members
            ],
            "quarantined": shared.quarantines.quarantined(
                quarantine_guard.now_ms()
            ),
        }
    with shared.lock:
        subtree_counts = shared.acks.total(
            shared.ready_version(), time.monotonic()
        )
    document["below"] = {
        "counts": {str(k): v for k, v in subtree_counts.counts.items()},
        "laggards": subtree_counts.laggards,
    }
    exchange.respond(200, msgspec.json.encode(document))


@endpoint("GET", "/v1/burn")
def _burn(admin: Admin, exchange: servers.Exchange) -> None:
    query = urllib.parse.parse_qs(urllib.parse.urlsplit(exchange.path).query)
    limit = query.get("limit", [str(burning.DEFAULT_SERVICE_LIMIT)])[0]
    if not limit.isdecimal():
        raise errors.RequestError(
            errors.Code.BAD_REQUEST, "limit is not a number"
        )
    report = admin.burn_aggregator.report(
        query.get("service", [""])[0], int(limit)
    )
    exchange.respond(200, msgspec.json.encode(report))


@endpoint("GET", "/metrics")
def _metrics(admin: Admin, exchange: servers.Exchange) -> None:
    exchange.respond(
        200,
        admin.shared.metrics.exposition(),
        "text/plain; version=0.0.4; charset=utf-8",
    )
