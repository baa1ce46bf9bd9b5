"""What the control plane needs of its surroundings, so that tests can put fakes in their place."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId
    from fuchsiawell.ownership import Action, Event

__all__ = ["Calls", "ControlLinks"]


class Calls(ABC):
    """Carry out a leader's actions at backend servers."""

    @abstractmethod
    async def perform(self, action: Action) -> Event:
        """Make one call and return what came of it."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class ControlLinks(Protocol):
    """Send control messages to the other daemons of the cell; `transport.Peers` does."""

    def addresses(self) -> dict[DaemonId, str]:
        """Return the address of each peer."""

    def set_addresses(self, addresses_by_id: dict[DaemonId, str]) -> None:
        """Take the addresses of all peers."""

    def send_control(self, id: DaemonId, kind: str, body: Any) -> bool:
        """Send a message if a link is open; a message may be lost either way."""
