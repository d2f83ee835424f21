"""Headers that concern one connection only, and are not passed on."""

from collections.abc import Iterable

# RFC 9110, section 7.6.1, and `Expect`, which each daemon answers itself.
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
    headers: Iterable[tuple[str, str]], *also: str
) -> list[tuple[str, str]]:
    """Returns the headers without those of one connection.

    Args:
        headers: Names and values.
        also: Further names to leave out, in lower case.
    """
    lowered = [(name.lower(), name, value) for name, value in headers]
    left_out = _NAMES.union(also)
    for key, _, value in lowered:
        if key == "connection":
            left_out |= {word.strip().lower() for word in value.split(",")}
    return [
        (name, value) for key, name, value in lowered if key not in left_out
    ]
