"""Responses in which another daemon reports an error."""

from typing import Any

from buckthorn_adapters import limited_responses
from buckthorn_adapters import servers
from buckthorn_core import errors

MAX_TEXT_BYTES = 65_536
TEXT_TIMEOUT_S = 1.0


def raise_reported(resp: Any) -> None:
    """Raises the error that a response reports, if any.

    A request that may have run is retried at another instance only if it is
    idempotent and either the connection to the upstream failed or the other
    daemon did not receive the whole body. Other responses to requests that may
    have run are relayed unchanged.

    Args:
        resp: The urllib3 response of the other daemon.

    Raises:
        errors.RequestError: The error that the response reports.
        urllib3.exceptions.HTTPError: Its text is too long or incomplete.
    """
    name = resp.headers.get(servers.NOT_RUN_HEADER)
    if name is not None:
        code = errors.code_from_name(name)
    elif servers.OUTCOME_HEADER in resp.headers and resp.status in (400, 502):
        code = errors.Code.UPSTREAM_FAILED
    else:
        return
    retry_after = resp.headers.get("Retry-After", "")
    body = limited_responses.read_body(resp, MAX_TEXT_BYTES, TEXT_TIMEOUT_S)
    text = body.decode("utf-8", "replace").strip()
    raise errors.RequestError(
        code, text, float(retry_after) if retry_after.isdecimal() else None
    )
