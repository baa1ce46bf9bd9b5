"""The fuchsiawell command line."""

from __future__ import annotations

__all__: list[str] = []
