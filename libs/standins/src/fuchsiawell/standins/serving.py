"""Run a stand-in's application in this process until it is told to stop."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, Protocol

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import ASGIApp, Scope

__all__ = ["LINK", "LOOPBACK", "Link", "LinkedProtocol", "link_of", "running", "server_of"]

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 1
START_POLL_S = 0.005
KEEP_ALIVE_S = 30
LINK = "fuchsiawell.link"


class _Closable(Protocol):
    """Be a transport as far as a link needs one."""

    def abort(self) -> None:
        """Reset the connection."""

    def close(self) -> None:
        """Send what was written and close."""


class Link:
    """Let an application see and cut the connection of its request."""

    def __init__(self, transport: _Closable) -> None:
        self._transport = transport
        self.lost = asyncio.Event()  # set once the other end is gone

    async def abort(self) -> None:
        """Reset the connection at once; what is not sent yet is dropped."""
        self._transport.abort()
        await self.lost.wait()

    async def close(self) -> None:
        """Send what was written and close."""
        self._transport.close()
        await self.lost.wait()


class LinkedProtocol(HttpToolsProtocol):
    """Hand the connection to the application with each request."""

    link: Link

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Take a new connection."""
        super().connection_made(transport)
        self.link = Link(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the application that the connection is gone."""
        super().connection_lost(exc)
        self.link.lost.set()

    def on_message_begin(self) -> None:
        """Start a request and note its connection in the scope."""
        super().on_message_begin()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[LINK] = self.link


def link_of(scope: Scope) -> Link:
    """Return the connection of a request that a `LinkedProtocol` took."""
    link: Link = scope[LINK]
    return link


def server_of(
    app: ASGIApp, port: int, protocol: type[HttpToolsProtocol] = LinkedProtocol
) -> uvicorn.Server:
    """Return a server of `app` on the loopback address; run it with `run` or `serve`."""
    config = uvicorn.Config(
        app,
        host=LOOPBACK,
        port=port,
        loop="asyncio",
        http=protocol,
        ws="none",
        interface="asgi3",
        proxy_headers=False,
        lifespan="off",
        access_log=False,
        log_level="warning",
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
    )
    return uvicorn.Server(config)


@asynccontextmanager
async def running(
    app: ASGIApp, protocol: type[HttpToolsProtocol] = LinkedProtocol
) -> AsyncIterator[str]:
    """Serve `app` within this loop and yield its address, IP number and port."""
    server = server_of(app, 0, protocol)
    task = asyncio.create_task(server.serve())
    while not server.started:  # noqa: ASYNC110 - uvicorn offers no event
        await asyncio.sleep(START_POLL_S)
    port = server.servers[0].sockets[0].getsockname()[1]
    try:
        yield f"{LOOPBACK}:{port}"
    finally:
        server.should_exit = True
        server.force_exit = True
        await task
