"""Fleets of any size for the experiments."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import pathlib
from typing import Any

import msgspec

from buckthorn_standins import fleet
from buckthorn_standins import publications

START_TIMEOUT_S = 120.0
STATUS_THREADS = 8


def resize(deployment: fleet.Deployment, daemons: int) -> fleet.Deployment:
    """Returns the deployment with its services scaled to some daemons."""
    total = sum(deployment.services.values())
    names = list(deployment.services)
    counts = {
        name: max(1, round(count * daemons / total))
        for name, count in deployment.services.items()
    }
    counts[names[0]] += daemons - sum(counts.values())
    return msgspec.structs.replace(deployment, services=counts)


def statuses(
    mesh: fleet.Fleet, instances: list[fleet.Instance]
) -> list[dict[str, Any] | None]:
    """Returns the status of several daemons."""
    with futures.ThreadPoolExecutor(STATUS_THREADS) as pool:
        return list(pool.map(mesh.status, instances))


def all_ready(
    mesh: fleet.Fleet, instances: list[fleet.Instance], version: int
) -> bool:
    """Returns whether daemons serve callers from at least a version."""
    return all(
        s and s["ready"] and s["version"] >= version
        for s in statuses(mesh, instances)
    )


def all_known(mesh: fleet.Fleet, instances: list[fleet.Instance]) -> bool:
    """Returns whether each daemon takes all of its region for up."""
    sizes: dict[str, int] = {}
    for instance in mesh.instances:
        sizes[instance.region] = sizes.get(instance.region, 0) + 1
    return all(
        s
        and sum(u["state"] == "up" for u in s["upstreams"])
        == sizes[s["region"]]
        for s in statuses(mesh, instances)
    )


def upstreams_known(
    mesh: fleet.Fleet, instances: list[fleet.Instance], count: int
) -> bool:
    """Returns whether daemons know enough upstreams of their region as up."""
    return all(
        s and sum(u["upstream_state"] == "up" for u in s["upstreams"]) >= count
        for s in statuses(mesh, instances)
    )


@contextlib.contextmanager
def running(
    deployment: fleet.Deployment,
    folder: pathlib.Path,
    has_upstream: Callable[[fleet.Instance], bool],
    seeds: Callable[[list[fleet.Instance]], dict[str, list[str]]] | None = None,
    **options: Any,
) -> Iterator[tuple[fleet.Fleet, publications.Publisher]]:
    """Runs a fleet that has converged on its first version.

    Args:
        deployment: What to run.
        folder: Folder for settings, logs and records.
        has_upstream: Whether a daemon gets an upstream process.
        seeds: Chooses the seeds of each region.
        **options: Passed on to `fleet.Fleet`.

    Yields:
        The fleet and a publisher of further versions.
    """
    mesh = fleet.Fleet(deployment, folder, **options)
    if seeds is not None:
        mesh.seeds = seeds(mesh.instances)
    try:
        mesh.start_platform()
        publications.publish_files(
            pathlib.Path("deploy") / deployment.name, mesh.client_settings()
        )
        for instance in mesh.instances:
            mesh.start_daemon(instance)
            if has_upstream(instance):
                mesh.start_upstream(instance)
        mesh.wait_until(
            lambda: (
                all_ready(mesh, mesh.instances, 1)
                and all_known(mesh, mesh.instances)
            ),
            START_TIMEOUT_S,
            "the start of the fleet",
        )
        yield mesh, publications.Publisher(mesh.direct_log_url, fleet.KEY)
    finally:
        mesh.close()
