"""Specification of the grant protocol and its model check."""

from __future__ import annotations

__all__: list[str] = []
