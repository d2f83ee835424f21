"""Registry of the experiments, and their options."""

from collections.abc import Callable
import pathlib
from typing import Any

import msgspec


class Options(msgspec.Struct, frozen=True):
    """Options of an experiment; an empty one means its own default.

    Attributes:
        seed: Seed of all random choices of the experiment.
        sizes: Numbers of daemons or members.
        deployments: Names of deployments.
        rounds: Changes or repetitions; 0 means the default.
        seconds: Length of a measurement, in seconds; 0 means the default.
        folder: Where settings, logs and records go.
        daemon_settings: Settings of all daemons, in place of the defaults.
    """

    seed: int
    sizes: list[int]
    deployments: list[str]
    rounds: int
    seconds: float
    folder: pathlib.Path
    daemon_settings: dict[str, Any]


Experiment = Callable[[Options], None]
_experiments: dict[str, Experiment] = {}


def experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Registers an experiment; its docstring is its help."""

    def register(function: Experiment) -> Experiment:
        _experiments[name] = function
        return function

    return register


def get(name: str) -> Experiment | None:
    """Returns an experiment, or None if there is none of that name."""
    return _experiments.get(name)


def names() -> list[str]:
    """Returns the names of all experiments."""
    return sorted(_experiments)
