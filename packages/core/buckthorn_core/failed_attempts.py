"""What the tries of one request add up to."""

from buckthorn_core import errors


class FailedAttempts:
    """The failed tries of a request.

    A refusal of the last try says nothing of the earlier ones: the caller
    may be told "not run" only if that is true of every try (G5).
    """

    def __init__(self) -> None:
        self._may_have_run: errors.RequestError | None = None

    def add(self, exc: errors.RequestError) -> None:
        """Notes how a try failed."""
        if not exc.info.not_run:
            self._may_have_run = exc

    def final_error(self, last: errors.RequestError) -> errors.RequestError:
        """Returns the error to answer the caller with."""
        if last.info.not_run and self._may_have_run is not None:
            return self._may_have_run
        return last
