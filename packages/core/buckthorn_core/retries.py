"""Retry decisions, and the budget that limits retries."""

from buckthorn_core import errors

# Retries allowed per request, on average.
BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
MAX_RETRIES = 2

# Codes that any other instance would answer with as well.
_FINAL_CODES = frozenset(
    {
        errors.Code.BAD_REQUEST,
        errors.Code.BODY_TOO_LARGE,
        errors.Code.CLAIM_EXPIRED,
        errors.Code.DEADLINE_PASSED,
        errors.Code.HEADERS_TOO_LARGE,
        errors.Code.QUARANTINED,
    }
)
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})


class RetryBudget:
    """Token bucket filled by requests: limits retries to a share of them."""

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_request(self) -> None:
        """Adds the tokens that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Spends a token on a retry; returns whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def is_idempotent(method: str, configured: bool | None) -> bool:
    """Returns whether a request may run more than once."""
    if configured is not None:
        return configured
    return method in IDEMPOTENT_METHODS


def may_retry(
    exc: errors.BuckthornError,
    idempotent: bool,
    body_consumed: bool,
    retries: int,
    budget: RetryBudget,
) -> bool:
    """Returns whether a failed request may be sent to another instance.

    Args:
        exc: Error of the last attempt.
        idempotent: Whether the request may run more than once.
        body_consumed: Whether part of the body can't be sent again.
        retries: Retries made so far.
        budget: Retry budget, which an allowed retry is charged to.
    """
    if retries >= MAX_RETRIES or body_consumed:
        return False
    if exc.code in _FINAL_CODES:
        return False
    if not exc.info.not_run and not idempotent:
        return False
    return budget.try_acquire()
