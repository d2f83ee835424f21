"""The least rate of transfers with callers."""

import hypothesis
from hypothesis import strategies

from buckthorn_core import transfer_rates

GRACE_S = 15.0


def stalled_at(moves, grace_s=GRACE_S):
    """Returns when a transfer is found stalled, or None.

    Args:
        moves: Bytes that moved before each check; checks are 0.5 s apart.
        grace_s: The grace period, in seconds.
    """
    rate = transfer_rates.TransferRate(100.0)
    total = 0
    for number, moved in enumerate(moves, 1):
        total += moved
        if rate.is_stalled(100.0 + number / 2, total, grace_s):
            return number / 2
    return None


def test_a_transfer_that_stops_is_stalled_after_the_grace_period():
    """Guards against a caller that sends all of a body but its last byte."""
    assert stalled_at([0] * 100) == GRACE_S + 0.5
    moving = [1_000_000] * 20
    stopped_s = stalled_at([*moving, *([0] * 200)])
    assert GRACE_S < stopped_s - 10.0 <= 2 * GRACE_S


def test_a_trickle_is_stalled():
    """Guards against a caller that sends a byte now and then."""
    assert stalled_at([1] * 100) is not None


@hypothesis.given(
    period=strategies.integers(1, 16),
    rate=strategies.integers(2 * transfer_rates.LEAST_RATE, 100_000),
)
def test_a_slow_but_honest_reader_is_not_stalled(period, rate):
    """Guards against closing callers that share a slow link.

    Their acknowledgements come in steps, up to 8 s apart.
    """
    step = rate * period // 2
    moves = ([0] * (period - 1) + [step]) * 20
    assert stalled_at(moves, 8.0) is None
