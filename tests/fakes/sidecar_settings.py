"""Settings of a sidecar that does not listen on its addresses."""

from buckthorn_sidecar import settings

ADDRESS = "127.0.0.1:1"


def make():
    return settings.Settings(
        daemon="d-1",
        site="s",
        region="r",
        service="stock",
        upstream_address=ADDRESS,
        callers_listen=ADDRESS,
        daemons_listen=ADDRESS,
        control_listen=ADDRESS,
        ready_listen=ADDRESS,
    )
