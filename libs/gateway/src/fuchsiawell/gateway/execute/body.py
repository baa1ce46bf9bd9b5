"""Body of a client's request: buffered up to a limit, the remainder streamed to the server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.httpio import BadRequestError

if TYPE_CHECKING:
    from fuchsiawell.httpio import ServerConnection

__all__ = ["RequestBody"]

# Bodies up to this size are read before a server is selected: a slow client then occupies no slot,
# and a refused attempt can be sent to another server.
MAX_BUFFERED_BYTES = 1024 * 1024


class RequestBody:
    def __init__(self, connection: ServerConnection, max_bytes: int) -> None:
        self._connection = connection
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._streaming_started = False
        self.length_bytes = connection.body_length
        self._bytes_read = 0

    async def buffer(self) -> None:
        """Read up to MAX_BUFFERED_BYTES; raises BadRequestError, ConnectionError."""
        if self.length_bytes is not None and self.length_bytes > self._max_bytes:
            raise BadRequestError(413, f"body of {self.length_bytes} bytes")
        while len(self._buffer) < MAX_BUFFERED_BYTES:
            chunk = await self._read_chunk()
            if chunk is None:
                break
            self._buffer += chunk

    @property
    def fully_buffered(self) -> bool:
        return self._connection.body_complete

    @property
    def replayable(self) -> bool:
        """Return whether it can be sent again: no part was streamed past the buffer."""
        return not self._streaming_started

    @property
    def buffered(self) -> bytes:
        return bytes(self._buffer)

    @property
    def size_bytes(self) -> int:
        """Return the declared length, or else the number of buffered bytes."""
        return self.length_bytes if self.length_bytes is not None else len(self._buffer)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk after the buffered part, None at the end of the body."""
        self._streaming_started = True
        return await self._read_chunk()

    async def _read_chunk(self) -> bytes | None:
        chunk = await self._connection.read_body_chunk()
        if chunk is not None:
            self._bytes_read += len(chunk)
            if self._bytes_read > self._max_bytes:
                raise BadRequestError(413, f"body over {self._max_bytes} bytes")
        return chunk
