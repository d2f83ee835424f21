"""Entry point of buckthornd."""

import pathlib
import signal
import sys
import threading

from absl import app
from absl import flags
import loguru

from buckthorn_adapters import logs
from buckthorn_core import errors
from buckthorn_core import findings
from buckthorn_daemon import daemon
from buckthorn_daemon import settings

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3
EXIT_ABORTED = 4

_CFG = flags.DEFINE_string("cfg", None, "Settings file, JSON with comments.")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit.")


def main(argv: list[str]) -> int:
    """Runs the daemon until SIGTERM or SIGINT; returns the exit status."""
    del argv
    if not _CFG.value:
        print("buckthornd: --cfg FILE is needed", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        cfg = settings.load(pathlib.Path(_CFG.value))
    except findings.FindingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if _CHECK.value:
        print(f"{_CFG.value}: the settings are valid")
        return 0
    logs.configure(cfg.structured_logs, cfg.log_level)
    return _serve(cfg)


def _serve(cfg: settings.Settings) -> int:
    stop = threading.Event()
    abort = threading.Event()

    def on_signal(*_: object) -> None:
        # The first signal starts a planned stop. A second one aborts requests
        # that are still in flight.
        (abort if stop.is_set() else stop).set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    process = daemon.Daemon(cfg)
    try:
        process.start()
    except (errors.BuckthornError, OSError) as exc:
        loguru.logger.error("start_failed", error=str(exc))
        return EXIT_START_FAILED
    stop.wait()
    drained = threading.Event()

    def drain() -> None:
        process.drain()
        drained.set()

    threading.Thread(target=drain, name="drain", daemon=True).start()
    while not drained.wait(0.05):
        if abort.is_set():
            loguru.logger.warning("cut")
            break
    process.close()
    return 0 if drained.is_set() else EXIT_ABORTED


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


if __name__ == "__main__":
    run()
