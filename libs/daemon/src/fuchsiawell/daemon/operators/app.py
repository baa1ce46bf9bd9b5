"""The operators' HTTP endpoint of one daemon."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from starlette.applications import Starlette
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from fuchsiawell.daemon.embedded_server import EmbeddedServer

if TYPE_CHECKING:
    from starlette.requests import Request

    from fuchsiawell.config import Address

__all__ = ["OperatorServer", "StatusSource"]

STOP_TIMEOUT_S = 1


class StatusSource(ABC):
    """What the endpoint tells about its daemon."""

    @abstractmethod
    def ready(self) -> str | None:
        """Return why callers should not be sent here, or `None`."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return what this daemon knows of itself and its cell, as JSON."""

    @abstractmethod
    def metrics(self) -> dict[str, Any]:
        """Return counts and latencies, as JSON."""


class OperatorServer:
    """Serve `/live`, `/ready`, `/status` and `/metrics`."""

    def __init__(self, source: StatusSource, address: Address) -> None:
        self._source = source
        app = Starlette(
            routes=[
                Route("/live", self._live),
                Route("/ready", self._ready),
                Route("/status", self._status),
                Route("/metrics", self._metrics),
            ]
        )
        self._server = EmbeddedServer(
            app, address, http="httptools", timeout_graceful_shutdown=STOP_TIMEOUT_S
        )

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def _live(self, _: Request) -> Response:
        return PlainTextResponse("live\n")

    async def _ready(self, _: Request) -> Response:
        reason = self._source.ready()
        if reason is not None:
            return PlainTextResponse(f"not ready: {reason}\n", status_code=503)
        return PlainTextResponse("ready\n")

    async def _status(self, _: Request) -> Response:
        return JSONResponse(self._source.status())

    async def _metrics(self, _: Request) -> Response:
        return JSONResponse(self._source.metrics())
