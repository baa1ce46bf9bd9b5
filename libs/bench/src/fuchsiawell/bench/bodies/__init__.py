"""What a long body costs a daemon in memory, and how fast it passes."""

from __future__ import annotations

from fuchsiawell.bench.bodies.suite import run

__all__ = ["run"]
