"""Body of a client's request: buffered up to a limit, the remainder streamed to the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.held_bytes import SHORT_BODY_BYTES, USUAL_BODY_BYTES
from fuchsiawell.httpio import BadRequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.httpio import ServerConnection

__all__ = ["MemoryShortError", "RequestBody"]

# What is read of a body at once while memory is short.
PIECE_BYTES = 16 * 1024


class MemoryShortError(Exception):
    """There is no room for the body before the latest start of its request."""


class RequestBody:
    """Body of a request; `holding` counts what is held in memory for the request."""

    def __init__(self, connection: ServerConnection, max_bytes: int, holding: Holding) -> None:
        self._connection = connection
        self._max_bytes = max_bytes
        self.holding = holding
        self._buffered = b""
        self._streaming_started = False
        self.length_bytes = connection.body_length
        self._bytes_read = 0

    async def buffer(self, clock: Callable[[], float], latest_start_s: float) -> None:
        """Read a body before a server is selected.

        A slow client then occupies no slot, and a refused attempt can be sent to another server.
        The part of a body beyond `HeldBytes.max_body_bytes` is left for `read_chunk`. Raises
        BadRequestError, ConnectionError, and MemoryShortError if there is no room in time.
        """
        if self.length_bytes is not None and self.length_bytes > self._max_bytes:
            raise BadRequestError(413, f"body of {self.length_bytes} bytes")
        if self._connection.body_complete:
            return
        held, holding = self.holding.held, self.holding
        buffer, max_buffered_bytes = bytearray(), held.max_body_bytes
        holding.is_usual = self.length_bytes is not None and self.length_bytes <= USUAL_BODY_BYTES
        try:
            while len(buffer) < max_buffered_bytes:
                if held.is_short:
                    chunk = await self._read_piece(len(buffer), clock, latest_start_s)
                else:
                    chunk = await self._read_chunk()
                    holding.add(len(chunk or b""))
                if chunk is None:
                    break
                buffer += chunk
        finally:
            held.end_favour(holding)
        self._buffered = bytes(buffer)

    def discard(self) -> None:
        """Drop a body that is not sent any more."""
        self.holding.add(-len(self._buffered))
        self._buffered = b""

    @property
    def fully_buffered(self) -> bool:
        return self._connection.body_complete

    @property
    def replayable(self) -> bool:
        """Return whether it can be sent again: no part was streamed past the buffer."""
        return not self._streaming_started

    @property
    def buffered(self) -> bytes:
        return self._buffered

    @property
    def size_bytes(self) -> int:
        """Return the declared length, or else the number of buffered bytes."""
        return self.length_bytes if self.length_bytes is not None else len(self._buffered)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk after the buffered part, None at the end of the body."""
        self._streaming_started = True
        return await self._read_chunk(PIECE_BYTES if self.holding.held.is_short else None)

    async def _read_piece(
        self, read_bytes: int, clock: Callable[[], float], latest_start_s: float
    ) -> bytes | None:
        """Read on when there is room; TCP slows the client down meanwhile."""
        holding = self.holding
        # The first piece of a body is short, so that it always has room.
        piece_bytes = PIECE_BYTES if read_bytes else SHORT_BODY_BYTES
        count = piece_bytes
        if self.length_bytes is not None:
            count = min(count, self.length_bytes - read_bytes)
        if not holding.held.allows(holding, count):
            self._connection.channel.pause_reading()
        if not await holding.held.reserve(holding, count, latest_start_s):
            raise MemoryShortError
        started_s = clock()
        chunk: bytes | None = None
        try:
            chunk = await self._read_chunk(piece_bytes)
        finally:
            holding.add(len(chunk or b"") - count)
            holding.slow_s += clock() - started_s
        return chunk

    async def _read_chunk(self, max_bytes: int | None = None) -> bytes | None:
        chunk = await self._connection.read_body_chunk(max_bytes)
        if chunk is not None:
            self._bytes_read += len(chunk)
            if self._bytes_read > self._max_bytes:
                raise BadRequestError(413, f"body over {self._max_bytes} bytes")
        return chunk
