"""Settings of the daemon: fields, defaults and checks."""

from collections.abc import Iterator
import ipaddress
import pathlib

import msgspec

from buckthorn_core import findings
from buckthorn_core import ids
from buckthorn_core import selection_policies

MIN_KEY_CHARS = 16


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a daemon. Addresses are `IP:port`.

    Attributes:
        daemon_id: Unique name of the daemon.
        region: Region of the host.
        site: Site of the host.
        peer_listen: Where to listen for other daemons.
        http_listen: Where to listen for requests.
        admin_listen: Where to listen for announcements and status; keep it
            on the host.
        peer_address: Where daemons of the region reach `peer_listen`;
            empty means at `peer_listen`.
        remote_peer_address: The same for daemons of other regions; empty
            means at `peer_address`.
        http_address: Where daemons of the region reach `http_listen`;
            empty means at `http_listen`.
        remote_http_address: The same for daemons of other regions; empty
            means at `http_address`.
        log_url: URL of the platform's log service.
        log_region: Region of the log service.
        seeds: Peer addresses through which to join if the log can't be read.
        publish_key: Shared key that signs publications.
        peer_key: Shared key that authenticates daemons.
        http_threads: Threads that serve requests. Requests of callers and
            requests for the upstream beside the daemon may each occupy 7 in
            16 of them; the rest serves refusals.
        choice_policy: Policy that selects upstreams.
        log_poll_ms: Pause between reads of the log, in ms.
        checkpoint_s: Longest time between checkpoints, in seconds; less
            than half of the log's retention.
        log_retention_s: Shortest time for which the log keeps records, in
            seconds. Below 1200, keyed requests may be refused after a
            change of owner.
        drain_min_s: Time for which a planned stop waits so that other daemons
            learn of it, in seconds.
        burn_report_s: Shortest time between reports of request counts to the
            parent, in seconds.
        structured_logs: Whether logs are JSON lines.
        log_level: Lowest level that is logged: DEBUG, INFO, WARNING or ERROR.
    """

    daemon_id: ids.DaemonId
    region: ids.RegionName
    site: ids.SiteName
    peer_listen: ids.Address
    http_listen: ids.Address
    admin_listen: ids.Address
    peer_address: ids.Address = ids.Address("")
    remote_peer_address: ids.Address = ids.Address("")
    http_address: ids.Address = ids.Address("")
    remote_http_address: ids.Address = ids.Address("")
    log_url: str
    log_region: ids.RegionName
    seeds: list[ids.Address] = []
    publish_key: str
    peer_key: str
    http_threads: int = 96
    choice_policy: str = selection_policies.DEFAULT_POLICY
    log_poll_ms: int = 200
    checkpoint_s: float = 600.0
    log_retention_s: float = 3600.0
    drain_min_s: float = 3.0
    burn_report_s: float = 10.0
    structured_logs: bool = False
    log_level: str = "INFO"


_ADDRESSES = (
    "peer_listen",
    "http_listen",
    "admin_listen",
    "peer_address",
    "remote_peer_address",
    "http_address",
    "remote_http_address",
)
_RANGES: dict[str, tuple[float, float]] = {
    "http_threads": (2, 1_024),
    "log_poll_ms": (20, 60_000),
    "checkpoint_s": (1, 86_400),
    "log_retention_s": (1, 31_536_000),
    "drain_min_s": (0, 600),
    "burn_report_s": (0.1, 600),
}
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def check(cfg: Settings, file: str) -> Iterator[findings.Finding]:
    """Yields a finding for each invalid value.

    Args:
        cfg: The settings, already decoded to the right types.
        file: Path of the file, for the findings.
    """
    for name in _ADDRESSES:
        text = getattr(cfg, name)
        if text and not _is_address(text):
            yield findings.Finding(
                file, (name,), "bad-address", f"{text!r} is not IP:port"
            )
    for index, seed in enumerate(cfg.seeds):
        if not _is_address(seed):
            yield findings.Finding(
                file,
                ("seeds", index),
                "bad-address",
                f"{seed!r} is not IP:port",
            )
    for name, (minimum, maximum) in _RANGES.items():
        value = getattr(cfg, name)
        if not minimum <= value <= maximum:
            yield findings.Finding(
                file,
                (name,),
                "out-of-range",
                f"{value} is not between {minimum} and {maximum}",
            )
    for name in ("publish_key", "peer_key"):
        if len(getattr(cfg, name)) < MIN_KEY_CHARS:
            yield findings.Finding(
                file, (name,), "weak-key", f"under {MIN_KEY_CHARS} characters"
            )
    yield from _check_names(cfg, file)


def _check_names(cfg: Settings, file: str) -> Iterator[findings.Finding]:
    if not cfg.daemon_id:
        yield findings.Finding(
            file, ("daemon_id",), "empty", "the daemon needs an id"
        )
    if cfg.choice_policy not in selection_policies.names():
        yield findings.Finding(
            file,
            ("choice_policy",),
            "unknown-name",
            f"the policies are {', '.join(selection_policies.names())}",
        )
    if cfg.log_level not in _LOG_LEVELS:
        yield findings.Finding(
            file,
            ("log_level",),
            "unknown-name",
            f"the levels are {', '.join(_LOG_LEVELS)}",
        )
    if not cfg.log_url.startswith("http://"):
        yield findings.Finding(
            file, ("log_url",), "bad-url", "the URL must start with http://"
        )


def _with_default_addresses(cfg: Settings) -> Settings:
    peer = cfg.peer_address or cfg.peer_listen
    http = cfg.http_address or cfg.http_listen
    return msgspec.structs.replace(
        cfg,
        peer_address=peer,
        remote_peer_address=cfg.remote_peer_address or peer,
        http_address=http,
        remote_http_address=cfg.remote_http_address or http,
    )


def thread_share(http_threads: int) -> int:
    """Returns how many threads egress, or ingress, may occupy.

    Requests in the egress wait for the ingress of other daemons, and requests
    in the ingress wait for slots. If either occupied all threads, daemons
    could deadlock and refusals would have to wait for a thread.
    """
    return max(1, (http_threads - http_threads // 8) // 2)


def load(path: pathlib.Path) -> Settings:
    """Loads and checks settings, and fills in default addresses.

    Raises:
        findings.FindingsError: The file is invalid; has all findings with
            their positions.
    """
    # Imported here so that its memory is used only if settings are loaded.
    from buckthorn_adapters import jsonc

    document = jsonc.load(path)
    cfg = document.decode(Settings)
    problems = [document.locate(f) for f in check(cfg, str(path))]
    if problems:
        raise findings.FindingsError(problems)
    return _with_default_addresses(cfg)
