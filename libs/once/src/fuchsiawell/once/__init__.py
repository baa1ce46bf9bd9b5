"""At-most-once execution, resends and crash suspects."""

from __future__ import annotations

__all__: list[str] = []
