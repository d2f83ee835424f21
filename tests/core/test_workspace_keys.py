"""Workspaces are found by their keys, and keys stay secret."""

import pytest

from buckthorn_core import errors
from buckthorn_core import virtual_hosts
from buckthorn_core import workspace_keys

LIMITS = virtual_hosts.CallerLimits(16_384, 1 << 20, 3.0, 15.0)
CHOIR = workspace_keys.Workspace("choir", ("key-1", "key-2"), 1)
SCHOOL = workspace_keys.Workspace("school", ("key-3",), 0, 20.0, 5.0)


def route(public=False):
    return virtual_hosts.HostRoute(
        "r",
        "a.example",
        "/x/",
        virtual_hosts.RouteKind.IDEMPOTENT,
        (virtual_hosts.WeightedService("stock", 1),),
        1.2,
        0.8,
        0,
        2,
        public,
    )


def holder(*held, number=1):
    created = virtual_hosts.VersionHolder(b"secret")
    created.apply(
        virtual_hosts.Version(number, (route(),), {}, LIMITS, tuple(held))
    )
    return created


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("Bearer key-1", CHOIR),
        ("bearer  key-2 ", CHOIR),
        ("Bearer key-3", SCHOOL),
    ],
)
def test_a_key_leads_to_its_workspace(value, expected):
    """Guards against requests of one workspace that count as another's."""
    assert holder(CHOIR, SCHOOL).find_workspace(route(), (value,)) == expected


@pytest.mark.parametrize(
    "values",
    [
        ("Bearer key-4",),
        ("Bearer",),
        ("Bearer ",),
        ("",),
        ("Basic key-1",),
        ("key-1",),
        ("Bearer key-1 key-1",),
        ("Bearer key-1", "Bearer key-1"),
        ("Bearer key-1", "Bearer key-3"),
        ("Bearer k\udce9y",),
    ],
)
def test_other_keys_are_refused(values):
    """Guards against callers without a key that is in force."""
    with pytest.raises(errors.RequestError) as caught:
        holder(CHOIR, SCHOOL).find_workspace(route(), values)
    assert caught.value.info.http_status == 401
    assert "key-1" not in str(caught.value)


def test_a_public_route_needs_no_key():
    """Guards against 401 on public routes."""
    found = holder(CHOIR)
    assert found.find_workspace(route(public=True), ("Bearer x",)) is None
    assert found.find_workspace(route(public=True), ()) is None
    assert found.find_workspace(route(public=True), ("Bearer key-1",)) == CHOIR


def test_calls_of_upstreams_carry_no_key():
    """Guards against refused calls; a run whose call fails is lost."""
    assert holder(CHOIR).find_workspace(route(), ()) is None


def test_without_workspaces_no_key_is_read():
    """Guards against 401 in a deployment whose upstreams check keys."""
    assert holder().find_workspace(route(), ("Basic x", "Basic y")) is None


def test_a_key_is_refused_from_the_version_on_that_drops_it():
    """Guards against a withdrawn key that stays in an index."""
    held = holder(CHOIR, SCHOOL)
    less = workspace_keys.Workspace("choir", ("key-2",), 1)
    held.apply(virtual_hosts.Version(2, (route(),), {}, LIMITS, (less, SCHOOL)))
    with pytest.raises(errors.RequestError):
        held.find_workspace(route(), ("Bearer key-1",))
    assert held.find_workspace(route(), ("Bearer key-2",)) == less


def test_keys_are_not_shown():
    """Guards against keys in logs of a version or a workspace."""
    held = holder(CHOIR)
    assert "key-1" not in repr(CHOIR)
    assert "key-1" not in repr(held.current)


def test_a_key_of_two_workspaces_is_a_problem_without_its_text():
    """Guards against an ambiguous key, and against its text in the log."""
    other = workspace_keys.Workspace("school", ("key-1",), 0)
    problems = workspace_keys.find_shared_keys([CHOIR, other])
    assert problems == ["workspaces choir and school share a key"]
