"""Datagrams in memory between the daemons of one process, with loss, delay, cuts and freezes."""

from __future__ import annotations

import asyncio
from contextvars import copy_context
from typing import TYPE_CHECKING, Any

from fuchsiawell.standins.memory_network import host_pair

if TYPE_CHECKING:
    from contextvars import Context
    from random import Random

__all__ = ["MemoryDatagrams"]


class MemoryDatagrams:
    """Deliver datagrams by the name of the receiving host.

    `silent` pairs of hosts do not reach each other; datagrams to `frozen` hosts arrive when they
    are thawed. Each protocol is called in the context in which it was attached.
    """

    def __init__(self, random: Random, delay_s: float = 0.0, loss: float = 0.0) -> None:
        self.delay_s = delay_s
        self.loss = loss
        self.silent: set[frozenset[str]] = set()
        self.sent = 0
        self._random = random
        self._frozen: dict[str, list[tuple[bytes, str]]] = {}
        self._protocol_by_host: dict[str, tuple[asyncio.DatagramProtocol, Context]] = {}

    def attach(self, host: str, protocol: asyncio.DatagramProtocol) -> None:
        """Connect a host's protocol; it replaces an earlier one of that host."""
        self._protocol_by_host[host] = protocol, copy_context()
        protocol.connection_made(_MemoryTransport(self, host))

    def detach(self, host: str) -> None:
        """Drop all further datagrams to a host."""
        self._protocol_by_host.pop(host, None)

    def freeze(self, host: str) -> None:
        self._frozen[host] = []

    def thaw(self, host: str) -> None:
        """Deliver what has arrived since the host was frozen."""
        for data, sender in self._frozen.pop(host, []):
            self._receive(host, data, sender)

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Send a datagram, which may be lost."""
        self.sent += 1
        if host_pair(sender, receiver) in self.silent or sender in self._frozen:
            return
        if self.loss and self._random.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._receive, receiver, data, sender)

    def _receive(self, receiver: str, data: bytes, sender: str) -> None:
        held = self._frozen.get(receiver)
        if held is not None:
            held.append((data, sender))
            return
        attached = self._protocol_by_host.get(receiver)
        if attached is not None:
            protocol, context = attached
            context.copy().run(protocol.datagram_received, data, (sender, 0))


class _MemoryTransport(asyncio.DatagramTransport):
    def __init__(self, network: MemoryDatagrams, host: str) -> None:
        super().__init__()
        self._network = network
        self._host = host

    def sendto(self, data: Any, addr: Any = None) -> None:
        self._network.send(self._host, addr[0], bytes(data))

    def close(self) -> None:
        """Do nothing: `detach` ends the delivery."""
