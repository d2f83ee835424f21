"""HTTP headers that daemons add, parse and remove."""

from collections.abc import Mapping
import hmac
import time

from buckthorn_adapters import servers
from buckthorn_core import errors
from buckthorn_core import hop_headers
from buckthorn_core import ids
from buckthorn_core import signing

DEADLINE = "Buckthorn-Deadline-Ms"
VERSION = "Buckthorn-Version"
HOP = "Buckthorn-Hop"
AWAIT = "Buckthorn-Await"
AWAIT_ADMISSION = "admission"
EXPIRES = "Buckthorn-Expires"
SUSPICION = "Buckthorn-Suspicion"
OPERATION_KEY = "Idempotency-Key"

DEFAULT_DEADLINE_S = 5.0
MAX_DEADLINE_S = 3_600.0

_INTERNAL = frozenset(
    {HOP.lower(), AWAIT.lower(), VERSION.lower(), SUSPICION.lower()}
)


def hop(service: ids.ServiceName, key: bytes) -> str:
    """Returns the signed header that marks a request as sent by a daemon.

    The signature needs the peer key, so that callers can't bypass routing and
    claims. The header contains the service because the address may belong to
    another upstream by the time that the request arrives.
    """
    return f"{service}:{signing.sign(key, service.encode()).hex()}"


def hop_service(
    exchange: servers.Exchange, key: bytes
) -> ids.ServiceName | None:
    """Verifies the hop header and returns the service in it.

    Returns:
        The service for which another daemon sent the request; None if the
        request comes from a caller.
    """
    text = exchange.headers.get(HOP.lower(), "")
    service = ids.ServiceName(text.rpartition(":")[0])
    if not hmac.compare_digest(text.encode(), hop(service, key).encode()):
        return None
    return service


def awaits_admission(exchange: servers.Exchange) -> bool:
    """Returns whether the sender holds the body back until admission."""
    return exchange.headers.get(AWAIT.lower()) == AWAIT_ADMISSION


def deadline_s(
    exchange: servers.Exchange,
    now_s: float,
    default_s: float = DEFAULT_DEADLINE_S,
) -> float:
    """Returns the deadline of a request in local monotonic seconds.

    Args:
        exchange: The request.
        now_s: Current monotonic time, in seconds.
        default_s: Time allowed for a request without the header, in seconds.

    Raises:
        errors.RequestError: The header is malformed.
    """
    text = exchange.headers.get(DEADLINE.lower())
    if text is None:
        return now_s + default_s
    if not text.isdecimal():
        raise errors.RequestError(
            errors.Code.BAD_REQUEST, f"{DEADLINE} is not a number of ms"
        )
    return now_s + min(MAX_DEADLINE_S, int(text) / 1000)


def check_expiry(exchange: servers.Exchange, wall_s: float) -> None:
    """Refuses a request whose claim has expired.

    Args:
        exchange: The request.
        wall_s: Current wall-clock time, in seconds since the epoch.

    Raises:
        errors.RequestError: The claim has expired, or the header is malformed.
    """
    text = exchange.headers.get(EXPIRES.lower())
    if text is None:
        return
    if not text.isdecimal():
        raise errors.RequestError(
            errors.Code.BAD_REQUEST, f"{EXPIRES} is not a time in ms"
        )
    if wall_s * 1000 >= int(text):
        raise errors.RequestError(
            errors.Code.CLAIM_EXPIRED, "the claim of the key has expired"
        )


def _end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    return dict(hop_headers.end_to_end(headers.items(), "host"))


def for_upstream(exchange: servers.Exchange, left_s: float) -> dict[str, str]:
    """Returns the headers of a request to the upstream.

    They include the expiry of the claim, so that the upstream can check it too.
    """
    headers_out = {
        name: value
        for name, value in _end_to_end(exchange.headers).items()
        if name not in _INTERNAL
    }
    headers_out[DEADLINE.lower()] = str(max(1, int(left_s * 1000)))
    return headers_out


def for_ingress(
    exchange: servers.Exchange,
    left_s: float,
    version: int,
    expires_ms: int | None,
    hop_value: str,
) -> dict[str, str]:
    """Returns the headers of a request to the daemon of an upstream.

    Args:
        exchange: The request of the caller.
        left_s: Time until the deadline, in seconds.
        version: Version of the configuration that is in force.
        expires_ms: Time at which the claim expires, in ms since the epoch;
            None without a claim.
        hop_value: Value of the hop header.
    """
    headers_out = for_upstream(exchange, left_s)
    # A caller must not set the expiry of a claim.
    headers_out.pop(EXPIRES.lower(), None)
    if expires_ms is not None:
        headers_out[EXPIRES] = str(expires_ms)
    headers_out[HOP] = hop_value
    headers_out[VERSION] = str(version)
    return headers_out


def for_daemon(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the headers of an upstream's response for the other daemon."""
    dropped = (servers.LENGTH_HEADER.lower(), servers.OUTCOME_HEADER.lower())
    return [pair for pair in for_caller(headers) if pair[0] not in dropped]


def for_caller(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the headers of a response to relay to the caller."""
    # The HTTP server sets Date and Server if they are missing.
    headers_out = _end_to_end({k.lower(): v for k, v in headers.items()})
    headers_out.pop(SUSPICION.lower(), None)
    length = headers_out.pop(servers.LENGTH_HEADER.lower(), None)
    if length is not None:
        headers_out["content-length"] = length
    return list(headers_out.items())


def left_s(deadline: float) -> float:
    """Returns the time until a monotonic deadline, in seconds."""
    return deadline - time.monotonic()
