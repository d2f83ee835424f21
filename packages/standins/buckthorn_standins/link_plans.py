"""Plan of the link between the processes of a fleet."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

HOST = "127.0.0.1"
ZONE_LATENCY_MS = 1.0
REGION_LATENCY_MS = 20.0
REGION_MBIT_S = 30.0

# Link end, scope and one-way latency in ms.
_ENDS = (
    ("near", "local", ZONE_LATENCY_MS),
    ("far", "region", REGION_LATENCY_MS),
)


class Linked(Protocol):
    """A process that is reached over the link."""

    def address(self, use: str) -> str:
        """Returns the address of a port."""
        ...


def make(
    instances: Iterable[Linked],
    log_links: Mapping[str, int],
    log_port: int,
    control_port: int,
) -> dict[str, Any]:
    """Returns the plan that `link` takes.

    Args:
        instances: Daemons, each with a near and a far port by use.
        log_links: Ports of the log service by link end.
        log_port: Port of the log service itself.
        control_port: Port for statistics and faults.
    """
    forwards = []
    for instance in instances:
        for kind in ("peer", "http"):
            for end, scope, latency_ms in _ENDS:
                forwards.append(
                    _forward(
                        instance.address(f"{kind}_{end}"),
                        instance.address(kind),
                        scope,
                        kind,
                        latency_ms,
                    )
                )
    for end, scope, latency_ms in _ENDS:
        forwards.append(
            _forward(
                f"{HOST}:{log_links[end]}",
                f"{HOST}:{log_port}",
                scope,
                "log",
                latency_ms,
            )
        )
    return {
        "control": f"{HOST}:{control_port}",
        "ports": forwards,
        "rates_mbit_s": {"region": REGION_MBIT_S},
    }


def _forward(
    listen: str, target: str, scope: str, kind: str, latency_ms: float
) -> dict[str, Any]:
    return {
        "listen": listen,
        "target": target,
        "scope": scope,
        "kind": kind,
        "latency_ms": latency_ms,
    }
