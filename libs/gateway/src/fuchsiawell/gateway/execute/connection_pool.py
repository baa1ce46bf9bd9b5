"""Pool of idle connections to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.httpio import ClientConnection, connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import Clock
    from fuchsiawell.httpio import BufferMeter

__all__ = ["CONNECT_TIMEOUT_S", "MAX_EXCLUDED_IDS", "ConnectionPool"]

# Allows for lost packets, which are retransmitted after 0.2 s.
CONNECT_TIMEOUT_S = 0.7
# Idle time after which a connection is no longer used: this part of the idle timeout that the
# server announces, or DEFAULT_MAX_IDLE_S where it announces none.
IDLE_FRACTION = 0.7
DEFAULT_MAX_IDLE_S = 6.0
# Non-idempotent requests use only connections idle for less than this: if the server has silently
# dropped an idle connection, the outcome of a request on it is unknown.
FRESH_MAX_IDLE_S = 5.5
# Idle connections kept to one server by this daemon and by all daemons together: far below the
# server's connection limit (130 or more), which shrinks while its queue is long.
MAX_IDLE_PER_SERVER, MAX_IDLE_PER_SERVER_ALL_DAEMONS = 4, 50
# Request ids that a kept connection excludes at most: bounds memory. At a server that rejects all
# requests, one connection in so many requests is opened for this.
MAX_EXCLUDED_IDS = 128


class ConnectionPool:
    """Idle connections by server incarnation; the most recently used one is reused first."""

    def __init__(
        self,
        clock: Clock,
        daemon_count: Callable[[], int] = lambda: 1,
        max_idle_per_server: int = MAX_IDLE_PER_SERVER,
        max_idle: int | None = None,
        meter: BufferMeter | None = None,
    ) -> None:
        self._clock = clock
        self._daemon_count = daemon_count
        self._max_idle_per_server = max_idle_per_server
        self._max_idle = max_idle
        self._meter = meter
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0

    async def acquire(
        self,
        incarnation_id: str,
        host: str,
        port: int,
        require_fresh: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str | None = None,
    ) -> ClientConnection:
        """Return an idle or new connection; raises OSError.

        `require_fresh` excludes connections idle for FRESH_MAX_IDLE_S or longer. A connection that
        excludes `request_id` is left to other requests.
        """
        now_s = self._clock.monotonic()
        idle = self._idle.get(incarnation_id, [])
        for number in reversed(range(len(idle))):
            if request_id is not None and idle[number].excludes(request_id):
                continue
            connection = idle.pop(number)
            max_idle_s = _max_idle_s(connection)
            if require_fresh:
                max_idle_s = min(max_idle_s, FRESH_MAX_IDLE_S)
            if connection.usable and now_s - connection.idle_since_s < max_idle_s:
                return connection
            connection.close()
        self.opened += 1
        connection = await connect(host, port, timeout_s)
        connection.channel.meter = self._meter
        connection.idle_since_s = self._clock.monotonic()
        return connection

    def release(
        self, incarnation_id: str, connection: ClientConnection, idle_since_s: float
    ) -> None:
        """Return a connection to the pool, or close it if it is unusable or the pool is full.

        `idle_since_s` is the earliest time, in monotonic seconds, from which on the server may have
        counted it as idle: that of the response, which a slow client may take long to read.
        """
        idle = self._idle.setdefault(incarnation_id, [])
        is_full = len(idle) >= self._max_idle_now or (
            self._max_idle is not None and self.idle_count >= self._max_idle
        )
        is_stale = self._clock.monotonic() - idle_since_s >= _max_idle_s(connection)
        if (
            not connection.usable
            or is_full
            or is_stale
            or connection.excluded_count >= MAX_EXCLUDED_IDS
        ):
            connection.close()
            return
        connection.idle_since_s = idle_since_s
        idle.append(connection)

    def has_idle(self, incarnation_id: str) -> bool:
        """Return whether an idle connection exists; it may turn out to be unusable."""
        return bool(self._idle.get(incarnation_id))

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self._idle.values()))

    @property
    def _max_idle_now(self) -> int:
        per_daemon = MAX_IDLE_PER_SERVER_ALL_DAEMONS // self._daemon_count()
        return max(1, min(self._max_idle_per_server, per_daemon))

    def discard(self, incarnation_id: str) -> None:
        """Abort all idle connections to a server after one of them failed."""
        for connection in self._idle.pop(incarnation_id, []):
            connection.abort()

    def discard_all(self) -> None:
        """Abort all idle connections, as no server can be reached any more."""
        for incarnation_id in list(self._idle):
            self.discard(incarnation_id)

    def evict_stale(self, incarnation_ids: set[str] | None = None) -> None:
        """Close connections to incarnations not listed, if given, and those idle for too long."""
        now_s = self._clock.monotonic()
        for incarnation_id in list(self._idle):
            if incarnation_ids is not None and incarnation_id not in incarnation_ids:
                for connection in self._idle.pop(incarnation_id):
                    connection.close()
                continue
            usable = []
            for connection in self._idle[incarnation_id]:
                idle_s = now_s - connection.idle_since_s
                if connection.usable and idle_s < _max_idle_s(connection):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle[incarnation_id] = usable
            else:
                del self._idle[incarnation_id]

    def close(self) -> None:
        self.evict_stale(set())


def _max_idle_s(connection: ClientConnection) -> float:
    """Return the idle time after which no request may use a connection."""
    return (connection.idle_timeout_s or DEFAULT_MAX_IDLE_S / IDLE_FRACTION) * IDLE_FRACTION
