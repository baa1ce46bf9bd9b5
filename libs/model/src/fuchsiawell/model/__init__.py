"""Specification of the core protocol and its model check."""

from __future__ import annotations

__all__: list[str] = []
