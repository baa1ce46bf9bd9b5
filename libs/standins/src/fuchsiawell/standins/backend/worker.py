"""How a backend server takes, runs and answers one request for work."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from enum import StrEnum, unique
from hashlib import sha256
from math import inf
from typing import TYPE_CHECKING

from fuchsiawell.core import Deadline
from fuchsiawell.core.headers import Header, RefusalCause
from fuchsiawell.standins.backend.answers import (
    Body,
    chunks_of,
    echo_body,
    send_answer,
    send_download,
)
from fuchsiawell.standins.backend.executions import Ending, Execution
from fuchsiawell.standins.backend.requests import POISON, parse_work
from fuchsiawell.standins.serving import link_of
from fuchsiawell.standins.waiting import wait_for_first

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.types import Receive, Scope, Send

    from fuchsiawell.core import Clock
    from fuchsiawell.standins.backend.executions import ExecutionLog
    from fuchsiawell.standins.backend.grants import Grants
    from fuchsiawell.standins.backend.requests import WorkRequest
    from fuchsiawell.standins.backend.settings import BackendSettings, BehaviourModel
    from fuchsiawell.standins.backend.slots import Slots
    from fuchsiawell.standins.serving import Link

__all__ = ["WorkState", "Worker", "crash_process"]

CRASH_STATUS = 70
REFUSED_STATUS = 503
KNOWN_STATES = 50_000  # requests whose last state is remembered


@unique
class WorkState(StrEnum):
    """Say what became of a request, as a cancellation is answered."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Work:
    """Follow one request from its arrival to its end."""

    request: WorkRequest
    link: Link
    deadline: Deadline | None
    cancelled: asyncio.Event
    earlier: _Work | None  # sent before with the same request id
    state: WorkState = WorkState.NOT_RUN


@dataclass(frozen=True, slots=True)
class _Done:
    """Hold what an answer tells of work that was done."""

    body: Body
    execution: Execution


class _BodyCutError(Exception):
    """Report that the connection was lost before the body was whole."""


def crash_process() -> None:
    """End this process at once, as a fault of the server's own would."""
    os._exit(CRASH_STATUS)


class Worker:
    """Run requests in slots, refuse what may not start, and record what ran."""

    def __init__(
        self,
        settings: BackendSettings,
        clock: Clock,
        slots: Slots,
        grants: Grants,
        log: ExecutionLog,
        behaviour: Callable[[], BehaviourModel],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        crash: Callable[[], None] = crash_process,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._slots = slots
        self._grants = grants
        self._log = log
        self._behaviour = behaviour
        self._sleep = sleep
        self._crash = crash
        self._started_at_s = clock.monotonic()
        self._work_by_request: dict[str, _Work] = {}
        self._running_by_shard: dict[str, int] = {}
        self._idle = asyncio.Condition()
        self.cut_bodies = 0

    async def run(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Take one request and answer it."""
        request = parse_work(scope)
        budget_s = request.deadline_s if self._settings.checks_deadline else None
        deadline = None if budget_s is None else Deadline.after(self._clock, budget_s)
        earlier = self._work_by_request.get(request.request)
        work = _Work(request, link_of(scope), deadline, asyncio.Event(), earlier)
        self._remember(work)
        cause = self._refusal_on_arrival(work)
        if cause is not None:
            await _refuse(send, cause)
            return
        await self._queue(work, receive, send)

    def cancel(self, request: str) -> WorkState:
        """Take a request out of the queue or stop it, and say how far it had come."""
        work = self._work_by_request.get(request)
        states = set()
        while work is not None:
            work.cancelled.set()
            states.add(work.state)
            work = work.earlier
        furthest_first = (WorkState.RUNNING, WorkState.DONE, WorkState.NOT_RUN)
        return next((state for state in furthest_first if state in states), WorkState.UNKNOWN)

    async def wait_until_idle(self, shard: str) -> None:
        """Wait until nothing of the shard runs."""
        async with self._idle:
            await self._idle.wait_for(lambda: shard not in self._running_by_shard)

    def _remember(self, work: _Work) -> None:
        if not work.request.request:
            return
        self._work_by_request.pop(work.request.request, None)
        self._work_by_request[work.request.request] = work
        if len(self._work_by_request) > KNOWN_STATES:
            del self._work_by_request[next(iter(self._work_by_request))]

    def _refusal_on_arrival(self, work: _Work) -> RefusalCause | None:
        behaviour = self._behaviour()
        if behaviour.draining:
            return RefusalCause.DRAIN
        if behaviour.shedding or self._slots.full:
            return RefusalCause.SHED
        return self._refusal_at_start(work)

    def _refusal_at_start(self, work: _Work) -> RefusalCause | None:
        if work.deadline is not None and work.deadline.passed(self._clock):
            return RefusalCause.DEADLINE
        if self._settings.checks_fence and not self._grants.allows(work.request.fence):
            return RefusalCause.FENCE
        return None

    async def _queue(self, work: _Work, receive: Receive, send: Send) -> None:
        turn = self._slots.request()
        started = False
        try:
            started = await self._first(turn, work, self._remaining_s(work))
        finally:
            if not started:
                self._slots.withdraw(turn)
        if not started:
            if not work.link.lost.is_set():
                await _refuse(send, _cause_of_leaving(work))
            return
        try:
            await self._hold_slot(work, receive, send)
        finally:
            self._slots.release()

    async def _hold_slot(self, work: _Work, receive: Receive, send: Send) -> None:
        cause = self._refusal_at_start(work)
        if cause is not None:
            await _refuse(send, cause)
            return
        shard = "" if work.request.fence is None else work.request.fence.shard
        self._running_by_shard[shard] = self._running_by_shard.get(shard, 0) + 1
        try:
            done = await self._run_started(work, receive, send)
        finally:
            await self._finish(shard)
        if done is not None:
            await self._answer(work, done, send)

    async def _run_started(self, work: _Work, receive: Receive, send: Send) -> _Done | None:
        """Read the body and run the work; `None` where there is nothing to answer any more."""
        try:
            body, poisoned = await _read_body(receive)
        except _BodyCutError:
            self.cut_bodies += 1
            return None
        cause = self._refusal_before_effect(work)
        if cause is not None:
            await _refuse(send, cause)
            return None
        return await self._execute(work, body, poisoned or work.request.poisoned)

    def _refusal_before_effect(self, work: _Work) -> RefusalCause | None:
        """Check once more, as the body may have taken long to come in."""
        if work.cancelled.is_set():
            return RefusalCause.SHED
        if work.deadline is not None and work.deadline.passed(self._clock):
            return RefusalCause.DEADLINE
        if not self._settings.checks_fence:
            return None
        allowed = self._grants.allows_to_finish(work.request.fence)
        return None if allowed else RefusalCause.FENCE

    async def _execute(self, work: _Work, body: Body, poisoned: bool) -> _Done | None:
        work.state = WorkState.RUNNING
        execution = self._log.start(self._execution(work.request, body))
        if poisoned:
            self._log.end(execution, Ending.CRASHED)
            self._crash()
            return None
        ending = Ending.CANCELLED
        try:
            ending = await self._work(work)
        finally:
            self._log.end(execution, ending)
            work.state = WorkState.DONE
        if ending is Ending.DONE:
            return _Done(body, execution)
        await work.link.abort()
        return None

    async def _work(self, work: _Work) -> Ending:
        """Take the time that the work needs, or stop before; tell how it ended."""
        asked_s = work.request.service_time_s
        service_s = self._behaviour().service_time_s if asked_s is None else asked_s
        timer = asyncio.ensure_future(self._sleep(service_s * self._cold_factor()))
        try:
            done = await self._run_while_granted(timer, work)
        finally:
            timer.cancel()
        if done:
            return Ending.DONE
        stopped = work.cancelled.is_set() or work.link.lost.is_set()
        return Ending.CANCELLED if stopped else Ending.EXPIRED

    async def _run_while_granted(self, timer: asyncio.Future[None], work: _Work) -> bool:
        """Tell whether the work was done before its deadline and before its grant ran out."""
        while True:
            left_s = min(self._run_left_s(), _or_infinite(self._remaining_s(work)))
            done = await self._first(timer, work, None if left_s == inf else left_s)
            if done or work.cancelled.is_set() or work.link.lost.is_set():
                # A process that was frozen finds its timers due all at once.
                return done and self._run_left_s() > 0
            if self._run_left_s() <= 0 or _or_infinite(self._remaining_s(work)) <= 0:
                return False

    def _run_left_s(self) -> float:
        return self._grants.run_left_s() if self._settings.checks_fence else inf

    def _cold_factor(self) -> float:
        """Return how much slower than usual work is, falling to 1 over the cold start."""
        age_s = self._clock.monotonic() - self._started_at_s
        if age_s >= self._settings.cold_start_s:
            return 1.0
        coldness = 1 - age_s / self._settings.cold_start_s
        return 1 + (self._settings.cold_factor - 1) * coldness

    async def _finish(self, shard: str) -> None:
        self._running_by_shard[shard] -= 1
        if not self._running_by_shard[shard]:
            del self._running_by_shard[shard]
        async with self._idle:
            self._idle.notify_all()

    async def _answer(self, work: _Work, done: _Done, send: Send) -> None:
        request, body, execution = work.request, done.body, done.execution
        if request.answer_bytes is not None:
            size = None if request.chunked else request.answer_bytes
            chunks = chunks_of(request.token, request.answer_bytes)
            await send_download(send, work.link, chunks, size, request.cut_after)
            return
        answer = echo_body(
            {
                "server": self._settings.id,
                "path": request.path,
                "request": request.request,
                "token": request.token,
                "execution": execution.number,
                "body_bytes": body.size,
                "digest": body.digest,
            },
            self._behaviour().answer_bytes,
        )
        size = None if request.chunked else len(answer)
        await send_download(send, work.link, iter([answer]), size, request.cut_after)

    def _execution(self, request: WorkRequest, body: Body) -> Execution:
        fence = request.fence
        return Execution(
            number=0,
            server=self._settings.id,
            request=request.request,
            idempotency_key=request.idempotency_key,
            path=request.path,
            shard=None if fence is None else fence.shard,
            epoch=None if fence is None else fence.epoch,
            term=None if fence is None else fence.term,
            body_bytes=body.size,
            started_at_s=0.0,
        )

    def _remaining_s(self, work: _Work) -> float | None:
        return None if work.deadline is None else work.deadline.remaining_s(self._clock)

    async def _first(
        self, goal: asyncio.Future[None], work: _Work, timeout_s: float | None
    ) -> bool:
        """Tell whether `goal` came before cancellation, loss of the connection and timeout."""
        if goal.done():
            return True
        stops: list[Awaitable[object]] = [work.cancelled.wait(), work.link.lost.wait()]
        if timeout_s is not None:
            stops.append(self._sleep(max(timeout_s, 0.0)))
        return await wait_for_first(goal, *stops)


def _or_infinite(seconds: float | None) -> float:
    return inf if seconds is None else seconds


def _cause_of_leaving(work: _Work) -> RefusalCause:
    return RefusalCause.SHED if work.cancelled.is_set() else RefusalCause.DEADLINE


async def _refuse(send: Send, cause: RefusalCause) -> None:
    body = f'{{"refused": "{cause}"}}'.encode()
    await send_answer(send, REFUSED_STATUS, body, {Header.REFUSED: cause})


async def _read_body(receive: Receive) -> tuple[Body, bool]:
    """Read the whole body without keeping it; tell also whether it holds poison."""
    digest = sha256()
    size = 0
    tail = b""
    poisoned = False
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _BodyCutError
        chunk: bytes = message.get("body", b"")
        digest.update(chunk)
        size += len(chunk)
        poisoned = poisoned or POISON.encode() in tail + chunk
        tail = (tail + chunk)[-len(POISON) :]
        if not message.get("more_body", False):
            return Body(size, digest.hexdigest()), poisoned
