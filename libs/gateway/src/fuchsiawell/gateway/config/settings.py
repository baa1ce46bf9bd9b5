"""What a daemon is told at its start; the platform's adapter reads it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from fuchsiawell.balance import RetryRules

__all__ = ["Address", "Settings"]


@dataclass(frozen=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Settings:
    """One daemon's settings."""

    daemon: str
    zone: str
    host: str
    clients: Address
    readiness: Address
    # Where other daemons reach this one, and where it serves metrics.
    peers: Address
    metrics: Address
    # How long a backend server keeps serving after it said that it leaves.
    drain: timedelta
    # From the order to stop until the process is killed.
    stop_grace: timedelta
    retries: RetryRules
    # What the host bears: processor time in cores, and its link in Mbit/s.
    cores: float = 1.0
    link_mbit_s: float = 1000.0
