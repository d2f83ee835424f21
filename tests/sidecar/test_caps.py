"""Rate limits over daemons, by schedules of faults without a network."""

import asyncio
import collections
import math

import hypothesis
from hypothesis import strategies as st
import loguru
import pytest
from tests.fakes import cap_meshes

from buckthorn_core import cap_shards
from buckthorn_core import ids

# Time until all shards are lent after a start, in seconds.
CLAIM_S = 9.0
LEASE_S = cap_shards.terms(5.0, 0.1, 20).lease_s


@pytest.fixture(autouse=True, scope="module")
def quiet():
    """Leaves out log lines, of which schedules write thousands."""
    loguru.logger.disable("buckthorn_sidecar")
    yield
    loguru.logger.enable("buckthorn_sidecar")


async def started(mesh):
    """Starts all daemons and waits until all shards are lent."""
    for daemon in mesh.members:
        mesh.start(daemon)
    await asyncio.sleep(CLAIM_S)
    assert mesh.lending() == cap_shards.SHARDS
    return list(mesh.members)


CAPS = st.sampled_from(
    [(2.0, 0.0), (2.0, 8.0), (9.0, 9.0), (20.0, 5.0), (60.0, 30.0), (150.0, 0)]
)


@hypothesis.settings(max_examples=30)
@hypothesis.given(cap=CAPS, seed=st.integers(0, 2**16))
def test_one_daemon_gets_the_whole_rate_limit_within_2_s(cap, seed):
    """Guards against parts of a rate limit that lie with other daemons.

    All demand, half as much again as the rate limit, is on one daemon.
    """
    rate_per_s, burst = cap

    async def main():
        mesh = cap_meshes.Mesh(seed, 8, rate_per_s, burst)
        daemons = await started(mesh)
        start_s = mesh.now_s
        await mesh.demand(daemons[:1], 1.5 * rate_per_s + 4, 4.0)
        await asyncio.sleep(0.5)
        mesh.close()
        assert [t for t in mesh.runs if t < start_s + 2] or rate_per_s < 5
        later = [t for t in mesh.runs if start_s + 2 <= t < start_s + 4]
        assert len(mesh.runs) > 0.9 * (rate_per_s * 4 + burst)
        assert len(later) > 0.9 * rate_per_s * 2 - 1

    cap_meshes.run(main())


@hypothesis.settings(max_examples=30)
@hypothesis.given(cap=CAPS, single=st.booleans(), seed=st.integers(0, 2**16))
def test_nothing_is_refused_in_normal_operation(cap, single, seed):
    """Guards against refusals below the rate limit.

    Demand is the usual 0.6 of it, at random times that burst and rate allow,
    on one daemon that changes, or on all.
    """
    rate_per_s, burst = cap

    async def main():
        mesh = cap_meshes.Mesh(seed, 8, rate_per_s, burst)
        daemons = await started(mesh)
        for daemon in daemons[:3]:
            await mesh.demand(
                [daemon] if single else daemons,
                0.6 * rate_per_s,
                4.0,
                within=True,
            )
        await asyncio.sleep(0.5)
        mesh.close()
        total = len(mesh.runs) + len(mesh.refusals)
        # One in a hundred may meet shards whose tokens are just used up.
        assert len(mesh.refusals) <= max(1, total / 100)

    cap_meshes.run(main())


def test_holders_lend_on_while_the_log_is_away():
    """Guards against refusals of a whole fleet in an outage of 9 s."""

    async def main():
        mesh = cap_meshes.Mesh(3, 8, 40.0, 20.0)
        daemons = await started(mesh)
        mesh.log_down = True
        await mesh.demand(daemons, 24.0, 9.0)
        mesh.log_down = False
        await mesh.demand(daemons, 24.0, 4.0)
        mesh.close()
        assert len(mesh.refusals) <= 2
        assert len(mesh.runs) > 0.9 * 24 * 13

    cap_meshes.run(main())


def test_a_herd_of_restarted_daemons_lends_again_at_once():
    """Guards against shards that lie idle after their holders' restart."""

    async def main():
        mesh = cap_meshes.Mesh(4, 8, 40.0, 20.0)
        daemons = await started(mesh)
        for daemon in daemons[:5]:
            mesh.kill(daemon)
        await asyncio.sleep(2.0)
        for daemon in daemons[:5]:
            mesh.start(daemon)
        await asyncio.sleep(1.0)
        assert mesh.lending() == cap_shards.SHARDS
        mesh.close()

    cap_meshes.run(main())


def test_shards_of_lost_hosts_are_taken_over():
    """Guards against a rate limit that shrinks with each lost host."""

    async def main():
        mesh = cap_meshes.Mesh(5, 8, 40.0, 20.0)
        daemons = await started(mesh)
        for daemon in daemons[:4]:
            mesh.kill(daemon)
        await asyncio.sleep(40.0)
        assert mesh.lending() == cap_shards.SHARDS
        mesh.close()

    cap_meshes.run(main())


def test_holders_go_on_when_the_log_is_restored():
    """Guards against refusals after the log came back from an older copy.

    The copy lacks some holders' records, so these must write them again.
    """

    async def main():
        mesh = cap_meshes.Mesh(6, 8, 40.0, 20.0)
        daemons = await started(mesh)
        mesh.restore(mesh.records[:3])
        await mesh.demand(daemons, 24.0, 20.0)
        assert mesh.lending() == cap_shards.SHARDS
        mesh.close()
        assert len(mesh.refusals) <= 3

    cap_meshes.run(main())


FAULTS = st.one_of(
    st.tuples(st.just("kill"), st.integers(0, 6), st.floats(0.3, 30)),
    st.tuples(st.just("cut"), st.integers(0, 6), st.floats(0.5, 25)),
    st.tuples(st.just("cut_log"), st.integers(0, 6), st.floats(0.5, 30)),
    st.tuples(st.just("isolate"), st.integers(0, 6), st.floats(5, 25)),
    st.tuples(st.just("split"), st.integers(0, 1), st.floats(0.5, 25)),
    st.tuples(st.just("log_down"), st.just(0), st.floats(0.5, 20)),
    st.tuples(st.just("restore"), st.integers(0, 20), st.just(0.0)),
    st.tuples(st.just("join"), st.just(0), st.just(0.0)),
    st.tuples(
        st.just("cap"), st.sampled_from([3, 9, 15, 30, 80]), st.just(0.0)
    ),
)


class Schedule:
    """Applies faults to a mesh and notes which versions were in force.

    Attributes:
        versions: Versions with the time until which a daemon had them.
        lent_twice: Shards that two processes lent at the same time.
    """

    def __init__(self, mesh):
        self._mesh = mesh
        self.versions = [[mesh.version, math.inf]]
        self.lent_twice = set()

    async def watch(self):
        """Notes when the last daemon has left a version, and who lends."""
        mesh = self._mesh
        while True:
            numbers = {p.version for p in mesh.processes.values()}
            for entry in self.versions[:-1]:
                if entry[0][0] in numbers or entry[1] is math.inf:
                    entry[1] = mesh.now_s + 0.05
            shards = collections.Counter(mesh.lent_shards())
            self.lent_twice |= {s for s, n in shards.items() if n > 1}
            await asyncio.sleep(0.05)

    async def apply(self, kind, which, seconds):
        mesh = self._mesh
        daemons = list(mesh.members)
        daemon = daemons[which % len(daemons)]
        if kind == "kill":
            mesh.kill(daemon)
            await asyncio.sleep(seconds)
            mesh.start(daemon)
        elif kind in ("cut", "split", "isolate"):
            if kind == "isolate":
                mesh.cuts.add((daemon, "log"))
            sides = [d for d in daemons if self._is_beside(kind, d, which)]
            mesh.cuts |= {
                tuple(sorted((a, b)))
                for a in sides
                for b in daemons
                if b not in sides
            }
            await asyncio.sleep(seconds)
            mesh.heal()
        elif kind == "cut_log":
            mesh.cuts.add((daemon, "log"))
            await asyncio.sleep(seconds)
            mesh.cuts.discard((daemon, "log"))
        elif kind == "log_down":
            mesh.log_down = True
            await asyncio.sleep(seconds)
            mesh.log_down = False
        elif kind == "restore":
            mesh.restore(mesh.records[: max(0, len(mesh.records) - which)])
        elif kind == "join":
            mesh.start(mesh.add(len(mesh.members)))
        elif kind == "cap":
            number = mesh.version[0] + 1
            mesh.version = (number, float(which), which / 2)
            self.versions.append([mesh.version, math.inf])

    def _is_beside(self, kind, daemon, which):
        members = self._mesh.members
        if kind == "split":
            return members[daemon].region == f"r{which}"
        return daemon == list(members)[which % len(members)]

    def check(self):
        """Checks that no window has more runs than its versions allow."""
        assert not self.lent_twice
        times_s = sorted(self._mesh.runs)
        for n, start_s in enumerate(times_s):
            most = max(
                cap_meshes.allowed(rate_per_s, burst)
                for (_, rate_per_s, burst), until_s in self.versions
                if until_s + LEASE_S >= start_s
            )
            count = cap_meshes.count_from(times_s, n)
            assert count <= most, (start_s, count, most)


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    faults=st.lists(
        st.tuples(st.floats(0.0, 8.0), FAULTS), min_size=1, max_size=9
    ),
    cap=st.sampled_from([(3.0, 0.0), (9.0, 9.0), (30.0, 15.0), (80.0, 10.0)]),
    loss=st.sampled_from([0.0, 0.05, 0.3]),
    late_appends=st.sampled_from([0.0, 0.5]),
    not_run=st.sampled_from([0.0, 0.3]),
    seed=st.integers(0, 2**16),
)
@hypothesis.example(
    faults=[(0.0, ("isolate", n, 24.0)) for n in range(3)],
    cap=(80.0, 10.0),
    loss=0.0,
    late_appends=0.0,
    not_run=0.0,
    seed=1,
)
@hypothesis.example(
    faults=[
        (0.0, ("isolate", 0, 24.0)),
        (0.0, ("isolate", 1, 24.0)),
        (1.0, ("restore", 20, 0.0)),
    ],
    cap=(80.0, 10.0),
    loss=0.0,
    late_appends=0.0,
    not_run=0.0,
    seed=2,
)
def test_no_window_exceeds_the_bound(
    faults, cap, loss, late_appends, not_run, seed
):
    """Guards against more runs than the bound, whatever fails.

    Demand is twice the rate limit. Afterwards all shards are lent again,
    so that the bound isn't kept by refusing everything.
    """

    async def main():
        mesh = cap_meshes.Mesh(seed, 7, *cap)
        daemons = await started(mesh)
        mesh.loss, mesh.late_appends = loss, late_appends
        schedule = Schedule(mesh)
        watch = asyncio.create_task(schedule.watch())
        tasks = [
            asyncio.create_task(
                mesh.demand(daemons, 2 * cap[0] + 5, 60.0, not_run)
            )
        ]
        for pause_s, fault in faults:
            await asyncio.sleep(pause_s)
            tasks.append(asyncio.create_task(schedule.apply(*fault)))
        await asyncio.gather(*tasks[1:])
        mesh.loss = mesh.late_appends = 0.0
        await asyncio.sleep(45.0)
        lending = mesh.lending()
        for task in (watch, *tasks):
            task.cancel()
        mesh.close()
        schedule.check()
        assert lending == cap_shards.SHARDS

    cap_meshes.run(main())


def test_requests_that_did_not_run_give_their_tokens_back():
    """Guards against a rate limit that refused requests use up."""

    async def main():
        mesh = cap_meshes.Mesh(7, 4, 20.0, 10.0)
        daemons = await started(mesh)
        process = mesh.processes[daemons[0]]
        limited = cap_meshes.workspace(20.0, 10.0)
        for _ in range(200):
            token = await process.caps.acquire(limited, 2.0)
            await asyncio.sleep(0.01)
            process.caps.give_back(token)
        mesh.close()

    cap_meshes.run(main())


def test_a_workspace_without_a_rate_limit_takes_no_token():
    """Guards against waits where nothing is limited, also at a change."""

    async def main():
        mesh = cap_meshes.Mesh(8, 4, 0.0, 0.0)
        for daemon in mesh.members:
            mesh.start(daemon)
        await asyncio.sleep(CLAIM_S)
        assert mesh.lending() == 0
        assert mesh.records == []
        free = cap_meshes.workspace(0.0, 0.0)
        process = mesh.processes[ids.DaemonId("d-0")]
        assert await process.caps.acquire(free, 2.0) is None
        assert await process.caps.acquire(None, 2.0) is None
        mesh.close()

    cap_meshes.run(main())
