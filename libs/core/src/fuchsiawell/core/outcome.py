"""Outcome of a request: responded, not executed, or unknown."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ["NotExecuted", "NotExecutedReason", "Outcome", "OutcomeUnknown", "Responded", "Step"]


@unique
class Step(StrEnum):
    """Step in the handling of a request."""

    ACCEPT = "accept"  # reading the client's request
    ROUTE = "route"  # finding the owner and the leader of the key
    FORWARD = "forward"  # from the entry daemon to the leader
    ADMIT = "admit"  # the leader's admission queue
    INTENT = "intent"  # writing the intent to durable storage
    CONNECT = "connect"  # opening a connection to the backend server
    SEND = "send"  # writing the request to the backend server
    RUN = "run"  # waiting for the backend server's response
    ANSWER = "answer"  # sending the response to the client


@unique
class NotExecutedReason(StrEnum):
    """Why a request was certainly not executed."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_KIND = "unknown-kind"
    ID_REQUIRED = "id-required"
    ID_CONFLICT = "id-conflict"
    ID_EXPIRED = "id-expired"
    NOT_READY = "not-ready"
    NO_OWNER = "no-owner"
    NO_LEADER = "no-leader"
    MOVING = "moving"
    STOPPING = "stopping"
    SHED = "shed"
    CALLER_LIMIT = "caller-limit"
    DEADLINE = "deadline"
    FENCED = "fenced"
    REFUSED_BY_SERVER = "refused-by-server"
    UNREACHABLE = "unreachable"
    JOURNAL_UNAVAILABLE = "journal-unavailable"
    LEDGER_FULL = "ledger-full"
    POISON_REQUEST = "convicted"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Responded:
    """The complete response of the backend server was received."""

    status: int


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The request was certainly not executed; it failed at `step` against `peer`."""

    reason: NotExecutedReason
    step: Step
    peer: str
    retry_after_s: float | None = None  # None: a retry will not help


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was sent to `peer`, but no complete response was received; failed at `step`."""

    step: Step
    peer: str
    detail: str


Outcome = Responded | NotExecuted | OutcomeUnknown
