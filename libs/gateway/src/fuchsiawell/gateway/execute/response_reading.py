"""Read the body of a response: a short one whole, the start of a long one, or to its end unused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.execute.held_bytes import SHORT_RESPONSE_BYTES, Part
from fuchsiawell.gateway.execute.outcome import Response
from fuchsiawell.gateway.execute.remainder import Remainder

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.gateway.execute.held_bytes import Holding
    from fuchsiawell.httpio import ClientConnection, Exchange, ResponseHead

__all__ = ["drain", "read_response"]

# Responses up to this size are read completely before any part is sent to the client: if one is
# truncated, the client can still get an error status, or the request another attempt.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Time to read the body of a response that is not passed on, so that its connection can be reused.
DRAIN_TIMEOUT_S = 0.1


async def read_response(
    head: ResponseHead,
    exchange: Exchange,
    connection: ClientConnection,
    release: Callable[[], None],
    holding: Holding,
) -> Response:
    """Return a response whose head has been read; a long one has a remainder to pass on.

    So has one that is not short and for the rest of which there is no room in memory. `release` is
    called once the whole response has been read.
    """
    held, length_bytes = holding.held, head.content_length
    is_bounded = length_bytes is not None and length_bytes <= MAX_BUFFERED_RESPONSE_BYTES
    buffered = bytearray()
    has_room = True
    with Part(holding) as part:
        while len(buffered) <= MAX_BUFFERED_RESPONSE_BYTES and has_room:
            chunk = await exchange.read_body_chunk()
            if chunk is None:
                release()
                return Response(head, bytes(buffered))
            buffered += chunk
            part.add(len(chunk))
            left_bytes = (length_bytes or 0) - len(buffered) if is_bounded else 1
            if left_bytes > 0 and len(buffered) + left_bytes > SHORT_RESPONSE_BYTES:
                has_room = held.allows(holding, left_bytes)
    if not has_room:
        held.record_short()
    for_memory = is_bounded and not has_room
    remainder = Remainder(head, bytes(buffered), exchange, connection, release, holding, for_memory)
    return Response(head, b"", remainder)


async def drain(exchange: Exchange) -> bool:
    """Read the body of a response that is not passed on; return whether its end has come."""
    read_bytes = 0
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while read_bytes <= MAX_BUFFERED_RESPONSE_BYTES:
                chunk = await exchange.read_body_chunk()
                if chunk is None:
                    return True
                read_bytes += len(chunk)
    except TimeoutError:
        return False
    return False
