"""Headers that daemons add, read and remove."""

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
    """Returns what marks a request for the upstream beside a daemon.

    Only who knows the key can make it, so that callers can't pass by routing
    and claims. It names the service, because an address may belong to another
    upstream by the time that a request arrives.
    """
    return f"{service}:{signing.sign(key, service.encode()).hex()}"


def hop_service(
    exchange: servers.Exchange, key: bytes
) -> ids.ServiceName | None:
    """Returns the service that another daemon sent a request to.

    Returns:
        None if no daemon sent it.
    """
    text = exchange.headers.get(HOP.lower(), "")
    service = ids.ServiceName(text.rpartition(":")[0])
    if not hmac.compare_digest(text.encode(), hop(service, key).encode()):
        return None
    return service


def awaits_admission(exchange: servers.Exchange) -> bool:
    """Returns whether the body follows only after an interim answer."""
    return exchange.headers.get(AWAIT.lower()) == AWAIT_ADMISSION


def deadline_s(
    exchange: servers.Exchange,
    now_s: float,
    default_s: float = DEFAULT_DEADLINE_S,
) -> float:
    """Returns the deadline of a request in local monotonic seconds.

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

    The expiry of a claim goes along, so that the upstream can check it too.
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
    """Returns the headers of a request to the daemon of an upstream."""
    headers_out = for_upstream(exchange, left_s)
    # Only a daemon may say when a claim expires.
    headers_out.pop(EXPIRES.lower(), None)
    if expires_ms is not None:
        headers_out[EXPIRES] = str(expires_ms)
    headers_out[HOP] = hop_value
    headers_out[VERSION] = str(version)
    return headers_out


def for_daemon(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the headers of an upstream's answer for the other daemon."""
    dropped = (servers.LENGTH_HEADER.lower(), servers.OUTCOME_HEADER.lower())
    return [pair for pair in for_caller(headers) if pair[0] not in dropped]


def for_caller(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns the headers of an answer as they are passed on."""
    # Date and Server are set anew by the server if they are missing.
    headers_out = _end_to_end({k.lower(): v for k, v in headers.items()})
    headers_out.pop(SUSPICION.lower(), None)
    length = headers_out.pop(servers.LENGTH_HEADER.lower(), None)
    if length is not None:
        headers_out["content-length"] = length
    return list(headers_out.items())


def left_s(deadline: float) -> float:
    """Returns the time left until a deadline, in seconds."""
    return deadline - time.monotonic()
