"""Admission, shedding, hot keys and balance."""

from __future__ import annotations

__all__: list[str] = []
