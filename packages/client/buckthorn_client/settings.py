"""Settings of the operators' command, with all defaults."""

import pathlib

import msgspec

from buckthorn_adapters import jsonc


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


def load(path: pathlib.Path) -> Settings:
    """Loads settings.

    Raises:
        findings.FindingsError: With all findings, each with its place.
    """
    return jsonc.load(path).decode(Settings)
