"""Hypothesis settings shared by all tests."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=int(os.environ.get("TREFOILWIND_FUZZ_EXAMPLES", "60")),
)
hypothesis.settings.load_profile("ci")
