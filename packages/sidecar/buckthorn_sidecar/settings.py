"""Settings of a sidecar, with all defaults, checked."""

import msgspec

from buckthorn_core import feed_trees
from buckthorn_core import ids

# Until the first version states limits for callers, in bytes and seconds.
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 67_108_864
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
# The smallest hosts have this much, in megabytes.
DEFAULT_MEMORY_MB = 200.0


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What a sidecar is started with.

    Attributes:
        daemon: This daemon.
        site: Its availability zone.
        region: Its region.
        service: The service of the upstream beside it.
        upstream_address: Where that upstream listens.
        callers_listen: Where callers and the upstream send requests.
        daemons_listen: Where other daemons send requests.
        control_listen: Where the upstream announces itself.
        ready_listen: Where readiness is asked for.
        metrics_listen: Where metrics are served; empty for nowhere.
        grace_s: Time between the signal to stop and the kill, in seconds.
        converge_s: Time within which an accepted version must be in force, in
            seconds.
        retry_ratio: Retries that a service bears, as a share of requests.
        retry_constant: Retries that it bears besides, in a window.
        retry_window_s: Length of that window, in seconds.
        link_mbps: Rate of the host's link, in Mbit/s.
        memory_mb: Memory that the process may take, in megabytes.
    """

    daemon: ids.DaemonId
    site: ids.SiteName
    region: ids.RegionName
    service: ids.ServiceName
    upstream_address: ids.Address
    callers_listen: ids.Address
    daemons_listen: ids.Address
    control_listen: ids.Address
    ready_listen: ids.Address
    metrics_listen: ids.Address = ids.Address("")
    grace_s: float = 6.0
    converge_s: float = feed_trees.CONVERGE_S
    retry_ratio: float = 0.2
    retry_constant: float = 60.0
    retry_window_s: float = 10.0
    link_mbps: float = 100.0
    memory_mb: float = DEFAULT_MEMORY_MB
