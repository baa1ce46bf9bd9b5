"""What daemons tell each other in datagrams; each may be lost, none is needed for safety."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgpack

from fuchsiawell.shards import Holding, Owner

__all__ = [
    "Cleared",
    "Crashed",
    "GroupLoads",
    "KeyReport",
    "LoadReport",
    "Message",
    "Moved",
    "Pausing",
    "Terms",
    "TotalLoads",
    "decode_message",
    "encode_message",
]


@dataclass(frozen=True)
class LoadReport:
    """How many requests the sender has at each server, and the terms it knows by service."""

    counts: dict[int, int]
    terms: dict[str, int]


@dataclass(frozen=True)
class GroupLoads:
    """How many requests the sender's group has at each server: from hub to hub."""

    counts: dict[int, int]


@dataclass(frozen=True)
class TotalLoads:
    """How many requests each server has from all daemons: from a hub to its followers."""

    counts: dict[int, int]


@dataclass(frozen=True)
class Terms:
    """The terms of granting that the sender knows by service."""

    terms: dict[str, int]


@dataclass(frozen=True)
class KeyReport:
    """How many requests for each key the sender got since its last report."""

    service: str
    counts: dict[int, int]
    # How slow the sender found servers lately, in hundredths of the usual.
    paces: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Pausing:
    """Ranges that are about to move."""

    service: str
    pieces: list[tuple[int, int]]


@dataclass(frozen=True)
class Moved:
    """Holdings that replace those of the map with the same term."""

    service: str
    term: int
    next_fence: int
    holdings: list[Holding]


@dataclass(frozen=True)
class Crashed:
    """A server life ended with a request in hand."""

    fingerprint: int
    life: str


@dataclass(frozen=True)
class Cleared:
    """A suspected request got an answer."""

    fingerprint: int


Message = (
    LoadReport | GroupLoads | TotalLoads | Terms | KeyReport | Pausing | Moved | Crashed | Cleared
)


def encode_message(sender: str, count: int, message: Message) -> bytes:
    """Return a datagram; `count` is the sender's logical time."""
    match message:
        case LoadReport(counts, terms):
            body: list[object] = ["l", counts, terms]
        case GroupLoads(counts):
            body = ["g", counts]
        case TotalLoads(counts):
            body = ["a", counts]
        case Terms(terms):
            body = ["t", terms]
        case KeyReport(service, counts, paces):
            body = ["k", service, counts, paces]
        case Pausing(service, pieces):
            body = ["p", service, pieces]
        case Moved(service, term, next_fence, holdings):
            body = ["m", service, term, next_fence, [_pack(holding) for holding in holdings]]
        case Crashed(fingerprint, life):
            body = ["c", fingerprint, life]
        case Cleared(fingerprint):
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
                message = GroupLoads(counts)
            case "a", [counts]:
                message = TotalLoads(counts)
            case "t", [terms]:
                message = Terms(terms)
            case "k", [service, counts, paces]:
                message = KeyReport(service, counts, paces)
            case "p", [service, pieces]:
                message = Pausing(service, [(first, last) for first, last in pieces])
            case "m", [service, term, next_fence, rows]:
                message = Moved(service, term, next_fence, [_unpack(row) for row in rows])
            case "c", [fingerprint, life]:
                message = Crashed(fingerprint, life)
            case "o", [fingerprint]:
                message = Cleared(fingerprint)
            case _:
                raise ValueError(f"kind {kind!r} is not known")
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"not a message: {error}") from error
    if not isinstance(sender, str) or not isinstance(count, int):
        raise ValueError("not a message: sender or count is missing")
    return sender, count, message


def _pack(holding: Holding) -> list[object]:
    owner = holding.owner
    row = None if owner is None else [owner.backend_id, owner.born, owner.host, owner.port]
    return [holding.first, holding.last, holding.fence, row]


def _unpack(row: list[object]) -> Holding:
    first, last, fence, owner = row
    assert isinstance(first, int)
    assert isinstance(last, int)
    assert isinstance(fence, int)
    return Holding(first, last, fence, Owner(*owner) if isinstance(owner, list) else None)
