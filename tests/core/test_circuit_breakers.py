"""Tests of the circuit breaker for silent upstreams."""

from buckthorn_core import circuit_breakers


def test_it_stays_closed_while_the_upstream_answers():
    """Guards against opening because of a single slow request."""
    breaker = circuit_breakers.CircuitBreaker()
    breaker.on_started("slow", 0.0)
    for n in range(1, 50):
        breaker.on_started(f"q-{n}", n * 0.1)
        breaker.on_ended(f"q-{n}", True, n * 0.1 + 0.05)
        assert not breaker.should_reject(0.05, n * 0.1 + 0.06)


def test_a_silent_upstream_gets_only_probes():
    """Guards against requests that wait for an unreachable host.

    An instance stops answering with a request in flight, while 20 requests
    per second arrive.
    """
    breaker = circuit_breakers.CircuitBreaker()
    breaker.on_started("q-0", 0.0)
    accepted_s = []
    for n in range(1, 200):
        now_s = n * 0.05
        if not breaker.should_reject(0.05, now_s):
            accepted_s.append(now_s)
            breaker.on_started(f"q-{n}", now_s)
    probes_s = [
        t for t in accepted_s if t > circuit_breakers.MIN_SILENCE_S + 0.1
    ]
    assert 3 <= len(probes_s) <= 8


def test_it_closes_with_the_first_answer():
    """Guards against rejections after the upstream has recovered."""
    breaker = circuit_breakers.CircuitBreaker()
    breaker.on_started("q-0", 0.0)
    assert not breaker.should_reject(0.05, 1.0)
    assert breaker.should_reject(0.05, 1.1)
    breaker.on_ended("q-0", True, 1.2)
    assert not breaker.should_reject(0.05, 1.21)


def test_it_opens_after_a_failed_connection():
    """Guards against a connection attempt for each request."""
    breaker = circuit_breakers.CircuitBreaker()
    breaker.on_unreachable(0.0)
    assert breaker.is_open(0.1)
    assert breaker.should_reject(0.05, 0.1)
    assert not breaker.should_reject(
        0.05, circuit_breakers.MIN_PROBE_INTERVAL_S + 0.01
    )
    breaker.on_unreachable(0.4)
    assert breaker.should_reject(
        0.05, 0.4 + circuit_breakers.MIN_PROBE_INTERVAL_S + 0.01
    )


def test_a_new_lifetime_resets_it():
    """Guards against rejections because of the previous instance."""
    breaker = circuit_breakers.CircuitBreaker()
    breaker.on_unreachable(0.0)
    breaker.reset()
    assert not breaker.should_reject(0.05, 0.01)
