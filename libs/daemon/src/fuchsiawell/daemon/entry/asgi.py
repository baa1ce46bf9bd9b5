"""Types of the ASGI interface, and what this daemon's HTTP server adds to it."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

__all__ = ["CONNECTION_EXTENSION", "CallerConnection", "Receive", "Scope", "Send"]

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

CONNECTION_EXTENSION = "fuchsiawell.connection"  # scope["extensions"] key of `CallerConnection`


class CallerConnection(Protocol):
    """The caller's connection, which tells when it is lost."""

    on_lost: Callable[[], None] | None

    @abstractmethod
    def drop(self) -> None:
        """Abort the connection."""
