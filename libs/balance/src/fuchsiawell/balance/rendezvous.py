"""Rendezvous hashing: daemons with the same members choose the same ones for a task."""

from __future__ import annotations

import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["rendezvous_order"]


def rendezvous_order(task: str, members: Iterable[str], count: int) -> list[str]:
    """Return the `count` members with the highest hash for a task, the highest first.

    When a member comes or goes, only the tasks change for which it is among the first.
    """
    return heapq.nlargest(count, members, key=lambda member: (_hash(task, member), member))


def _hash(task: str, member: str) -> bytes:
    return blake2b(f"{task} {member}".encode(), digest_size=8).digest()
