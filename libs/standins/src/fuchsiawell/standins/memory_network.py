"""Connections in memory between the hosts of one process, with delay, cuts and lost data."""

from __future__ import annotations

import asyncio
import errno
from contextvars import copy_context
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any

from fuchsiawell.httpio import Channel

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextvars import Context

__all__ = ["CutMode", "MemoryNetwork", "host_pair"]

# Time between the arrivals of two writes on a connection.
WRITE_GAP_S = 1e-9
# With the socket options that channels set, the kernel ends a connection whose data has not been
# acknowledged for this time, and an idle one this long after the last data.
USER_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S = 1.5, 3.0


class CutMode(Enum):
    """What becomes of the connections between two hosts while they are cut off from each other."""

    # New connections get no response. Data is sent again when the cut ends, unless the kernel has
    # ended the connection before.
    HANG = "hang"
    # Open connections are reset, new ones refused.
    RESET = "reset"
    # Open connections go on, new ones are refused.
    OPEN = "open"
    # As HANG, but the kernel does not end connections: data may arrive late.
    HOLD = "hold"


@dataclass
class _Cut:
    mode: CutMode
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def holds_data(self) -> bool:
        return self.mode in (CutMode.HANG, CutMode.HOLD)


@dataclass(frozen=True)
class _Listener:
    create_channel: Callable[[], Channel]
    context: Context


class MemoryNetwork:
    """Connections between channels of one process.

    Data and connects between two hosts are dropped while the pair is in `silent`, and delayed by
    `delay_s`, or by `default_delay_s`. The order of the data on a connection is kept. Each end is
    called in the context in which it began to listen, or opened the connection.
    """

    def __init__(self, default_delay_s: float = 0.0) -> None:
        self.default_delay_s = default_delay_s
        self.silent: set[frozenset[str]] = set()
        # Gets what would have delivered the data of a silent pair, for a test to call it late.
        self.on_dropped: Callable[[Callable[[], object]], None] | None = None
        self.delay_s: dict[frozenset[str], float] = {}
        # Connects by client and host, those that failed too.
        self.connects: dict[tuple[str, str], int] = {}
        self._listeners: dict[tuple[str, int | None], _Listener] = {}
        self._cuts: dict[frozenset[str], _Cut] = {}
        # Ordered, so that a cut ends connections in the same order in each run.
        self._ends: dict[frozenset[str], dict[_End, None]] = {}

    def listen(self, host: str, accept: Callable[[Channel], None]) -> None:
        """Call `accept` with each channel that is opened to a host, at any port."""
        self.listen_at(host, None, lambda: Channel(accept))

    def listen_at(self, host: str, port: int | None, create_channel: Callable[[], Channel]) -> None:
        """Create a channel for each connection to a port of a host, None: any other port."""
        self._listeners[host, port] = _Listener(create_channel, copy_context())

    def stop_listening(self, host: str, port: int | None = None) -> None:
        """Refuse further connections."""
        self._listeners.pop((host, port), None)

    async def open(self, client: str, host: str, timeout_s: float) -> Channel:
        """Connect a client to a host; raises TimeoutError, or OSError if nothing listens."""
        async with asyncio.timeout(timeout_s):
            return await self.connect(client, host, None, Channel)

    async def connect(
        self, client: str, host: str, port: int | None, create_channel: Callable[[], Channel]
    ) -> Channel:
        """Connect a client to a port of a host; raises OSError if nothing listens."""
        hosts = host_pair(client, host)
        self.connects[client, host] = self.connects.get((client, host), 0) + 1
        if hosts in self.silent:
            await asyncio.Event().wait()
        await self._wait_for_path(hosts)
        await asyncio.sleep(self.delay_between(hosts))
        await self._wait_for_path(hosts)
        listener = self._listeners.get((host, port)) or self._listeners.get((host, None))
        if listener is None:
            raise ConnectionRefusedError(f"nothing listens at {host}")
        near, far = create_channel(), listener.create_channel()
        near_end = _End(self, client, host, near, copy_context())
        far_end = _End(self, host, client, far, listener.context)
        near_end.other, far_end.other = far_end, near_end
        self._ends.setdefault(hosts, {}).update({near_end: None, far_end: None})
        near.connection_made(near_end)
        listener.context.copy().run(far.connection_made, far_end)
        return near

    def cut(self, first: str, second: str, mode: CutMode) -> None:
        """Cut two hosts off from each other until `end_cut`."""
        hosts = host_pair(first, second)
        self.end_cut(first, second)
        self._cuts[hosts] = _Cut(mode)
        for end in list(self._ends.get(hosts, ())):
            end.on_cut(mode)

    def end_cut(self, first: str, second: str) -> None:
        """Connect two hosts again."""
        hosts = host_pair(first, second)
        cut = self._cuts.pop(hosts, None)
        if cut is not None:
            cut.ended.set()
            for end in list(self._ends.get(hosts, ())):
                end.on_cut_end()

    def reset_host(self, host: str) -> None:
        """Reset all connections of a host, as when its process ends."""
        for hosts, ends in list(self._ends.items()):
            if host in hosts:
                for end in list(ends):
                    if end.local == host:
                        end.abort()

    def delay_between(self, hosts: frozenset[str]) -> float:
        """Return the one-way delay between two hosts, in seconds."""
        return self.delay_s.get(hosts, self.default_delay_s)

    def holds_data(self, hosts: frozenset[str]) -> bool:
        """Return whether data between two hosts is held until a cut ends."""
        cut = self._cuts.get(hosts)
        return cut is not None and cut.holds_data

    def cut_mode(self, hosts: frozenset[str]) -> CutMode | None:
        cut = self._cuts.get(hosts)
        return cut.mode if cut is not None else None

    def forget(self, hosts: frozenset[str], end: _End) -> None:
        """Drop one end of a connection that is closed at both ends."""
        self._ends.get(hosts, {}).pop(end, None)

    async def _wait_for_path(self, hosts: frozenset[str]) -> None:
        while (cut := self._cuts.get(hosts)) is not None:
            if not cut.holds_data:
                raise ConnectionRefusedError(f"no path between {' and '.join(sorted(hosts))}")
            await cut.ended.wait()


class _End(asyncio.Transport):
    """One end of a connection; writes go to the channel at the other end."""

    other: _End

    def __init__(
        self, network: MemoryNetwork, local: str, remote: str, channel: Channel, context: Context
    ) -> None:
        super().__init__()
        self._network = network
        self._hosts = host_pair(local, remote)
        self.local = local
        self._remote = remote
        self._channel = channel
        self._context = context
        self._arrival_s = 0.0
        self._closed = False
        # What is sent when a cut ends.
        self._held: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self._timers: list[asyncio.TimerHandle] = []

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (self._remote, 0) if name == "peername" else default

    def write(self, data: Any) -> None:
        if not self._closed:
            self._deliver(self.other._channel.data_received, bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def is_closing(self) -> bool:
        return self._closed

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._closed:
            self._deliver(self.other._channel.eof_received)

    def close(self) -> None:
        self._close(None)

    def abort(self) -> None:
        if not self._closed:
            self._held.clear()
            self._close(ConnectionResetError(errno.ECONNRESET, "connection reset by peer"))

    def pause_reading(self) -> None:
        """Do nothing: the buffers of a test stay small."""

    def resume_reading(self) -> None:
        """Do nothing: reading was not paused."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writes are never buffered."""

    def get_write_buffer_size(self) -> int:
        return 0

    def on_peer_closed(self, error: Exception | None) -> None:
        if not self._closed:
            self._end(error)

    def on_cut(self, mode: CutMode) -> None:
        """Take part in a cut that begins."""
        if self._closed:
            return
        if mode is CutMode.RESET:
            reset = ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            asyncio.get_running_loop().call_soon(self.on_peer_closed, reset, context=self._context)
        elif mode is CutMode.HANG:
            self._start_timer(KEEP_ALIVE_TIMEOUT_S)

    def on_cut_end(self) -> None:
        """Send what was held."""
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        held, self._held = self._held, []
        for callback, arguments in held:
            self._deliver(callback, *arguments)

    def _close(self, error: Exception | None) -> None:
        if not self._closed:
            self._closed = True
            self._deliver(self.other.on_peer_closed, error)
            loop = asyncio.get_running_loop()
            loop.call_soon(self._channel.connection_lost, None, context=self._context)
            self._forget_if_closed()

    def _end(self, error: Exception | None) -> None:
        self._closed = True
        self._forget_if_closed()
        self._channel.connection_lost(error)

    def _forget_if_closed(self) -> None:
        if self.other._closed:
            self._network.forget(self._hosts, self)
            self._network.forget(self._hosts, self.other)

    def _start_timer(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(seconds, self._time_out, context=self._context))

    def _time_out(self) -> None:
        """End the connection for want of acknowledgements; the peer learns of it after the cut."""
        reset = ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
        self._held = [(self.other.on_peer_closed, (reset,))]
        if not self._closed:
            self._end(TimeoutError(errno.ETIMEDOUT, "connection timed out"))

    def _deliver(self, callback: Callable[..., object], *arguments: object) -> None:
        if self._hosts in self._network.silent:
            if self._network.on_dropped is not None:
                self._network.on_dropped(partial(callback, *arguments))
            return
        if self._network.holds_data(self._hosts):
            if not self._held and self._network.cut_mode(self._hosts) is CutMode.HANG:
                self._start_timer(USER_TIMEOUT_S)
            self._held.append((callback, arguments))
            return
        loop = asyncio.get_running_loop()
        delay_s = self._network.delay_between(self._hosts)
        # Later than what was written before: the loop runs timers of the same time in any order.
        self._arrival_s = max(self._arrival_s + WRITE_GAP_S, loop.time() + delay_s)
        loop.call_at(self._arrival_s, callback, *arguments, context=self.other._context)


def host_pair(first: str, second: str) -> frozenset[str]:
    """Return the pair of hosts as the keys of a network's faults have it."""
    return frozenset((first, second))
