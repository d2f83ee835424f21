"""Hop-by-hop headers, which are not forwarded."""

from collections.abc import Iterable

# From RFC 9110, section 7.6.1, and `Expect`, which each daemon handles itself.
_NAMES = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(
    headers: Iterable[tuple[str, str]], *excluded: str
) -> list[tuple[str, str]]:
    """Returns the end-to-end headers.

    Args:
        headers: Names and values.
        excluded: Further names to drop, in lower case.
    """
    with_keys = [(name.lower(), name, value) for name, value in headers]
    dropped = _NAMES.union(excluded)
    for key, _, value in with_keys:
        if key == "connection":
            dropped |= {word.strip().lower() for word in value.split(",")}
    return [
        (name, value) for key, name, value in with_keys if key not in dropped
    ]
