"""Answers in which another daemon reports an error of its own."""

from typing import Any

from buckthorn_adapters import servers
from buckthorn_core import errors


def raise_reported(resp: Any) -> None:
    """Raises the error that an answer reports, if it reports one.

    Only a failed connection to the upstream, or a body that the other daemon
    did not receive whole, lets an idempotent request try another instance.
    Other answers about requests that may have run are passed on as they are.

    Raises:
        errors.RequestError: The error.
    """
    name = resp.headers.get(servers.NOT_RUN_HEADER)
    if name is not None:
        code = errors.code_from_name(name)
    elif servers.OUTCOME_HEADER in resp.headers and resp.status in (400, 502):
        code = errors.Code.UPSTREAM_FAILED
    else:
        return
    retry_after = resp.headers.get("Retry-After", "")
    text = resp.read(decode_content=False).decode("utf-8", "replace").strip()
    raise errors.RequestError(
        code, text, float(retry_after) if retry_after.isdecimal() else None
    )
