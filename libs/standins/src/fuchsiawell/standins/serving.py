"""Run a stand-in's application in this process until it is told to stop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio

    from starlette.types import ASGIApp, Scope

__all__ = ["LOOPBACK", "TransportProtocol", "abort_connection", "server_of"]

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 1
TRANSPORT = "fuchsiawell.transport"


class TransportProtocol(HttpToolsProtocol):
    """Hand the connection to the application, so that it can cut it."""

    def on_message_begin(self) -> None:
        """Start a request and note its connection in the scope."""
        super().on_message_begin()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[TRANSPORT] = self.transport


def abort_connection(scope: Scope) -> None:
    """Cut the connection of a request at once, without an answer."""
    transport: asyncio.Transport = scope[TRANSPORT]
    transport.abort()


def server_of(
    app: ASGIApp, port: int, protocol: type[HttpToolsProtocol] = TransportProtocol
) -> uvicorn.Server:
    """Return a server of `app` on the loopback address; run it with `run` or `serve`."""
    config = uvicorn.Config(
        app,
        host=LOOPBACK,
        port=port,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_level="warning",
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
    )
    return uvicorn.Server(config)
