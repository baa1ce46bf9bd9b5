"""Pass on a long response while the server sends it."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.outcome import Outcome, OutcomeUnknown, Response
from fuchsiawell.httpio import InvalidResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.httpio import ClientConnection, Exchange, ResponseHead, ServerConnection

__all__ = ["Remainder"]

# A response that has begun may end this much later than the deadline of its request.
LATE_DELIVERY_S = 0.2
# The same for one that would have been read whole if memory had not been short, and delivered at
# the pace of its client.
LATE_DELIVERY_FOR_MEMORY_S = 10.0
# What a server may take to go on with such a response after the deadline of its request.
LATE_READ_S = 1.0
# Interval of looking for room to read on.
ROOM_CHECK_INTERVAL_S = 0.1
# A client that takes less than this in all its time is slow: a response that it does not get whole
# says nothing about the server.
SLOW_CLIENT_BYTES = 1024 * 1024
# Servers announce no longer bodies: one that does sends without end.
MAX_ANNOUNCED_BYTES = 64 * 1024 * 1024


class Remainder:
    """What is left to pass on of a response; `pass_on` or `close` must be called.

    `on_end` is called with the response when it is complete, and with the failure when the server
    has not completed it. It is not called when the client left, was too slow, or was cut by a stop.
    `on_close` is called at the end in all cases: the server no longer works on the request.
    `sending` sends the rest of the request meanwhile; it is cancelled at the end. `for_memory` is
    set for a response that would be read whole if memory were not short.
    """

    def __init__(
        self,
        head: ResponseHead,
        start: bytes,
        exchange: Exchange,
        connection: ClientConnection,
        release: Callable[[], None],
        holding: Holding | None = None,
        for_memory: bool = False,
    ) -> None:
        self._holding = holding
        self.for_memory = for_memory
        self._head = head
        # What has been received before; dropped when it is passed on.
        self._start: bytes | None = start
        self._exchange = exchange
        self._connection = connection
        self._release: Callable[[], None] = release
        self._passed_bytes = 0
        # Bytes of the body that the server has sent.
        self.received_bytes = len(start)
        self._waits_for_server = False
        self._complete = False
        self._closed = False
        self.sending: asyncio.Task[None] | None = None
        self.on_end: Callable[[Outcome], None] = _ignore
        self.on_close: Callable[[], None] = _ignore

    async def pass_on(self, client: ServerConnection, remaining_s: float) -> None:
        """Send the response's body to the client within `remaining_s` and a little more.

        Raises InvalidResponseError if the response does not end in time or is truncated,
        ConnectionError if the client disconnects.
        """
        late_s = LATE_DELIVERY_FOR_MEMORY_S if self.for_memory else LATE_DELIVERY_S
        deadline_s = asyncio.get_running_loop().time() + remaining_s
        try:
            async with asyncio.timeout_at(deadline_s + late_s) as timeout:
                if self.for_memory:
                    await self._pass_on_while_reading(client, deadline_s, timeout)
                else:
                    await self._send_start(client)
                    while (chunk := await self._read_chunk()) is not None:
                        await self._send(client, chunk)
        except TimeoutError as error:
            reason = "no end of the response in time"
            if self._server_failed:
                self._fail(reason, timed_out=True)
            raise InvalidResponseError(f"{self._connection.peer}: {reason}") from error
        finally:
            self.close()

    def close(self) -> None:
        """Abort the connection to the server unless the response was complete."""
        if self._closed:
            return
        self._closed = True
        if self.sending is not None:
            # Failures to send have ended the response, which tells why.
            self.sending.add_done_callback(_retrieve_error)
            self.sending.cancel()
        if self._complete:
            self._release_once()
        else:
            self._connection.abort()
        self.on_close()

    async def _send_start(self, client: ServerConnection) -> None:
        start, self._start = self._start, None
        if start:
            await self._send(client, start)
            self._hold(-len(start))

    async def _send(self, client: ServerConnection, chunk: bytes) -> None:
        await client.send_body_chunk(chunk)
        self._passed_bytes += len(chunk)

    def _hold(self, count: int) -> None:
        if self._holding is not None:
            self._holding.add(count)

    async def _pass_on_while_reading(
        self, client: ServerConnection, deadline_s: float, timeout: asyncio.Timeout
    ) -> None:
        """Send what has been read, and read on meanwhile as far as there is room in memory.

        Servers cut off responses that stay unread. Once all has been read, a client may take its
        time as for a response that is read before any part of it is sent.
        """
        ahead: deque[bytes] = deque()
        changed = asyncio.Event()
        reading = asyncio.get_running_loop().create_task(
            self._read_ahead(ahead, changed, deadline_s, timeout)
        )
        reading.add_done_callback(_retrieve_error)
        reading.add_done_callback(lambda _: changed.set())
        try:
            await self._send_start(client)
            while ahead or not reading.done():
                if reading.done():
                    reading.result()
                if not ahead:
                    changed.clear()
                    await changed.wait()
                    continue
                chunk = ahead.popleft()
                changed.set()
                await self._send(client, chunk)
                self._hold(-len(chunk))
            reading.result()
        finally:
            reading.cancel()
            self._hold(-sum(map(len, ahead)))

    async def _read_ahead(
        self,
        ahead: deque[bytes],
        changed: asyncio.Event,
        deadline_s: float,
        timeout: asyncio.Timeout,
    ) -> None:
        assert self._holding is not None
        held, loop = self._holding.held, asyncio.get_running_loop()
        while True:
            async with asyncio.timeout_at(max(deadline_s, loop.time()) + LATE_READ_S):
                chunk = await self._read_chunk()
            if chunk is None:
                break
            ahead.append(chunk)
            self._hold(len(chunk))
            changed.set()
            while ahead and not held.allows(self._holding, len(chunk)):
                changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ROOM_CHECK_INTERVAL_S):
                        await changed.wait()
        if not timeout.expired():
            timeout.reschedule(None)
        if self.sending is None or self.sending.done():
            self._release_once()

    def _release_once(self) -> None:
        release, self._release = self._release, _ignore
        release()

    async def _read_chunk(self) -> bytes | None:
        self._waits_for_server = True
        try:
            chunk = await self._exchange.read_body_chunk()
        except (InvalidResponseError, ConnectionError) as error:
            reason = str(error) or type(error).__name__
            self._fail(reason, timed_out=False)
            raise InvalidResponseError(f"{self._connection.peer}: {reason}") from error
        self._waits_for_server = False
        if chunk is None:
            self._complete = True
            self.on_end(Response(self._head, b""))
        else:
            self.received_bytes += len(chunk)
        return chunk

    def _fail(self, reason: str, timed_out: bool) -> None:
        self.on_end(OutcomeUnknown("answer", self._connection.peer, reason, timed_out))

    @property
    def _server_failed(self) -> bool:
        """Whether the server, not the client, is why the response did not end in time."""
        length = self._head.content_length
        announced = length is not None and length <= MAX_ANNOUNCED_BYTES
        return self._waits_for_server or (not announced and self._passed_bytes > SLOW_CLIENT_BYTES)


def _retrieve_error(sending: asyncio.Task[None]) -> None:
    if not sending.cancelled():
        sending.exception()


def _ignore(*_: Outcome) -> None:
    """Take no notice of the end."""
