"""The leader's side of requests: check ownership, wait for a slot, send, pass the answer on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.core import Deadline, NotRun, NotRunReason, Step, Unknown
from fuchsiawell.daemon.leader.connection import AnswerCutError, ServerAnswer
from fuchsiawell.daemon.leader.in_flight import Flight, InFlight
from fuchsiawell.daemon.leader.pool import Pool
from fuchsiawell.daemon.leader.sending import (
    FirstPart,
    request_headers,
    send_request,
    stream_answer,
)
from fuchsiawell.transport import BodyCutError

if TYPE_CHECKING:
    from fuchsiawell.core import Outcome, ServerId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.leader.authority import Authority
    from fuchsiawell.ownership import ServerRecord
    from fuchsiawell.transport import ServerExchange

__all__ = ["Leader"]

RETRY_AFTER_MOVE_S = 0.05
DEFAULT_CONNECTIONS = 130  # where the configuration does not say how many a server accepts


class Leader:
    """Serve the requests that entry daemons send for keys led here."""

    def __init__(self, context: Context, state: CellState, authority: Authority) -> None:
        self._context = context
        self._state = state
        self._authority = authority
        self._pools_by_server: dict[ServerId, Pool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.in_flight = InFlight()

    def on_request(self, exchange: ServerExchange) -> None:
        """Start to serve a request; a cancelled exchange cancels its work."""
        task = asyncio.create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        exchange.on_cancel = lambda: _cancel(task)

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
        for pool in self._pools_by_server.values():
            pool.close()

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
        flight = Flight(head.request_id, head.service, head.key, route.shard, route.server.id)
        try:
            async with asyncio.timeout(max(0.0, head.deadline_s)):
                return await self._send(exchange, flight, route.server, deadline)
        except TimeoutError:
            if not flight.sent:
                return NotRun(NotRunReason.DEADLINE, Step.ADMIT, route.server.id)
            return Unknown(Step.RUN, route.server.id, "deadline passed after sending")

    async def _send(
        self, exchange: ServerExchange, flight: Flight, server: ServerRecord, deadline: Deadline
    ) -> Outcome | None:
        pool = self._pool(server)
        match await pool.take():
            case Err(_):
                return NotRun(NotRunReason.UNREACHABLE, Step.CONNECT, server.id, RETRY_AFTER_MOVE_S)
            case Ok(connection):
                pass
        try:
            # Nothing is awaited between the permit and the first byte.
            permit = self._authority.permit(flight.shard)
            if isinstance(permit, NotRunReason):
                return NotRun(permit, Step.ROUTE, server.id, RETRY_AFTER_MOVE_S)
            self.in_flight.begin(flight)
            left_s = deadline.remaining_s(self._context.clock)
            headers = request_headers(exchange, str(flight.shard), permit, left_s)
            first = FirstPart(exchange.take_body(), exchange.body_received())
            reply = await send_request(connection, exchange, headers, first)
            if not isinstance(reply, ServerAnswer):
                return reply
            await stream_answer(connection, exchange, reply)
            return None
        finally:
            self.in_flight.end(flight)
            pool.give_back(connection)

    def _pool(self, server: ServerRecord) -> Pool:
        pool = self._pools_by_server.get(server.id)
        if pool is None or pool.address != server.address:
            if pool is not None:
                pool.close()
            configuration = self._state.configuration
            service = configuration and configuration.services_by_name.get(server.service)
            limit = service.max_connections if service else DEFAULT_CONNECTIONS
            pool = Pool(server.address, limit, self._context.clock)
            self._pools_by_server[server.id] = pool
        return pool


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
