"""Settings of a sidecar and their defaults."""

import msgspec

from buckthorn_core import feed_trees
from buckthorn_core import ids

# Limits for callers until the first version is applied, in bytes and seconds.
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 67_108_864
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
# Memory of the smallest hosts, in megabytes.
DEFAULT_MEMORY_MB = 200.0


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a sidecar is started with.

    Attributes:
        daemon: Id of this daemon.
        site: Its availability zone.
        region: Its region.
        service: The service of the upstream beside it.
        upstream_address: Address of that upstream.
        callers_listen: Address for requests of callers and the upstream.
        daemons_listen: Address for connections of other daemons.
        control_listen: Address for announcements of the upstream.
        ready_listen: Address of the readiness check.
        metrics_listen: Address of the metrics; empty for none.
        grace_s: Time between the stop signal and the kill, in seconds.
        converge_s: Time within which an accepted version must be in force, in
            seconds.
        retry_ratio: Retries allowed per service, as a fraction of its requests.
        retry_constant: Retries allowed per service and window in addition.
        retry_window_s: Length of that window, in seconds.
        link_mbps: Bandwidth of the host's network link, in Mbit/s.
        memory_mb: Memory limit of the process, in megabytes.
        cap_window_s: Window of the bound on the runs of a workspace with a rate
            limit, in seconds. The same on all daemons, as are the next two.
        cap_overage: Runs allowed in a window beyond those of rate and burst, as
            a fraction of them.
        cap_slack: Runs allowed in a window in addition.
        canary_share: Share of a service's requests that a version on trial may
            get, over all daemons.
        canary_slack: Requests that it may get in addition.
        rollback_s: Time from the 50th bad response of a version until no daemon
            uses it any more, in seconds.
        learns_concurrency: Whether the upstream gets fewer requests at once
            than it announces slots while its run times rise with their number.
        max_descriptors: Most descriptors that the process may open; 0 for the
            limit that the system sets.
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
    cap_window_s: float = 5.0
    cap_overage: float = 0.1
    cap_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_s: float = 5.0
    learns_concurrency: bool = False
    max_descriptors: int = 0
