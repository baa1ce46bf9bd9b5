"""Outcomes of one attempt at one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.remainder import Remainder
    from fuchsiawell.httpio import ResponseHead

__all__ = ["MIN_SERVER_ERROR_STATUS", "NotExecuted", "Outcome", "OutcomeUnknown", "Response"]

# Responses from this status on are server failures: idempotent requests get another attempt.
MIN_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True)
class Response:
    """Response of the server: complete in `body`, or with `remainder` to pass on."""

    head: ResponseHead
    body: bytes
    remainder: Remainder | None = None


@dataclass(frozen=True)
class NotExecuted:
    """The server has not executed the request and will not."""

    step: str
    peer: str
    reason: str
    # The server does not own the key, or the address belongs to another server.
    misdirected: bool = False
    # The address belongs to another server: the target server has ended.
    address_reassigned: bool = False
    # The server reset the connection while it was opened, as overloaded servers do.
    overloaded: bool = False
    # The server wants nothing from this daemon for some time.
    server_rests: bool = False


@dataclass(frozen=True)
class OutcomeUnknown:
    """The server may have executed the request, or may still execute it."""

    step: str
    peer: str
    reason: str
    timed_out: bool = False
    # The server wants nothing from this daemon for some time.
    server_rests: bool = False


Outcome = Response | NotExecuted | OutcomeUnknown
