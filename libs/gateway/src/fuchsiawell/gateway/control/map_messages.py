"""Datagrams by which a new granter learns assignments that the store has forgotten."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.shards import Assignment

__all__ = ["MapReply", "MapRequest"]


@dataclass(frozen=True)
class MapRequest:
    """Request for the assignments of a service whose fences are at least `min_fence`."""

    service: str
    min_fence: int


@dataclass(frozen=True)
class MapReply:
    """Some of the requested assignments."""

    service: str
    assignments: list[Assignment]
