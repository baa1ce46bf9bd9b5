"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins of this review."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "Answer",
    "Request",
    "read_head",
    "read_request",
    "send_request",
    "serve",
    "write_answer",
]


@dataclass
class Request:
    """A request as it was read; header names are lower case."""

    method: str
    target: str
    fields: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """A response; `status` 0 means that the connection ended without a whole one."""

    status: int
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """Return the words of the start line and the header fields, None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def _read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    (method, target, _), fields = head
    return Request(method, target, fields, await _read_body(reader, fields))


async def write_answer(writer: asyncio.StreamWriter, answer: Answer) -> None:
    """Send a response with its length."""
    lines = [f"HTTP/1.1 {answer.status} X"]
    lines += [f"{name}: {value}" for name, value in answer.fields.items()]
    lines.append(f"content-length: {len(answer.body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + answer.body)
    await writer.drain()


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handle: Callable[[Request], Awaitable[Answer | None]],
) -> None:
    """Answer the requests of a connection; a handler that returns None ends it."""
    try:
        while (request := await read_request(reader)) is not None:
            answer = await handle(request)
            if answer is None:
                writer.transport.abort()
                return
            await write_answer(writer, answer)
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def send_request(
    port: int,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and return its response."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0)
            words, answer_fields = head
            return Answer(int(words[1]), answer_fields, await _read_body(reader, answer_fields))
    except (OSError, asyncio.IncompleteReadError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()
