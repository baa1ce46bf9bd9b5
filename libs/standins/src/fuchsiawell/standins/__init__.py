"""Test doubles: an in-memory store with fault injection."""

from __future__ import annotations

from fuchsiawell.standins.memory_store import MemoryStore

__all__ = ["MemoryStore"]
