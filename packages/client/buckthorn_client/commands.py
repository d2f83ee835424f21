"""Commands of buckthornctl. A command is registered by name."""

from collections.abc import Callable
import enum
import pathlib

from absl import flags

from buckthorn_adapters import log_clients
from buckthorn_client import files
from buckthorn_client import publishing
from buckthorn_client import settings
from buckthorn_core import traffic

_CFG = flags.DEFINE_string("cfg", "buckthornctl.jsonc", "Settings file.")
_FOLDER = flags.DEFINE_string("folder", ".", "Folder of base and overlays.")

Command = Callable[[], "Exit"]
_commands: dict[str, Command] = {}


class Exit(enum.IntEnum):
    """Exit statuses."""

    OK = 0
    USAGE = 1
    FINDINGS = 2
    LOST_RACE = 3
    REFUSED = 4
    UNAVAILABLE = 5
    NOT_CONVERGED = 6


def command(name: str) -> Callable[[Command], Command]:
    """Registers a command; its docstring is its help."""

    def register(function: Command) -> Command:
        _commands[name] = function
        return function

    return register


def get(name: str) -> Command | None:
    """Returns a command, or None if there is none of that name."""
    return _commands.get(name)


def names() -> list[str]:
    """Returns the names of all commands."""
    return sorted(_commands)


def _publisher() -> tuple[publishing.Publisher, settings.Settings]:
    cfg = settings.load(pathlib.Path(_CFG.value))
    log = log_clients.HttpLogClient(
        cfg.log_url, traffic.ControlTraffic(), traffic.Scope.LOCAL
    )
    return (
        publishing.Publisher(
            log, cfg.publish_key.encode(), cfg.peer_key.encode()
        ),
        cfg,
    )


@command("check")
def _check() -> Exit:
    """Checks base and overlays without publishing them."""
    bundle = files.BundleFiles(pathlib.Path(_FOLDER.value)).load()
    print(f"valid: {bundle.base.mesh}, {len(bundle.overlays)} overlays")
    return Exit.OK


@command("publish")
def _publish() -> Exit:
    """Publishes base and overlays, based on the accepted version."""
    bundle = files.BundleFiles(pathlib.Path(_FOLDER.value)).load()
    publisher, cfg = _publisher()
    based_on = publisher.catch_up()
    result = publisher.publish(bundle, based_on, cfg.author)
    version = result.version.number
    if result.fate is publishing.Fate.ACCEPTED:
        print(f"accepted: version {version}")
        return Exit.OK
    if result.fate is publishing.Fate.LOST_RACE:
        print(f"lost a race: version {version} was accepted first")
        return Exit.LOST_RACE
    print(f"refused: {result.detail}")
    return Exit.REFUSED
