"""What a controller decides from: facts reported by leaders, requests, hints, settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId, ServerId, ServiceName, ShardId
    from fuchsiawell.platform import Host

__all__ = [
    "CellSettings",
    "Evidence",
    "Fact",
    "HandedOver",
    "MoveShard",
    "PinKey",
    "Released",
    "Request",
    "ServerDraining",
    "ServerLost",
    "ServerReached",
    "ServerReturned",
    "UnpinKey",
]


@dataclass(frozen=True, slots=True)
class Released:
    """State that nothing of the shard runs at its owner, and nothing will under this epoch."""

    shard: ShardId
    epoch: int


@dataclass(frozen=True, slots=True)
class HandedOver:
    """State that the leader sends nothing more to the server under this term."""

    server: ServerId
    term: int


@dataclass(frozen=True, slots=True)
class ServerLost:
    """State that every grant at the server has lapsed, and none follows under this term."""

    server: ServerId
    term: int


@dataclass(frozen=True, slots=True)
class ServerReturned:
    """State that a server that was declared lost answers again."""

    server: ServerId
    term: int


@dataclass(frozen=True, slots=True)
class ServerReached:
    """State that the leader of this term is in exchange with the server."""

    server: ServerId
    term: int


@dataclass(frozen=True, slots=True)
class ServerDraining:
    """State that the server itself refuses new work because it is leaving."""

    server: ServerId
    term: int


Fact = Released | HandedOver | ServerLost | ServerReturned | ServerReached | ServerDraining


@dataclass(frozen=True, slots=True)
class MoveShard:
    """Ask for a shard to be moved to another server of its service."""

    shard: ShardId
    to: ServerId


@dataclass(frozen=True, slots=True)
class PinKey:
    """Ask for a key to be held apart from its shard, at server `to`."""

    service: ServiceName
    key: str
    to: ServerId


@dataclass(frozen=True, slots=True)
class UnpinKey:
    """Ask for a pinned key to go back to its shard."""

    service: ServiceName
    key: str


Request = MoveShard | PinKey | UnpinKey


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Hold what the accepted configuration says about ownership in this cell."""

    shard_count_by_service: dict[ServiceName, int]
    checks_fence_by_service: dict[ServiceName, bool]
    rebalance_s: float = 1.0  # least time between two batches of moves that no loss forces


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what one daemon knows at one instant; everything in it may be incomplete or old."""

    self_id: DaemonId
    has_right: bool  # the daemon hears a majority that hears it
    zones_by_daemon: dict[DaemonId, str]  # daemons heard, this one included
    incarnations_by_daemon: dict[DaemonId, int]  # as above
    acting: frozenset[DaemonId]  # of these, the ones that have the right to act
    inactive: frozenset[DaemonId] = frozenset()  # heard, but without that right for a while
    leaving: frozenset[DaemonId] = frozenset()  # stopping as planned
    cut_from_store: frozenset[DaemonId] = frozenset()  # heard, but without the store for a while
    lost: frozenset[DaemonId] = frozenset()  # members proved to have stopped
    up_to_date: frozenset[DaemonId] = frozenset()  # daemons that hold the present member set
    controller_lost_for_s: float | None = None  # None: the present controller is not lost
    started_for_s: float = float("inf")  # since this daemon began to listen
    hosts: tuple[Host, ...] = ()
    facts_by_daemon: dict[DaemonId, frozenset[Fact]] = field(default_factory=dict)
    requests: tuple[Request, ...] = ()
    rebalanced_s: float = float("-inf")  # when moves that no loss forced were last decided
