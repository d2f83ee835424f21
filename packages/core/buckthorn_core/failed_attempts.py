"""Combined outcome of the failed attempts of a request."""

from buckthorn_core import errors


class FailedAttempts:
    """Failed attempts of a request.

    A refusal of the last attempt says nothing about the earlier ones: the
    answer to the caller may say "not run" only if no attempt has run (G5).
    """

    def __init__(self) -> None:
        self._may_have_run: errors.RequestError | None = None

    def add(self, exc: errors.RequestError) -> None:
        """Adds the error of an attempt."""
        if not exc.info.not_run:
            self._may_have_run = exc

    def final_error(self, last: errors.RequestError) -> errors.RequestError:
        """Returns the error for the caller, given that of the last attempt."""
        if last.info.not_run and self._may_have_run is not None:
            return self._may_have_run
        return last
