"""How many connections of callers a daemon accepts."""

import pytest

from buckthorn_core import byte_budgets
from buckthorn_core import connection_limits


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "least", "most"),
    [
        # The smallest host of the stated deployments.
        (4_100, 200.0, 1_500, 3_076),
        (8_192, 552.0, 5_000, 7_168),
        # Descriptors are short.
        (128, 200.0, 90, 100),
        (1, 200.0, 1, 1),
    ],
)
def test_a_reserve_is_left(descriptors, memory_mb, least, most):
    """Guards against callers that leave no descriptor for readiness.

    Also guards against fewer connections than the 580 of a deployment.
    """
    budget = byte_budgets.from_host_memory(memory_mb)
    found = connection_limits.max_connections(descriptors, budget.limit)
    assert least <= found <= most
