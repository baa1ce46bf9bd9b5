"""Event loop with virtual time, and connections in memory, so that long waits take no real time."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

from fuchsiawell.core import Clock
from fuchsiawell.httpio import Channel

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ["MemoryNetwork", "VirtualClock", "host_pair", "run_in_virtual_time"]

# Time between the arrivals of two writes on a connection.
WRITE_GAP_S = 1e-9


class _SkippingSelector(selectors.SelectSelector):
    """Never block: advance the time of the loop instead."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for something that cannot happen any more")
        self.elapsed_s += timeout
        return []


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual_selector = _SkippingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.elapsed_s


class VirtualClock(Clock):
    """The time of the running loop; starts at 0 s."""

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end; a wait takes no real time. Sockets must not be used."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        runner.run(main)


class MemoryNetwork:
    """Connections between channels of one process.

    Data and connects between two hosts are dropped while the pair is in `silent`, and delayed by
    `delay_s`, or by `default_delay_s`. The order of the data on a connection is kept.
    """

    def __init__(self, default_delay_s: float = 0.0) -> None:
        self.default_delay_s = default_delay_s
        self.silent: set[frozenset[str]] = set()
        self.delay_s: dict[frozenset[str], float] = {}
        self._accept_by_host: dict[str, Callable[[Channel], None]] = {}

    def listen(self, host: str, accept: Callable[[Channel], None]) -> None:
        """Call `accept` with each channel that is opened to a host."""
        self._accept_by_host[host] = accept

    async def open(self, client: str, host: str, timeout_s: float) -> Channel:
        """Connect a client to a host; raises TimeoutError, or OSError if nothing listens."""
        async with asyncio.timeout(timeout_s):
            if host_pair(client, host) in self.silent:
                await asyncio.Event().wait()
            await asyncio.sleep(self.delay_between(host_pair(client, host)))
        accept = self._accept_by_host.get(host)
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens at {host}")
        near, far = Channel(), Channel(accept)
        near_end, far_end = _End(self, client, host, far), _End(self, host, client, near)
        near_end.other, far_end.other = far_end, near_end
        near.connection_made(near_end)
        far.connection_made(far_end)
        return near

    def delay_between(self, hosts: frozenset[str]) -> float:
        """Return the one-way delay between two hosts, in seconds."""
        return self.delay_s.get(hosts, self.default_delay_s)


class _End(asyncio.Transport):
    """One end of a connection; writes go to the channel at the other end."""

    other: _End

    def __init__(self, network: MemoryNetwork, local: str, remote: str, peer: Channel) -> None:
        super().__init__()
        self._network = network
        self._hosts = host_pair(local, remote)
        self._remote = remote
        self._peer = peer
        self._arrival_s = 0.0
        self._closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (self._remote, 0) if name == "peername" else default

    def write(self, data: Any) -> None:
        if not self._closed:
            self._deliver(self._peer.data_received, bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def is_closing(self) -> bool:
        return self._closed

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._closed:
            self._deliver(self._peer.eof_received)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._deliver(self.other.on_peer_closed)
            asyncio.get_running_loop().call_soon(self.other._peer.connection_lost, None)

    def abort(self) -> None:
        self.close()

    def pause_reading(self) -> None:
        """Do nothing: the buffers of a test stay small."""

    def resume_reading(self) -> None:
        """Do nothing: reading was not paused."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writes are never buffered."""

    def on_peer_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self.other._peer.connection_lost(None)

    def _deliver(self, callback: Callable[..., object], *arguments: object) -> None:
        if self._hosts in self._network.silent:
            return
        loop = asyncio.get_running_loop()
        delay_s = self._network.delay_between(self._hosts)
        # Later than what was written before: the loop runs timers of the same time in any order.
        self._arrival_s = max(self._arrival_s + WRITE_GAP_S, loop.time() + delay_s)
        loop.call_at(self._arrival_s, callback, *arguments)


def host_pair(first: str, second: str) -> frozenset[str]:
    """Return the pair of hosts as the keys of a network's faults have it."""
    return frozenset((first, second))
