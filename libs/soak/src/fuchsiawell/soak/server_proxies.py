"""The proxies before one server, one for each daemon."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from fuchsiawell.soak.proxy import LOOPBACK, Proxy

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.soak.proxy import CutMode

__all__ = ["ServerProxies"]


class ServerProxies:
    """Faults of one server, and cuts of single daemons from it.

    `port` is the server's address in entries and shard maps, the same for all daemons. Nothing
    listens there: daemons connect to the ports that their tables name in its place.
    """

    def __init__(self) -> None:
        self.by_daemon: dict[str, Proxy] = {}
        self._reservation = socket.socket()
        self._reservation.bind((LOOPBACK, 0))
        self.port: int = self._reservation.getsockname()[1]

    async def add_daemon(
        self, daemon: str, target: tuple[str, int], on_open: Callable[[int], None]
    ) -> Proxy:
        """Start the proxy of a daemon."""
        proxy = self.by_daemon[daemon] = Proxy(target, on_open)
        await proxy.start()
        return proxy

    def redirect(self, target: tuple[str, int]) -> None:
        """Forward new connections to another incarnation of the server."""
        for proxy in self.by_daemon.values():
            proxy.target = target

    def drop_data(self, to_server: bool, from_server: bool) -> None:
        """Drop the data of all daemons until `clear_faults`."""
        for proxy in self.by_daemon.values():
            proxy.drop_to_target, proxy.drop_from_target = to_server, from_server

    def clear_faults(self) -> None:
        """Switch off the faults of the server."""
        for proxy in self.by_daemon.values():
            proxy.clear_faults()

    def cut(self, daemon: str, mode: CutMode) -> None:
        """Cut a daemon off until `end_cut`; one whose proxy is still to be added, then."""
        if daemon in self.by_daemon:
            self.by_daemon[daemon].cut(mode)

    async def end_cut(self, daemon: str) -> None:
        if daemon in self.by_daemon:
            await self.by_daemon[daemon].end_cut()

    async def stop(self) -> None:
        for proxy in self.by_daemon.values():
            await proxy.stop()
        self._reservation.close()
