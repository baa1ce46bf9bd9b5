"""The HTTP server towards callers, with limits on what one connection may cost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from fuchsiawell.daemon.embedded_server import EmbeddedServer
from fuchsiawell.daemon.entry.asgi import CONNECTION_EXTENSION
from fuchsiawell.daemon.entry.joining import JoiningTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.config import Address, Limits
    from fuchsiawell.core import Clock

__all__ = ["CallerServer"]

SWEEP_S = 0.5  # how often connections are checked for slow headers
BACKLOG = 2048


class CallerServer:
    """Run an ASGI application on the callers' address until told to stop."""

    def __init__(self, app: Any, address: Address, limits: Limits, clock: Clock) -> None:
        protocol = _limited_protocol(limits, clock)
        self._connections: set[Any] = protocol.connections
        self._clock = clock
        self._limits = limits
        self._server = EmbeddedServer(
            app,
            address,
            http=protocol,
            backlog=BACKLOG,
            timeout_keep_alive=int(limits.idle_timeout_s),
            timeout_graceful_shutdown=int(limits.stop_timeout_s),
        )
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; return once callers can connect."""
        await self._server.start()
        self._sweeper = asyncio.create_task(self._sweep_forever(), name="sweep callers")

    async def stop(self) -> None:
        """Take no new connections, let requests in flight end, then return."""
        await self._server.stop()
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = self._clock.monotonic()
            for connection in list(self._connections):
                connection.drop_if_slow(now_s)


def _limited_protocol(limits: Limits, clock: Clock) -> Any:
    """Return a protocol class bound to the limits; the server makes one instance a connection."""

    class LimitedProtocol(HttpToolsProtocol):
        """Bound the number of connections, and the size and duration of headers."""

        connections: set[Any] = set()  # noqa: RUF012

        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            self.on_lost: Callable[[], None] | None = None
            self._header_bytes = 0
            self._header_since_s: float | None = None

        def connection_made(self, transport: Any) -> None:
            """Refuse the connection when there are too many."""
            super().connection_made(cast("asyncio.Transport", JoiningTransport(transport)))
            if len(self.connections) >= limits.max_connections:
                self._refuse(b"503 Service Unavailable")
                return
            self.connections.add(self)
            self._header_since_s = clock.monotonic()

        def connection_lost(self, exc: Exception | None) -> None:
            """Tell whoever serves a request of this connection."""
            self.connections.discard(self)
            super().connection_lost(exc)
            if self.on_lost is not None:
                self.on_lost()

        def data_received(self, data: bytes) -> None:
            """Count header bytes until the headers are complete."""
            if self._header_since_s is not None:
                self._header_bytes += len(data)
            super().data_received(data)
            if self._header_since_s is not None and self._header_bytes > limits.max_header_bytes:
                self._refuse(b"431 Request Header Fields Too Large")

        def on_message_begin(self) -> None:
            """Start to measure the headers of a request."""
            super().on_message_begin()
            self._header_since_s = clock.monotonic()

        def on_headers_complete(self) -> None:
            """Stop to measure, and let the application see this connection."""
            self._header_since_s = None
            self._header_bytes = 0
            extensions: dict[Any, Any] = {CONNECTION_EXTENSION: self}
            self.scope["extensions"] = extensions
            super().on_headers_complete()

        def drop_if_slow(self, now_s: float) -> None:
            """Refuse a request whose headers take too long."""
            since_s = self._header_since_s
            if since_s is not None and now_s - since_s > limits.header_timeout_s:
                self._refuse(b"408 Request Timeout")

        def drop(self) -> None:
            """Abort the connection."""
            self.transport.abort()

        def _refuse(self, status: bytes) -> None:
            self._header_since_s = None
            if self.transport.is_closing():
                return
            self.transport.write(
                b"HTTP/1.1 %b\r\nconnection: close\r\nfuchsiawell-outcome: not-run\r\n"
                b"content-length: 0\r\n\r\n" % status
            )
            self.transport.close()

    return LimitedProtocol
