"""Datagrams about cold servers: permits for requests to them, and reports of daemons."""

from __future__ import annotations

import math
from dataclasses import dataclass

from fuchsiawell.gateway.control.message_fields import PermitStatus, decode_number, decode_text

__all__ = [
    "ColdMessage",
    "ColdPermitReply",
    "ColdPermitRequest",
    "ServerColdReport",
    "decode_cold_body",
    "encode_cold_body",
]


@dataclass(frozen=True)
class ColdPermitRequest:
    """Request to the issuer of a cold server for leave to send it one request."""

    number: int
    backend_id: str
    incarnation_id: str
    # Requests per second that the server tolerates from all daemons together.
    rate_per_s: float
    priority: int
    # How long the sender waits for a permit; a denial comes at once if that is too short.
    max_wait_ms: int
    # 0 for the first issuer of the server, 1 for the substitute that is asked when it is silent.
    rank: int


@dataclass(frozen=True)
class ColdPermitReply:
    """Reply to a request for a permit for a cold server."""

    number: int
    status: PermitStatus
    # Time after which another request may be granted, if this one was denied.
    wait_ms: int


@dataclass(frozen=True)
class ServerColdReport:
    """A server incarnation has said in a response that it is cold for so much longer."""

    backend_id: str
    incarnation_id: str
    left_ms: int


ColdMessage = ColdPermitRequest | ColdPermitReply | ServerColdReport


def encode_cold_body(message: ColdMessage) -> list[object]:
    """Return the kind and the fields of a message."""
    match message:
        case ColdPermitRequest(
            number, backend_id, incarnation_id, rate_per_s, priority, wait, rank
        ):
            return ["w", number, backend_id, incarnation_id, rate_per_s, priority, wait, rank]
        case ColdPermitReply(number, status, wait_ms):
            return ["x", number, status.value, wait_ms]
        case ServerColdReport(backend_id, incarnation_id, left_ms):
            return ["h", backend_id, incarnation_id, left_ms]


def decode_cold_body(kind: object, body: list[object]) -> ColdMessage:
    """Return a message; raises ValueError for anything else."""
    match kind, body:
        case "w", [number, backend_id, incarnation_id, rate_per_s, priority, max_wait_ms, rank]:
            return ColdPermitRequest(
                decode_number(number),
                decode_text(backend_id),
                decode_text(incarnation_id),
                _decode_rate(rate_per_s),
                decode_number(priority),
                decode_number(max_wait_ms),
                decode_number(rank),
            )
        case "x", [number, status, wait_ms]:
            return ColdPermitReply(
                decode_number(number), PermitStatus(decode_text(status)), decode_number(wait_ms)
            )
        case "h", [backend_id, incarnation_id, left_ms]:
            return ServerColdReport(
                decode_text(backend_id), decode_text(incarnation_id), decode_number(left_ms)
            )
        case _:
            raise ValueError(f"message {kind!r} is malformed")


def _decode_rate(value: object) -> float:
    if not isinstance(value, float) or not 0.0 <= value < math.inf:
        raise ValueError(f"{value!r} is no rate")
    return value
