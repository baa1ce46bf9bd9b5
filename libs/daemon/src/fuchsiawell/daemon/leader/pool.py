"""Connections to one backend server, within the number that the server accepts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.daemon.leader.connection import Connection

if TYPE_CHECKING:
    from fuchsiawell.core import Clock

__all__ = ["CONTROL_CONNECTIONS", "ConnectError", "Pool"]

CONTROL_CONNECTIONS = 8  # of a server's connections, kept for grants and probes
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 30.0  # an idle connection that is older is not used again


class ConnectError(Exception):
    """Report that no connection could be opened, so nothing was sent."""

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused  # the host answered that nobody listens: the process is gone


class Pool:
    """Open, keep and replace connections; the newest idle one is used first.

    After a stall every older connection is suspect: `distrust` makes the pool open new ones.
    """

    def __init__(self, address: str, max_connections: int, clock: Clock) -> None:
        self.address = address
        self._limit = max(1, max_connections - CONTROL_CONNECTIONS)
        self._clock = clock
        self._idle: list[tuple[float, Connection]] = []
        self._open_count = 0
        self._generation = 0
        self._generation_by_connection: dict[Connection, int] = {}

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return self._open_count

    def idle(self) -> Connection | None:
        """Return an idle connection that is fit for use, without waiting."""
        while self._idle:
            since_s, connection = self._idle.pop()
            fresh = self._clock.monotonic() - since_s < MAX_IDLE_S
            if fresh and connection.reusable and self._trusted(connection):
                return connection
            self._discard(connection, "stale")
        return None

    async def take(self) -> Result[Connection, ConnectError]:
        """Return a connection for one request."""
        connection = self.idle()
        if connection is not None:
            return Ok(connection)
        return await self.connect()

    async def connect(self) -> Result[Connection, ConnectError]:
        """Open a new connection for one request."""
        if self._open_count >= self._limit:
            return Err(ConnectError(f"{self._limit} connections are in use"))
        host, _, port = self.address.rpartition(":")
        self._open_count += 1
        generation = self._generation
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: Connection(self.address), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            self._open_count -= 1
            refused = isinstance(error, ConnectionRefusedError)
            return Err(ConnectError(str(error) or "timed out", refused=refused))
        except BaseException:
            self._open_count -= 1
            raise
        self._generation_by_connection[connection] = generation
        return Ok(connection)

    def give_back(self, connection: Connection) -> None:
        """Take back a connection after its request; it is closed unless fit for another."""
        if connection.reusable and self._trusted(connection):
            self._idle.append((self._clock.monotonic(), connection))
        else:
            self._discard(connection, "not reusable")

    def distrust(self) -> None:
        """Close idle connections, and each busy one once its request has ended."""
        self._generation += 1
        for _, connection in self._idle:
            self._discard(connection, "suspected silent")
        self._idle.clear()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._generation_by_connection):
            self._discard(connection, "stopping")
        self._idle.clear()

    def _trusted(self, connection: Connection) -> bool:
        return self._generation_by_connection.get(connection) == self._generation

    def _discard(self, connection: Connection, detail: str) -> None:
        if self._generation_by_connection.pop(connection, None) is not None:
            self._open_count -= 1
        connection.close(detail)
