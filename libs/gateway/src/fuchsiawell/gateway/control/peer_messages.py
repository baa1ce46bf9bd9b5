"""What daemons tell each other in datagrams; each may be lost, none is needed for safety."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

from fuchsiawell.shards import Assignment, Owner

__all__ = [
    "SuspicionCleared",
    "CrashReport",
    "GroupLoadReport",
    "KeyCountReport",
    "LoadReport",
    "Message",
    "ShardMapUpdate",
    "BlockedRanges",
    "TermReport",
    "TotalLoadReport",
    "decode_message",
    "encode_message",
]


@dataclass(frozen=True)
class LoadReport:
    """How many requests the sender has at each server, and the terms it knows by service."""

    counts: dict[int, int]
    terms: dict[str, int]


@dataclass(frozen=True)
class GroupLoadReport:
    """How many requests the sender's group has at each server: from hub to hub."""

    counts: dict[int, int]


@dataclass(frozen=True)
class TotalLoadReport:
    """How many requests each server has from all daemons: from a hub to its followers."""

    counts: dict[int, int]


@dataclass(frozen=True)
class TermReport:
    """The terms of granting that the sender knows by service."""

    terms: dict[str, int]


@dataclass(frozen=True)
class KeyCountReport:
    """How many requests for each key the sender got since its last report."""

    service: str
    counts: dict[int, int]
    # How slow the sender found servers lately, in hundredths of the usual.
    paces: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True)
class BlockedRanges:
    """Ranges that are about to move."""

    service: str
    pieces: list[tuple[int, int]]


@dataclass(frozen=True)
class ShardMapUpdate:
    """Holdings that replace those of the map with the same term."""

    service: str
    term: int
    next_fence: int
    assignments: list[Assignment]


@dataclass(frozen=True)
class CrashReport:
    """A server life ended with a request in hand."""

    fingerprint: int
    life: str


@dataclass(frozen=True)
class SuspicionCleared:
    """A suspected request got an answer."""

    fingerprint: int


Message = (
    LoadReport
    | GroupLoadReport
    | TotalLoadReport
    | TermReport
    | KeyCountReport
    | BlockedRanges
    | ShardMapUpdate
    | CrashReport
    | SuspicionCleared
)


def encode_message(sender: str, count: int, message: Message) -> bytes:
    """Return a datagram; `count` is the sender's logical time."""
    match message:
        case LoadReport(counts, terms):
            body: list[object] = ["l", counts, terms]
        case GroupLoadReport(counts):
            body = ["g", counts]
        case TotalLoadReport(counts):
            body = ["a", counts]
        case TermReport(terms):
            body = ["t", terms]
        case KeyCountReport(service, counts, paces):
            body = ["k", service, counts, paces]
        case BlockedRanges(service, pieces):
            body = ["p", service, pieces]
        case ShardMapUpdate(service, term, next_fence, assignments):
            body = ["m", service, term, next_fence, [_pack(holding) for holding in assignments]]
        case CrashReport(fingerprint, life):
            body = ["c", fingerprint, life]
        case SuspicionCleared(fingerprint):
            body = ["o", fingerprint]
    return bytes(msgpack.packb([sender, count, *body]))


def decode_message(data: bytes) -> tuple[str, int, Message]:
    """Return sender, logical time and message; raises ValueError for anything else."""
    try:
        sender, count, kind, *body = msgpack.unpackb(data, strict_map_key=False)
        message: Message
        match kind, body:
            case "l", [counts, terms]:
                message = LoadReport(counts, terms)
            case "g", [counts]:
                message = GroupLoadReport(counts)
            case "a", [counts]:
                message = TotalLoadReport(counts)
            case "t", [terms]:
                message = TermReport(terms)
            case "k", [service, counts, paces]:
                message = KeyCountReport(service, counts, paces)
            case "p", [service, pieces]:
                message = BlockedRanges(service, [(first, last) for first, last in pieces])
            case "m", [service, term, next_fence, rows]:
                message = ShardMapUpdate(service, term, next_fence, [_unpack(row) for row in rows])
            case "c", [fingerprint, life]:
                message = CrashReport(fingerprint, life)
            case "o", [fingerprint]:
                message = SuspicionCleared(fingerprint)
            case _:
                raise ValueError(f"kind {kind!r} is not known")
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"not a message: {error}") from error
    if not isinstance(sender, str) or not isinstance(count, int):
        raise ValueError("not a message: sender or count is missing")
    return sender, count, message


def _pack(holding: Assignment) -> list[object]:
    owner = holding.owner
    row = None if owner is None else [owner.backend_id, owner.born, owner.host, owner.port]
    return [holding.first, holding.last, holding.fence, row]


def _unpack(row: list[object]) -> Assignment:
    first, last, fence, owner = row
    assert isinstance(first, int)
    assert isinstance(last, int)
    assert isinstance(fence, int)
    return Assignment(first, last, fence, Owner(*owner) if isinstance(owner, list) else None)
