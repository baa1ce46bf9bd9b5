"""A site whose backend servers and daemons are reached through relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.standins.demo.site import Site
from fuchsiawell.standins.serving import LOOPBACK
from fuchsiawell.standins.silent_proxy import SilentProxy

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from fuchsiawell.standins.demo.site import BackendHost, DaemonHost

__all__ = ["RelayedSite"]


class RelayedSite(Site):
    """List the relays' addresses while each process listens on its own."""

    async def open_relays(self, stack: AsyncExitStack) -> None:
        """Open the relays, to be closed with `stack`; call before `start`."""
        self.relays: dict[str, SilentProxy] = {}
        self._own_ports: dict[str, int] = {}
        for backend in self.backends:
            self._own_ports[backend.id] = backend.port
            backend.port = await self._open(stack, backend.id, backend.port)
        for daemon in self.daemons:
            self._own_ports[daemon.id] = daemon.peer_port
            daemon.peer_port = await self._open(stack, daemon.id, daemon.peer_port)

    async def start_backend(self, backend: BackendHost) -> None:
        """Start a backend server on its own port."""
        listed, backend.port = backend.port, self._own_ports[backend.id]
        await super().start_backend(backend)
        backend.port = listed

    async def start_daemon(self, daemon: DaemonHost) -> None:
        """Start a daemon that takes other daemons' connections on its own port."""
        listed, daemon.peer_port = daemon.peer_port, self._own_ports[daemon.id]
        await super().start_daemon(daemon)
        daemon.peer_port = listed

    async def _open(self, stack: AsyncExitStack, id: str, port: int) -> int:
        relay = await stack.enter_async_context(SilentProxy(f"{LOOPBACK}:{port}"))
        self.relays[id] = relay
        return int(relay.address.rpartition(":")[2])
