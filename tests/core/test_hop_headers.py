"""Tests of the removal of hop-by-hop headers."""

from buckthorn_core import hop_headers


def test_headers_listed_in_connection_are_dropped():
    """Guards against forwarding headers that apply to one hop only."""
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


def test_excluded_names_are_dropped_in_any_case():
    """Guards against forwarding a length or host of the previous hop."""
    kept = hop_headers.end_to_end([("Host", "a"), ("X-Own", "1")], "host")
    assert kept == [("X-Own", "1")]
