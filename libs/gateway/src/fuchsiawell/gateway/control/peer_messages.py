"""Datagrams between daemons; any of them may be lost without harm to safety."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgpack

from fuchsiawell.gateway.control.cold_messages import (
    ColdMessage,
    ColdPermitReply,
    ColdPermitRequest,
    ServerColdReport,
    decode_cold_body,
    encode_cold_body,
)
from fuchsiawell.gateway.control.map_messages import (
    AssignmentReplica,
    MapMessage,
    MapReply,
    MapRequest,
    ReplicaAck,
    WitnessReply,
    WitnessRequest,
    decode_assignment,
    decode_key_range,
    decode_map_body,
    encode_assignment,
    encode_map_body,
)
from fuchsiawell.gateway.control.message_fields import MAX_NUMBER, PermitStatus
from fuchsiawell.gateway.control.message_fields import decode_number as _number
from fuchsiawell.gateway.control.message_fields import decode_text as _text
from fuchsiawell.gateway.control.pace_messages import (
    GroupPaceReport,
    PaceMessage,
    PaceReport,
    TotalPaceReport,
    decode_pace_rows,
)
from fuchsiawell.gateway.control.queue_messages import (
    GroupQueuedWorkReport,
    QueuedWorkReport,
    TotalQueuedWorkReport,
    decode_queue_report,
    encode_queue_report,
)
from fuchsiawell.shards import KEY_COUNT, Assignment

__all__ = [
    "AssignmentReplica",
    "BlockedRanges",
    "ColdPermitReply",
    "ColdPermitRequest",
    "CrashReport",
    "GroupLoadReport",
    "KeyCountReport",
    "LimitMessage",
    "LoadReport",
    "MapReply",
    "MapRequest",
    "Message",
    "PermitReply",
    "PermitRequest",
    "PermitStatus",
    "RateLimitReport",
    "ReplicaAck",
    "ServerColdReport",
    "ServerLeavingReport",
    "ShardMapUpdate",
    "SuspicionCleared",
    "TermReport",
    "TotalLoadReport",
    "WitnessReply",
    "WitnessRequest",
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
class ServerLeavingReport:
    """A server incarnation has said in a response that it leaves."""

    backend_id: str
    incarnation_id: str


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


@dataclass(frozen=True)
class PermitReply:
    """Reply to a permit request, with the limit as the issuer knows it."""

    number: int
    status: PermitStatus
    # Time after which another request may be granted, if this one was denied.
    wait_ms: int
    limit: RateLimitReport


# Kinds that concern limits of servers.
LimitMessage = RateLimitReport | PermitRequest | PermitReply | ColdMessage

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
    | ServerLeavingReport
    | ColdPermitRequest
    | ColdPermitReply
    | ServerColdReport
    | QueuedWorkReport
    | GroupQueuedWorkReport
    | TotalQueuedWorkReport
    | PaceMessage
    | MapMessage
)


MAX_LAMPORT_TIME = 2**64 - 1
MAX_COUNT = MAX_SHORT_ID = 2**32 - 1


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
                [encode_assignment(assignment) for assignment in assignments],
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
        case ServerLeavingReport(backend_id, incarnation_id):
            body = ["v", backend_id, incarnation_id]
        case ColdPermitRequest() | ColdPermitReply() | ServerColdReport():
            body = encode_cold_body(message)
        case QueuedWorkReport() | GroupQueuedWorkReport() | TotalQueuedWorkReport():
            body = encode_queue_report(message)
        case PaceReport(rows):
            body = ["e", rows]
        case GroupPaceReport(rows):
            body = ["f", rows]
        case TotalPaceReport(rows):
            body = ["i", rows]
        case (
            MapRequest()
            | MapReply()
            | WitnessRequest()
            | WitnessReply()
            | AssignmentReplica()
            | ReplicaAck()
        ):
            body = encode_map_body(message)
    return bytes(msgpack.packb([sender, lamport_time, *body]))


def decode_message(data: bytes) -> tuple[str, int, Message]:
    """Return sender, Lamport time and message; raises ValueError for anything else."""
    try:
        sender, lamport_time, kind, *body = msgpack.unpackb(data, strict_map_key=False)
        message = _decode_body(kind, body)
        # The clock ignores times that are too large; refusing them here would cut off their sender.
        return _text(sender), _number(lamport_time, MAX_LAMPORT_TIME), message
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"malformed message: {error}") from error


def _decode_body(kind: object, body: list[object]) -> Message:
    match kind, body:
        case "l", [counts, terms]:
            return LoadReport(_counts(counts), _terms(terms))
        case "g", [counts]:
            return GroupLoadReport(_counts(counts))
        case "a", [counts]:
            return TotalLoadReport(_counts(counts))
        case "t", [terms]:
            return TermReport(_terms(terms))
        case "k", [service, counts, latency_percent]:
            key_counts = _counts(counts, max_key=KEY_COUNT - 1)
            return KeyCountReport(_text(service), key_counts, _counts(latency_percent))
        case "p", [service, list(rows)]:
            return BlockedRanges(_text(service), [decode_key_range(*row) for row in rows])
        case "m", [service, term, next_fence, list(rows)]:
            assignments = [decode_assignment(*row) for row in rows]
            return ShardMapUpdate(_text(service), _number(term), _number(next_fence), assignments)
        case "c", [fingerprint, incarnation_id]:
            return CrashReport(_number(fingerprint), _text(incarnation_id))
        case "o", [fingerprint]:
            return SuspicionCleared(_number(fingerprint))
        case "s", row:
            return _decode_limit(row)
        case "q", [number, list(row), priority, max_wait_ms, rank]:
            return PermitRequest(
                _number(number),
                _decode_limit(row),
                _number(priority),
                _number(max_wait_ms),
                _number(rank),
            )
        case "r", [number, status, wait_ms, list(row)]:
            return PermitReply(
                _number(number), PermitStatus(_text(status)), _number(wait_ms), _decode_limit(row)
            )
        case "v", [backend_id, incarnation_id]:
            return ServerLeavingReport(_text(backend_id), _text(incarnation_id))
        case "w" | "x" | "h", row:
            return decode_cold_body(kind, row)
        case "u" | "y" | "z", [work_ms]:
            return decode_queue_report(kind, work_ms)
        case "e", [rows]:
            return PaceReport(decode_pace_rows(rows))
        case "f", [rows]:
            return GroupPaceReport(decode_pace_rows(rows))
        case "i", [rows]:
            return TotalPaceReport(decode_pace_rows(rows))
        case "n" | "j" | "b" | "d" | "R" | "A", row:
            return decode_map_body(kind, row)
        case _:
            raise ValueError(f"message kind {kind!r} is unknown")


def _counts(value: object, max_key: int = MAX_SHORT_ID) -> dict[int, int]:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} are no counts")
    return {_number(k, max_key): _number(count, MAX_COUNT) for k, count in value.items()}


def _terms(value: object) -> dict[str, int]:
    if not isinstance(value, dict):
        raise ValueError(f"{value!r} are no terms")
    return {_text(service): _number(term) for service, term in value.items()}


def _encode_limit(limit: RateLimitReport) -> list[object]:
    return [limit.backend_id, limit.incarnation_id, limit.rate_per_s, limit.age_ms]


def _decode_limit(row: list[object]) -> RateLimitReport:
    match row:
        case [str(backend_id), str(incarnation_id), float() | None as rate_per_s, int(age_ms)] if (
            age_ms <= MAX_NUMBER
        ):
            if rate_per_s is None or 0.0 <= rate_per_s < math.inf:
                return RateLimitReport(backend_id, incarnation_id, rate_per_s, max(0, age_ms))
    raise ValueError(f"rate limit {row!r} is malformed")
