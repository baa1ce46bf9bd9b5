"""TCP connection with a bounded receive buffer and errors when the connection is lost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.httpio.buffer_meter import MAX_BUFFERED_BYTES, MIN_METERED_BYTES
from fuchsiawell.httpio.dead_peers import (
    HOST_TIMEOUTS,
    DeadPeerTimeouts,
    is_reset,
    is_unresponsive,
    set_dead_peer_timeouts,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.httpio.buffer_meter import BufferMeter

__all__ = ["Channel", "LingerLimits", "open_channel"]

# While reading is paused, the event loop does not report a reset: the socket is polled this often.
PAUSED_CHECK_S = 0.2
# Data is received here and copied to the buffer of its channel before any other is received: a
# memory budget then limits what one receive may bring.
RECEIVE_AREA = memoryview(bytearray(MAX_BUFFERED_BYTES))
# The event loop requires room for at least one byte; less than this is not worth a system call.
MIN_RECEIVE_BYTES = 4096
# What is buffered of data that is discarded: all of hundreds of connections may receive at once.
DISCARD_BUFFER_BYTES = 8192
# The limit of the event loop for written data, above which a writer waits.
DEFAULT_WRITE_LIMIT_BYTES = 64 * 1024


@dataclass(frozen=True)
class LingerLimits:
    """Limits on discarding what a peer sends after the last response.

    `silence_s` limits the time without new bytes, `total_s` the whole time.
    """

    silence_s: float
    total_s: float
    max_bytes: int


class Channel(asyncio.BufferedProtocol):
    """One TCP connection with flow control in both directions.

    `on_disconnect` is called when the peer ends its side or the connection is lost. `meter` counts
    what is buffered in both directions and limits it; `metered_bytes` is what it has counted.
    """

    def __init__(
        self,
        on_open: Callable[[Channel], None] | None = None,
        timeouts: DeadPeerTimeouts = HOST_TIMEOUTS,
    ) -> None:
        self._on_open = on_open
        self._timeouts = timeouts
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._reading_paused = False
        self._paused_check: asyncio.TimerHandle | None = None
        # Whether the kernel has ended the connection, so that only what it holds is left to read.
        self._reset = False
        self._ended = False
        # Whether the peer ended its side before the connection was lost.
        self._closed_by_peer = False
        self._error: Exception | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.Event()
        self._write_limit_bytes = DEFAULT_WRITE_LIMIT_BYTES
        self._discards = False
        self.on_disconnect: Callable[[], None] | None = None
        self.meter: BufferMeter | None = None
        self.metered_bytes = 0
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options that detect a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_dead_peer_timeouts(sock, self._timeouts)
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory to receive the next bytes to."""
        limit_bytes = self._receive_limit_bytes
        if limit_bytes >= MAX_BUFFERED_BYTES:
            return RECEIVE_AREA
        return RECEIVE_AREA[: max(MIN_RECEIVE_BYTES, limit_bytes - len(self._buffer))]

    def buffer_updated(self, nbytes: int) -> None:
        """Take over the bytes that the event loop has received."""
        self.data_received(RECEIVE_AREA[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Buffer received bytes; pause reading when the buffer reaches its limit."""
        self._buffer += data
        if len(self._buffer) >= MIN_METERED_BYTES:
            self._measure()
            if len(self._buffer) >= self._receive_limit_bytes:
                self.pause_reading()
        self._readable.set()

    def pause_reading(self) -> None:
        """Receive nothing until `receive` has taken what is buffered, and waits for more."""
        if self._transport is None or self._reading_paused or self._reset or self.closing:
            return
        self._reading_paused = True
        self._transport.pause_reading()
        self._schedule_paused_check()

    def eof_received(self) -> bool:
        """Record the end of the peer's data; the connection stays open for writing."""
        self._ended = True
        self._readable.set()
        self._notify_disconnect()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss and wake all pending receive and send calls."""
        self.lost = True
        self._closed_by_peer = self._ended
        self._ended = True
        self._error = exc or self._error
        self._cancel_paused_check()
        if exc is not None:
            self._read_rest()
        if self.metered_bytes:
            self._measure()
        self._readable.set()
        self._writable.set()
        self._closed.set()
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Block `send` while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock `send`."""
        if self.metered_bytes:
            self._measure()
        self._writable.set()

    @property
    def peer(self) -> str:
        """Address of the peer as `host:port`, empty before the connection is made."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else ""

    @property
    def at_eof(self) -> bool:
        """Whether the peer has ended its side or the connection is lost."""
        return self._ended

    @property
    def end_reason(self) -> str:
        """How the connection or the peer's side ended, empty while it is open."""
        if not self._ended:
            return ""
        match self._error:
            case TimeoutError():
                return "peer does not respond"
            case None if self.lost and not self._closed_by_peer:
                return "closed here"
            case None:
                return "closed by the peer"
            case error:
                return f"{type(error).__name__}: {error}"

    @property
    def closing(self) -> bool:
        """Whether this side is closing the connection, or it is not open yet."""
        return self._transport is None or self._transport.is_closing()

    @property
    def unread_bytes(self) -> int:
        """Number of bytes received and not read yet."""
        return len(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received and not read yet, or written and not taken by the peer."""
        if self.lost or self._transport is None:
            return 0
        return len(self._buffer) + self._transport.get_write_buffer_size()

    def set_timeouts(self, timeouts: DeadPeerTimeouts) -> None:
        """Change the times after which the kernel resets the connection."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if timeouts == self._timeouts or sock is None or self.lost:
            return
        self._timeouts = timeouts
        set_dead_peer_timeouts(sock, timeouts)

    @property
    def peer_unresponsive(self) -> bool | None:
        """Whether the peer acknowledges nothing of what is sent again and again to it.

        A peer that does not read is not unresponsive: its kernel acknowledges. None where the
        kernel does not tell.
        """
        sock = self._transport.get_extra_info("socket") if self._transport else None
        return None if sock is None or self.lost else is_unresponsive(sock)

    async def receive(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, empty at end of file; raises ConnectionError on loss."""
        while not self._buffer:
            if self._error is not None:
                raise ConnectionResetError(str(self._error)) from self._error
            if self._ended:
                return b""
            self._resume_reading()
            self._readable.clear()
            await self._readable.wait()
        if max_bytes is None or max_bytes >= len(self._buffer):
            data = bytes(self._buffer)
            self._buffer.clear()
        else:
            data = bytes(self._buffer[:max_bytes])
            del self._buffer[:max_bytes]
        if self.metered_bytes:
            self._measure()
        if not self._buffer:
            self._resume_reading()
        return data

    def write(self, data: bytes | memoryview) -> None:
        """Queue bytes without waiting; raises ConnectionError when the connection is lost."""
        if self.lost or self._transport is None:
            raise ConnectionResetError("connection is closed")
        self._transport.write(data)
        if self.meter is not None and self._transport.get_write_buffer_size():
            self._measure()

    async def send(self, data: bytes) -> None:
        """Queue bytes and wait until the write buffer has space; raises ConnectionError on loss."""
        offset = 0
        while True:
            piece = self._next_piece(data, offset)
            offset += len(piece)
            self.write(piece)
            await self._writable.wait()
            if self.lost:
                raise ConnectionResetError(str(self._error or "connection is closed"))
            if offset >= len(data):
                return

    def close(self) -> None:
        """Close after all queued bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    async def close_after_peer(self, limits: LingerLimits) -> None:
        """End this side after all queued bytes, and close when the peer has ended its side.

        What the peer still sends is discarded: closing with unread bytes would reset the
        connection, and the peer could lose what was sent to it.
        """
        if self._transport is None or self._transport.is_closing():
            return
        # The peer may have reset the connection, which its next event tells.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._discards = True
        discarded_bytes = 0
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(limits.total_s):
                while discarded_bytes < limits.max_bytes:
                    async with asyncio.timeout(limits.silence_s):
                        data = await self.receive()
                    if not data:
                        break
                    discarded_bytes += len(data)
        self.close()

    async def wait_closed(self) -> None:
        """Wait until the connection has ended: after `close`, until all queued bytes are sent."""
        await self._closed.wait()

    def abort(self, error: Exception | None = None) -> None:
        """Reset the connection at once; bytes not yet delivered are dropped.

        Pending and later calls raise ConnectionError with the text of `error`.
        """
        if self._transport is None or self.lost:
            return
        self._error = error or self._error
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + bytes(4)
                )
        self._transport.abort()

    @property
    def _receive_limit_bytes(self) -> int:
        if self._discards:
            return DISCARD_BUFFER_BYTES
        return MAX_BUFFERED_BYTES if self.meter is None else self.meter.receive_limit_bytes

    def _measure(self) -> None:
        if self.meter is not None:
            self.meter.measure(self)

    def _next_piece(self, data: bytes, offset: int) -> bytes | memoryview:
        """Return what to write next; under a limit, long data is written as the peer takes it."""
        is_short = len(data) <= MIN_METERED_BYTES and not self.metered_bytes
        if self.meter is None or is_short:
            return data
        piece_bytes = self.meter.write_limit_bytes
        limit_bytes = DEFAULT_WRITE_LIMIT_BYTES if piece_bytes is None else piece_bytes
        if limit_bytes != self._write_limit_bytes and self._transport is not None:
            self._write_limit_bytes = limit_bytes
            self._transport.set_write_buffer_limits(limit_bytes)
        if offset == 0 and (piece_bytes is None or len(data) <= piece_bytes):
            return data
        end = len(data) if piece_bytes is None else offset + piece_bytes
        return memoryview(data)[offset:end]

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None and not self.lost:
            self._reading_paused = False
            self._cancel_paused_check()
            self._transport.resume_reading()

    def _schedule_paused_check(self) -> None:
        if self._transport is not None and self._transport.get_extra_info("socket") is not None:
            self._paused_check = asyncio.get_running_loop().call_later(
                PAUSED_CHECK_S, self._check_paused
            )

    def _cancel_paused_check(self) -> None:
        if self._paused_check is not None:
            self._paused_check.cancel()
            self._paused_check = None

    def _check_paused(self) -> None:
        """Read on if the connection was reset while reading is paused.

        What arrived before the reset may be a whole response: it is buffered, and the event loop
        reports the reset behind it.
        """
        self._paused_check = None
        if self._transport is None or self.closing:
            return
        if is_reset(self._transport.get_extra_info("socket")):
            self._reset = True
            self._reading_paused = False
            self._transport.resume_reading()
        else:
            self._schedule_paused_check()

    def _read_rest(self) -> None:
        """Buffer what arrived before a reset that a failed write has told first."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is None:
            return
        with contextlib.suppress(OSError):
            while data := os.read(sock.fileno(), MAX_BUFFERED_BYTES):
                self._buffer += data

    def _notify_disconnect(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect()


async def open_channel(host: str, port: int, timeout_s: float) -> Channel:
    """Open a connection; raises OSError, or TimeoutError after `timeout_s`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, port)
    except (ValueError, OverflowError) as error:
        # Of a host name that cannot be encoded, or a port out of range.
        raise OSError(f"unusable address {host!r}:{port}: {error}") from error
    return channel
