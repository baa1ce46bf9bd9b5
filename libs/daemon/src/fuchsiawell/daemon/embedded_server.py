"""An HTTP server as a part of a daemon, which leaves signals to the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fuchsiawell.config import Address

__all__ = ["EmbeddedServer"]


class EmbeddedServer:
    """Serve an ASGI application on one address within the daemon's loop."""

    def __init__(self, app: Any, address: Address, **options: Any) -> None:
        """Take further options of `uvicorn.Config`."""
        self._address = address
        config = uvicorn.Config(
            app,
            loop="asyncio",
            ws="none",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            **options,
        )
        self._server = _Server(config)
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; return once connections are accepted, or raise `OSError`."""
        bound = _bind(self._address)
        self._serving = asyncio.create_task(
            self._server.serve(sockets=[bound]), name=f"serve {self._address}"
        )
        await self._server.accepting.wait()

    async def stop(self) -> None:
        """Take no new connections, and return when requests in flight have ended."""
        self._server.should_exit = True
        self._server.leaving.set()
        if self._serving is not None:
            await self._serving


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    # Named in full: asyncio switches delays for small writes off only where it sees TCP.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((address.host, address.port))
    except OSError:
        bound.close()
        raise
    return bound


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.accepting = asyncio.Event()
        self.leaving = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Tell when connections are accepted."""
        await super().startup(sockets)
        self.accepting.set()

    async def main_loop(self) -> None:
        """Wait for the stop without looking ten times a second; nothing else is due."""
        await self.leaving.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers alone."""
        yield
