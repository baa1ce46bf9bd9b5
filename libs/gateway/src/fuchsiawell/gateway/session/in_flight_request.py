"""A request that a backend server is executing."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["InFlightRequest"]


@dataclass
class InFlightRequest:
    """A request that a backend server is executing; times are monotonic seconds."""

    backend_id: str
    incarnation_id: str
    fingerprint: int
    started_s: float
    expected_duration_s: float
    service: str = ""
    route: str = ""
    # Whether its missing response has been counted as a failure to reach the server.
    overdue_counted: bool = False
