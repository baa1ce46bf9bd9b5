"""Send the body of a request to a server or another daemon, beside the read of the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.httpio import BadRequestError

if TYPE_CHECKING:
    from fuchsiawell.gateway.execute.body import RequestBody
    from fuchsiawell.httpio import ClientConnection, Exchange

__all__ = ["body_error", "cancel_sending", "send_body", "start_sending"]

# Bodies up to this size are sent before reading the response; longer ones concurrently with it.
MAX_INLINE_BODY_BYTES = 16 * 1024


async def start_sending(
    exchange: Exchange, body: RequestBody, connection: ClientConnection
) -> asyncio.Task[None] | None:
    """Send a short body at once; return the task that sends a long one."""
    if body.fully_buffered and len(body.buffered) <= MAX_INLINE_BODY_BYTES:
        await send_body(exchange, body, connection)
        return None
    return asyncio.get_running_loop().create_task(send_body(exchange, body, connection))


async def send_body(exchange: Exchange, body: RequestBody, connection: ClientConnection) -> None:
    """Send a whole body; raises BadRequestError if its rest is malformed."""
    try:
        if body.buffered:
            await exchange.send_body_chunk(body.buffered)
        if not body.fully_buffered:
            while (chunk := await body.read_chunk()) is not None:
                await exchange.send_body_chunk(chunk)
        await exchange.finish_body()
    except ConnectionError:
        # The peer may have responded all the same; the read of the response decides.
        return
    except BadRequestError:
        # The peer would wait for the rest until the deadline.
        connection.abort()
        raise


def body_error(send_task: asyncio.Task[None] | None) -> BadRequestError | None:
    """Return the error of the client's body that has ended the sending, if any."""
    if send_task is None or not send_task.done() or send_task.cancelled():
        return None
    error = send_task.exception()
    return error if isinstance(error, BadRequestError) else None


async def cancel_sending(send_task: asyncio.Task[None] | None) -> None:
    """Stop sending, if it goes on, and wait for its end."""
    if send_task is None:
        return
    send_task.cancel()
    try:
        await send_task
    except (asyncio.CancelledError, BadRequestError, ConnectionError):
        return
