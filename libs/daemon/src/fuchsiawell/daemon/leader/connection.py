"""One HTTP/1.1 connection to a backend server, used by one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools

from fuchsiawell.core import FuchsiawellError

if TYPE_CHECKING:
    from fuchsiawell.transport import Headers

__all__ = ["AnswerCutError", "Connection", "ServerAnswer"]

READ_AHEAD_BYTES = 256 * 1024  # reading pauses while so much of an answer is not consumed


class AnswerCutError(FuchsiawellError):
    """Report that the connection ended before the answer did."""


@dataclass(slots=True)
class ServerAnswer:
    """Hold the head of a backend server's answer."""

    status: int
    headers: Headers


class Connection(asyncio.Protocol):
    """Send one request at a time and receive its answer, with back-pressure both ways.

    An answer counts as whole only by its own framing (length or chunks); one that is framed by
    the end of the connection is treated as cut.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.closed = False
        self.sent_bytes = 0  # of the present request; 0 proves that the server saw nothing of it
        self.last_received_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._writable: asyncio.Future[None] | None = None
        self._congested = False
        self._chunks: deque[bytes] = deque()
        self._headers: Headers = []
        self._answer: ServerAnswer | None = None
        self._changed: asyncio.Future[None] | None = None
        self._reset()

    # Connection events, called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        self.last_received_s = self._loop.time()
        if not self._busy:
            self.close("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.close(f"not HTTP: {error}")
            return
        self._wake()

    def pause_writing(self) -> None:
        """Note that the socket is full."""
        self._congested = True

    def resume_writing(self) -> None:
        """Note that the socket takes bytes again."""
        self._congested = False
        self._wake_writer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cut the answer that is under way."""
        self._shut(str(exc) if exc else "connection closed")

    # Parser events, called by httptools.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Keep the head, unless it is a provisional one."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._answer = ServerAnswer(status, self._headers)
            # The parser cannot know that the answer to HEAD has no body.
            self.complete = self._head_only

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._chunks.append(body)
        self._waiting_bytes += len(body)
        if self._waiting_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._parser.get_status_code() < 200:
            self._headers = []
            return
        self.complete = True
        self._keep_alive = self._parser.should_keep_alive()

    # What a leader does with a connection.

    @property
    def reusable(self) -> bool:
        """Tell whether another request may be sent on this connection."""
        return not self.closed and (not self._busy or (self.complete and self._keep_alive))

    def begin(self, method: str, target: str, headers: Headers, chunk: bytes, end: bool) -> None:
        """Send a request's head and the first piece of its body."""
        self._reset()
        self._busy = True
        self._head_only = method == "HEAD"
        lines = [f"{method} {target} HTTP/1.1\r\nhost: {self.peer}\r\n".encode("latin-1")]
        sized = False
        for name, value in headers:
            sized = sized or name == b"content-length"
            lines.append(b"%b: %b\r\n" % (name, value))
        if not sized and end and chunk:
            lines.append(b"content-length: %d\r\n" % len(chunk))
        elif not sized and not end:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        if chunk:
            lines.append(self._framed(chunk))
        self._write(b"".join(lines))

    async def send(self, chunk: bytes) -> None:
        """Send a further piece of the body, waiting while the socket is full."""
        if chunk:
            self._write(self._framed(chunk))
        while self._congested and not self.closed:
            if self._writable is None:
                self._writable = self._loop.create_future()
            await asyncio.shield(self._writable)

    def finish(self) -> None:
        """End the body."""
        if self._chunked:
            self._write(b"0\r\n\r\n")

    async def answer(self) -> ServerAnswer:
        """Wait for the head of the answer; raise `AnswerCutError`."""
        while self._answer is None:
            if self.closed:
                raise AnswerCutError("await answer", self.peer, self._detail)
            await self._wait()
        return self._answer

    async def answer_within(self, seconds: float) -> ServerAnswer | None:
        """Wait for the head of the answer for so long; `None` if nothing came by then."""
        late = False

        def give_up() -> None:
            nonlocal late
            late = True
            self._wake()

        # A bare timer: `asyncio.timeout` costs several times as much on each request.
        timer = self._loop.call_later(seconds, give_up)
        try:
            while self._answer is None and not late:
                if self.closed:
                    raise AnswerCutError("await answer", self.peer, self._detail)
                await self._wait()
        finally:
            timer.cancel()
        return self._answer

    async def next_chunk(self) -> bytes:
        """Return the next piece of the answer's body, `b""` after the last one."""
        while not self._chunks:
            if self.complete:
                return b""
            if self.closed:
                raise AnswerCutError("read answer", self.peer, self._detail)
            await self._wait()
        return self.take()

    def take(self) -> bytes:
        """Return what has been received of the body and not been taken yet, without waiting."""
        body = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._waiting_bytes = 0
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()
        return body

    def close(self, detail: str) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._shut(detail)

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._answer = None
        self._chunks.clear()
        self._waiting_bytes = 0
        self._keep_alive = False
        self._busy = False
        self._chunked = False
        self._head_only = False
        self._detail = "connection closed"
        self._changed = None
        self.complete = False
        self.sent_bytes = 0

    def _framed(self, chunk: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(chunk), chunk) if self._chunked else chunk

    def _write(self, data: bytes) -> None:
        if self._transport is None or self.closed:
            return
        self.sent_bytes += len(data)
        self._transport.write(data)

    async def _wait(self) -> None:
        if self._changed is None:
            self._changed = self._loop.create_future()
        await self._changed

    def _wake(self) -> None:
        if self._changed is not None:
            if not self._changed.done():
                self._changed.set_result(None)
            self._changed = None

    def _wake_writer(self) -> None:
        if self._writable is not None:
            self._writable.set_result(None)
            self._writable = None

    def _shut(self, detail: str) -> None:
        if self.closed:
            return
        self.closed = True
        self._detail = detail
        self._wake()
        self._wake_writer()
