"""Answers to never-repeat requests: kept whole for resends, or streamed if they are long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.core import Header
from fuchsiawell.daemon.http_fields import passed_on
from fuchsiawell.once import KeptAnswer
from fuchsiawell.transport import CHUNK_BYTES, AnswerHead

if TYPE_CHECKING:
    from fuchsiawell.daemon.leader.connection import Connection, ServerAnswer
    from fuchsiawell.transport import ServerExchange

__all__ = ["KEPT_ANSWER_BYTES", "collect_answer", "id_offer", "reply_kept"]

KEPT_ANSWER_BYTES = 64 * 1024  # a longer answer is streamed to its first caller and not kept


async def collect_answer(connection: Connection, answer: ServerAnswer) -> KeptAnswer | bytes:
    """Return the whole answer, or its first part if it is too long to be kept.

    Raises `AnswerCutError` where the answer ends before its framing says.
    """
    body = connection.take()
    while not connection.complete and len(body) <= KEPT_ANSWER_BYTES:
        body += await connection.next_chunk()
    if connection.complete and len(body) <= KEPT_ANSWER_BYTES:
        return KeptAnswer(answer.status, tuple(passed_on(answer.headers)), body)
    return body


def reply_kept(exchange: ServerExchange, answer: KeptAnswer, issued_id: str | None) -> None:
    """Send a kept answer to one caller, with an id for its next request."""
    headers = list(answer.headers)
    if issued_id is not None:
        headers.append((Header.ISSUED_ID.encode(), issued_id.encode()))
    exchange.answer(AnswerHead(answer.status, headers), answer.body, end=True)


def id_offer() -> KeptAnswer:
    """Return the answer to a request without an id, where the router issues them."""
    headers = ((Header.OUTCOME.encode(), b"not-run"), (b"content-type", b"application/json"))
    return KeptAnswer(428, headers, b'{"outcome":"not-run","reason":"id-required"}')


assert KEPT_ANSWER_BYTES <= CHUNK_BYTES  # one frame carries it
