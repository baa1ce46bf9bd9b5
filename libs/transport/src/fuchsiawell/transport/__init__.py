"""Multiplexed msgpack streams between daemons."""

from __future__ import annotations

__all__: list[str] = []
