"""A client's request body: held whole where it is small, read on while it is sent where not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.httpio import BadRequestError

if TYPE_CHECKING:
    from fuchsiawell.httpio import ServerConnection

__all__ = ["Body"]

# Bodies up to this size are read before a server is chosen, in bytes: a slow client then holds no
# slot, and a refused try can be sent elsewhere.
HELD_BYTES = 1024 * 1024


class Body:
    """The body of one request."""

    def __init__(self, connection: ServerConnection, limit_bytes: int) -> None:
        self._connection = connection
        self._limit = limit_bytes
        self._held = bytearray()
        self._sent_on = False
        self.length = connection.body_length
        self._read = 0

    async def hold(self) -> None:
        """Read up to the held size; raises BadRequestError, ConnectionError."""
        if self.length is not None and self.length > self._limit:
            raise BadRequestError(413, f"body of {self.length} bytes")
        while len(self._held) < HELD_BYTES:
            piece = await self._next()
            if piece is None:
                break
            self._held += piece

    @property
    def whole(self) -> bool:
        """Whether all of it is held."""
        return self._connection.body_complete

    @property
    def idempotent(self) -> bool:
        """Whether it can be sent again."""
        return not self._sent_on

    @property
    def held(self) -> bytes:
        """What has been read ahead."""
        return bytes(self._held)

    @property
    def size(self) -> int:
        """Its length as far as known, in bytes."""
        return self.length if self.length is not None else len(self._held)

    async def rest(self) -> bytes | None:
        """Return the next piece beyond what is held, None at the end."""
        self._sent_on = True
        return await self._next()

    async def _next(self) -> bytes | None:
        piece = await self._connection.read_body_chunk()
        if piece is not None:
            self._read += len(piece)
            if self._read > self._limit:
                raise BadRequestError(413, f"body over {self._limit} bytes")
        return piece
