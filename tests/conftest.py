"""Profiles of the randomised tests."""

import os

import hypothesis

# The same cases on each run, so that CI fails only when the code changed.
hypothesis.settings.register_profile(
    "ci", derandomize=True, max_examples=40, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "long", max_examples=1_000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
