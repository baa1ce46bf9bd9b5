"""The server side: requests of one client connection, one after the other."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from fuchsiawell.httpio.messages import Fields, RequestHead, first_value

if TYPE_CHECKING:
    from fuchsiawell.httpio.channel import Channel

__all__ = ["BadRequestError", "HeadLimits", "ServerConnection"]

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class BadRequestError(Exception):
    """A request that is refused for its form; carries the status to answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True)
class HeadLimits:
    """How long a client may idle or take for a head, in seconds, and how large a head may be."""

    idle_timeout_s: float
    head_timeout_s: float
    max_header_bytes: int


class ServerConnection:
    """Read requests from one client and write their answers."""

    def __init__(self, channel: Channel, limits: HeadLimits) -> None:
        self.channel = channel
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_header_bytes)
        self._limits = limits
        self._head: RequestHead | None = None
        self._body_done = False
        self.answered = False

    async def next_request(self) -> RequestHead | None:
        """Return the next head, None when the client left or idled; raises BadRequestError."""
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        elif self._parser.our_state is not h11.IDLE:
            return None
        self._head, self._body_done, self.answered = None, False, False
        limit_s = self._limits.idle_timeout_s
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                started = bool(self._parser.trailing_data[0])
                limit_s = self._limits.head_timeout_s if started else self._limits.idle_timeout_s
                try:
                    async with asyncio.timeout(limit_s):
                        data = await self.channel.receive()
                except TimeoutError:
                    if started:
                        raise BadRequestError(408, "head not received in time") from None
                    return None
                if not data:
                    return None
                self._parser.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                fields = [(bytes(key), bytes(value)) for key, value in event.headers]
                self._head = RequestHead(bytes(event.method), bytes(event.target), fields)
                return self._head
            return None

    @property
    def head(self) -> RequestHead | None:
        """The head of the request that is being served."""
        return self._head

    @property
    def next_request_started(self) -> bool:
        """Whether bytes of a next request have arrived."""
        return self.channel.unread > 0 or bool(self._parser.trailing_data[0])

    @property
    def body_length(self) -> int | None:
        """The announced length of the body, 0 without one, None for chunks."""
        assert self._head is not None
        length = first_value(self._head.fields, b"content-length")
        if length is not None:
            return int(length)
        chunked = first_value(self._head.fields, b"transfer-encoding") is not None
        return None if chunked else 0

    @property
    def body_complete(self) -> bool:
        """Whether the whole body has been read."""
        return self._body_done

    async def read_body_chunk(self) -> bytes | None:
        """Return the next piece of the body, None at its end; raises when the client leaves."""
        while not self._body_done:
            if self._parser.they_are_waiting_for_100_continue and not self.answered:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self.channel.send(self._parser.send(go_on) or b"")
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.channel.at_eof:
                    raise ConnectionResetError("client left inside a body") from error
                raise BadRequestError(400, str(error)) from error
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self.channel.receive())
            elif isinstance(event, h11.Data):
                return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._body_done = True
            else:
                raise ConnectionResetError("client left inside a body")
        return None

    async def send_response(
        self, status: int, fields: Fields, body: bytes, close_after: bool
    ) -> None:
        """Send a whole answer; `last` announces that the connection closes after it."""
        await self.start_response(status, fields, len(body), close_after)
        if body and not self._bodiless(status):
            await self.send_body_chunk(body)
        await self.finish_response()

    async def start_response(
        self, status: int, fields: Fields, length: int | None, close_after: bool
    ) -> None:
        """Send the head of an answer; `length` None sends the body in chunks."""
        headers = list(fields)
        if length is not None and status not in (204, 304):
            headers.append((b"content-length", b"%d" % length))
        elif length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        if close_after:
            headers.append((b"connection", b"close"))
        self.answered = True
        reason = REASONS.get(status, b"")
        event = h11.Response(status_code=status, headers=headers, reason=reason)
        self.channel.write(self._parser.send(event) or b"")

    async def send_body_chunk(self, data: bytes) -> None:
        """Send a piece of the answer's body, waiting while the client is slow."""
        await self.channel.send(self._parser.send(h11.Data(data=data)) or b"")

    async def finish_response(self) -> None:
        """Finish the answer."""
        await self.channel.send(self._parser.send(h11.EndOfMessage()) or b"")

    def _bodiless(self, status: int) -> bool:
        return status in (204, 304) or (self._head is not None and self._head.method == b"HEAD")
