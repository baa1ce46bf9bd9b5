"""The list of hosts as an HTTP server that lags behind what it was told."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgpack
from pydantic import TypeAdapter, ValidationError
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fuchsiawell.platform.http_hosts import HostModel

if TYPE_CHECKING:
    from starlette.requests import Request

    from fuchsiawell.core import Clock

__all__ = ["LaggingHosts", "hosts_app"]

_hosts = TypeAdapter(list[HostModel])


class LaggingHosts:
    """Keep the list as it was `lag_s` seconds ago."""

    def __init__(self, clock: Clock, lag_s: float, hosts: list[HostModel]) -> None:
        """Start with `hosts`, which are shown at once."""
        self._clock = clock
        self._lag_s = lag_s
        self._shown = hosts
        self._pending: list[tuple[float, list[HostModel]]] = []

    def set(self, hosts: list[HostModel]) -> None:
        """Replace the list; readers see it once the lag has passed."""
        self._pending.append((self._clock.monotonic() + self._lag_s, hosts))

    def shown(self) -> list[HostModel]:
        """Return the list that readers see now."""
        now_s = self._clock.monotonic()
        while self._pending and self._pending[0][0] <= now_s:
            self._shown = self._pending.pop(0)[1]
        return self._shown


def hosts_app(hosts: LaggingHosts) -> Starlette:
    """Return the application; the truth is set by PUT of a JSON list at `/_admin/hosts`."""

    async def read(request: Request) -> Response:
        fields = {"hosts": [host.model_dump(mode="json") for host in hosts.shown()]}
        return Response(msgpack.packb(fields), media_type="application/msgpack")

    async def replace(request: Request) -> Response:
        try:
            hosts.set(_hosts.validate_json(await request.body()))
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, HTTPStatus.BAD_REQUEST)
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/v1/hosts", read, methods=["POST"]),
            Route("/_admin/hosts", replace, methods=["PUT"]),
            Route("/health", lambda _: JSONResponse({})),
        ]
    )
