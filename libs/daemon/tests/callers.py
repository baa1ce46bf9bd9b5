"""A caller that sees exactly what is on the wire."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    from fuchsiawell.config import Address


@dataclass(frozen=True)
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def ask(
    address: Address,
    target: str,
    method: str = "GET",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a connection of its own and return what came back."""
    fields = {"host": str(address), "content-length": str(len(body)), **(headers or {})}
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    return await exchange(address, "\r\n".join(lines).encode() + body)


async def exchange(address: Address, data: bytes) -> Answer:
    """Send bytes as they are and read one answer."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(data)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; `whole` is false where its framing shows a cut."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    status, fields, body = 0, {}, b""
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(1 << 16))
            elif isinstance(event, h11.Response):
                status = event.status_code
                fields = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, fields, body, whole=True)
    except (h11.RemoteProtocolError, ConnectionError):
        return Answer(status, fields, body, whole=False)
