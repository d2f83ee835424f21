"""Faults of the test matrix, injected into a fake mesh."""

from collections.abc import Callable
import contextlib

from buckthorn_core import errors
from buckthorn_core import records
from tests.fakes import meshes

CONFIG = records.CONFIG_STREAM
FaultInjector = Callable[[meshes.Mesh, str], Callable[[], None]]
_injectors: dict[str, FaultInjector] = {}


def register(name: str) -> Callable[[FaultInjector], FaultInjector]:
    """Registers a function that injects a fault.

    The function returns another one that ends the fault.
    """

    def decorate(function: FaultInjector) -> FaultInjector:
        _injectors[name] = function
        return function

    return decorate


def inject(mesh: meshes.Mesh, fault: str, target: str) -> Callable[[], None]:
    """Injects a fault into a daemon; returns a function that ends it."""
    return _injectors[fault](mesh, target)


@register("kill")
def _kill(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    site = mesh.nodes[target].cfg.site
    seeds = mesh.nodes[target].cfg.seeds
    mesh.stop(target)
    return lambda: mesh.start(target, site, seeds=seeds) and None


@register("freeze")
def _freeze(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    mesh.freeze(target)
    return lambda: mesh.unfreeze(target)


def _cut(mesh: meshes.Mesh, target: str, both: bool) -> Callable[[], None]:
    for name in mesh.nodes:
        if name != target:
            mesh.cut(target, name, both)
    mesh.log.cut.add(target)

    def end() -> None:
        mesh.channel.cut.clear()
        mesh.log.cut.clear()

    return end


@register("cut_one_way")
def _cut_one_way(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    return _cut(mesh, target, False)


@register("cut_both_ways")
def _cut_both_ways(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    return _cut(mesh, target, True)


@register("silent")
def _silent(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Makes a daemon accept requests without replying."""
    address = mesh.address(target)
    mesh.channel.silent.add(address)
    return lambda: mesh.channel.silent.discard(address)


@register("slow_link")
def _slow_link(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    address = mesh.address(target)
    mesh.channel.slow.add(address)
    return lambda: mesh.channel.slow.discard(address)


@register("disorder")
def _disorder(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Delivers half of the requests between daemons again later."""
    del target
    mesh.channel.duplicate_rate = 0.5

    def end() -> None:
        mesh.channel.duplicate_rate = 0.0

    return end


@register("log_down")
def _log_down(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.down = True

    def end() -> None:
        mesh.log.down = False

    return end


@register("log_slow")
def _log_slow(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.read_limit = 1
    mesh.log.failures_after_append = 2

    def end() -> None:
        mesh.log.read_limit = 256
        mesh.log.failures_after_append = 0

    return end


@register("answer_lost")
def _answer_lost(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.failures_after_append = 3
    mesh.channel.response_loss_rate = 0.3

    def end() -> None:
        mesh.log.failures_after_append = 0
        mesh.channel.response_loss_rate = 0.0

    return end


@register("retention")
def _retention(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Freezes a daemon until the log has deleted what it had read."""
    mesh.freeze(target)
    mesh.run(meshes.CHECKPOINT_S * 1.5)
    mesh.log.expire(CONFIG, mesh.log.end(CONFIG) - 1)
    return lambda: mesh.unfreeze(target)


@register("race")
def _race(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Appends two publications that are based on the same version."""
    del target
    with contextlib.suppress(errors.LogError):
        mesh.publish()
        mesh.publish()
    return lambda: None


@register("herd")
def _herd(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Restarts all daemons at once, with the log down."""
    del target
    mesh.log.down = True
    for name, node in list(mesh.nodes.items()):
        mesh.stop(name)
        mesh.start(name, node.cfg.site, seeds=node.cfg.seeds)
    mesh.run(3)

    def end() -> None:
        mesh.log.down = False

    return end
