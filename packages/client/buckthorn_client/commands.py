"""Registry of the commands of buckthornctl, and what they share.

A module registers its commands by name; `main` imports these modules.
"""

from collections.abc import Callable
import enum
import inspect
import pathlib
from typing import NamedTuple

from absl import flags

from buckthorn_adapters import log_clients
from buckthorn_client import daemons
from buckthorn_client import publishing
from buckthorn_client import settings
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import traffic

_CFG = flags.DEFINE_string(
    "cfg", "buckthornctl.jsonc", "Settings file of buckthornctl."
)
_FOLDER = flags.DEFINE_string(
    "folder", ".", "Folder that holds base.jsonc and overlays/SITE.jsonc."
)
_DAEMON = flags.DEFINE_string(
    "daemon", "", "URL of a daemon's admin interface, instead of the settings'."
)
_JSON = flags.DEFINE_bool("json", False, "Print one JSON document.")
_BASED_ON = flags.DEFINE_integer(
    "based_on",
    None,
    "Number of the version that you edited; the accepted one if not given.",
    lower_bound=0,
)

# Flags of every command.
COMMON_FLAGS = ("json", "cfg")

Run = Callable[[], "Exit"]


class Exit(enum.IntEnum):
    """Exit statuses."""

    OK = 0
    USAGE = 1
    FINDINGS = 2
    LOST_RACE = 3
    REFUSED = 4
    UNAVAILABLE = 5
    NOT_CONVERGED = 6


class UsageError(Exception):
    """The command line is wrong; the message says what would be right."""


class Command(NamedTuple):
    """A command.

    Attributes:
        name: What the operator types.
        run: The function.
        flags: Names of the flags that it takes.
    """

    name: str
    run: Run
    flags: tuple[str, ...]

    @property
    def help(self) -> str:
        """The whole help text."""
        return inspect.getdoc(self.run) or ""

    @property
    def summary(self) -> str:
        """The first line of the help text."""
        return self.help.partition("\n")[0]


_commands: dict[str, Command] = {}


def command(name: str, *flag_names: str) -> Callable[[Run], Run]:
    """Registers a command; its docstring is its help."""

    def register(function: Run) -> Run:
        _commands[name] = Command(name, function, (*flag_names, *COMMON_FLAGS))
        return function

    return register


def get(name: str) -> Command | None:
    """Returns a command, or None if there is none of that name."""
    return _commands.get(name)


def names() -> list[str]:
    """Returns the names of all commands."""
    return sorted(_commands)


def folder() -> pathlib.Path:
    """Returns the folder of base and overlays."""
    return pathlib.Path(_FOLDER.value)


def as_json() -> bool:
    """Returns whether the result is wanted as JSON."""
    return bool(_JSON.value)


def based_on(accepted: ids.VersionNumber) -> ids.VersionNumber:
    """Returns the version that the files are based on.

    Raises:
        UsageError: There is no such version yet.
    """
    if _BASED_ON.value is None:
        return accepted
    if _BASED_ON.value > accepted:
        raise UsageError(
            f"there is no version {_BASED_ON.value} yet; the accepted version"
            f" is {accepted}"
        )
    return ids.VersionNumber(_BASED_ON.value)


def load_settings() -> settings.Settings:
    """Loads the settings that --cfg names.

    Raises:
        findings.FindingsError: With all findings, each with its place.
    """
    return settings.load(pathlib.Path(_CFG.value))


def make_publisher(cfg: settings.Settings) -> publishing.Publisher:
    """Returns a publisher that has not read the log yet."""
    log = log_clients.HttpLogClient(
        cfg.log_url, traffic.ControlTraffic(), traffic.Scope.LOCAL
    )
    return publishing.Publisher(
        log, cfg.publish_key.encode(), cfg.peer_key.encode()
    )


def make_daemon_client(cfg: settings.Settings) -> daemons.DaemonClient:
    """Returns a client of the daemon that flags or settings name.

    Raises:
        errors.PeerError: They name none.
    """
    url = _DAEMON.value or cfg.daemon_url
    if not url:
        raise errors.PeerError(
            errors.Code.BAD_SETTINGS,
            f"no daemon to ask: set daemon_url in {_CFG.value}, or name the"
            " admin address of any daemon with --daemon=http://IP:PORT",
        )
    return daemons.DaemonClient(url)
