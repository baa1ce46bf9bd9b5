"""Hosts in virtual time: the connections and datagrams of an event loop stay in memory."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar, copy_context
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from fuchsiawell.standins.memory_datagrams import MemoryDatagrams
from fuchsiawell.standins.memory_network import MemoryNetwork
from fuchsiawell.standins.virtual_time import VirtualTimeLoop, run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

__all__ = ["VirtualHosts", "run_on_virtual_hosts"]

# Host of tasks that were not started on another one.
DEFAULT_HOST = "clients"

_host: ContextVar[str] = ContextVar("host", default=DEFAULT_HOST)


class VirtualHosts:
    """Hosts by name, and what connects them.

    Listeners and connections that a task opens with the calls of the loop belong to the host on
    which the task was started.
    """

    def __init__(self, one_way_delay_s: float, random: Random) -> None:
        self.network = MemoryNetwork(one_way_delay_s)
        self.datagrams = MemoryDatagrams(random, one_way_delay_s)

    def start(self, host: str, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task on a host."""
        context = copy_context()
        context.run(_host.set, host)
        return asyncio.get_running_loop().create_task(coroutine, context=context)


class _Server:
    """What `create_server` returns: something to close."""

    def __init__(self, network: MemoryNetwork, host: str, port: int) -> None:
        self._network = network
        self._host = host
        self._port = port

    def close(self) -> None:
        """Refuse further connections."""
        self._network.stop_listening(self._host, self._port)


class _HostsLoop(VirtualTimeLoop):
    """Event loop whose listeners, connections and datagrams are those of virtual hosts."""

    def __init__(self, hosts: VirtualHosts) -> None:
        super().__init__()
        self._hosts = hosts

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> Any:
        self._hosts.network.listen_at(host, port, protocol_factory)
        return _Server(self._hosts.network, host, port)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> Any:
        channel = await self._hosts.network.connect(_host.get(), host, port, protocol_factory)
        return None, channel

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Any, local_addr: tuple[str, int], **_: Any
    ) -> Any:
        protocol = protocol_factory()
        self._hosts.datagrams.attach(local_addr[0], protocol)
        return None, protocol


def run_on_virtual_hosts(
    main: Callable[[VirtualHosts], Coroutine[Any, Any, None]],
    one_way_delay_s: float = 0.001,
    seed: int = 1,
) -> None:
    """Run a coroutine to its end in virtual time, with the network of virtual hosts."""
    hosts = VirtualHosts(one_way_delay_s, Random(seed))
    run_in_virtual_time(main(hosts), partial(_HostsLoop, hosts))
