"""A site of real processes under load and faults, and what its callers saw."""

from __future__ import annotations

__all__: list[str] = []
