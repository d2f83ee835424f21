"""Faults of the matrix, as changes of a fake mesh with an end."""

from collections.abc import Callable
import contextlib

from buckthorn_core import errors
from buckthorn_core import records
from tests.fakes import meshes

CONFIG = records.CONFIG_STREAM
Strike = Callable[[meshes.Mesh, str], Callable[[], None]]
_strikes: dict[str, Strike] = {}


def strike(name: str) -> Callable[[Strike], Strike]:
    """Registers a fault; it returns a function that ends it."""

    def register(function: Strike) -> Strike:
        _strikes[name] = function
        return function

    return register


def begin(mesh: meshes.Mesh, fault: str, target: str) -> Callable[[], None]:
    """Makes a fault strike a daemon, and returns what ends it."""
    return _strikes[fault](mesh, target)


@strike("kill")
def _kill(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    site = mesh.nodes[target].cfg.site
    seeds = mesh.nodes[target].cfg.seeds
    mesh.stop(target)
    return lambda: mesh.start(target, site, seeds=seeds) and None


@strike("freeze")
def _freeze(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    mesh.freeze(target)
    return lambda: mesh.wake(target)


def _cut(mesh: meshes.Mesh, target: str, both: bool) -> Callable[[], None]:
    for name in mesh.nodes:
        if name != target:
            mesh.cut(target, name, both)
    mesh.log.cut.add(target)

    def end() -> None:
        mesh.channel.cut.clear()
        mesh.log.cut.clear()

    return end


@strike("cut_one_way")
def _cut_one_way(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    return _cut(mesh, target, False)


@strike("cut_both_ways")
def _cut_both_ways(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    return _cut(mesh, target, True)


@strike("silent")
def _silent(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    address = mesh.address(target)
    mesh.channel.silent.add(address)
    return lambda: mesh.channel.silent.discard(address)


@strike("slow_link")
def _slow_link(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    address = mesh.address(target)
    mesh.channel.slow.add(address)
    return lambda: mesh.channel.slow.discard(address)


@strike("disorder")
def _disorder(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.channel.repeats = 0.5

    def end() -> None:
        mesh.channel.repeats = 0.0

    return end


@strike("log_down")
def _log_down(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.down = True

    def end() -> None:
        mesh.log.down = False

    return end


@strike("log_slow")
def _log_slow(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.read_limit = 1
    mesh.log.lose_answers = 2

    def end() -> None:
        mesh.log.read_limit = 256
        mesh.log.lose_answers = 0

    return end


@strike("answer_lost")
def _answer_lost(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    mesh.log.lose_answers = 3
    mesh.channel.answer_loss = 0.3

    def end() -> None:
        mesh.log.lose_answers = 0
        mesh.channel.answer_loss = 0.0

    return end


@strike("retention")
def _retention(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    """Freezes a daemon until the log has dropped what it had read."""
    mesh.freeze(target)
    mesh.run(meshes.CHECKPOINT_S * 1.5)
    mesh.log.expire(CONFIG, mesh.log.end(CONFIG) - 1)
    return lambda: mesh.wake(target)


@strike("race")
def _race(mesh: meshes.Mesh, target: str) -> Callable[[], None]:
    del target
    with contextlib.suppress(errors.LogError):
        mesh.publish()
        mesh.publish()
    return lambda: None


@strike("herd")
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
