"""What a request costs on the whole path, beside a bare answer of the same HTTP server."""

from __future__ import annotations

from fuchsiawell.bench.path.suite import run

__all__ = ["run"]
