"""The listening socket for other daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.transport.link import Link, LinkHooks

if TYPE_CHECKING:
    from fuchsiawell.core import Clock, DaemonId, LamportClock

__all__ = ["PeerListener"]


class PeerListener:
    """Accept links from other daemons and keep them until closed."""

    def __init__(
        self, own_id: DaemonId, clock: Clock, lamport: LamportClock, hooks: LinkHooks
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._lamport = lamport
        self._hooks = hooks
        self._server: asyncio.Server | None = None
        self._links: list[Link] = []

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port (the one asked for, or a free one for 0)."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and drop every link."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            link.close("stopping")
        self._links.clear()

    def _accept(self) -> Link:
        link = Link(self._own_id, self._clock, self._lamport, self._hooks)
        self._links = [known for known in self._links if not known.closed]
        self._links.append(link)
        return link
