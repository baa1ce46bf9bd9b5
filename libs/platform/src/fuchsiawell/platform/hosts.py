"""The platform's list of live and leaving hosts, which lags behind the truth."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from fuchsiawell.platform.store import StoreError

__all__ = ["ENTRY_ROLE", "Host", "HostList", "HostState"]

ENTRY_ROLE = "entry"  # the role of hosts that run a daemon; other roles are service names


@unique
class HostState(StrEnum):
    """Say what the platform believes of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """Describe one host of the list."""

    id: str
    role: str  # ENTRY_ROLE, or the service that the backend server belongs to
    address: str  # IP number and port, as in 127.0.0.1:8080
    zone: str
    state: HostState


class HostList(ABC):
    """Read the list of hosts; a hint only, never proof of life or death."""

    @abstractmethod
    async def hosts(self) -> Result[list[Host], StoreError]:
        """Return all hosts that the platform knows, ordered by id."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
