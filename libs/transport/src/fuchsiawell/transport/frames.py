"""Frames that daemons exchange, as msgpack arrays that start with their type."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any

from fuchsiawell.core import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    RequestId,
    ServiceName,
    Step,
    Unknown,
)

__all__ = [
    "CHUNK_BYTES",
    "PROTOCOL_VERSION",
    "WINDOW_BYTES",
    "AnswerHead",
    "FrameType",
    "Headers",
    "RequestHead",
    "outcome_from_wire",
    "outcome_to_wire",
]

PROTOCOL_VERSION = 1
CHUNK_BYTES = 64 * 1024  # larger pieces of a body are split, so that heartbeats pass between them
WINDOW_BYTES = 256 * 1024  # a sender stops after so many bytes that the receiver has not consumed

Headers = list[tuple[bytes, bytes]]


@unique
class FrameType(IntEnum):
    """Name the first element of each frame."""

    HELLO = 0  # version, daemon
    REQUEST = 1  # stream, lamport, head, chunk, end
    BODY = 2  # stream, chunk, end
    ANSWER = 3  # stream, lamport, head, chunk, end
    OUTCOME = 4  # stream, lamport, outcome: there is no answer
    CANCEL = 5  # stream: the sender gave the stream up
    CREDIT = 6  # stream, bytes that the receiver has consumed
    CONTROL = 7  # lamport, kind, body
    PING = 8  # number
    PONG = 9  # number
    ACCEPT = 10  # stream: the receiver wants the rest of the request's body


@dataclass(slots=True)
class RequestHead:
    """Carry what a leader must know of a caller's request besides its body."""

    request_id: RequestId
    service: ServiceName
    kind: str
    key: str
    method: str
    target: str  # path and query as the caller wrote them
    headers: Headers  # end-to-end fields only, names in lower case
    deadline_s: float  # seconds left when the frame was sent
    idempotency_key: str | None
    caller: str
    attempt: int = 1
    stated_first: bool = False  # the caller states that it never sent this idempotency key before

    def to_wire(self) -> list[Any]:
        """Return the fields in order."""
        return [
            self.request_id,
            self.service,
            self.kind,
            self.key,
            self.method,
            self.target,
            self.headers,
            self.deadline_s,
            self.idempotency_key,
            self.caller,
            self.attempt,
            self.stated_first,
        ]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> RequestHead:
        """Return the head that `to_wire` laid out."""
        return cls(*fields)


@dataclass(slots=True)
class AnswerHead:
    """Carry a backend server's status and header fields."""

    status: int
    headers: Headers  # end-to-end fields only, names in lower case

    def to_wire(self) -> list[Any]:
        """Return the fields in order."""
        return [self.status, self.headers]

    @classmethod
    def from_wire(cls, fields: list[Any]) -> AnswerHead:
        """Return the head that `to_wire` laid out."""
        return cls(*fields)


def outcome_to_wire(outcome: Outcome) -> list[Any]:
    """Return the outcome as an array that starts with its tag."""
    match outcome:
        case Answered(status):
            return ["answered", status]
        case NotRun(reason, step, peer, retry_after_s):
            return ["not-run", reason.value, step.value, peer, retry_after_s]
        case Unknown(step, peer, detail):
            return ["unknown", step.value, peer, detail]


def outcome_from_wire(fields: list[Any]) -> Outcome:
    """Return the outcome that `outcome_to_wire` laid out, or raise `ValueError`."""
    match fields:
        case ["answered", status]:
            return Answered(status)
        case ["not-run", reason, step, peer, retry_after_s]:
            return NotRun(NotRunReason(reason), Step(step), peer, retry_after_s)
        case ["unknown", step, peer, detail]:
            return Unknown(Step(step), peer, detail)
    raise ValueError(f"not an outcome: {fields!r}")
