"""Expected time and cost of moving a response from another host."""

from typing import NamedTuple

from buckthorn_core import link_schedules

# Size of a response at which the costs of crossings are stated, in bytes.
REFERENCE_BYTES = 1_500.0


class TransferCost(NamedTuple):
    """What moving a response takes.

    Attributes:
        transfer_s: Expected time on the sending host's link, in seconds.
        crossing: Cost of the crossing, as a share of an answer's value.
    """

    transfer_s: float
    crossing: float


def estimate(
    response_bytes: float,
    drain_s: float,
    link_mbps: float,
    reference_crossing: float,
    region_rate: float | None = None,
) -> TransferCost:
    """Returns the time and cost of moving a response.

    Small responses overtake what waits on the link, so they don't wait for it.

    Args:
        response_bytes: Expected size of the response, in bytes.
        drain_s: Expected time until what waits on the link is sent, in seconds.
        link_mbps: Bandwidth of the sending host's link, in Mbit/s; 0 if not
            known.
        reference_crossing: Cost of the crossing for a response of
            REFERENCE_BYTES.
        region_rate: Bytes a second that the sending host has to other regions;
            None if the response stays in its region.
    """
    rate = link_schedules.LINK_SHARE * link_mbps * link_schedules.BYTES_PER_MBIT
    if region_rate is not None:
        rate = min(rate, region_rate) if rate > 0 else region_rate
    transfer_s = response_bytes / rate if rate > 0 else 0.0
    if response_bytes > link_schedules.SMALL_BODY_BYTES:
        transfer_s += drain_s
    crossing = reference_crossing * response_bytes / REFERENCE_BYTES
    return TransferCost(transfer_s, crossing)
