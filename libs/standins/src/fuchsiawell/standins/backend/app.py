"""A backend server as an application: work, grants, health, load, and its own admin paths."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from fuchsiawell.core.headers import ServerPath
from fuchsiawell.standins.backend.connections import ConnectionCounts
from fuchsiawell.standins.backend.executions import ExecutionLog
from fuchsiawell.standins.backend.grants import (
    Accepted,
    GrantAnswer,
    GrantLapsed,
    Grants,
    HigherTerm,
)
from fuchsiawell.standins.backend.settings import BackendSettings, BehaviourModel, HealthMode
from fuchsiawell.standins.backend.slots import Slots
from fuchsiawell.standins.backend.worker import Worker, crash_process
from fuchsiawell.standins.lagged import Lagged

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request
    from starlette.types import Receive, Scope, Send

    from fuchsiawell.core import Clock

__all__ = ["Backend"]

OWN_PREFIXES = ("/_", ServerPath.HEALTH, ServerPath.LOAD)


class _GrantModel(BaseModel):
    leader: str
    term: int
    ttl_ms: int
    epochs: dict[str, int]
    call: int | None = None
    clock_ms: int | None = None
    run_ms: int | None = None


class _RenewModel(BaseModel):
    term: int
    ttl_ms: int
    clock_ms: int | None = None
    run_ms: int | None = None


class _ReleaseModel(BaseModel):
    term: int
    shard: str


class _CancelModel(BaseModel):
    request: str


class Backend:
    """Hold the parts of one backend server and its application."""

    def __init__(
        self,
        settings: BackendSettings,
        clock: Clock,
        behaviour: BehaviourModel | None = None,
        log: ExecutionLog | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        crash: Callable[[], None] = crash_process,
    ) -> None:
        self.settings = settings
        self.behaviour = behaviour or BehaviourModel()
        self.connections = ConnectionCounts()
        self.log = log or ExecutionLog(clock)
        self.slots = Slots(settings.slots, settings.queue_limit)
        self.grants = Grants(clock)
        self.worker = Worker(
            settings,
            clock,
            self.slots,
            self.grants,
            self.log,
            lambda: self.behaviour,
            sleep,
            crash,
        )
        self._view = Lagged(clock, self.behaviour.view_lag_s, self._load())
        self._healthy = Lagged(clock, self.behaviour.view_lag_s, True)
        self._own_paths = Starlette(
            routes=self._routes(), exception_handlers={ValidationError: _malformed}
        )

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; everything but the server's own paths is work."""
        own = scope["path"].startswith(OWN_PREFIXES)
        await (self._own_paths if own else self.worker.run)(scope, receive, send)

    def change(self, behaviour: BehaviourModel) -> None:
        """Behave differently from now on."""
        self.behaviour = behaviour
        self._view.lag_s = behaviour.view_lag_s
        self._healthy.lag_s = behaviour.view_lag_s

    def _routes(self) -> list[Route]:
        fenced = [
            Route(ServerPath.GRANT, self._grant, methods=["POST"]),
            Route(ServerPath.GRANT, self._tell_clock, methods=["GET"]),
            Route(ServerPath.RENEW, self._renew, methods=["POST"]),
            Route(ServerPath.RELEASE, self._release, methods=["POST"]),
        ]
        return [
            *(fenced if self.settings.checks_fence else []),
            Route(ServerPath.CANCEL, self._cancel, methods=["POST"]),
            Route(ServerPath.HEALTH, self._health),
            Route(ServerPath.LOAD, self._load_report),
            Route("/_executions", self._executions),
            Route("/_admin/behaviour", self._change, methods=["PUT"]),
            Route("/_admin/stats", self._stats),
            Route("/_owner/{rest:path}", _not_found, methods=["POST"]),
        ]

    async def _grant(self, request: Request) -> Response:
        model = _GrantModel.model_validate_json(await request.body())
        answer = self.grants.install(
            model.term,
            model.ttl_ms / 1000,
            model.epochs,
            model.call,
            model.clock_ms,
            _seconds(model.run_ms),
        )
        return self._grant_response(answer)

    async def _renew(self, request: Request) -> Response:
        model = _RenewModel.model_validate_json(await request.body())
        answer = self.grants.renew(
            model.term, model.ttl_ms / 1000, model.clock_ms, _seconds(model.run_ms)
        )
        return self._grant_response(answer)

    async def _release(self, request: Request) -> Response:
        model = _ReleaseModel.model_validate_json(await request.body())
        answer = self.grants.release(model.term, model.shard)
        if isinstance(answer, Accepted):
            await self.worker.wait_until_idle(model.shard)
            self.grants.released(model.shard)
        return self._grant_response(answer)

    async def _tell_clock(self, request: Request) -> Response:
        return JSONResponse({"clock_ms": self.grants.clock_ms})

    def _grant_response(self, answer: GrantAnswer) -> Response:
        clock = {"clock_ms": self.grants.clock_ms}
        match answer:
            case Accepted():
                return JSONResponse(clock)
            case HigherTerm(term):
                return JSONResponse({"term": term, **clock}, HTTPStatus.CONFLICT)
            case GrantLapsed():
                detail = {"error": "no grant of this term"}
                return JSONResponse({**detail, **clock}, HTTPStatus.GONE)

    async def _cancel(self, request: Request) -> Response:
        model = _CancelModel.model_validate_json(await request.body())
        return JSONResponse({"state": self.worker.cancel(model.request)})

    async def _health(self, request: Request) -> Response:
        self._healthy.set(not self.behaviour.draining)
        healthy = self._healthy.shown()
        match self.behaviour.health:
            case HealthMode.UP:
                healthy = True
            case HealthMode.DOWN:
                healthy = False
            case HealthMode.HONEST:
                pass
        status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
        return JSONResponse({"healthy": healthy}, status)

    async def _load_report(self, request: Request) -> Response:
        self._view.set(self._load())
        running, queued = self._view.shown()
        scale = self.behaviour.load_scale
        return JSONResponse(
            {
                "running": round(running * scale),
                "queued": round(queued * scale),
                "slots": self.slots.count,
            }
        )

    def _load(self) -> tuple[int, int]:
        return self.slots.running, self.slots.queued

    async def _executions(self, request: Request) -> Response:
        return JSONResponse([asdict(execution) for execution in self.log.all()])

    async def _change(self, request: Request) -> Response:
        changes = BehaviourModel.model_validate_json(await request.body())
        named = changes.model_dump(exclude_unset=True)
        self.change(self.behaviour.model_copy(update=named))
        return JSONResponse(self.behaviour.model_dump(mode="json"))

    async def _stats(self, request: Request) -> Response:
        return JSONResponse(
            {
                "connections": asdict(self.connections),
                "running": self.slots.running,
                "peak_running": self.slots.peak_running,
                "queued": self.slots.queued,
                "executions": len(self.log.all()),
                "cut_bodies": self.worker.cut_bodies,
            }
        )


def _seconds(ms: int | None) -> float | None:
    return None if ms is None else ms / 1000


async def _malformed(request: Request, error: Exception) -> Response:
    return JSONResponse({"error": str(error)}, HTTPStatus.BAD_REQUEST)


async def _not_found(request: Request) -> Response:
    return JSONResponse({"error": "this server knows no grants"}, HTTPStatus.NOT_FOUND)
