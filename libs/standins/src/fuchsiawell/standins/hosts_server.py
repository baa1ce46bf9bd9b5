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

    from fuchsiawell.standins.lagged import Lagged

__all__ = ["hosts_app"]

_hosts = TypeAdapter(list[HostModel])


def hosts_app(hosts: Lagged[list[HostModel]]) -> Starlette:
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
