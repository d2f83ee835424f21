"""Format of log lines, and suppression of repeated events."""

import json

import loguru
import pytest

from buckthorn_adapters import logs


@pytest.fixture
def logger():
    yield loguru.logger.bind(module="m")
    loguru.logger.remove()


def log_crash(logger):
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logger.exception("job_crashed", job="gossip")


def test_structured_lines_are_flat_json(logger, capsys):
    """Guards against lines that a log collector can't parse."""
    logs.configure(structured=True)
    logger.warning("upstream_gone", service="stock", odd={1})
    log_crash(logger)
    first, second = map(json.loads, capsys.readouterr().err.splitlines())
    assert first["event"] == "upstream_gone"
    assert (first["service"], first["module"]) == ("stock", "m")
    assert second["error"] == "ValueError('two\\nlines')"
    assert "Traceback" in second["traceback"]


def test_repeated_events_are_suppressed(logger, capsys, monkeypatch):
    """Guards against an error on the request path that floods the log."""
    logs.configure(structured=False)
    for _ in range(100):
        log_crash(logger)
    for version in range(3):
        logger.info("version_in_force", version=version)
    monkeypatch.setattr(logs, "REPEAT_INTERVAL_S", 0.0)
    log_crash(logger)
    lines = capsys.readouterr().err.splitlines()
    crashes = [line for line in lines if " job_crashed " in line]
    assert len(crashes) == 2 and "left_out=99" in crashes[1]
    assert sum("version_in_force" in line for line in lines) == 3
