"""Experiment: what callers get out of a full mesh, by policy."""

import pathlib

from buckthorn_standins import experiments
from buckthorn_standins import load_patterns
from buckthorn_standins import mesh_model
from buckthorn_standins import tables

OUT = pathlib.Path("out")
SEEDS = 3
SHARE = "share of the bound"

POLICIES = {
    "as in the sidecar": mesh_model.Policy(),
    "callers' ages ignored": mesh_model.Policy(ages=False),
    "calls treated like callers": mesh_model.Policy(calls=False),
    "neither": mesh_model.Policy(ages=False, calls=False),
    "warm-up ignored": mesh_model.Policy(warmup=False),
    "hosts at random": mesh_model.Policy(placement=False),
    "first come, first served": mesh_model.Policy(admission=False),
}


def play(name: str, policy: mesh_model.Policy, seed: int) -> dict[str, float]:
    """Returns the figures of a pattern under a policy."""
    played = load_patterns.build(name)
    model = mesh_model.MeshModel(played, policy, seed)
    model.run()
    asked = {r.name: model.tallies[r.name].asked for r in played.routes}
    earned = sum(
        r.worth * model.tallies[r.name].in_time
        + r.late_worth * model.tallies[r.name].late
        for r in played.routes
    )
    total = sum(asked.values())
    sums = {
        what: sum(getattr(t, what) for t in model.tallies.values()) / total
        for what in ("in_time", "late", "refused", "failed")
    }
    return {
        SHARE: earned / load_patterns.bound(played, asked),
        **sums,
        "wasted slots": model.wasted_s / model.busy_s,
    }


def _mean(
    name: str, policy: mesh_model.Policy, seeds: list[int]
) -> dict[str, float]:
    plays = [play(name, policy, seed) for seed in seeds]
    return {w: sum(p[w] for p in plays) / len(plays) for w in plays[0]}


@experiments.experiment("mesh_load")
def run(options: experiments.Options) -> None:
    """Compares policies on load patterns, in a simulation."""
    seeds = [options.seed + n for n in range(options.rounds or SEEDS)]
    shares: dict[str, list[float]] = {}
    for name in load_patterns.names():
        means = {
            policy_name: _mean(name, policy, seeds)
            for policy_name, policy in POLICIES.items()
        }
        table = tables.Table(name, *next(iter(means.values())))
        for policy_name, mean in means.items():
            table.add(policy_name, *mean.values())
            shares.setdefault(policy_name, []).append(mean[SHARE])
        table.print()
    print(f"plot: {_plot(shares)}")


def _plot(shares: dict[str, list[float]]) -> pathlib.Path:
    """Draws the shares of the bound by pattern and policy."""
    # matplotlib takes about a second to load.
    from matplotlib import figure

    OUT.mkdir(exist_ok=True)
    drawn = figure.Figure(figsize=(8, 4))
    axes = drawn.subplots()
    width = 0.8 / len(shares)
    for index, (policy_name, values) in enumerate(shares.items()):
        places = [n + index * width for n in range(len(values))]
        axes.bar(places, values, width, label=policy_name)
    names = load_patterns.names()
    axes.set_xticks([n + 0.4 - width / 2 for n in range(len(names))], names)
    axes.set_ylabel(SHARE)
    axes.legend(fontsize="small")
    path = OUT / "mesh_load.svg"
    drawn.savefig(path)
    return path
