"""The answers that the daemon gives of its own, each with what it promises."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Refusal", "failed", "not_executed", "timed_out", "unknown_route"]


@dataclass(frozen=True)
class Refusal:
    """A final answer of the daemon's own."""

    status: int
    reason: str
    # When the client may come again; only where the request has surely not run.
    retry_after: timedelta | None = None


def not_executed(reason: str, retry_after_s: float) -> Refusal:
    """Say that the request has not run and never will, and when to come again."""
    return Refusal(503, reason, timedelta(seconds=retry_after_s))


def failed(reason: str) -> Refusal:
    """Say that nobody knows whether the request ran."""
    return Refusal(502, reason)


def timed_out(reason: str) -> Refusal:
    """Say that the time is over and the request may have run."""
    return Refusal(504, reason)


def unknown_route(reason: str) -> Refusal:
    """Say that the configuration has no route for the request."""
    return Refusal(404, reason)
