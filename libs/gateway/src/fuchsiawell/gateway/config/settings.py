"""Settings that a daemon gets at start; the platform's adapter reads them."""

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
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Settings:
    daemon: str
    zone: str
    host: str
    clients: Address
    readiness: Address
    # Address for messages from other daemons.
    peers: Address
    metrics: Address
    # How long a backend server keeps serving after it started to drain.
    drain: timedelta
    # Time from SIGTERM until the process is killed.
    stop_grace: timedelta
    retries: RetryRules
    # Limits of the host: processor cores and network link.
    cores: float = 1.0
    link_mbit_s: float = 1000.0
