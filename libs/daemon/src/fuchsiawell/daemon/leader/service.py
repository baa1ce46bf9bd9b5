"""The leader's side of requests: check ownership, wait for a slot, send, pass the answer on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.core import Answered, Deadline, NotRun, NotRunReason, Step
from fuchsiawell.daemon.leader.attempt import Attempt, Received
from fuchsiawell.daemon.leader.connection import AnswerCutError
from fuchsiawell.daemon.leader.lane import Lane
from fuchsiawell.daemon.leader.once_answers import collect_answer
from fuchsiawell.daemon.leader.once_service import OnceCall
from fuchsiawell.daemon.leader.sending import (
    FirstPart,
    request_headers,
    stream_answer,
)
from fuchsiawell.load import Entry, LoadMeter
from fuchsiawell.once import (
    AnswerCut,
    DeadlinePassed,
    Exchanged,
    KeptAnswer,
    NeverSent,
    outcome_of,
)
from fuchsiawell.transport import BodyCutError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.config import Kind
    from fuchsiawell.core import Outcome, ServerId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.leader.authority import Authority
    from fuchsiawell.daemon.leader.connection import Connection
    from fuchsiawell.daemon.leader.crashes import Crashes
    from fuchsiawell.daemon.leader.once_service import OnceService
    from fuchsiawell.load import LoadReport
    from fuchsiawell.ownership import Fence, Route, ServerRecord
    from fuchsiawell.transport import RequestHead, ServerExchange

__all__ = ["LeaderService"]

RETRY_AFTER_MOVE_S = 0.05


@dataclass(slots=True, eq=False)
class _Work:
    """Hold what is known of one request while it is served."""

    exchange: ServerExchange
    route: Route
    server: ServerRecord
    lane: Lane
    deadline: Deadline
    entry: Entry
    repeatable: bool
    sent: bool = False  # from here on only an answer or a refusal proves anything
    whole: bool = False  # the whole answer has been received
    first: FirstPart | None = None  # taken before the request is sent
    may_send: Callable[[], bool] | None = None  # the ledger's word, for never-repeat work
    status: int = 0
    kept: KeptAnswer | None = None
    started_s: float = 0.0


class LeaderService:
    """Serve the requests that entry daemons send for keys led here."""

    def __init__(
        self,
        context: Context,
        state: CellState,
        authority: Authority,
        once: OnceService,
        crashes: Crashes,
    ) -> None:
        self._context = context
        self._state = state
        self._authority = authority
        self._once = once
        self._crashes = crashes
        self._lanes_by_server: dict[ServerId, Lane] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._meter = LoadMeter(context.clock.monotonic())

    def on_request(self, exchange: ServerExchange) -> None:
        """Start to serve a request; a cancelled exchange cancels its work."""
        task = asyncio.create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_cancel = lambda: _cancel(task)

    def load_report(self) -> LoadReport:
        """Return the load of the servers that this daemon has sent work to."""
        queues = [
            (id, lane.gate.limit(), lane.gate.queued) for id, lane in self._lanes_by_server.items()
        ]
        own = self._context.settings.daemon
        return self._meter.report(own, queues, self._context.clock.monotonic())

    def lane(self, server: ServerRecord) -> Lane:
        """Return the way to a server, made anew when its address changed."""
        lane = self._lanes_by_server.get(server.id)
        if lane is None or lane.address != server.address:
            if lane is not None:
                lane.close()
            configuration = self._state.configuration
            service = configuration and configuration.services_by_name.get(server.service)
            lane = Lane(server, service or None, self._context.clock)
            self._lanes_by_server[server.id] = lane
        return lane

    async def drain(self) -> None:
        """Wait until every request has ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel what is left and close connections."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for lane in self._lanes_by_server.values():
            lane.close()

    async def _serve(self, exchange: ServerExchange) -> None:
        try:
            outcome = await self._run(exchange)
            if outcome is not None and not exchange.replied:
                exchange.fail(outcome)
        except (AnswerCutError, BodyCutError) as error:
            self._context.log.warning(
                "answer cut",
                step=error.step,
                peer=error.peer,
                detail=error.detail,
                request=exchange.head.request_id,
            )
        finally:
            # An answer without its end is cut at the entry daemon too.
            exchange.close()

    async def _run(self, exchange: ServerExchange) -> Outcome | None:
        head = exchange.head
        own = self._context.settings.daemon
        assignment = self._state.assignment
        route = assignment.route(head.service, head.key) if assignment is not None else None
        if route is None:
            return NotRun(NotRunReason.UNKNOWN_SERVICE, Step.ROUTE, own)
        if route.server is None:
            return NotRun(NotRunReason.NO_OWNER, Step.ROUTE, own, RETRY_AFTER_MOVE_S)
        deadline = Deadline.after(self._context.clock, head.deadline_s)
        entry = Entry(head.request_id, head.kind, head.caller, deadline.at_s)
        lane = self.lane(route.server)
        kind = self._kind(head)
        if kind is None:
            # Unknown here yet: it may be work that must not repeat.
            return NotRun(NotRunReason.NOT_READY, Step.ROUTE, own, RETRY_AFTER_MOVE_S)
        work = _Work(exchange, route, route.server, lane, deadline, entry, kind.repeatable)
        if kind.repeatable:
            return await self._within_deadline(work)
        work.first = FirstPart(exchange.take_body(), exchange.body_received())
        call = OnceCall(exchange, kind, route.shard, deadline, work.first)
        return await self._once.serve(call, lambda may_send: self._run_once(work, may_send))

    def _kind(self, head: RequestHead) -> Kind | None:
        configuration = self._state.configuration
        return None if configuration is None else configuration.kind(head.service, head.kind)

    async def _run_once(self, work: _Work, may_send: Callable[[], bool]) -> Exchanged:
        work.may_send = may_send
        try:
            outcome = await self._within_deadline(work)
        except (AnswerCutError, BodyCutError) as error:
            outcome = outcome_of(AnswerCut(work.status, error.detail), work.server.id)
        return Exchanged(outcome or Answered(work.status), work.kept)

    async def _within_deadline(self, work: _Work) -> Outcome | None:
        left_s = work.deadline.remaining_s(self._context.clock)
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._admit(work)
        except TimeoutError:
            late = NeverSent(NotRunReason.DEADLINE, Step.ADMIT)
            return outcome_of(DeadlinePassed() if work.sent else late, work.server.id)

    async def _admit(self, work: _Work) -> Outcome | None:
        shed = await work.lane.gate.enter(work.entry)
        if shed is not None:
            # Refused work counts as load: it shows what was asked of the server.
            self._record_load(work, work.lane.gate.expected_s(work.entry.kind))
            return NotRun(NotRunReason.SHED, Step.ADMIT, work.server.id, shed.retry_after_s)
        outcome: Outcome | None = None
        try:
            outcome = await self._isolated(work)
            return outcome
        finally:
            if isinstance(outcome, NotRun) and outcome.reason is NotRunReason.SHED:
                work.lane.gate.refused(work.entry, outcome.retry_after_s or 0.0)
            else:
                work.lane.gate.leave(work.entry, measured=work.whole)

    async def _isolated(self, work: _Work) -> Outcome | None:
        exchange = work.exchange
        work.first = work.first or FirstPart(exchange.take_body(), exchange.body_received())
        flight = await self._crashes.enter(work.server.id, exchange.head, work.first)
        if isinstance(flight, NotRun):
            return flight
        outcome: Outcome | None = None
        try:
            outcome = await self._connect(work)
            return outcome
        finally:
            if work.whole:
                self._crashes.answered(flight)
            elif not work.sent or isinstance(outcome, NotRun):
                self._crashes.refused(flight)
            else:
                self._crashes.broke(flight, work.lane)

    async def _connect(self, work: _Work) -> Outcome | None:
        match await work.lane.pool.take():
            case Err(_):
                return NotRun(
                    NotRunReason.UNREACHABLE, Step.CONNECT, work.server.id, RETRY_AFTER_MOVE_S
                )
            case Ok(connection):
                pass
        try:
            # Nothing is awaited between the permit and the first byte.
            fence = self._authority.permit(work.route.shard)
            if isinstance(fence, NotRunReason):
                return NotRun(fence, Step.ROUTE, work.server.id, RETRY_AFTER_MOVE_S)
            if fence.server != work.server.id:
                return NotRun(NotRunReason.MOVING, Step.ROUTE, work.server.id, RETRY_AFTER_MOVE_S)
            if work.may_send is not None and not work.may_send():
                return NotRun(NotRunReason.MOVING, Step.SEND, work.server.id, RETRY_AFTER_MOVE_S)
            return await self._exchange(work, connection, fence)
        finally:
            work.lane.pool.give_back(connection)

    async def _exchange(self, work: _Work, connection: Connection, fence: Fence) -> Outcome | None:
        ticket = self._authority.enter(work.route.shard, fence)
        work.sent = True
        work.started_s = self._context.clock.monotonic()
        proved = False
        try:
            left_s = work.deadline.remaining_s(self._context.clock)
            headers = request_headers(work.exchange, str(work.route.shard), fence, left_s)
            assert work.first is not None  # taken before the request was isolated
            shard = work.route.shard
            attempt = Attempt(
                work.lane,
                work.exchange,
                work.first,
                may_copy=lambda: self._authority.permit(shard) == fence,
            )
            reply = await attempt.run(connection, headers, repeatable=work.repeatable)
            if not isinstance(reply, Received):
                proved = isinstance(reply, NotRun)
                return reply
            await self._pass_on(work, connection, reply)
            proved = work.whole = True
            return None
        finally:
            self._authority.leave(ticket, None if proved else work.deadline.at_s)
            self._record_load(work, self._context.clock.monotonic() - work.started_s)

    async def _pass_on(self, work: _Work, first: Connection, reply: Received) -> None:
        waited_s = self._context.clock.monotonic() - work.started_s
        work.lane.record_answer(work.exchange.head.kind, waited_s)
        try:
            await self._stream_or_keep(work, reply)
        finally:
            if reply.connection is not first:
                work.lane.pool.give_back(reply.connection)

    async def _stream_or_keep(self, work: _Work, reply: Received) -> None:
        work.status = reply.answer.status
        collected: KeptAnswer | bytes = b""
        if work.may_send is not None:
            collected = await collect_answer(reply.connection, reply.answer)
        if isinstance(collected, KeptAnswer):
            work.kept = collected
            return
        await stream_answer(reply.connection, work.exchange, reply.answer, collected)

    def _record_load(self, work: _Work, busy_s: float) -> None:
        now_s = self._context.clock.monotonic()
        key = work.exchange.head.key
        self._meter.record(work.server.id, work.route.shard, key, busy_s, now_s)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
