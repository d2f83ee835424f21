"""Decision to send a request again, and the budget that bounds it."""

from buckthorn_core import errors

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
MAX_RETRIES = 2

# Every other instance would give the same answer.
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
    """Token bucket filled by requests, so that retries stay a fraction."""

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_request(self) -> None:
        """Counts a first try."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Takes a retry from the budget, if there is one left."""
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
    """Decides whether a failed request is sent to another instance.

    Args:
        exc: How the last try failed.
        idempotent: Whether the request may run more than once.
        body_consumed: Whether bytes of the body can't be sent again.
        retries: Retries made so far.
        budget: The budget; a retry that is allowed is taken from it.
    """
    if retries >= MAX_RETRIES or body_consumed:
        return False
    if exc.code in _FINAL_CODES:
        return False
    if not exc.info.not_run and not idempotent:
        return False
    return budget.try_acquire()
