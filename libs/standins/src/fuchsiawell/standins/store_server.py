"""The key-value service as an HTTP server; the protocol stands in docs/STANDINS.md."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgpack
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fuchsiawell.platform import (
    AnswerLost,
    CallKind,
    Conflict,
    LeaseId,
    LeaseLapsed,
    Record,
    Revision,
    Unavailable,
)
from fuchsiawell.standins.fault_models import FaultModel
from fuchsiawell.standins.faults import FirstOf, SettableFaults
from fuchsiawell.standins.serving import link_of

if TYPE_CHECKING:
    from starlette.requests import Request

    from fuchsiawell.standins.memory_store import MemoryStore

__all__ = ["store_app"]

CONTENT_TYPE = "application/msgpack"


class _CallModel(BaseModel):
    """Hold the fields of every call; each call reads its own."""

    key: str = ""
    prefix: str = ""
    value: bytes = b""
    expected: int = 0
    after: int = 0
    lease: str | None = None
    ttl_ms: int = 0
    timeout_ms: int = 0


def store_app(store: MemoryStore) -> Starlette:
    """Return the application; faults set at `/_admin/faults` go before the store's own plan."""
    faults = SettableFaults()
    store.plan = FirstOf(faults, store.plan)

    async def call(request: Request) -> Response:
        try:
            kind = CallKind(request.path_params["call"])
            model = _CallModel.model_validate(msgpack.unpackb(await request.body()))
        except (ValueError, ValidationError, msgpack.UnpackException) as error:
            return _answer(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        return await _response(request, await _run(store, kind, model))

    async def set_faults(request: Request) -> Response:
        try:
            model = FaultModel.model_validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, HTTPStatus.BAD_REQUEST)
        faults.set(model.to_fault(), model.kinds)
        return JSONResponse({})

    async def lapse_leases(request: Request) -> Response:
        store.lapse_leases()
        return JSONResponse({})

    async def counts(request: Request) -> Response:
        by_kind = {kind: store.counts.by_kind[kind] for kind in CallKind}
        return JSONResponse(
            {
                "by_kind": by_kind,
                "reads": store.counts.reads,
                "writes": store.counts.writes,
                "per_second": store.rates.last_seconds(),
            }
        )

    return Starlette(
        routes=[
            Route("/v1/{call}", call, methods=["POST"]),
            Route("/_admin/faults", set_faults, methods=["PUT"]),
            Route("/_admin/lapse-leases", lapse_leases, methods=["POST"]),
            Route("/_admin/counts", counts),
            Route("/health", lambda _: JSONResponse({})),
        ]
    )


async def _run(store: MemoryStore, kind: CallKind, call: _CallModel) -> Result[Any, Any]:
    match kind:
        case CallKind.GET:
            return (await store.get(call.key)).map(_found)
        case CallKind.LIST:
            records = await store.list(call.prefix)
            return records.map(lambda found: {"records": [_fields(record) for record in found]})
        case CallKind.PUT:
            lease = None if call.lease is None else LeaseId(call.lease)
            written = await store.put(call.key, call.value, Revision(call.expected), lease)
            return written.map(lambda record: {"revision": record.revision})
        case CallKind.DELETE:
            return (await store.delete(call.key, Revision(call.expected))).map(lambda _: {})
        case CallKind.WATCH:
            newer = await store.watch(call.key, Revision(call.after), call.timeout_ms / 1000)
            return newer.map(_found)
        case CallKind.GRANT_LEASE:
            return (await store.grant_lease(call.ttl_ms / 1000)).map(lambda id: {"lease": id})
        case CallKind.RENEW_LEASE:
            return (await store.renew_lease(LeaseId(call.lease or ""))).map(lambda _: {})


async def _response(request: Request, result: Result[Any, Any]) -> Response:
    match result:
        case Ok(fields):
            return _answer(HTTPStatus.OK, fields)
        case Err(Conflict(current)):
            return _answer(HTTPStatus.CONFLICT, _found(current))
        case Err(LeaseLapsed()):
            return _answer(HTTPStatus.GONE, {"error": "lease lapsed"})
        case Err(Unavailable(detail=detail)):
            return _answer(HTTPStatus.SERVICE_UNAVAILABLE, {"error": detail})
        case Err(AnswerLost()):
            await link_of(request.scope).abort()
    return _answer(HTTPStatus.INTERNAL_SERVER_ERROR, {"error": "lost"})


def _answer(status: HTTPStatus, fields: dict[str, Any]) -> Response:
    return Response(msgpack.packb(fields), status, media_type=CONTENT_TYPE)


def _found(record: Record | None) -> dict[str, Any]:
    return {"record": None if record is None else _fields(record)}


def _fields(record: Record) -> dict[str, Any]:
    return {"key": record.key, "value": record.value, "revision": record.revision}
