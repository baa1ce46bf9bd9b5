"""One TCP connection between two daemons, carrying many streams and control messages."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

import msgpack

from fuchsiawell.core import DaemonId
from fuchsiawell.transport.exchange import ClientExchange, Exchange, ServerExchange
from fuchsiawell.transport.frames import (
    PROTOCOL_VERSION,
    AnswerHead,
    FrameType,
    RequestHead,
    outcome_from_wire,
    outcome_to_wire,
)

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, LamportClock, Outcome

__all__ = ["Link", "LinkHooks"]

MAX_FRAME_BYTES = 4 * 1024 * 1024  # a peer that sends a larger frame is cut off
HIGH_WATER_BYTES = 1024 * 1024  # bytes waiting for the socket before senders pause


class LinkHooks:
    """Receive what arrives on links; a daemon overrides what it serves."""

    def on_request(self, exchange: ServerExchange) -> None:
        """Start serving a request."""
        exchange.close()

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        """Take a control message."""

    def on_closed(self, link: Link) -> None:
        """Take the news that the connection is gone."""


class Link(asyncio.Protocol):
    """Speak frames over one connection; either end may open it, the opener sends requests."""

    def __init__(
        self, own_id: DaemonId, clock: Clock, lamport: LamportClock, hooks: LinkHooks
    ) -> None:
        self.peer: str = "unknown"
        self._own_id = own_id
        self._clock = clock
        self._lamport = lamport
        self._hooks = hooks
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._packer = msgpack.Packer(autoreset=False)
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES, strict_map_key=False, use_list=True
        )
        self._flush_scheduled = False
        self._streams_by_id: dict[int, Exchange] = {}
        self._numbers = itertools.count(1)
        self._writable: asyncio.Future[None] | None = None
        self.congested = False
        self.closed = False
        self.last_received_s = clock.monotonic()
        self.ready: asyncio.Future[None] = self._loop.create_future()

    # Connection events, called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the other end."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        self._send([FrameType.HELLO, PROTOCOL_VERSION, self._own_id])

    def data_received(self, data: bytes) -> None:
        """Take bytes from the socket and handle every whole frame."""
        self.last_received_s = self._clock.monotonic()
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                self._receive(frame)
        except (ValueError, TypeError, KeyError, IndexError, msgpack.UnpackException) as error:
            self.close(f"bad frame: {error}")

    def pause_writing(self) -> None:
        """Note that the socket is full."""
        self.congested = True

    def resume_writing(self) -> None:
        """Note that the socket takes bytes again."""
        self.congested = False
        if self._writable is not None:
            self._writable.set_result(None)
            self._writable = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cut every stream of the link."""
        self._shut(str(exc) if exc else "connection closed")

    # What a daemon does with a link.

    def open(self, head: RequestHead, chunk: bytes, end: bool) -> ClientExchange:
        """Send a request's head and the first piece of its body, at most `CHUNK_BYTES`."""
        exchange = ClientExchange(self, next(self._numbers))
        self._streams_by_id[exchange.stream] = exchange
        exchange.use_credit(len(chunk))
        exchange.sent_end = end
        lamport = self._lamport.tick()
        self._send([FrameType.REQUEST, exchange.stream, lamport, head.to_wire(), chunk, end])
        if self.closed:
            exchange.cut("connection closed")
        return exchange

    def send_control(self, kind: str, body: Any) -> None:
        """Send a control message; it is lost if the link is."""
        self._send([FrameType.CONTROL, self._lamport.tick(), kind, body])

    def ping(self, number: int) -> None:
        """Ask the other end for a sign of life."""
        self._send([FrameType.PING, number])

    @property
    def busy(self) -> bool:
        """Tell whether any stream is open."""
        return bool(self._streams_by_id)

    def close(self, detail: str) -> None:
        """Drop the connection and cut every stream."""
        if self._transport is not None:
            self._transport.abort()
        self._shut(detail)

    async def drain(self) -> None:
        """Wait until the socket takes bytes again."""
        if self.closed or not self.congested:
            return
        if self._writable is None:
            self._writable = self._loop.create_future()
        await asyncio.shield(self._writable)

    # What exchanges do with their link.

    def forget(self, stream: int) -> None:
        """Drop late frames of this stream from now on."""
        self._streams_by_id.pop(stream, None)

    def send_body(self, stream: int, chunk: bytes, end: bool) -> None:
        """Send a piece of a body."""
        self._send([FrameType.BODY, stream, chunk, end])

    def send_answer(self, stream: int, head: AnswerHead, chunk: bytes, end: bool) -> None:
        """Send an answer's head and the first piece of its body."""
        lamport = self._lamport.tick()
        self._send([FrameType.ANSWER, stream, lamport, head.to_wire(), chunk, end])

    def send_outcome(self, stream: int, outcome: Outcome) -> None:
        """Send the outcome of a request that has no answer."""
        lamport = self._lamport.tick()
        self._send([FrameType.OUTCOME, stream, lamport, outcome_to_wire(outcome)])

    def send_accept(self, stream: int) -> None:
        """Tell the other end that the rest of the request's body is wanted."""
        self._send([FrameType.ACCEPT, stream])

    def send_cancel(self, stream: int) -> None:
        """Tell the other end that the stream was given up."""
        self._send([FrameType.CANCEL, stream])

    def send_credit(self, stream: int, count: int) -> None:
        """Tell the other end that `count` more bytes were consumed."""
        self._send([FrameType.CREDIT, stream, count])

    def _send(self, frame: list[Any]) -> None:
        if self.closed:
            return
        self._packer.pack(frame)
        if not self._flush_scheduled:
            # One write for all frames of this turn of the loop.
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        data = self._packer.bytes()
        self._packer.reset()
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    def _receive(self, frame: list[Any]) -> None:
        match frame:
            case [FrameType.REQUEST, stream, lamport, fields, chunk, end]:
                self._receive_request(stream, lamport, fields, chunk, end)
            case [FrameType.ANSWER, stream, lamport, fields, chunk, end]:
                self._lamport.merge(lamport)
                self._receive_answer(stream, fields, chunk, end)
            case [FrameType.BODY, stream, chunk, end]:
                if (exchange := self._streams_by_id.get(stream)) is not None:
                    exchange.receive_body(chunk, end)
            case [FrameType.OUTCOME, stream, lamport, fields]:
                self._lamport.merge(lamport)
                self._receive_outcome(stream, outcome_from_wire(fields))
            case [FrameType.CREDIT, stream, count]:
                if (exchange := self._streams_by_id.get(stream)) is not None:
                    exchange.receive_credit(count)
            case [FrameType.ACCEPT, stream]:
                exchange = self._streams_by_id.get(stream)
                if isinstance(exchange, ClientExchange):
                    exchange.receive_accept()
            case [FrameType.CANCEL, stream]:
                if (exchange := self._streams_by_id.pop(stream, None)) is not None:
                    exchange.cut("given up by the other end")
            case [FrameType.CONTROL, lamport, kind, body]:
                self._lamport.merge(lamport)
                self._hooks.on_control(DaemonId(self.peer), kind, body)
            case [FrameType.PING, number]:
                self._send([FrameType.PONG, number])
            case [FrameType.PONG, _]:
                pass
            case [FrameType.HELLO, version, daemon]:
                self._receive_hello(version, daemon)
            case _:
                raise ValueError(f"unknown frame {frame[:1]!r}")

    def _receive_hello(self, version: int, daemon: str) -> None:
        if version != PROTOCOL_VERSION:
            raise ValueError(f"protocol version {version}, this daemon speaks {PROTOCOL_VERSION}")
        self.peer = daemon
        if not self.ready.done():
            self.ready.set_result(None)

    def _receive_request(
        self, stream: int, lamport: int, fields: list[Any], chunk: bytes, end: bool
    ) -> None:
        self._lamport.merge(lamport)
        exchange = ServerExchange(self, stream, RequestHead.from_wire(fields))
        self._streams_by_id[stream] = exchange
        exchange.receive_body(chunk, end)
        self._hooks.on_request(exchange)

    def _receive_answer(self, stream: int, fields: list[Any], chunk: bytes, end: bool) -> None:
        exchange = self._streams_by_id.get(stream)
        if isinstance(exchange, ClientExchange):
            exchange.receive_body(chunk, end)
            exchange.receive_reply(AnswerHead.from_wire(fields))

    def _receive_outcome(self, stream: int, outcome: Outcome) -> None:
        exchange = self._streams_by_id.get(stream)
        if isinstance(exchange, ClientExchange):
            exchange.receive_body(b"", end=True)
            exchange.receive_reply(outcome)

    def _shut(self, detail: str) -> None:
        if self.closed:
            return
        self.closed = True
        self.congested = False
        if self._writable is not None:
            self._writable.set_result(None)
            self._writable = None
        if not self.ready.done():
            self.ready.set_exception(ConnectionError(detail))
            self.ready.exception()  # marks it as seen: nobody may be waiting
        streams = list(self._streams_by_id.values())
        self._streams_by_id.clear()
        for exchange in streams:
            exchange.cut(detail)
        self._hooks.on_closed(self)
