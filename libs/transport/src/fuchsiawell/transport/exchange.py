"""One request and its answer on a link, with bodies that stream under flow control."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from fuchsiawell.core import FuchsiawellError
from fuchsiawell.transport.frames import CHUNK_BYTES, WINDOW_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import Outcome
    from fuchsiawell.transport.frames import AnswerHead, RequestHead
    from fuchsiawell.transport.link import Link

__all__ = ["BodyCutError", "ClientExchange", "Exchange", "ServerExchange"]


class BodyCutError(FuchsiawellError):
    """Report that the rest of a body will never come."""


class Exchange:
    """Send and receive the body of one stream; the base of both ends."""

    def __init__(self, link: Link, stream: int) -> None:
        self.link = link
        self.stream = stream
        self._chunks: deque[bytes] = deque()
        self._received_end = False
        self._cut: BodyCutError | None = None
        self._credit_bytes = WINDOW_BYTES
        self._unacknowledged_bytes = 0
        self._changed: asyncio.Future[None] | None = None
        self.sent_end = False

    @property
    def closed(self) -> bool:
        """Tell whether no more frames of this stream are expected."""
        return self._cut is not None

    async def next_chunk(self) -> bytes:
        """Return the next piece of the body, `b""` after the last; raise `BodyCutError`."""
        while not self._chunks:
            if self._received_end:
                return b""
            if self._cut is not None:
                raise self._cut
            await self._wait()
        chunk = self._chunks.popleft()
        self._acknowledge(len(chunk))
        return chunk

    def take_body(self) -> bytes:
        """Return what has been received and not been taken yet, without waiting."""
        body = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        if body:
            self._acknowledge(len(body))
        return body

    async def send(self, data: bytes, end: bool) -> None:
        """Send a piece of the body, waiting while the receiver's window is full."""
        view = memoryview(data)
        while len(view) > CHUNK_BYTES:
            await self._send_piece(bytes(view[:CHUNK_BYTES]), end=False)
            view = view[CHUNK_BYTES:]
        await self._send_piece(bytes(view), end)

    def receive_body(self, chunk: bytes, end: bool) -> None:
        """Take a piece of the body from the link."""
        if chunk:
            self._chunks.append(chunk)
        self._received_end = self._received_end or end
        self._wake()

    def receive_credit(self, count: int) -> None:
        """Take the link's news that the receiver consumed `count` bytes."""
        self._credit_bytes += count
        self._wake()

    def cut(self, detail: str) -> None:
        """End the stream from outside; whoever waits on it gets `BodyCutError`."""
        if self._cut is None:
            self._cut = BodyCutError("stream body", self.link.peer, detail)
            self._wake()

    def close(self) -> None:
        """Forget the stream, and tell the other end unless both ends had finished."""
        self.link.forget(self.stream)
        if self._received_end and self.sent_end:
            return
        if self._cut is None:
            self.link.send_cancel(self.stream)
        self.cut("closed here")

    async def _send_piece(self, piece: bytes, end: bool) -> None:
        while self._credit_bytes <= 0 or self.link.congested:
            if self._cut is not None:
                raise self._cut
            if self.link.congested:
                await self.link.drain()
            else:
                await self._wait()
        if self._cut is not None:
            raise self._cut
        self.use_credit(len(piece))
        self.sent_end = end
        self.link.send_body(self.stream, piece, end)

    def use_credit(self, count: int) -> None:
        """Count bytes sent against the receiver's window."""
        self._credit_bytes -= count

    def _acknowledge(self, count: int) -> None:
        self._unacknowledged_bytes += count
        if self._unacknowledged_bytes >= WINDOW_BYTES // 2 and not self._received_end:
            self.link.send_credit(self.stream, self._unacknowledged_bytes)
            self._unacknowledged_bytes = 0

    async def _wait(self) -> None:
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._changed)

    def _wake(self) -> None:
        if self._changed is not None:
            self._changed.set_result(None)
            self._changed = None


class ClientExchange(Exchange):
    """The end that sent the request."""

    def __init__(self, link: Link, stream: int) -> None:
        super().__init__(link, stream)
        self._accepted = False
        self.reply: asyncio.Future[AnswerHead | Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def whole(self) -> bool:
        """Tell whether the end of the answer's body has been received."""
        return self._received_end

    async def accepted(self) -> None:
        """Wait until the other end wants the rest of the body; raise `BodyCutError`."""
        while not self._accepted:
            if self._cut is not None:
                raise self._cut
            await self._wait()

    def receive_accept(self) -> None:
        """Take the link's news that the rest of the body is wanted."""
        self._accepted = True
        self._wake()

    def receive_reply(self, reply: AnswerHead | Outcome) -> None:
        """Take the answer's head, or the outcome in its place."""
        if not self.reply.done():
            self.reply.set_result(reply)

    def time_out(self) -> None:
        """End the wait for the reply with `TimeoutError`."""
        if not self.reply.done():
            self.reply.set_exception(TimeoutError())

    def cut(self, detail: str) -> None:
        """End the stream; a reply still awaited becomes `BodyCutError`."""
        super().cut(detail)
        if not self.reply.done():
            self.reply.set_exception(BodyCutError("await answer", self.link.peer, detail))
            self.reply.exception()  # marks it as seen: the awaiting side may be gone


class ServerExchange(Exchange):
    """The end that received the request."""

    def __init__(self, link: Link, stream: int, head: RequestHead) -> None:
        super().__init__(link, stream)
        self.head = head
        self.replied = False
        self.on_cancel: Callable[[], None] | None = None

    def body_received(self) -> bool:
        """Tell whether the whole body of the request is here."""
        return self._received_end

    def accept(self) -> None:
        """Ask for the rest of the request's body; until then the sender keeps it."""
        self.link.send_accept(self.stream)

    def answer(self, head: AnswerHead, chunk: bytes, end: bool) -> None:
        """Send the answer's head with the first piece of its body, at most `CHUNK_BYTES`."""
        self.replied = True
        self.sent_end = end
        self.use_credit(len(chunk))
        self.link.send_answer(self.stream, head, chunk, end)

    def fail(self, outcome: Outcome) -> None:
        """Send the outcome in place of an answer."""
        self.replied = True
        self.sent_end = True
        self.link.send_outcome(self.stream, outcome)

    def cut(self, detail: str) -> None:
        """End the stream and cancel the work that serves it."""
        was_closed = self.closed
        super().cut(detail)
        if not was_closed and self.on_cancel is not None and not self.sent_end:
            self.on_cancel()
