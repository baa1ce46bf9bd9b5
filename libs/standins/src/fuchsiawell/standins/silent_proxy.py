"""The network between two ends: a relay whose connections can go silent, break or lag."""

from __future__ import annotations

import asyncio
from enum import Flag, auto
from typing import TYPE_CHECKING, Self

from fuchsiawell.standins.serving import LOOPBACK

if TYPE_CHECKING:
    from types import TracebackType

__all__ = ["Direction", "SilentProxy"]

CHUNK_BYTES = 65_536


class Direction(Flag):
    """Choose the ways that a fault strikes."""

    TO_TARGET = auto()
    TO_CALLER = auto()
    BOTH = TO_TARGET | TO_CALLER


class _Connection:
    """Relay between one caller and the target."""

    def __init__(self, caller: asyncio.StreamWriter, target: asyncio.StreamWriter) -> None:
        self.caller = caller
        self.target = target
        self.silent = Direction(0)

    def abort(self) -> None:
        for writer in (self.caller, self.target):
            writer.transport.abort()


class SilentProxy:
    """Relay connections to `target` (IP number and port) until told to disturb them."""

    def __init__(self, target: str) -> None:
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._silent_from_start = Direction(0)
        self._refusing = False
        self.delay_s = 0.0  # added to each piece of data, both ways
        self.address = ""
        self.taken = 0  # connections relayed so far

    async def __aenter__(self) -> Self:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._take, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and break every connection."""
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def open(self) -> int:
        """Return how many connections are relayed."""
        return len(self._connections)

    def silence_open(self, direction: Direction = Direction.BOTH) -> None:
        """Lose all further data of the open connections, for good; new ones work."""
        for connection in self._connections:
            connection.silent |= direction

    def silence_all(self, direction: Direction = Direction.BOTH) -> None:
        """Lose all data of open and new connections until `heal`."""
        self.silence_open(direction)
        self._silent_from_start = direction

    def refuse(self) -> None:
        """Break new connections until `heal`."""
        self._refusing = True

    def cut(self) -> None:
        """Reset the open connections at both ends."""
        for connection in self._connections:
            connection.abort()

    def heal(self) -> None:
        """Let new connections work; those that went silent stay so."""
        self._silent_from_start = Direction(0)
        self._refusing = False
        self.delay_s = 0.0

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        self.taken += 1
        connection = _Connection(writer, target)
        connection.silent = self._silent_from_start
        self._connections.add(connection)
        task = asyncio.create_task(self._relay_both(connection, reader, target_reader))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_both(
        self,
        connection: _Connection,
        from_caller: asyncio.StreamReader,
        from_target: asyncio.StreamReader,
    ) -> None:
        try:
            await asyncio.gather(
                self._relay(connection, from_caller, connection.target, Direction.TO_TARGET),
                self._relay(connection, from_target, connection.caller, Direction.TO_CALLER),
            )
        finally:
            self._connections.discard(connection)
            connection.target.close()
            connection.caller.close()

    async def _relay(
        self,
        connection: _Connection,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while chunk := await source.read(CHUNK_BYTES):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                if direction in connection.silent:
                    continue
                sink.write(chunk)
                await sink.drain()
            if direction not in connection.silent:
                sink.write_eof()
        except OSError:
            if direction not in connection.silent:
                connection.abort()
