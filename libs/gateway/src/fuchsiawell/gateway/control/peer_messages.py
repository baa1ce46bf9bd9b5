"""Datagrams between daemons; any of them may be lost without harm to safety."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

import msgpack

from fuchsiawell.shards import Assignment, Owner

__all__ = [
    "BlockedRanges",
    "CrashReport",
    "GroupLoadReport",
    "KeyCountReport",
    "LoadReport",
    "Message",
    "PermitReply",
    "PermitRequest",
    "PermitStatus",
    "RateLimitReport",
    "ShardMapUpdate",
    "SuspicionCleared",
    "TermReport",
    "TotalLoadReport",
    "decode_message",
    "encode_message",
]


@dataclass(frozen=True)
class LoadReport:
    """In-flight requests by short id of the server, and the sender's granter terms by service."""

    counts: dict[int, int]
    terms: dict[str, int]


@dataclass(frozen=True)
class GroupLoadReport:
    """In-flight requests of the sender's group by short id of the server; from hub to hub."""

    counts: dict[int, int]


@dataclass(frozen=True)
class TotalLoadReport:
    """In-flight requests of all daemons by short id of the server; from a hub to its followers."""

    counts: dict[int, int]


@dataclass(frozen=True)
class TermReport:
    """The granter terms that the sender has, by service."""

    terms: dict[str, int]


@dataclass(frozen=True)
class KeyCountReport:
    """Requests for each key that the sender got since its last report; sent to the granter."""

    service: str
    counts: dict[int, int]
    # Recent latency by short id of the server, in percent of the usual.
    latency_percent: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True)
class BlockedRanges:
    """Key ranges that are about to move: requests for them are held back."""

    service: str
    ranges: list[tuple[int, int]]


@dataclass(frozen=True)
class ShardMapUpdate:
    """Assignments that replace those of the shard map with the same term."""

    service: str
    term: int
    next_fence: int
    assignments: list[Assignment]


@dataclass(frozen=True)
class CrashReport:
    """A server incarnation ended with this request in flight: it may be a poison request."""

    fingerprint: int
    incarnation_id: str


@dataclass(frozen=True)
class SuspicionCleared:
    """A suspected poison request got a response."""

    fingerprint: int


@dataclass(frozen=True)
class RateLimitReport:
    """What a server incarnation said of its rate limit `age_ms` ago; None: it no longer has one."""

    backend_id: str
    incarnation_id: str
    rate_per_s: float | None
    age_ms: int


@dataclass(frozen=True)
class PermitRequest:
    """Request to the issuer of a rate-limited server for leave to send it one request."""

    number: int
    limit: RateLimitReport
    priority: int
    # How long the sender waits for a permit; a denial comes at once if that is too short.
    max_wait_ms: int
    # 0 for the first issuer of the server, 1 for the substitute that is asked when it is silent.
    rank: int


class PermitStatus(StrEnum):
    """State of a request for a permit."""

    GRANTED = "granted"
    DENIED = "denied"
    # A decision follows in time.
    QUEUED = "queued"


@dataclass(frozen=True)
class PermitReply:
    """Reply to a permit request, with the limit as the issuer knows it."""

    number: int
    status: PermitStatus
    # Time after which another request may be granted, if this one was denied.
    wait_ms: int
    limit: RateLimitReport


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
    | RateLimitReport
    | PermitRequest
    | PermitReply
)


def encode_message(sender: str, lamport_time: int, message: Message) -> bytes:
    match message:
        case LoadReport(counts, terms):
            body: list[object] = ["l", counts, terms]
        case GroupLoadReport(counts):
            body = ["g", counts]
        case TotalLoadReport(counts):
            body = ["a", counts]
        case TermReport(terms):
            body = ["t", terms]
        case KeyCountReport(service, counts, latency_percent):
            body = ["k", service, counts, latency_percent]
        case BlockedRanges(service, ranges):
            body = ["p", service, ranges]
        case ShardMapUpdate(service, term, next_fence, assignments):
            body = [
                "m",
                service,
                term,
                next_fence,
                [_encode_assignment(assignment) for assignment in assignments],
            ]
        case CrashReport(fingerprint, incarnation_id):
            body = ["c", fingerprint, incarnation_id]
        case SuspicionCleared(fingerprint):
            body = ["o", fingerprint]
        case RateLimitReport():
            body = ["s", *_encode_limit(message)]
        case PermitRequest(number, limit, priority, max_wait_ms, rank):
            body = ["q", number, _encode_limit(limit), priority, max_wait_ms, rank]
        case PermitReply(number, status, wait_ms, limit):
            body = ["r", number, status.value, wait_ms, _encode_limit(limit)]
    return bytes(msgpack.packb([sender, lamport_time, *body]))


def decode_message(data: bytes) -> tuple[str, int, Message]:
    """Return sender, Lamport time and message; raises ValueError for anything else."""
    try:
        sender, lamport_time, kind, *body = msgpack.unpackb(data, strict_map_key=False)
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
            case "k", [service, counts, latency_percent]:
                message = KeyCountReport(service, counts, latency_percent)
            case "p", [service, ranges]:
                message = BlockedRanges(service, [(first, last) for first, last in ranges])
            case "m", [service, term, next_fence, rows]:
                message = ShardMapUpdate(
                    service, term, next_fence, [_decode_assignment(row) for row in rows]
                )
            case "c", [fingerprint, incarnation_id]:
                message = CrashReport(fingerprint, incarnation_id)
            case "o", [fingerprint]:
                message = SuspicionCleared(fingerprint)
            case "s", row:
                message = _decode_limit(row)
            case "q", [int(number), row, int(priority), int(max_wait_ms), int(rank)]:
                limit = _decode_limit(row)
                message = PermitRequest(number, limit, priority, max_wait_ms, rank)
            case "r", [int(number), status, int(wait_ms), row]:
                message = PermitReply(number, PermitStatus(status), wait_ms, _decode_limit(row))
            case _:
                raise ValueError(f"message kind {kind!r} is unknown")
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"malformed message: {error}") from error
    if not isinstance(sender, str) or not isinstance(lamport_time, int):
        raise ValueError("malformed message: sender or Lamport time is missing")
    return sender, lamport_time, message


def _encode_assignment(assignment: Assignment) -> list[object]:
    owner = assignment.owner
    row = None if owner is None else [owner.backend_id, owner.incarnation, owner.host, owner.port]
    return [assignment.first, assignment.last, assignment.fence, row]


def _decode_assignment(row: list[object]) -> Assignment:
    first, last, fence, owner = row
    assert isinstance(first, int)
    assert isinstance(last, int)
    assert isinstance(fence, int)
    return Assignment(first, last, fence, Owner(*owner) if isinstance(owner, list) else None)


def _encode_limit(limit: RateLimitReport) -> list[object]:
    return [limit.backend_id, limit.incarnation_id, limit.rate_per_s, limit.age_ms]


def _decode_limit(row: list[object]) -> RateLimitReport:
    match row:
        case [str(backend_id), str(incarnation_id), float() | None as rate_per_s, int(age_ms)]:
            if rate_per_s is None or 0.0 <= rate_per_s < math.inf:
                return RateLimitReport(backend_id, incarnation_id, rate_per_s, max(0, age_ms))
    raise ValueError(f"rate limit {row!r} is malformed")
