"""TCP connection with a bounded receive buffer and errors when the connection is lost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CLIENT_TIMEOUTS", "Channel", "DeadPeerTimeouts", "LingerLimits", "open_channel"]

# Reading from the socket pauses when this much received data is unread; a body of the usual size
# fits.
RECEIVE_BUFFER_LIMIT_BYTES = 256 * 1024
# While reading is paused, the event loop does not report a reset: the socket is polled this often.
PAUSED_CHECK_S = 0.2


@dataclass(frozen=True)
class DeadPeerTimeouts:
    """Times after which the kernel resets a connection whose peer does not respond.

    `user_timeout_ms` (TCP_USER_TIMEOUT) limits the time with unacknowledged data, with a full
    receive window of the peer, or with unanswered keep-alive probes, whatever their number; 0 sets
    no limit. The first probe is sent `keep_alive_idle_s` after the last data, the others
    `keep_alive_interval_s` apart.
    """

    user_timeout_ms: int
    keep_alive_idle_s: int
    keep_alive_interval_s: int
    keep_alive_probes: int


# Must be below the 3 s within which a host must detect a dead link, and leave time for a few
# retransmissions.
HOST_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=1500, keep_alive_idle_s=2, keep_alive_interval_s=1, keep_alive_probes=2
)
# While a peer that has acknowledged a request works on it: silent by right, so that the loss or
# delay of a few probes must not end the request. Data without acknowledgement has no limit here;
# see `Channel.peer_unresponsive`.
WORKING_HOST_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=0, keep_alive_idle_s=2, keep_alive_interval_s=1, keep_alive_probes=4
)
# The same on a kernel that does not tell whether the peer acknowledges.
UNOBSERVED_HOST_TIMEOUTS = replace(WORKING_HOST_TIMEOUTS, user_timeout_ms=6000)
# A client that leaves closes its connection. Silence may come from a slow reader or from a queue at
# a slow link, and a response is due all the same; the limit bounds the memory for dead clients.
CLIENT_TIMEOUTS = DeadPeerTimeouts(
    user_timeout_ms=30_000, keep_alive_idle_s=10, keep_alive_interval_s=5, keep_alive_probes=4
)


# The start of struct tcp_info: retransmission timeouts in a row, segments without acknowledgement,
# milliseconds since the last acknowledgement, and the threshold of the receive window, which Linux
# always sets.
TCP_INFO_FORMAT = struct.Struct("=2xB21xI28xI4xI")
# A peer that has acknowledged nothing for so long, while data was sent to it again, has gone.
UNRESPONSIVE_MS = 1500
MIN_RETRANSMISSIONS = 2


@dataclass(frozen=True)
class LingerLimits:
    """Limits on discarding what a peer sends after the last response.

    `silence_s` limits the time without new bytes, `total_s` the whole time.
    """

    silence_s: float
    total_s: float
    max_bytes: int


class Channel(asyncio.Protocol):
    """One TCP connection with flow control in both directions.

    `on_disconnect` is called when the peer ends its side or the connection is lost.
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
        self.on_disconnect: Callable[[], None] | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options that detect a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_dead_peer_timeouts(sock, self._timeouts)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause reading when the buffer reaches its limit."""
        self._buffer += data
        if (
            len(self._buffer) >= RECEIVE_BUFFER_LIMIT_BYTES
            and self._transport
            and not self._reading_paused
            and not self._reset
        ):
            self._reading_paused = True
            self._transport.pause_reading()
            self._schedule_paused_check()
        self._readable.set()

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
        self._readable.set()
        self._writable.set()
        self._closed.set()
        self._notify_disconnect()

    def pause_writing(self) -> None:
        """Block `send` while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock `send`."""
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

    def set_timeouts(self, timeouts: DeadPeerTimeouts) -> None:
        """Change the times after which the kernel resets the connection."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if timeouts == self._timeouts or sock is None or self.lost:
            return
        self._timeouts = timeouts
        _set_dead_peer_timeouts(sock, timeouts)

    @property
    def peer_unresponsive(self) -> bool | None:
        """Whether the peer acknowledges nothing of what is sent again and again to it.

        A peer that does not read is not unresponsive: its kernel acknowledges. None where the
        kernel does not tell.
        """
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is None or self.lost:
            return None
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FORMAT.size)
            retransmissions, unacknowledged, silent_ms, window = TCP_INFO_FORMAT.unpack(info)
        except (OSError, struct.error):
            return None
        if window == 0:
            # An emulated kernel that leaves most fields at 0.
            return None
        return bool(
            unacknowledged > 0
            and retransmissions >= MIN_RETRANSMISSIONS
            and silent_ms >= UNRESPONSIVE_MS
        )

    async def receive(self) -> bytes:
        """Return the next bytes, empty at end of file; raises ConnectionError on loss."""
        while not self._buffer:
            if self._error is not None:
                raise ConnectionResetError(str(self._error)) from self._error
            if self._ended:
                return b""
            self._readable.clear()
            await self._readable.wait()
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._reading_paused and self._transport is not None and not self.lost:
            self._reading_paused = False
            self._cancel_paused_check()
            self._transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Queue bytes without waiting; raises ConnectionError when the connection is lost."""
        if self.lost or self._transport is None:
            raise ConnectionResetError("connection is closed")
        self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Queue bytes and wait until the write buffer has space; raises ConnectionError on loss."""
        self.write(data)
        await self._writable.wait()
        if self.lost:
            raise ConnectionResetError(str(self._error or "connection is closed"))

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
        if _is_reset(self._transport.get_extra_info("socket")):
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
            while data := os.read(sock.fileno(), RECEIVE_BUFFER_LIMIT_BYTES):
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


def _set_dead_peer_timeouts(sock: socket.socket, timeouts: DeadPeerTimeouts) -> None:
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, timeouts.keep_alive_idle_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, timeouts.keep_alive_interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, timeouts.keep_alive_probes),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.user_timeout_ms),
    ):
        # On a kernel without one of these options, the timeouts of the callers still apply.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def _is_reset(sock: socket.socket) -> bool:
    """Return whether the kernel holds an error of a connection, and leave it there."""
    poll = select.poll()
    poll.register(sock, 0)
    return any(events & select.POLLERR for _, events in poll.poll(0))
