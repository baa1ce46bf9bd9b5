"""The connections of a backend server: how many it takes, and what each new one costs."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.standins.serving import LinkedProtocol

if TYPE_CHECKING:
    import asyncio

    from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["ConnectionCounts", "limited_protocol"]


@dataclass(slots=True)
class ConnectionCounts:
    """Count the connections of one server."""

    open: int = 0
    peak: int = 0
    taken: int = 0
    refused: int = 0


def limited_protocol(
    limit: int, cost_s: float, counts: ConnectionCounts
) -> type[HttpToolsProtocol]:
    """Return a protocol that resets connections over `limit` and works `cost_s` for each."""

    class LimitedProtocol(LinkedProtocol):
        """Take a connection, or reset it where there are too many."""

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            super().connection_made(transport)
            time.sleep(cost_s)  # on the loop: a new connection costs the whole server this time
            counts.open += 1
            counts.taken += 1
            counts.peak = max(counts.peak, counts.open)
            if counts.open > limit:
                counts.refused += 1
                transport.abort()

        def connection_lost(self, exc: Exception | None) -> None:
            super().connection_lost(exc)
            counts.open -= 1

    return LimitedProtocol
