"""HTTP/1.1 server side of one client connection: one request after the other."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from fuchsiawell.httpio.messages import Fields, RequestHead, first_value

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.httpio.channel import Channel

__all__ = ["BadRequestError", "HeadLimits", "ServerConnection"]

REASON_PHRASES = {
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
    """A malformed or too large request; `status` is the status to respond with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True)
class HeadLimits:
    """Limits for reading request heads.

    `idle_timeout_s` limits the wait for the first byte of a request, `head_timeout_s` each later
    wait for more of its head. `max_header_bytes` limits the size of the head.
    """

    idle_timeout_s: float
    head_timeout_s: float
    max_header_bytes: int


class ServerConnection:
    """Read requests from one client and write the responses.

    `limits` returns the limits in force; a change applies to the open connection too.
    """

    def __init__(self, channel: Channel, limits: Callable[[], HeadLimits]) -> None:
        self.channel = channel
        self._limits = limits
        self._max_header_bytes = limits().max_header_bytes
        self._parser = _create_parser(self._max_header_bytes)
        self._head: RequestHead | None = None
        self._body_complete = False
        self.response_started = False

    async def next_request(self) -> RequestHead | None:
        """Return the next request head; raises BadRequestError.

        None when the client closed the connection or sent nothing within the idle timeout, or
        after a response that closes the connection.
        """
        if self._parser.our_state is h11.DONE and self._parser.their_state is h11.DONE:
            self._parser.start_next_cycle()
        elif self._parser.our_state is not h11.IDLE:
            return None
        self._head, self._body_complete, self.response_started = None, False, False
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                data = await self._receive_more_of_head()
                if not data:
                    return None
                self._apply_header_size()
                self._parser.receive_data(data)
                continue
            if isinstance(event, h11.Request):
                fields = [(bytes(key), bytes(value)) for key, value in event.headers]
                self._head = RequestHead(bytes(event.method), bytes(event.target), fields)
                if first_value(fields, b"transfer-encoding") is None and self.body_length == 0:
                    self._body_complete = isinstance(self._parser.next_event(), h11.EndOfMessage)
                return self._head
            return None

    @property
    def head(self) -> RequestHead | None:
        """Head of the current request, None before the first one."""
        return self._head

    @property
    def next_request_started(self) -> bool:
        """Whether bytes of another request have been received."""
        return self.channel.unread_bytes > 0 or bool(self._parser.trailing_data[0])

    @property
    def body_length(self) -> int | None:
        """Length of the request body in bytes, 0 without a body, None for a chunked one."""
        assert self._head is not None
        length = first_value(self._head.fields, b"content-length")
        if length is not None:
            return int(length)
        chunked = first_value(self._head.fields, b"transfer-encoding") is not None
        return None if chunked else 0

    @property
    def body_complete(self) -> bool:
        """Whether the whole request body has been read."""
        return self._body_complete

    @property
    def awaits_response(self) -> bool:
        """Whether a request has been received and no part of its response has been sent."""
        return self._parser.our_state is h11.SEND_RESPONSE

    async def read_body_chunk(self, max_bytes: int | None = None) -> bytes | None:
        """Return the next part of the request body, None at its end.

        At most `max_bytes` are taken from the connection for it.
        Raises BadRequestError for a malformed body, ConnectionError when the client disconnects.
        """
        while not self._body_complete:
            if self._parser.they_are_waiting_for_100_continue and not self.response_started:
                interim_response = h11.InformationalResponse(status_code=100, headers=[])
                await self.channel.send(self._parser.send(interim_response) or b"")
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self.channel.at_eof:
                    raise ConnectionResetError("client disconnected inside the body") from error
                raise BadRequestError(400, str(error)) from error
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self.channel.receive(max_bytes))
            elif isinstance(event, h11.Data):
                return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._body_complete = True
            else:
                raise ConnectionResetError("client disconnected inside the body")
        return None

    async def send_response(
        self, status: int, fields: Fields, body: bytes, close_after: bool
    ) -> None:
        """Send a complete response; `close_after` adds `connection: close`."""
        await self.start_response(status, fields, len(body), close_after)
        if body and not self._has_no_body(status):
            await self.send_body_chunk(body)
        await self.finish_response()

    async def start_response(
        self, status: int, fields: Fields, length: int | None, close_after: bool
    ) -> None:
        """Send a response head; `length` None sends the body chunked."""
        headers = list(fields)
        if length is not None and status not in (204, 304):
            headers.append((b"content-length", b"%d" % length))
        elif length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        if close_after:
            headers.append((b"connection", b"close"))
        self.response_started = True
        reason = REASON_PHRASES.get(status, b"")
        event = h11.Response(status_code=status, headers=headers, reason=reason)
        self.channel.write(self._parser.send(event) or b"")

    async def send_body_chunk(self, data: bytes) -> None:
        """Send a part of the response body; waits while the write buffer is full."""
        await self.channel.send(self._parser.send(h11.Data(data=data)) or b"")

    async def finish_response(self) -> None:
        """Send the end of the response."""
        await self.channel.send(self._parser.send(h11.EndOfMessage()) or b"")

    async def _receive_more_of_head(self) -> bytes | None:
        """Return the next bytes, None after the idle timeout; raises BadRequestError 408."""
        head_started = bool(self._parser.trailing_data[0])
        started_s = asyncio.get_running_loop().time()
        timeout_s = self._wait_limit_s(head_started)
        while True:
            try:
                async with asyncio.timeout_at(started_s + timeout_s):
                    return await self.channel.receive()
            except TimeoutError:
                # Bytes that are read in the iteration of the loop in which the timeout fires are in
                # the buffer, though the wait for them was cancelled. One more iteration reads those
                # that arrived while the loop was held up.
                await asyncio.sleep(0)
                if self.channel.unread_bytes:
                    return await self.channel.receive()
            previous_timeout_s, timeout_s = timeout_s, self._wait_limit_s(head_started)
            if timeout_s <= previous_timeout_s:
                break
        if head_started:
            raise BadRequestError(408, "timeout while reading the request head")
        return None

    def _wait_limit_s(self, head_started: bool) -> float:
        limits = self._limits()
        return limits.head_timeout_s if head_started else limits.idle_timeout_s

    def _apply_header_size(self) -> None:
        """Replace the parser, whose limit is fixed, when the limit has changed."""
        max_header_bytes = self._limits().max_header_bytes
        if max_header_bytes == self._max_header_bytes:
            return
        unparsed = self._parser.trailing_data[0]
        self._max_header_bytes = max_header_bytes
        self._parser = _create_parser(max_header_bytes)
        if unparsed:
            self._parser.receive_data(unparsed)

    def _has_no_body(self, status: int) -> bool:
        return status in (204, 304) or (self._head is not None and self._head.method == b"HEAD")


def _create_parser(max_header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
