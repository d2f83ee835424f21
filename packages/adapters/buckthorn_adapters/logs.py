"""Logging with loguru: one event name a line, for changes of state only."""

import sys

import loguru

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra}"


def set_up(structured: bool, level: str = "INFO") -> None:
    """Sends logs to standard error, as text or as JSON lines."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        serialize=structured,
        backtrace=False,
        diagnose=False,
    )
