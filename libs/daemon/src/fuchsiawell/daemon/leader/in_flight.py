"""The requests that are on their way to backend servers, by shard."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fuchsiawell.core import RequestId, ServerId, ServiceName, ShardId

__all__ = ["Flight", "InFlight"]


@dataclass(slots=True, eq=False)
class Flight:
    """Describe one request between admission and its end."""

    request_id: RequestId
    service: ServiceName
    key: str
    shard: ShardId  # as it was when the request was admitted
    server: ServerId
    sent: bool = False  # from here on only an answer or a refusal proves anything


class InFlight:
    """Count requests so that a shard can be released once nothing of it runs."""

    def __init__(self) -> None:
        self._flights: set[Flight] = set()
        self._count_by_server: Counter[ServerId] = Counter()
        self._changed: asyncio.Future[None] | None = None

    def begin(self, flight: Flight) -> None:
        """Add a request before its first byte is sent."""
        flight.sent = True
        self._flights.add(flight)
        self._count_by_server[flight.server] += 1

    def end(self, flight: Flight) -> None:
        """Remove a request; does nothing the second time."""
        if flight not in self._flights:
            return
        self._flights.remove(flight)
        self._count_by_server[flight.server] -= 1
        if self._changed is not None:
            self._changed.set_result(None)
            self._changed = None

    def count(self, server: ServerId) -> int:
        """Return how many requests are on their way to `server`."""
        return self._count_by_server[server]

    def on_server(self, server: ServerId) -> Iterator[Flight]:
        """Yield the requests that are on their way to `server`."""
        return (flight for flight in self._flights if flight.server == server)

    def any(self, matches: Callable[[Flight], bool]) -> bool:
        """Tell whether any request matches."""
        return any(matches(flight) for flight in self._flights)

    async def drained(self, matches: Callable[[Flight], bool]) -> None:
        """Wait until no request matches."""
        while self.any(matches):
            if self._changed is None:
                self._changed = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._changed)
