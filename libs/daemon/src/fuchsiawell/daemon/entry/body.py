"""The body of a caller's request: small ones whole, large ones as they come."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.core import NotRun, NotRunReason, Step
from fuchsiawell.daemon.http_fields import field
from fuchsiawell.transport import CHUNK_BYTES, BodyCutError

if TYPE_CHECKING:
    from fuchsiawell.daemon.entry.asgi import Receive
    from fuchsiawell.transport import ClientExchange, Headers

__all__ = ["CallerBody"]


class CallerBody:
    """Read a body up to `CHUNK_BYTES` before the request is forwarded, the rest after it.

    As long as only the first part was taken from the caller, it can be sent again.
    """

    def __init__(
        self, receive: Receive, headers: Headers, max_bytes: int, idle_s: float, own: str
    ) -> None:
        self._receive = receive
        self._headers = headers
        self._max_bytes = max_bytes
        self._idle_s = idle_s
        self._own = own
        self._received_bytes = 0
        self.first_chunk = b""
        self._ended = False  # the caller sent all of it
        self.whole = False  # `first_chunk` is the whole body
        self.replayable = True

    async def start(self) -> NotRun | None:
        """Read the first part, or say why the request is refused."""
        length = field(self._headers, b"content-length")
        if length is None and field(self._headers, b"transfer-encoding") is None:
            self.whole = True
            return None
        if length is not None and length.isdigit() and int(length) > self._max_bytes:
            return NotRun(NotRunReason.TOO_LARGE, Step.ACCEPT, self._own)
        chunks: list[bytes] = []
        try:
            while not self._ended and self._received_bytes < CHUNK_BYTES:
                chunks.append(await self._next())
        except TimeoutError:
            return NotRun(NotRunReason.TOO_SLOW, Step.ACCEPT, self._own)
        except BodyCutError:
            return NotRun(NotRunReason.MALFORMED, Step.ACCEPT, self._own)
        if self._received_bytes > self._max_bytes:
            return NotRun(NotRunReason.TOO_LARGE, Step.ACCEPT, self._own)
        self.first_chunk = b"".join(chunks)
        self.whole = self._ended
        return None

    async def pump(self, exchange: ClientExchange) -> None:
        """Send what follows the first part, once the leader asks for it.

        A body cut by the caller is cut there too.
        """
        try:
            await exchange.accepted()
            self.replayable = False
            while not self._ended:
                chunk = await self._next()
                if self._received_bytes > self._max_bytes:
                    exchange.close()
                    return
                await exchange.send(chunk, end=self._ended)
        except (BodyCutError, TimeoutError):
            exchange.close()

    async def _next(self) -> bytes:
        async with asyncio.timeout(self._idle_s):
            message = await self._receive()
        if message["type"] == "http.disconnect":
            raise BodyCutError("read request body", "caller", "the caller went away")
        chunk: bytes = message.get("body", b"")
        self._received_bytes += len(chunk)
        self._ended = not message.get("more_body", False)
        return chunk
