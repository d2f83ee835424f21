"""Baseline of the convergence experiment: everyone polls the log itself.

One process stands for several daemons. Each has its own connection and its
own acceptor, reads at the daemons' period with their jitter, and writes the
daemons' log line when a version is in force.
"""

import datetime
import random
import threading
import time

from absl import app
from absl import flags
import urllib3

from buckthorn_core import ids
from buckthorn_core import snapshots
from buckthorn_standins import publications

_LOG_URL = flags.DEFINE_string("log_url", "http://127.0.0.1:20000", "Log.")
_KEY = flags.DEFINE_string("key", "", "Key of publications and checkpoints.")
_FILES = flags.DEFINE_list("files", [], "Log file of each poller.")
_SITE = flags.DEFINE_string("site", "", "Site whose view is built.")
_PERIOD_MS = flags.DEFINE_float("period_ms", 200.0, "Pause between reads.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the jitter.")

JITTER = 0.2


def _poll(path: str) -> None:
    rng = random.Random(f"{_SEED.value}/{path}")
    reader = publications.LogReader(_LOG_URL.value, _KEY.value)
    held = 0
    with open(path, "a", buffering=1) as file:
        while True:
            spread = 1.0 + JITTER * (2.0 * rng.random() - 1.0)
            time.sleep(_PERIOD_MS.value / 1000 * spread)
            try:
                reader.read()
            except (urllib3.exceptions.HTTPError, RuntimeError):
                continue
            version = reader.acceptor.version
            if version.number > held:
                snapshots.build(
                    version, reader.acceptor.raw, ids.SiteName(_SITE.value)
                )
                held = version.number
                file.write(_line(held))


def _line(version: int) -> str:
    now = datetime.datetime.now(datetime.UTC)
    text = now.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3]
    return f"{text}+0000 INFO version_in_force {{'version': {version}}}\n"


def main(argv: list[str]) -> None:
    """Polls until the process is ended."""
    del argv
    for path in _FILES.value:
        threading.Thread(target=_poll, args=(path,), daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    app.run(main)
