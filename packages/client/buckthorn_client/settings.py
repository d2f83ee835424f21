"""Settings of the operators' command, with all defaults."""

from collections.abc import Iterator
import pathlib

import msgspec

from buckthorn_adapters import jsonc
from buckthorn_core import findings


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of buckthornctl.

    Attributes:
        log_url: URL of the platform's log service.
        daemon_url: URL of the admin interface of any daemon.
        publish_key: Shared key that signs publications.
        peer_key: Shared key that authenticates checkpoints.
        author: Name of the operator.
    """

    log_url: str
    daemon_url: str = ""
    publish_key: str
    peer_key: str
    author: str = "operator"


def check(cfg: Settings, file: str) -> Iterator[findings.Finding]:
    """Yields what is wrong with settings of the right types."""
    for name in ("log_url", "daemon_url"):
        url = getattr(cfg, name)
        if (url or name == "log_url") and not url.startswith("http://"):
            yield findings.Finding(
                file, (name,), "bad-url", "the URL must start with http://"
            )
    for name in ("publish_key", "peer_key"):
        if not getattr(cfg, name):
            yield findings.Finding(
                file, (name,), "empty", "copy the key of the daemons' settings"
            )


def load(path: pathlib.Path) -> Settings:
    """Loads and checks settings.

    Raises:
        findings.FindingsError: With all findings, each with its place.
    """
    document = jsonc.load(path)
    cfg = document.decode(Settings)
    found = [document.locate(f) for f in check(cfg, str(path))]
    if found:
        raise findings.FindingsError(found)
    return cfg
