"""When an upstream counts as silent."""

from buckthorn_core import circuit_breakers


def test_an_upstream_that_answers_is_never_closed():
    """Guards against a gate closed beside a slow request."""
    silence = circuit_breakers.CircuitBreaker()
    silence.on_started("slow", 0.0)
    for n in range(1, 50):
        silence.on_started(f"q-{n}", n * 0.1)
        silence.on_ended(f"q-{n}", True, n * 0.1 + 0.05)
        assert not silence.should_reject(0.05, n * 0.1 + 0.06)


def test_a_dark_upstream_is_closed_and_tried_from_time_to_time():
    """Guards against requests that wait for a host that is gone.

    The pattern: an instance goes dark with requests at it, while 20 requests
    a second arrive.
    """
    silence = circuit_breakers.CircuitBreaker()
    silence.on_started("q-0", 0.0)
    let_through = []
    for n in range(1, 200):
        now_s = n * 0.05
        if not silence.should_reject(0.05, now_s):
            let_through.append(now_s)
            silence.on_started(f"q-{n}", now_s)
    after = [t for t in let_through if t > circuit_breakers.MIN_SILENCE_S + 0.1]
    assert 3 <= len(after) <= 8


def test_it_opens_with_the_first_answer():
    """Guards against an upstream that stays closed after its return."""
    silence = circuit_breakers.CircuitBreaker()
    silence.on_started("q-0", 0.0)
    assert not silence.should_reject(0.05, 1.0)
    assert silence.should_reject(0.05, 1.1)
    silence.on_ended("q-0", True, 1.2)
    assert not silence.should_reject(0.05, 1.21)


def test_one_that_takes_no_connection_rests():
    """Guards against a connection tried for each request."""
    silence = circuit_breakers.CircuitBreaker()
    silence.on_unreachable(0.0)
    assert silence.is_open(0.1)
    assert silence.should_reject(0.05, 0.1)
    assert not silence.should_reject(
        0.05, circuit_breakers.FIRST_PAUSE_S + 0.01
    )
    silence.on_unreachable(0.4)
    assert silence.should_reject(
        0.05, 0.4 + circuit_breakers.FIRST_PAUSE_S + 0.01
    )


def test_another_lifetime_starts_anew():
    """Guards against a new instance that pays for the last one."""
    silence = circuit_breakers.CircuitBreaker()
    silence.on_unreachable(0.0)
    silence.reset()
    assert not silence.should_reject(0.05, 0.01)
