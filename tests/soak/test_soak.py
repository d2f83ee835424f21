"""Real daemons under random faults keep their promises.

`make soak SEEDS="1 2 3"` runs other seeds. A seed that ever failed stays in
`REGRESSIONS` with its cause.
"""

import os

import pytest

from tests.soak import meshes

# Seeds that have failed, each with its cause.
REGRESSIONS: dict[int, str] = {}
CI_SEEDS = (1, 2)
SEEDS = [int(s) for s in os.environ.get("SOAK_SEEDS", "").split()]


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS or [*CI_SEEDS, *REGRESSIONS])
def test_promises_hold_under_random_faults(tmp_path, seed):
    """Guards against a promise broken by faults that overlap."""
    mesh = meshes.Mesh(tmp_path, seed)
    try:
        broken = mesh.run()
        served = sum(
            1 for _, r in mesh.replies.values() if r and r.status == 200
        )
    finally:
        mesh.close()
    assert not broken, "\n".join(broken[:20])
    assert served > 50
