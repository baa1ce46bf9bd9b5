"""The client side: one exchange at a time on a kept connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from fuchsiawell.httpio.channel import Channel, open_channel
from fuchsiawell.httpio.messages import Fields, RequestHead, ResponseHead, first_value

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["InvalidResponseError", "ClientConnection", "Exchange", "connect"]

# Largest head of an answer that is read, in bytes; far above what servers send.
HEAD_LIMIT = 64 * 1024


class InvalidResponseError(Exception):
    """The peer sent bytes that are no whole answer."""


class ClientConnection:
    """One connection to a server that answers one request at a time."""

    def __init__(self, channel: Channel, peer: str) -> None:
        self.channel = channel
        self.peer = peer
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent; stray bytes spoil a connection."""
        channel = self.channel
        return not channel.at_eof and not channel.closing and channel.unread == 0

    def start(self, head: RequestHead, body_length: int | None) -> Exchange:
        """Begin an exchange; `body_length` None means chunks."""
        self.exchange_count += 1
        return Exchange(self, head, body_length)

    def close(self) -> None:
        """Close in order."""
        self.channel.close()

    def abort(self) -> None:
        """Reset, so that the server drops what it is doing for this connection."""
        self.channel.abort()


class Exchange:
    """One request and its answer."""

    def __init__(
        self, connection: ClientConnection, head: RequestHead, body_length: int | None
    ) -> None:
        self._connection = connection
        self._channel = connection.channel
        self._head = head
        self._request_sent = False
        self._response_complete = False
        self._must_close = False
        self._skipped = False
        self._fields: Fields = list(head.fields)
        if body_length is None:
            self._fields.append((b"transfer-encoding", b"chunked"))
        elif body_length or head.method not in (b"GET", b"HEAD"):
            self._fields.append((b"content-length", b"%d" % body_length))
        # Writing and reading are framed apart, as strays restart only the reading.
        self._writer, first_bytes = self._new_parser()
        self._reader, _ = self._new_parser()
        self._channel.write(first_bytes)

    async def send_body_chunk(self, data: bytes) -> None:
        """Send a piece of the body, waiting while the server is slow."""
        out = self._writer.send(h11.Data(data=data))
        if out:
            await self._channel.send(out)

    async def finish_body(self) -> None:
        """Say that the body is complete."""
        out = self._writer.send(h11.EndOfMessage())
        if out:
            await self._channel.send(out)
        self._request_sent = True

    async def read_response_head(self, belongs: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the answer that belongs to this request, skipping strays.

        Raises InvalidResponseError for bytes that are no answer, ConnectionError when it broke.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise InvalidResponseError("connection ended before an answer")
            head = self._decode(event)
            if belongs(head):
                return head
            self._skipped = True
            while await self.read_body_chunk() is not None:
                pass
            self._restart_reader()

    async def read_body_chunk(self) -> bytes | None:
        """Return the next piece of the answer's body, None at its proper end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._response_complete = True
                return None
            raise InvalidResponseError("connection ended inside an answer")

    @property
    def reusable(self) -> bool:
        """Whether the connection is fit for another request after this one."""
        return (
            self._request_sent
            and self._response_complete
            and not self._must_close
            and not self._skipped
            and not self._reader.trailing_data[0]
            and self._connection.usable
        )

    def _new_parser(self) -> tuple[h11.Connection, bytes]:
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        out = parser.send(
            h11.Request(method=self._head.method, target=self._head.target, headers=self._fields)
        )
        return parser, out or b""

    def _restart_reader(self) -> None:
        left_over, _ = self._reader.trailing_data
        self._reader, _ = self._new_parser()
        self._response_complete = False
        if left_over:
            self._reader.receive_data(left_over)

    def _decode(self, event: h11.Response) -> ResponseHead:
        fields = [(bytes(key), bytes(value)) for key, value in event.headers]
        if b"close" in (first_value(fields, b"connection") or b"").lower():
            self._must_close = True
        self._connection.idle_timeout_s = _idle_limit(fields)
        length = first_value(fields, b"content-length")
        chunked = first_value(fields, b"transfer-encoding") is not None
        has_body = event.status_code not in (204, 304) and self._head.method != b"HEAD"
        close_delimited = has_body and length is None and not chunked
        if close_delimited:
            self._must_close = True
        return ResponseHead(
            event.status_code, fields, int(length) if length is not None else None, close_delimited
        )

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._reader.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidResponseError(str(error)) from error
            if event is h11.NEED_DATA:
                self._reader.receive_data(await self._channel.receive())
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise InvalidResponseError("connection ended before a whole answer")
            return event


def _idle_limit(fields: Fields) -> float | None:
    value = first_value(fields, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


async def connect(host: str, port: int, timeout_s: float) -> ClientConnection:
    """Open a connection; raises OSError or TimeoutError."""
    return ClientConnection(await open_channel(host, port, timeout_s), f"{host}:{port}")
