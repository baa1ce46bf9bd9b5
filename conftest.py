"""Hypothesis settings for all tests."""

from __future__ import annotations

from hypothesis import settings

# Use the same examples in every run, and never fail a test because it is slow.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("ci")
