"""Tests of the idle limit of upstream connections."""

from buckthorn_core import idle_limits


def test_a_reset_lowers_the_limit_below_its_idle_time():
    """Guards against repeated resets of reused idle connections."""
    limit = idle_limits.IdleLimit()
    assert limit.limit_s(0.0) == idle_limits.MAX_IDLE_S
    limit.on_reset(0.32, 100.0)
    assert limit.limit_s(100.0) < 0.32
    limit.on_reset(0.15, 100.1)
    assert limit.limit_s(100.1) < 0.15


def test_the_limit_grows_again():
    """Guards against a permanent new connection for each request."""
    limit = idle_limits.IdleLimit()
    limit.on_reset(0.32, 100.0)
    assert limit.limit_s(200.0) == idle_limits.MAX_IDLE_S


def test_a_longer_idle_time_does_not_raise_the_limit():
    """Guards against a reset that raises the limit."""
    limit = idle_limits.IdleLimit()
    limit.on_reset(0.2, 100.0)
    limit.on_reset(3.0, 100.0)
    assert limit.limit_s(100.0) <= 0.1
