"""Settings that every test shares."""

from __future__ import annotations

from hypothesis import settings

# The same examples in every run, and no verdict by elapsed time.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("ci")
