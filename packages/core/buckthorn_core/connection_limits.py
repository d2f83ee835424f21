"""How many connections of callers a daemon accepts.

A daemon also needs descriptors for readiness, announcements, metrics, the
upstream and other daemons. Callers that take all of them would end its service
for everyone.
"""

# Descriptors that callers never take: this part of all, up to a maximum that
# covers 580 connections to the upstream and 300 to other daemons.
RESERVED_SHARE = 0.25
MAX_RESERVED = 1_024
# Memory of a connection without a request, in bytes: 5,000 were measured for
# each of 2,000 idle ones; the rest is margin.
CONNECTION_BYTES = 8_192
# Part of the byte budget that connections may take.
BUDGET_SHARE = 0.5


def max_connections(max_descriptors: int, budget_bytes: int) -> int:
    """Returns the most connections of callers; at least one.

    Args:
        max_descriptors: Descriptors that the process may open.
        budget_bytes: Limit of the byte budget.
    """
    reserved = min(max_descriptors * RESERVED_SHARE, MAX_RESERVED)
    by_memory = budget_bytes * BUDGET_SHARE / CONNECTION_BYTES
    return max(1, int(min(max_descriptors - reserved, by_memory)))
