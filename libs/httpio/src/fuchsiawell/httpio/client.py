"""HTTP/1.1 client: one request at a time on a persistent connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from fuchsiawell.httpio.channel import Channel, open_channel
from fuchsiawell.httpio.dead_peers import (
    HOST_TIMEOUTS,
    UNOBSERVED_HOST_TIMEOUTS,
    WORKING_HOST_TIMEOUTS,
)
from fuchsiawell.httpio.messages import Fields, RequestHead, ResponseHead, first_value

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ClientConnection", "Exchange", "InvalidResponseError", "connect"]

# Longest response head that is accepted; far above what servers send.
MAX_HEAD_BYTES = 64 * 1024
# Interim and stray responses that are skipped before the expected one, and bytes of the bodies of
# the stray ones. A server that sends more does not respond.
MAX_SKIPPED_RESPONSES = 32
MAX_SKIPPED_BYTES = 1024 * 1024
# Time after which a server that has not reset the connection has acknowledged a request: above the
# limit for unacknowledged data. Most responses are there before.
ACKNOWLEDGED_AFTER_S = 1.6
# A server may take its time to read bodies longer than this, and its receive window may be full
# meanwhile, which the limit for unacknowledged data does not tell from a server that has gone.
LONG_BODY_BYTES = 16 * 1024
# RFC 9110 (15) calls other status codes invalid; the parser accepts any three digits.
MAX_STATUS = 599
# Parts of a response that are read from received bytes before other tasks get a turn.
EVENTS_PER_TURN = 64


class InvalidResponseError(Exception):
    """The peer sent a malformed or incomplete response."""


class ClientConnection:
    """Persistent connection to a server; one request at a time, no pipelining.

    `idle_since_s` is set by the connection pool; `idle_timeout_s` is the server's Keep-Alive
    timeout, None when it sent none.
    """

    def __init__(self, channel: Channel, peer: str) -> None:
        self.channel = channel
        self.peer = peer
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.idle_timeout_s: float | None = None
        # Hashes, since clients choose ids of any length.
        self._excluded_ids: set[int] = set()
        self._peer_check: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        """Whether another request may be sent: connection open, no unexpected bytes received."""
        channel = self.channel
        return not channel.at_eof and not channel.closing and channel.unread_bytes == 0

    def exclude(self, request_id: str) -> None:
        """Let no further request have this id: a second copy of the response may come late."""
        self._excluded_ids.add(hash(request_id))

    def excludes(self, request_id: str) -> bool:
        """Return whether a request with this id needs another connection."""
        return hash(request_id) in self._excluded_ids

    @property
    def excluded_count(self) -> int:
        """Return the number of ids that no further request may have."""
        return len(self._excluded_ids)

    def start(self, head: RequestHead, body_length: int | None) -> Exchange:
        """Send a request head; `body_length` None sends the body chunked."""
        self.exchange_count += 1
        if (body_length is None or body_length > LONG_BODY_BYTES) and (
            self.channel.peer_unresponsive is not None
        ):
            self.channel.set_timeouts(WORKING_HOST_TIMEOUTS)
        self._schedule_peer_check()
        return Exchange(self, head, body_length)

    def end_exchange(self) -> None:
        """Notice soon again when the connection is dead: no response is due any more."""
        if self._peer_check is not None:
            self._peer_check.cancel()
            self._peer_check = None
        self.channel.set_timeouts(HOST_TIMEOUTS)

    def close(self) -> None:
        self.end_exchange()
        self.channel.close()

    def abort(self) -> None:
        """Reset the connection, so that the server cancels its work for it."""
        self.end_exchange()
        self.channel.abort()

    def _schedule_peer_check(self) -> None:
        self._peer_check = asyncio.get_running_loop().call_later(
            ACKNOWLEDGED_AFTER_S, self._check_peer
        )

    def _check_peer(self) -> None:
        """Wait longer for a server that works in silence, end the wait for one that has gone."""
        self._peer_check = None
        if self.channel.at_eof or self.channel.closing:
            return
        unresponsive = self.channel.peer_unresponsive
        if unresponsive:
            self.channel.abort(TimeoutError("server acknowledges nothing"))
            return
        if unresponsive is None:
            self.channel.set_timeouts(UNOBSERVED_HOST_TIMEOUTS)
            return
        self.channel.set_timeouts(WORKING_HOST_TIMEOUTS)
        self._schedule_peer_check()


class Exchange:
    """One request and its response."""

    def __init__(
        self, connection: ClientConnection, head: RequestHead, body_length: int | None
    ) -> None:
        self._connection = connection
        self._channel = connection.channel
        self._head = head
        self._request_sent = False
        self._response_complete = False
        self._must_close = False
        self._stray_response_skipped = False
        self._event_count = 0
        # A final response that came instead of the go-ahead for the body.
        self._early_response: h11.Response | None = None
        self._fields: Fields = list(head.fields)
        if first_value(head.fields, b"host") is None:
            # HTTP/1.1 requires the field; a client of HTTP/1.0 need not send it.
            self._fields.insert(0, (b"host", b""))
        if body_length is None:
            self._fields.append((b"transfer-encoding", b"chunked"))
        elif body_length or head.method not in (b"GET", b"HEAD"):
            self._fields.append((b"content-length", b"%d" % body_length))
        # Separate parsers for request and response: a stray response restarts only the reader.
        self._writer, request_bytes = self._new_parser()
        self._reader, _ = self._new_parser()
        self._channel.write(request_bytes)

    async def send_body_chunk(self, data: bytes) -> None:
        """Send a part of the request body; waits while the write buffer is full."""
        out = self._writer.send(h11.Data(data=data))
        if out:
            await self._channel.send(out)

    async def finish_body(self) -> None:
        """Send the end of the request body."""
        out = self._writer.send(h11.EndOfMessage())
        if out:
            await self._channel.send(out)
        self._request_sent = True

    async def body_wanted(self) -> bool:
        """Wait for the response to `expect: 100-continue`; return whether to send the body.

        Raises InvalidResponseError and ConnectionError as `read_response_head`.
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._early_response = event
                return False
            if not isinstance(event, h11.InformationalResponse):
                raise InvalidResponseError("connection closed before the response head")
            if event.status_code == 100:
                return True
        raise InvalidResponseError("interim responses without end")

    async def read_response_head(self, is_expected: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the first response head for which `is_expected` holds; skip other responses.

        A server may send a late response to an earlier request first. Raises InvalidResponseError
        for malformed or incomplete responses and for too many that are skipped, ConnectionError
        when the connection is lost.
        """
        skipped_bytes = 0
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event: object = self._early_response or await self._next_event()
            self._early_response = None
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise InvalidResponseError("connection closed before the response head")
            head = self._decode(event)
            if is_expected(head):
                return head
            self._stray_response_skipped = True
            while (chunk := await self.read_body_chunk()) is not None:
                skipped_bytes += len(chunk)
                if skipped_bytes > MAX_SKIPPED_BYTES:
                    raise InvalidResponseError("body of another response without end")
            self._restart_reader()
        raise InvalidResponseError("interim or other responses without end")

    async def read_body_chunk(self) -> bytes | None:
        """Return the next part of the response body, None at its end.

        Raises InvalidResponseError for an incomplete body, ConnectionError when the connection is
        lost.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._response_complete = True
                if self._request_sent and not self._stray_response_skipped:
                    self._connection.end_exchange()
                return None
            raise InvalidResponseError("connection closed inside the response body")

    @property
    def followed_by_bytes(self) -> bool:
        """Whether more than the response has been received."""
        return bool(self._reader.trailing_data[0]) or self._channel.unread_bytes > 0

    @property
    def reusable(self) -> bool:
        """Whether the connection can be used for another request after this exchange."""
        return (
            self._request_sent
            and self._response_complete
            and not self._must_close
            and not self._stray_response_skipped
            and not self._reader.trailing_data[0]
            and self._connection.usable
        )

    def _new_parser(self) -> tuple[h11.Connection, bytes]:
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        out = parser.send(
            h11.Request(method=self._head.method, target=self._head.target, headers=self._fields)
        )
        return parser, out or b""

    def _restart_reader(self) -> None:
        unparsed, _ = self._reader.trailing_data
        self._reader, _ = self._new_parser()
        self._response_complete = False
        if unparsed:
            self._reader.receive_data(unparsed)

    def _decode(self, event: h11.Response) -> ResponseHead:
        if event.status_code > MAX_STATUS:
            raise InvalidResponseError(f"status {event.status_code} is not valid in HTTP")
        fields = [(bytes(key), bytes(value)) for key, value in event.headers]
        if b"close" in (first_value(fields, b"connection") or b"").lower():
            self._must_close = True
        self._connection.idle_timeout_s = _keep_alive_timeout_s(fields)
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
        self._event_count += 1
        if self._event_count % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        while True:
            try:
                event = self._reader.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidResponseError(str(error)) from error
            if event is h11.NEED_DATA:
                self._reader.receive_data(await self._channel.receive())
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise InvalidResponseError("connection closed before the end of the response")
            return event


def _keep_alive_timeout_s(fields: Fields) -> float | None:
    value = first_value(fields, b"keep-alive") or b""
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


async def connect(host: str, port: int, timeout_s: float) -> ClientConnection:
    """Open a connection; raises OSError, or TimeoutError after `timeout_s`."""
    return ClientConnection(await open_channel(host, port, timeout_s), f"{host}:{port}")
