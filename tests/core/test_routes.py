"""Tests of route matching."""

import pytest

from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import routes


@pytest.mark.parametrize(
    ("path", "prefix"),
    [
        ("/stock/coal", "/stock/"),
        ("/stock/old/coal", "/stock/old/"),
        ("/stock/old", "/stock/"),
        ("/s", "/"),
        ("", None),
    ],
)
def test_longest_prefix_wins(path, prefix):
    """Guards against matching a less specific route."""
    index = routes.RouteIndex(
        {
            ids.RouteName(text): bundles.Route(
                text, ids.ServiceName("s"), ids.ResourceName("r")
            )
            for text in ("/", "/stock/", "/stock/old/")
        }
    )
    found = index.match(path)
    assert (found and found.prefix) == prefix
