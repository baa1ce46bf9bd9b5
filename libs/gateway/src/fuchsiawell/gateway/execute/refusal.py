"""Responses that the daemon itself generates; each status states whether the request ran."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Refusal", "bad_gateway", "not_executed", "stopping", "timed_out", "unknown_route"]

# Clients whose requests a stop keeps from being executed can retry at another daemon at once.
STOP_RETRY_AFTER_S = 0.05


@dataclass(frozen=True)
class Refusal:
    """Final response that the daemon generates instead of a server."""

    status: int
    reason: str
    # Set only if the request was certainly not executed.
    retry_after: timedelta | None = None
    # Set if the request was refused before it became a ClientRequest.
    request_id: str | None = None


def not_executed(reason: str, retry_after_s: float) -> Refusal:
    """Return a 503: the request was not executed and will not be; retry after the given time."""
    return Refusal(503, reason, timedelta(seconds=retry_after_s))


def stopping() -> Refusal:
    """Return the 503 for a request that a stop of this daemon keeps from being executed."""
    return not_executed("daemon is stopping", STOP_RETRY_AFTER_S)


def bad_gateway(reason: str) -> Refusal:
    """Return a 502: it is unknown whether the request was executed."""
    return Refusal(502, reason)


def timed_out(reason: str) -> Refusal:
    """Return a 504: the deadline has passed and the request may have been executed."""
    return Refusal(504, reason)


def unknown_route(reason: str, request_id: str) -> Refusal:
    """Return a 404: the configuration has no route for the request."""
    return Refusal(404, reason, request_id=request_id)
