"""Measurements and experiments."""

from __future__ import annotations

__all__: list[str] = []
