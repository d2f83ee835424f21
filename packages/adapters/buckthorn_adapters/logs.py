"""Logging with loguru: one event name a line, for changes of state only.

Text lines are `TIME LEVEL event key=value ...`, structured ones flat JSON
objects. A repeated event is written at most once in `REPEAT_INTERVAL_S`, and
the next line of that event says how many were left out, so that a fault on the
request path can't flood the log.
"""

from collections.abc import Callable
import json
import sys
import threading
import traceback
from typing import Any
from typing import TextIO

import loguru

REPEAT_INTERVAL_S = 10.0
# Events whose repetition is news: each stands for another state.
UNLIMITED_EVENTS = frozenset({"version_accepted", "version_in_force"})
# Events that explain single requests, or speak of one daemon of many, each as
# often as this in a second: a daemon refuses a few hundred requests a second
# in a burst, and a line costs about 50 us.
RATE_LIMITED_EVENTS = frozenset(
    {
        "request",
        "no_route",
        "bad_request",
        "foreign_answer",
        "link_lost",
        "daemon_unreachable",
        "daemon_reachable",
        "upstream_failed",
        "feed_chosen",
        "feed_lost",
        "foreign_daemon",
        "link_silent",
    }
)
RATE_LIMIT_PER_S = 100
# Fields that say whose state changed; events of others are other events.
SUBJECTS = ("job", "service", "partition")
_OWN_EXTRA = "left_out"


class Limiter:
    """Filter that leaves out repeated events."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_s: dict[tuple[Any, ...], float] = {}
        self._left_out: dict[tuple[Any, ...], int] = {}
        self._written: dict[str, tuple[int, int]] = {}

    def __call__(self, record: Any) -> bool:
        """Returns whether a record is written."""
        event = record["message"]
        if event in UNLIMITED_EVENTS:
            return True
        extra = record["extra"]
        now_s = record["elapsed"].total_seconds()
        if event in RATE_LIMITED_EVENTS:
            return self._is_within_rate(event, int(now_s), extra)
        key = (event, *(extra.get(name) for name in SUBJECTS))
        with self._lock:
            if (
                now_s - self._last_s.get(key, -REPEAT_INTERVAL_S)
                < REPEAT_INTERVAL_S
            ):
                self._left_out[key] = self._left_out.get(key, 0) + 1
                return False
            self._last_s[key] = now_s
            left_out = self._left_out.pop(key, 0)
        if left_out:
            extra[_OWN_EXTRA] = left_out
        return True

    def _is_within_rate(
        self, event: str, second: int, extra: dict[str, Any]
    ) -> bool:
        key = (event,)
        with self._lock:
            now, written = self._written.get(event, (second, 0))
            if now != second:
                written = 0
            if written >= RATE_LIMIT_PER_S:
                self._left_out[key] = self._left_out.get(key, 0) + 1
                return False
            self._written[event] = (second, written + 1)
            left_out = self._left_out.pop(key, 0)
        if left_out:
            extra[_OWN_EXTRA] = left_out
        return True


def _fields(record: Any) -> dict[str, Any]:
    fields = {k: v for k, v in record["extra"].items() if k != "module"}
    if record["exception"] is not None:
        fields["error"] = repr(record["exception"].value)
    return fields


def _traceback(record: Any) -> dict[str, str]:
    if record["exception"] is None:
        return {}
    lines = traceback.format_exception(*record["exception"])
    return {"traceback": "".join(lines)}


def as_text(record: Any) -> str:
    """Returns a record as a line for people."""
    time = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    words = [
        f"{time}{record['time'].strftime('%z')}",
        f"{record['level'].name:<7}",
        record["message"],
        *(
            f"{k}={v!r}" if " " in str(v) else f"{k}={v}"
            for k, v in _fields(record).items()
        ),
    ]
    return " ".join(words)


def as_json(record: Any) -> str:
    """Returns a record as a flat JSON object."""
    return json.dumps(
        {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": record["message"],
            "module": record["extra"].get("module", record["name"]),
            **_fields(record),
            **_traceback(record),
        },
        default=str,
    )


def _sink(
    form: Callable[[Any], str], stream: TextIO | None
) -> Callable[[Any], None]:
    def write(message: Any) -> None:
        record = message.record
        lines = f"{form(record)}\n"
        if form is as_text:
            lines += _traceback(record).get("traceback", "")
        out = stream or sys.stderr
        out.write(lines)
        out.flush()

    return write


def configure(
    structured: bool, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Sends logs to a stream, by default standard error.

    Args:
        structured: Whether as JSON lines, or as text.
        level: The lowest level that is written.
        stream: Where to write.
    """
    loguru.logger.remove()
    loguru.logger.add(
        _sink(as_json if structured else as_text, stream),
        level=level,
        format="{message}",
        filter=Limiter(),
        backtrace=False,
        diagnose=False,
    )
