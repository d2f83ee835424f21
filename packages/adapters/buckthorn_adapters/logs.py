"""Logging with loguru: one event per line, for changes of state only.

Text lines are `TIME LEVEL event key=value ...`, structured ones flat JSON
objects. A repeated event is written at most once in `REPEAT_INTERVAL_S`, and
the next line of that event says how many were suppressed, so that a fault on
the request path can't flood the log.
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
# Each of these events reports a different state, so none is suppressed.
UNLIMITED_EVENTS = frozenset({"version_accepted", "version_in_force"})
# Events of single requests, or of one daemon out of many. Each is limited to
# `RATE_LIMIT_PER_S`: a daemon refuses a few hundred requests a second in a
# burst, and a line costs about 50 us.
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
# Fields that identify the subject of an event. Events with different subjects
# are not repetitions of each other.
SUBJECT_FIELDS = ("job", "service", "partition")
SUPPRESSED_FIELD = "left_out"


class RepeatFilter:
    """Log filter that suppresses repeated events."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_written_s: dict[tuple[Any, ...], float] = {}
        self._suppressed: dict[tuple[Any, ...], int] = {}
        self._written_in_second: dict[str, tuple[int, int]] = {}

    def __call__(self, record: Any) -> bool:
        """Returns whether a record is to be written."""
        event = record["message"]
        if event in UNLIMITED_EVENTS:
            return True
        extra = record["extra"]
        now_s = record["elapsed"].total_seconds()
        if event in RATE_LIMITED_EVENTS:
            return self._is_within_rate(event, int(now_s), extra)
        key = (event, *(extra.get(name) for name in SUBJECT_FIELDS))
        with self._lock:
            if (
                now_s - self._last_written_s.get(key, -REPEAT_INTERVAL_S)
                < REPEAT_INTERVAL_S
            ):
                self._suppressed[key] = self._suppressed.get(key, 0) + 1
                return False
            self._last_written_s[key] = now_s
            suppressed = self._suppressed.pop(key, 0)
        if suppressed:
            extra[SUPPRESSED_FIELD] = suppressed
        return True

    def _is_within_rate(
        self, event: str, second: int, extra: dict[str, Any]
    ) -> bool:
        key = (event,)
        with self._lock:
            last_second, written = self._written_in_second.get(
                event, (second, 0)
            )
            if last_second != second:
                written = 0
            if written >= RATE_LIMIT_PER_S:
                self._suppressed[key] = self._suppressed.get(key, 0) + 1
                return False
            self._written_in_second[event] = (second, written + 1)
            suppressed = self._suppressed.pop(key, 0)
        if suppressed:
            extra[SUPPRESSED_FIELD] = suppressed
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


def format_text(record: Any) -> str:
    """Formats a record as a text line."""
    time = record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    columns = [
        f"{time}{record['time'].strftime('%z')}",
        f"{record['level'].name:<7}",
        record["message"],
        *(
            f"{k}={v!r}" if " " in str(v) else f"{k}={v}"
            for k, v in _fields(record).items()
        ),
    ]
    return " ".join(columns)


def format_json(record: Any) -> str:
    """Formats a record as a flat JSON object."""
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
    formatter: Callable[[Any], str], stream: TextIO | None
) -> Callable[[Any], None]:
    def write(message: Any) -> None:
        record = message.record
        lines = f"{formatter(record)}\n"
        if formatter is format_text:
            lines += _traceback(record).get("traceback", "")
        out = stream or sys.stderr
        out.write(lines)
        out.flush()

    return write


def configure(
    structured: bool, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Configures the log sink.

    Args:
        structured: Whether to write JSON lines instead of text.
        level: The lowest level that is written.
        stream: The output stream; None for standard error.
    """
    loguru.logger.remove()
    loguru.logger.add(
        _sink(format_json if structured else format_text, stream),
        level=level,
        format="{message}",
        filter=RepeatFilter(),
        backtrace=False,
        diagnose=False,
    )
