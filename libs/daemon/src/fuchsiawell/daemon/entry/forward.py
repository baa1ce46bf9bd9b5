"""From the entry daemon to the leader of a key, again where that is proved harmless."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok

from fuchsiawell.core import NotRun, NotRunReason, Step, Unknown
from fuchsiawell.once import REROUTE_REASONS, RetryBudget
from fuchsiawell.transport import AnswerHead, BodyCutError

if TYPE_CHECKING:
    from fuchsiawell.core import Deadline, Outcome
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.entry.body import CallerBody
    from fuchsiawell.transport import ClientExchange, Link, Peers, RequestHead

__all__ = ["Forwarder", "Reply"]

FIRST_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2
LEADER_GRACE_S = 0.05  # the leader's own word on a passed deadline is awaited so much longer
RECOVERY_S = 4.0  # longer than a loss may take to be served again; then the caller is told
RETRY_SHARE = 0.1  # repeated requests of unknown outcome, as a share of all requests
RETRY_BURST = 50.0


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the head of an answer whose body follows on the exchange."""

    head: AnswerHead
    exchange: ClientExchange


class Forwarder:
    """Find the leader of a key and pass requests to it."""

    def __init__(self, context: Context, state: CellState, peers: Peers, loopback: Link) -> None:
        self._context = context
        self._state = state
        self._peers = peers
        self._loopback = loopback
        self._retries = RetryBudget(RETRY_SHARE, RETRY_BURST)

    async def forward(
        self, head: RequestHead, body: CallerBody, deadline: Deadline, repeatable: bool
    ) -> Reply | Outcome:
        """Return the leader's reply, asked for again where that cannot harm."""
        clock = self._context.clock
        give_up_at_s = min(deadline.at_s, clock.monotonic() + RECOVERY_S)
        self._retries.count_first_try()
        backoff_s = FIRST_BACKOFF_S
        head.attempt = 1
        while True:
            head.deadline_s = deadline.remaining_s(clock)
            reply = await self._ask(head, body)
            again = body.replayable and self._worth_asking_again(reply, repeatable)
            if not again or clock.monotonic() + backoff_s >= give_up_at_s:
                return reply
            await self._news_or_backoff(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            head.attempt += 1

    def _worth_asking_again(self, reply: Reply | Outcome, repeatable: bool) -> bool:
        match reply:
            case NotRun(reason):
                return reason in REROUTE_REASONS
            case Unknown():
                return repeatable and self._retries.take()
            case _:
                return False

    async def _ask(self, head: RequestHead, body: CallerBody) -> Reply | Outcome:
        link = await self._link(head)
        if isinstance(link, NotRun):
            return link
        exchange = link.open(head, body.first_chunk, body.whole)
        pump = None if body.whole else asyncio.create_task(body.pump(exchange))
        # A bare timer: `asyncio.timeout` costs several times as much on each request.
        patience_s = head.deadline_s + LEADER_GRACE_S
        timer = asyncio.get_running_loop().call_later(patience_s, exchange.time_out)
        try:
            reply = await exchange.reply
        except BodyCutError as error:
            exchange.close()
            return Unknown(Step.FORWARD, error.peer, error.detail)
        except TimeoutError:
            exchange.close()
            return Unknown(Step.FORWARD, link.peer, "no answer before the deadline")
        except asyncio.CancelledError:
            exchange.close()
            raise
        finally:
            timer.cancel()
        if isinstance(reply, AnswerHead):
            return Reply(reply, exchange)
        exchange.close()
        if pump is not None:
            pump.cancel()
        return reply

    async def _link(self, head: RequestHead) -> Link | NotRun:
        own = self._context.settings.daemon
        assignment = self._state.assignment
        if assignment is None:
            return NotRun(NotRunReason.NO_OWNER, Step.ROUTE, own, MAX_BACKOFF_S)
        route = assignment.route(head.service, head.key)
        if route is None:
            return NotRun(NotRunReason.UNKNOWN_SERVICE, Step.ROUTE, own)
        if route.server is None:
            return NotRun(NotRunReason.NO_OWNER, Step.ROUTE, own, MAX_BACKOFF_S)
        leader = route.server.leader
        if leader is None:
            return NotRun(NotRunReason.NO_LEADER, Step.ROUTE, own, MAX_BACKOFF_S)
        if leader == own:
            return self._loopback
        ready = self._peers.ready_link(leader)
        if ready is not None:
            return ready
        match await self._peers.link(leader):
            case Ok(link):
                return link
            case Err(_):
                return NotRun(NotRunReason.UNREACHABLE, Step.FORWARD, leader, MAX_BACKOFF_S)

    async def _news_or_backoff(self, backoff_s: float) -> None:
        jittered_s = backoff_s * (0.5 + self._context.random.random())
        try:
            async with asyncio.timeout(jittered_s):
                await self._state.changed()
        except TimeoutError:
            pass
