"""What the balancer may ask of the controller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId, ServiceName, ShardId

__all__ = ["BalanceDecision", "Move", "Pin", "Unpin"]


@dataclass(frozen=True, slots=True)
class Move:
    """Give a shard, or a pinned key's own shard, another owner."""

    shard: ShardId
    to: ServerId


@dataclass(frozen=True, slots=True)
class Pin:
    """Make a key a shard of its own, and move only that to another owner."""

    service: ServiceName
    key: str
    to: ServerId


@dataclass(frozen=True, slots=True)
class Unpin:
    """Return a key to its home shard; proposed only while one server owns both."""

    service: ServiceName
    key: str


BalanceDecision = Move | Pin | Unpin
