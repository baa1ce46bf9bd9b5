"""A TCP connection as a bounded byte channel with explicit loss."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Channel", "open_channel"]

# Bytes received and not read at which the peer is paused; a body of the usual size fits.
RECEIVE_LIMIT = 256 * 1024
# Unacknowledged data or unanswered probes after which a connection counts as dead, in ms. Below the
# time in which hosts must have noticed a silent link (3 s), above a few retransmissions.
USER_TIMEOUT_MS = 1500
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


class Channel(asyncio.Protocol):
    """Carry the bytes of one connection; reading pauses the peer when the buffer is full."""

    def __init__(self, on_open: Callable[[Channel], None] | None = None) -> None:
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._paused = False
        self._ended = False
        self._error: Exception | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.on_disconnect: Callable[[], None] | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport and bound how long a dead peer goes unnoticed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _bound_silence(sock)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and pause the peer at the limit."""
        self._buffer += data
        if len(self._buffer) >= RECEIVE_LIMIT and self._transport and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Note the end of the peer's bytes; writing stays possible."""
        self._ended = True
        self._readable.set()
        self._tell_gone()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake everyone who waits on the connection."""
        self.lost = True
        self._ended = True
        self._error = exc
        self._readable.set()
        self._writable.set()
        self._tell_gone()

    def pause_writing(self) -> None:
        """Hold senders back while the peer does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._writable.set()

    @property
    def peer(self) -> str:
        """The other side's address, empty before the connection is made."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else ""

    @property
    def at_eof(self) -> bool:
        """Whether the peer will send nothing more."""
        return self._ended

    @property
    def closing(self) -> bool:
        """Whether this side has begun to close."""
        return self._transport is None or self._transport.is_closing()

    @property
    def unread(self) -> int:
        """Bytes received and not read yet."""
        return len(self._buffer)

    async def receive(self) -> bytes:
        """Return the next bytes, empty at the end; raises ConnectionError when it broke."""
        while not self._buffer:
            if self._error is not None:
                raise ConnectionResetError(str(self._error)) from self._error
            if self._ended:
                return b""
            self._readable.clear()
            await self._readable.wait()
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._paused and self._transport is not None and not self.lost:
            self._paused = False
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queue bytes without waiting; raises ConnectionError when the connection is gone."""
        if self.lost or self._transport is None:
            raise ConnectionResetError("connection is closed")
        self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Queue bytes and wait while the peer is slow; raises ConnectionError when it is gone."""
        self.write(data)
        await self._writable.wait()
        if self.lost:
            raise ConnectionResetError(str(self._error or "connection is closed"))

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that bytes still on their way are dropped."""
        if self._transport is None or self.lost:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, (1).to_bytes(4, "little") + bytes(4)
                )
        self._transport.abort()

    def _tell_gone(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect()


async def open_channel(host: str, port: int, timeout_s: float) -> Channel:
    """Connect within `timeout_s` seconds; raises OSError or TimeoutError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, channel = await loop.create_connection(Channel, host, port)
    return channel


def _bound_silence(sock: socket.socket) -> None:
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        # A kernel without one of these options still works; time-outs of the callers remain.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
