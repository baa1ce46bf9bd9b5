"""What a leader asks of its servers, and what comes back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.core import ServerId, ShardId

__all__ = [
    "Action",
    "Event",
    "GrantInstalled",
    "GrantLapsed",
    "GrantRefused",
    "GrantRenewed",
    "InstallGrant",
    "NoAnswer",
    "ProbeAnswered",
    "ProbeServer",
    "ReleaseFailed",
    "ReleaseShard",
    "RenewGrant",
    "ServerRefusedNewWork",
    "ShardReleased",
]


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Exchange any answer with the server; one that checks fences also tells its clock."""

    server: ServerId
    address: str
    term: int
    call: int
    checks_fence: bool


@dataclass(frozen=True, slots=True)
class InstallGrant:
    """Replace all grants at the server, good until its clock reads `clock_ms` plus the TTL.

    Work that still runs when the clock reads `clock_ms` plus `run_s` is stopped by the server.
    The server refuses a call number that is not above the last one of the term: a grant that
    was held up cannot bring back a shard that was released since.
    """

    server: ServerId
    address: str
    term: int
    call: int
    clock_ms: int | None  # the server's own clock, as it last told; None: it tells none
    ttl_s: float
    run_s: float
    epochs_by_shard: dict[ShardId, int]


@dataclass(frozen=True, slots=True)
class RenewGrant:
    """Extend the grants in force, unless they have lapsed."""

    server: ServerId
    address: str
    term: int
    call: int
    clock_ms: int | None
    ttl_s: float
    run_s: float


@dataclass(frozen=True, slots=True)
class ReleaseShard:
    """Ask the server to confirm that nothing of the shard runs and no grant for it is left."""

    server: ServerId
    address: str
    term: int
    shard: ShardId
    epoch: int


Action = ProbeServer | InstallGrant | RenewGrant | ReleaseShard


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """Report any answer to a probe; health told in it is not believed."""

    server: ServerId
    term: int
    call: int
    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class GrantInstalled:
    """Report that the server confirmed a grant."""

    server: ServerId
    term: int
    call: int
    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class GrantRenewed:
    """Report that the server confirmed a renewal."""

    server: ServerId
    term: int
    call: int
    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class GrantLapsed:
    """Report that there was nothing to renew."""

    server: ServerId
    term: int
    call: int
    clock_ms: int | None


@dataclass(frozen=True, slots=True)
class GrantRefused:
    """Report that the server knows a higher term or a later call."""

    server: ServerId
    term: int
    call: int


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Report that a call was not answered in time; it may still take effect."""

    server: ServerId
    term: int
    call: int


@dataclass(frozen=True, slots=True)
class ShardReleased:
    """Report that the server confirmed a release."""

    server: ServerId
    term: int
    shard: ShardId
    epoch: int


@dataclass(frozen=True, slots=True)
class ReleaseFailed:
    """Report that a release was not confirmed; it is asked for again."""

    server: ServerId
    term: int
    shard: ShardId
    epoch: int


@dataclass(frozen=True, slots=True)
class ServerRefusedNewWork:
    """Report that the server refused work because it is leaving."""

    server: ServerId
    term: int


Event = (
    ProbeAnswered
    | GrantInstalled
    | GrantRenewed
    | GrantLapsed
    | GrantRefused
    | NoAnswer
    | ShardReleased
    | ReleaseFailed
    | ServerRefusedNewWork
)
