"""What connections that go silent cost callers."""

from __future__ import annotations

from fuchsiawell.bench.silence.suite import run

__all__ = ["run"]
