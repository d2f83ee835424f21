"""Periodic jobs on a thread pool."""

from collections.abc import Callable
from concurrent import futures
import random
import threading
import time

import loguru

from buckthorn_core import errors

JITTER_FRACTION = 0.2
POLL_PERIOD_S = 0.02
WORKER_THREADS = 6

_logger = loguru.logger.bind(module=__name__)


class Job:
    """A function that runs periodically, never concurrently with itself.

    Attributes:
        name: Name of the job, for logs.
        failures: Failed runs since the last successful one.
    """

    def __init__(
        self, name: str, period_s: Callable[[], float], run: Callable[[], None]
    ):
        self.name = name
        self.failures = 0
        self._period_s = period_s
        self._run = run
        self._running = False
        self._wake_requested = False
        self._next_s = 0.0

    def wake(self) -> None:
        """Requests a run as soon as the current one, if any, has ended."""
        self._wake_requested = True

    def is_due(self, now_s: float) -> bool:
        """Returns whether the job should start now."""
        return not self._running and (
            self._wake_requested or now_s >= self._next_s
        )

    def mark_running(self) -> None:
        """Marks the job as running."""
        self._running = True
        self._wake_requested = False

    def run(self) -> None:
        """Runs the job and schedules the next run."""
        try:
            self._run()
            if self.failures:
                _logger.info(
                    "job_recovered", job=self.name, failures=self.failures
                )
            self.failures = 0
        except errors.BuckthornError as exc:
            self.failures += 1
            if self.failures == 1:
                _logger.warning("job_failing", job=self.name, error=str(exc))
        except Exception:
            self.failures += 1
            if self.failures == 1:
                _logger.exception("job_crashed", job=self.name)
        jitter = 1.0 + JITTER_FRACTION * (2.0 * random.random() - 1.0)
        self._next_s = time.monotonic() + self._period_s() * jitter
        self._running = False


class Scheduler:
    """Runs jobs when they are due."""

    def __init__(self) -> None:
        self._jobs: list[Job] = []
        self._pool = futures.ThreadPoolExecutor(WORKER_THREADS, "job")
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._loop, name="scheduler", daemon=True
        )

    def add(
        self,
        name: str,
        period_s: float | Callable[[], float],
        run: Callable[[], None],
    ) -> Job:
        """Adds a job.

        Args:
            name: Name of the job, for logs.
            period_s: Pause between runs, or a function that returns it, in
                seconds; varied by JITTER_FRACTION.
            run: The function to run.
        """
        if callable(period_s):
            period = period_s
        else:
            fixed_s = period_s

            def period() -> float:
                return fixed_s

        job = Job(name, period, run)
        self._jobs.append(job)
        return job

    def submit(self, run: Callable[[], None]) -> None:
        """Runs a function once, unless the scheduler is closed."""
        if not self._stopped.is_set():
            self._pool.submit(run)

    def start(self) -> None:
        """Starts the thread that runs jobs."""
        self._thread.start()

    def close(self) -> None:
        """Stops without waiting for running jobs."""
        self._stopped.set()
        self._thread.join(timeout=1.0)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _loop(self) -> None:
        while not self._stopped.wait(POLL_PERIOD_S):
            now_s = time.monotonic()
            for job in self._jobs:
                if job.is_due(now_s):
                    job.mark_running()
                    self._pool.submit(job.run)
