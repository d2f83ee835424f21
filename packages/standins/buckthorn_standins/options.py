"""Flags that several tools share."""

from absl import flags

SEED = flags.DEFINE_integer("seed", 1, "Seed of all random numbers.")
