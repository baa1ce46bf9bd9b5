"""Kept connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.httpio import ClientConnection, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import Clock

__all__ = ["ConnectionPool"]

# Longest wait for a new connection, in seconds: a lost packet is sent again after 0.2 s.
CONNECT_S = 0.7
# Idle time after which a connection is not used any more, as a part of what the server says, and
# where it says nothing, in seconds.
IDLE_PART = 0.7
IDLE_S = 6.0
# Work that must not repeat takes only connections used this shortly before: a server that dropped
# an idle connection unnoticed would leave its outcome unknown.
FRESH_S = 5.5
# Idle connections kept to one server, by this daemon and by all together: they stay far below the
# server's limit (130 and up), which shrinks while its queue is long.
KEPT, KEPT_BY_ALL = 4, 50


class ConnectionPool:
    """Idle connections by server address and life; the last used one is taken first."""

    def __init__(self, clock: Clock, daemons: Callable[[], int] = lambda: 1) -> None:
        self._clock = clock
        self._daemons = daemons
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0

    async def take(self, life: str, host: str, port: int, fresh: bool) -> ClientConnection:
        """Return a connection; raises OSError. `fresh` rules out one that idled for long."""
        now_s = self._clock.monotonic()
        idle = self._idle.get(life, [])
        while idle:
            connection = idle.pop()
            limit_s = (connection.idle_timeout_s or IDLE_S / IDLE_PART) * IDLE_PART
            if fresh:
                limit_s = min(limit_s, FRESH_S)
            if connection.usable and now_s - connection.idle_since_s < limit_s:
                return connection
            connection.close()
        self.opened += 1
        return await connect(host, port, CONNECT_S)

    def give_back(self, life: str, connection: ClientConnection) -> None:
        """Keep a connection for later."""
        idle = self._idle.setdefault(life, [])
        if not connection.usable or len(idle) >= self._kept:
            connection.close()
            return
        connection.idle_since_s = self._clock.monotonic()
        idle.append(connection)

    def has_idle(self, life: str) -> bool:
        """Whether a kept connection may be there for the next request."""
        return bool(self._idle.get(life))

    @property
    def _kept(self) -> int:
        return max(1, min(KEPT, KEPT_BY_ALL // self._daemons()))

    def distrust(self, life: str) -> None:
        """Drop all idle connections to a server after one of them broke."""
        for connection in self._idle.pop(life, []):
            connection.abort()

    def evict_stale(self, lives: set[str]) -> None:
        """Close idle connections to servers that are gone, and those that idled for long."""
        now_s = self._clock.monotonic()
        for life in list(self._idle):
            if life not in lives:
                for connection in self._idle.pop(life):
                    connection.close()
                continue
            kept = []
            for connection in self._idle[life]:
                limit_s = (connection.idle_timeout_s or IDLE_S / IDLE_PART) * IDLE_PART
                if connection.usable and now_s - connection.idle_since_s < limit_s:
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[life] = kept

    def close(self) -> None:
        """Close everything."""
        self.evict_stale(set())
