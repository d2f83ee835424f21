"""Headers that concern one connection only."""

from buckthorn_core import hop_headers


def test_headers_that_connection_names_are_left_out():
    """Guards against a header that means something else on the next hop."""
    kept = hop_headers.end_to_end(
        [
            ("Connection", "close, X-One"),
            ("connection", "x-two"),
            ("X-One", "1"),
            ("X-TWO", "2"),
            ("Keep-Alive", "timeout=5"),
            ("X-Own", "3"),
            ("x-own", "4"),
        ]
    )
    assert kept == [("X-Own", "3"), ("x-own", "4")]


def test_further_names_are_left_out_in_any_case():
    """Guards against a length or host that belongs to the last hop."""
    kept = hop_headers.end_to_end([("Host", "a"), ("X-Own", "1")], "host")
    assert kept == [("X-Own", "1")]
