"""Tests of the detection of crashes and of runs under suspicion."""

import asyncio
import contextlib

import pytest

from buckthorn_core import ids
from buckthorn_sidecar import crashes
from buckthorn_sidecar import suspicions

BAD, GOOD = ids.Fingerprint("0" * 16), ids.Fingerprint("1" * 16)


class Pool:
    """A pool of connections to an upstream.

    Attributes:
        has_open_connections: Whether a connection is open.
        refuses: What each probe of the port finds, in order.
        probes: How often the port was probed.
    """

    def __init__(self, has_open_connections=False, refuses=(True,)):
        self.has_open_connections = has_open_connections
        self.refuses = list(refuses)
        self.probes = 0

    async def refuses_connections(self):
        self.probes += 1
        return self.refuses.pop(0)


@contextlib.asynccontextmanager
async def run_under_suspicion(runs, digest, start_by_s):
    await runs.acquire(digest, start_by_s)
    try:
        yield
    finally:
        runs.release()


def make(pool):
    known = suspicions.Suspicions()
    return known, crashes.CrashDetector(pool, known)


@pytest.mark.parametrize(
    ("pool", "crashed", "probes"),
    [
        (Pool(), True, 1),
        # A process that ends closes its listening socket last.
        (Pool(refuses=(False, True)), True, 2),
        (Pool(refuses=(False, False)), False, 2),
        # Other connections go on: no probe, which costs a connection.
        (Pool(has_open_connections=True), False, 0),
    ],
)
def test_only_the_end_of_the_upstream_is_a_crash(pool, crashed, probes):
    """Guards against suspecting requests whose connection was closed."""

    async def run():
        known, detector = make(pool)
        detector.begin("a/1", BAD)
        assert await detector.on_connection_lost() is crashed
        assert known.get(BAD).crashes == crashed
        assert pool.probes == probes

    asyncio.run(run())


def test_a_crash_counts_once_for_each_request_in_flight():
    """Guards against one crash that is counted by each lost connection."""

    async def run():
        known, detector = make(Pool())
        for attempt, digest in (("a/1", BAD), ("a/2", BAD), ("a/3", GOOD)):
            detector.begin(attempt, digest)
        assert (
            await asyncio.gather(
                *(detector.on_connection_lost() for _ in range(3))
            )
            == [True] * 3
        )
        assert [known.get(n).crashes for n in (BAD, GOOD)] == [1, 1]

    asyncio.run(run())


def test_a_crash_counts_if_the_upstream_is_back_at_once():
    """Guards against a crash that probes of the port come too late for."""

    async def run():
        known, detector = make(Pool(refuses=(False, False)))
        detector.begin("a/1", BAD)
        detector.begin("a/2", GOOD)
        assert not await detector.on_connection_lost()
        detector.complete("a/2")
        detector.on_new_lifetime()
        assert [known.get(n).crashes for n in (BAD, GOOD)] == [1, 0]

    asyncio.run(run())


def test_requests_under_suspicion_run_one_after_the_other():
    """Guards against counting the next crash for innocent requests, too.

    Copies of one request may run beside each other: a popular lookup would
    otherwise wait for itself.
    """

    async def run():
        runs = crashes.SuspectRuns()
        loop = asyncio.get_running_loop()
        running, beside = [], []

        async def one(digest):
            async with run_under_suspicion(runs, digest, loop.time() + 1.0):
                running.append(digest)
                await asyncio.sleep(0.01)
                beside.append(set(running))
                running.remove(digest)

        await asyncio.gather(*(one(d) for d in (BAD, GOOD, BAD, GOOD)))
        assert sorted(map(len, beside)) == [1, 1, 1, 1]

    asyncio.run(run())


def test_waiting_behind_a_suspect_ends_in_time():
    """Guards against a request that waits until its deadline for another."""

    async def run():
        runs = crashes.SuspectRuns()
        now_s = asyncio.get_running_loop().time()
        async with run_under_suspicion(runs, BAD, now_s + 1.0):
            with pytest.raises(TimeoutError):
                async with run_under_suspicion(runs, GOOD, now_s + 0.01):
                    pass
        async with run_under_suspicion(runs, GOOD, now_s + 1.0):
            pass

    asyncio.run(run())
