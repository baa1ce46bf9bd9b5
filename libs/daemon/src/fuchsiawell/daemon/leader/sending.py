"""One request on one connection: body out, answer back, and what its end proves."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.core import Header, RefusalCause
from fuchsiawell.daemon.http_fields import field, passed_on
from fuchsiawell.daemon.leader.connection import AnswerCutError
from fuchsiawell.once import ConnectionBroke, Refused, outcome_of
from fuchsiawell.transport import AnswerHead, BodyCutError

if TYPE_CHECKING:
    from fuchsiawell.core import Outcome
    from fuchsiawell.daemon.leader.connection import Connection, ServerAnswer
    from fuchsiawell.ownership import Fence
    from fuchsiawell.transport import Headers, ServerExchange

__all__ = [
    "FirstPart",
    "begin_request",
    "judge",
    "receive_answer",
    "request_headers",
    "stream_answer",
]

RETRY_AFTER_REFUSAL_S = 0.1
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class FirstPart:
    """Hold the beginning of a request's body."""

    chunk: bytes
    end: bool  # the chunk is the whole body


def request_headers(
    exchange: ServerExchange, shard: str, fence: Fence, deadline_s: float
) -> Headers:
    """Return the fields for the backend server: the caller's, and the fence."""
    return [
        *exchange.head.headers,
        (Header.REQUEST_ID.encode(), exchange.head.request_id.encode()),
        (Header.SHARD.encode(), shard.encode()),
        (Header.TERM.encode(), b"%d" % fence.term),
        (Header.EPOCH.encode(), b"%d" % fence.epoch),
        (Header.DEADLINE_MS.encode(), b"%d" % max(0, int(deadline_s * MS_PER_S))),
    ]


def begin_request(
    connection: Connection, exchange: ServerExchange, headers: Headers, first: FirstPart
) -> asyncio.Task[None] | None:
    """Send the head and the first part; return the task that sends the rest, if there is any."""
    head = exchange.head
    connection.begin(head.method, head.target, headers, first.chunk, first.end)
    if first.end:
        return None
    exchange.accept()
    return asyncio.create_task(_send_body(connection, exchange))


async def receive_answer(connection: Connection) -> ServerAnswer | Outcome:
    """Wait for the head of the answer, or say what its absence proves."""
    try:
        return await judge(connection, await connection.answer())
    except AnswerCutError as error:
        return outcome_of(ConnectionBroke(error.detail), connection.peer)


async def judge(connection: Connection, answer: ServerAnswer) -> ServerAnswer | Outcome:
    """Return the answer, or the proof of not run that it carries."""
    return await _refusal(connection, answer) or answer


async def stream_answer(
    connection: Connection, exchange: ServerExchange, answer: ServerAnswer, first: bytes = b""
) -> None:
    """Pass the answer on as it comes; raise `AnswerCutError` or `BodyCutError` where it is cut.

    `first` was taken from the connection before.
    """
    head = AnswerHead(answer.status, passed_on(answer.headers))
    if first:
        exchange.answer(head, b"", end=False)
        await exchange.send(first, end=connection.complete)
    else:
        exchange.answer(head, connection.take(), end=connection.complete)
    while not exchange.sent_end:
        chunk = await connection.next_chunk()
        await exchange.send(chunk, end=connection.complete)


async def _send_body(connection: Connection, exchange: ServerExchange) -> None:
    try:
        while chunk := await exchange.next_chunk():
            await connection.send(chunk)
    except BodyCutError as error:
        # Closing without the final chunk shows the server that the body was cut.
        connection.close(f"request body cut: {error.detail}")
        return
    connection.finish()


async def _refusal(connection: Connection, answer: ServerAnswer) -> Outcome | None:
    cause = field(answer.headers, Header.REFUSED.encode())
    if cause is None or cause not in list(RefusalCause):
        return None
    try:
        while await connection.next_chunk():
            pass
    except AnswerCutError:
        pass  # the refusal's text is of no use; its head is the proof
    return outcome_of(Refused(RefusalCause(cause), RETRY_AFTER_REFUSAL_S), connection.peer)
