"""Sending one request, and once more beside the first when its connection seems silent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Ok

from fuchsiawell.core import Step, Unknown
from fuchsiawell.daemon.leader.connection import AnswerCutError, ServerAnswer
from fuchsiawell.daemon.leader.sending import begin_request, judge, receive_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import Outcome
    from fuchsiawell.daemon.leader.connection import Connection
    from fuchsiawell.daemon.leader.lane import Lane
    from fuchsiawell.daemon.leader.sending import FirstPart
    from fuchsiawell.transport import Headers, ServerExchange

__all__ = ["Attempt", "Received"]


@dataclass(frozen=True, slots=True)
class Received:
    """Hold the head of an answer and the connection that its body follows on."""

    answer: ServerAnswer
    connection: Connection


class Attempt:
    """Send a request on a connection and wait for the head of its answer.

    A request whose answer is overdue may be lost on a connection that went silent. If it is
    repeatable and short, a copy is sent on a new connection beside it, and the first answer wins;
    the slower copy's connection is closed, which cancels its work. A new connection that is
    answered while the old one is silent makes the whole pool of older connections suspect.
    """

    def __init__(
        self,
        lane: Lane,
        exchange: ServerExchange,
        first: FirstPart,
        may_copy: Callable[[], bool],
    ) -> None:
        """`may_copy` tells whether the fence that the request is sent with is still in force."""
        self._may_copy = may_copy
        self._lane = lane
        self._exchange = exchange
        self._first = first

    async def run(
        self, connection: Connection, headers: Headers, *, repeatable: bool
    ) -> Received | Outcome:
        """Return the answer's head, or what the lack of one proves."""
        upload = begin_request(connection, self._exchange, headers, self._first)
        try:
            answer = await connection.answer_within(self._lane.overdue_s(self._exchange.head.kind))
            if answer is not None:
                return _received(connection, await judge(connection, answer))
            if repeatable and self._first.end and self._lane.copies.take():
                return await self._race(connection, headers)
            return _received(connection, await receive_answer(connection))
        except AnswerCutError as error:
            return Unknown(Step.RUN, connection.peer, error.detail)
        finally:
            if upload is not None and not upload.done():
                # Whatever the server says before it has the whole body, the rest is not wanted.
                upload.cancel()

    async def _race(self, connection: Connection, headers: Headers) -> Received | Outcome:
        first = asyncio.create_task(self._wait(connection))
        second = asyncio.create_task(self._copy(connection, headers))
        outcome = await _first_received((first, second))
        if first.done() and second.done() and not second.cancelled():
            # Both were answered at once: the connection of the one not used goes back.
            other = second.result()
            if isinstance(other, Received) and other is not outcome:
                self._lane.pool.give_back(other.connection)
        return outcome

    async def _wait(self, connection: Connection) -> Received | Outcome:
        return _received(connection, await receive_answer(connection))

    async def _copy(self, silent: Connection, headers: Headers) -> Received | Outcome:
        pool = self._lane.pool
        match await pool.connect():
            case Ok(connection):
                pass
            case _:
                return Unknown(Step.CONNECT, silent.peer, "no second connection")
        # Nothing is awaited between this look and the first byte: the key may have moved.
        if not self._may_copy():
            pool.give_back(connection)
            return Unknown(Step.SEND, silent.peer, "the key moved before a second copy was sent")
        begin_request(connection, self._exchange, headers, self._first)
        kept = False
        try:
            reply = _received(connection, await receive_answer(connection))
            kept = isinstance(reply, Received)
            if kept:
                pool.distrust()
                silent.close("silent while a new connection works")
            return reply
        finally:
            if not kept:
                pool.give_back(connection)


async def _first_received(
    tasks: tuple[asyncio.Task[Received | Outcome], ...],
) -> Received | Outcome:
    """Return the first answer, or else the last outcome; cancel what is then left."""
    pending = set(tasks)
    try:
        while True:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            outcomes = [task.result() for task in tasks if task in done]
            received = next((o for o in outcomes if isinstance(o, Received)), None)
            if received is not None or not pending:
                return received or outcomes[-1]
    finally:
        for task in pending:
            task.cancel()


def _received(connection: Connection, reply: ServerAnswer | Outcome) -> Received | Outcome:
    return Received(reply, connection) if isinstance(reply, ServerAnswer) else reply
