"""The list of hosts as an HTTP server that lags behind what it was told."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgpack
from pydantic import TypeAdapter, ValidationError
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fuchsiawell.platform import CallKind
from fuchsiawell.platform.http_hosts import HostModel
from fuchsiawell.standins.fault_models import FaultModel
from fuchsiawell.standins.faults import (
    Hang,
    LoseAnswer,
    LoseRequest,
    Refuse,
    SettableFaults,
    Slow,
)
from fuchsiawell.standins.serving import link_of

if TYPE_CHECKING:
    from starlette.requests import Request

    from fuchsiawell.standins.lagged import Lagged

__all__ = ["hosts_app"]

CONTENT_TYPE = "application/msgpack"

_hosts = TypeAdapter(list[HostModel])


def hosts_app(hosts: Lagged[list[HostModel]]) -> Starlette:
    """Return the application; the truth is set by PUT of a JSON list at `/_admin/hosts`."""
    faults = SettableFaults()

    async def read(request: Request) -> Response:
        match faults.decide(CallKind.LIST, ""):
            case Refuse():
                refused = msgpack.packb({"error": "refused"})
                return Response(refused, HTTPStatus.SERVICE_UNAVAILABLE, media_type=CONTENT_TYPE)
            case LoseRequest() | LoseAnswer():
                await link_of(request.scope).abort()
            case Slow(delay_s):
                await asyncio.sleep(delay_s)
            case Hang(hold_s):
                await asyncio.sleep(hold_s)
                await link_of(request.scope).abort()
        fields = {"hosts": [host.model_dump(mode="json") for host in hosts.shown()]}
        return Response(msgpack.packb(fields), media_type=CONTENT_TYPE)

    async def replace(request: Request) -> Response:
        hosts.set(_hosts.validate_json(await request.body()))
        return JSONResponse({})

    async def set_faults(request: Request) -> Response:
        faults.set(FaultModel.model_validate_json(await request.body()).to_fault())
        return JSONResponse({})

    return Starlette(
        routes=[
            Route("/v1/hosts", read, methods=["POST"]),
            Route("/_admin/hosts", replace, methods=["PUT"]),
            Route("/_admin/faults", set_faults, methods=["PUT"]),
            Route("/health", lambda _: JSONResponse({})),
        ],
        exception_handlers={ValidationError: _malformed},
    )


async def _malformed(request: Request, error: Exception) -> Response:
    return JSONResponse({"error": str(error)}, HTTPStatus.BAD_REQUEST)
