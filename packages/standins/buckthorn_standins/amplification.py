"""Extra load by retries in a chain of calls whose last service is full."""

import random

from absl import app
from absl import flags

from buckthorn_core import errors
from buckthorn_core import retries
from buckthorn_standins import options

_REFUSED = flags.DEFINE_float(
    "refused", 0.9, "Share of its requests that the last service refuses."
)
_CALLS = flags.DEFINE_integer("calls", 2_000, "Calls at the top.")

DEPTHS = (1, 3, 6, 22)
MAX_WORK = 300_000


class Layer:
    """One hop of the chain, with its egress's retry budget."""

    def __init__(self, budget: bool, pass_on: bool):
        self.bucket = retries.RetryBudget() if budget else None
        self.pass_on = pass_on

    def again(self, exc: errors.RequestError, tries: int) -> bool:
        """Returns whether the hop retries a failure."""
        if not exc.info.not_run and self.pass_on:
            return False
        if self.bucket is None:
            return tries < retries.MAX_RETRIES
        return retries.may_retry(exc, True, False, tries, self.bucket)


class Chain:
    """A chain of calls.

    Attributes:
        work: Requests that reached the last service.
    """

    def __init__(
        self,
        depth: int,
        budget: bool,
        pass_on: bool,
        seed: int,
        refused: float,
    ):
        self._refused = refused
        self._rng = random.Random(seed)
        self._layers = [Layer(budget, pass_on) for _ in range(depth)]
        self.work = 0

    def call(self, depth: int = 0) -> bool:
        """Calls the service below a depth and returns whether it answered."""
        if self.work > MAX_WORK:
            return False
        layer = self._layers[depth]
        if layer.bucket is not None:
            layer.bucket.add_request()
        tries = 0
        while True:
            exc = self._try(depth)
            if exc is None:
                return True
            if not layer.again(exc, tries):
                return False
            tries += 1

    def _try(self, depth: int) -> errors.RequestError | None:
        if depth == len(self._layers) - 1:
            self.work += 1
            if self._rng.random() < self._refused:
                return errors.RequestError(errors.Code.SLOTS_FULL, "full")
            return None
        if self.call(depth + 1):
            return None
        # The service in between did run, so its failure isn't a refusal.
        return errors.RequestError(errors.Code.UPSTREAM_FAILED, "below failed")


def main(argv: list[str]) -> None:
    """Prints the amplification factors."""
    del argv
    print(
        f"seed={options.SEED.value} calls={_CALLS.value}"
        f" refused={_REFUSED.value}"
    )
    print(
        f"{'depth':>5} {'every layer':>12} {'with budget':>12}"
        f" {'one layer':>12} {'one, budget':>12}"
    )
    for depth in DEPTHS:
        factors = []
        for pass_on in (False, True):
            for budget in (False, True):
                chain = Chain(
                    depth,
                    budget,
                    pass_on,
                    options.SEED.value,
                    _REFUSED.value,
                )
                made = 0
                while made < _CALLS.value and chain.work <= MAX_WORK:
                    chain.call()
                    made += 1
                over = ">" if chain.work > MAX_WORK else ""
                factors.append(f"{over}{chain.work / made:.2f}")
        print(f"{depth:5} " + " ".join(f"{f:>12}" for f in factors))


if __name__ == "__main__":
    app.run(main)
