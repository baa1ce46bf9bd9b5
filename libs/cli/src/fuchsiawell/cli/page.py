"""Read a page of a running daemon."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from fuchsiawell.httpio import InvalidResponseError, RequestHead, connect

__all__ = ["read_page"]

PAGE_TIMEOUT_S = 3.0


async def read_page(address: str, target: str) -> Result[str, str]:
    """Return the text of a page at HOST:PORT, or why it cannot be read."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Err("not of the form HOST:PORT")
    try:
        async with asyncio.timeout(PAGE_TIMEOUT_S):
            connection = await connect(host, int(port), PAGE_TIMEOUT_S)
            exchange = connection.start(
                RequestHead(b"GET", target.encode(), [(b"host", address.encode())]), 0
            )
            await exchange.finish_body()
            await exchange.read_response_head(lambda _: True)
            text = b""
            while (chunk := await exchange.read_body_chunk()) is not None:
                text += chunk
            connection.close()
    except (OSError, InvalidResponseError) as error:
        return Err(str(error) or "no response in time")
    return Ok(text.decode(errors="replace"))
