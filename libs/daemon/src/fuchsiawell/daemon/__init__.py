"""The daemon: entry, leader and controller in one process."""

from __future__ import annotations

__all__: list[str] = []
