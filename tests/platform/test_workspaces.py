"""Keys of workspaces, public routes, and kinds of routes, with processes."""

import pytest

from tests.platform import standins

pytestmark = pytest.mark.processes
TENANTS = [
    {"name": "choir", "apiKeys": ["key-1", "key-2"], "priority": 1},
    {"name": "school", "apiKeys": ["key-3"], "priority": 0, "ratePerS": 9},
]
FREE = standins.path_entry("free", "/free/", public=True)
TENANT = (standins.PREFIX + "Tenant").lower()


@pytest.fixture
def guarded(host, store):
    """A host with workspaces in force."""
    publish(store, 3, TENANTS)
    standins.wait_for(
        lambda: host.call("w", headers=bearer("nobody")).status == 401
    )
    # One workspace has a rate limit, which the daemon must first take over.
    standins.wait_for(lambda: "buckthorn_cap_shards 8.0" in host.metrics())
    return host


def publish(store, number, tenants):
    store.put(
        "keyed.op",
        "config",
        standins.configuration(
            number, standins.BROWSE, FREE, tenants=tenants, baseVersion="00"
        ),
    )


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


def test_the_upstream_gets_the_workspace_and_not_the_key(guarded, instance):
    """Guards against keys that leak, and against a workspace that callers set.

    Without a key, as upstreams call, no workspace is stated.
    """
    for name, headers, expected in (
        ("q-1", bearer("key-2"), "choir"),
        ("q-2", {**bearer("key-3"), TENANT: "choir"}, "school"),
        ("q-3", {TENANT: "choir"}, None),
    ):
        assert guarded.call(name, headers=headers).status == 200
        run = instance.runs[-1]
        assert run["id"] == name
        assert "authorization" not in run["headers"]
        assert run["headers"].get(TENANT) == expected
    assert "key-2" not in guarded.log.read_text()
    assert "key-2" not in guarded.metrics()


def test_public_routes_take_any_key(guarded, instance):
    """Guards against 401 on a public route, and against a key passed on."""
    reply = guarded.call("q-1", "/free/1", headers=bearer("nobody"))
    assert reply.status == 200
    assert "authorization" not in instance.runs[-1]["headers"]


def test_a_withdrawn_key_is_refused(guarded, store):
    """Guards against a key that works after the version that drops it."""
    assert guarded.call("q-1", headers=bearer("key-1")).status == 200
    left = [{**TENANTS[0], "apiKeys": ["key-2"]}, TENANTS[1]]
    publish(store, 4, left)
    standins.wait_for(
        lambda: guarded.call("q", headers=bearer("key-1")).status == 401
    )
    assert guarded.call("q-2", headers=bearer("key-2")).status == 200


def test_without_workspaces_the_header_reaches_the_upstream(host, instance):
    """Guards against a changed request in deployments without workspaces."""
    assert host.call("q-1", headers=bearer("key-1")).status == 200
    headers = instance.runs[-1]["headers"]
    assert headers["authorization"] == "Bearer key-1"


@pytest.mark.parametrize("kind", ["download", "unheard-of"])
def test_other_kinds_of_routes_leave_the_configuration_usable(
    host, instance, store, kind
):
    """Guards against a configuration that is ignored for a new word in it.

    A request of an unknown kind must not be repeated.
    """
    store.put(
        "keyed.op",
        "config",
        standins.configuration(
            3, standins.BROWSE, standins.path_entry("new", "/new/", kind=kind)
        ),
    )
    standins.wait_for(lambda: host.call("w", "/new/1").status == 200)
    assert host.call("q-1").status == 200
    instance.runs.clear()

    def fail(call, run):
        instance.answer(call, run, status=500)

    instance.respond = fail
    assert host.call("q-2", "/new/1").status == 500
    assert instance.run_count("q-2") == 1
    findings = host.events("configuration_finding")
    if kind == "download":
        assert not findings
    else:
        assert "new (shop.example/new/)" in findings[0]["finding"]
        assert 'kind="finding"' in host.metrics()
