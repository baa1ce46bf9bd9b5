"""A small HTTP/1.1 server and client on asyncio, for stand-ins; no dependencies."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass
class Message:
    """A request or a response; header names are lower case."""

    start: list[str]
    fields: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start[0]

    @property
    def target(self) -> str:
        return self.start[1]

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the connection before one begins.

    Raises ConnectionError or IncompleteReadError for a message that is not complete.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), fields)
    if "chunked" in fields.get("transfer-encoding", "").lower():
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()) not in (b"\r\n", b""):
            pass
        message.body = b"".join(parts)
    elif length := int(fields.get("content-length", "0")):
        message.body = await reader.readexactly(length)
    return message


def encode_response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def encode_request(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; a body gets a length."""
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


@dataclass(eq=False)
class Connection:
    """An accepted connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Bytes to be sent where the next response is expected.
    before_next: bytes = b""

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def wait_peer_gone(self) -> None:
        """Wait until the peer has closed or reset the connection."""
        while True:
            if self.reader.at_eof() or self.reader.exception() is not None:
                return
            await asyncio.sleep(0.02)

    def abort(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass(eq=False)
class Server:
    """Serve connections at a loopback port; `respond` is called for each request."""

    respond: Callable[[Connection, Message], Awaitable[None]]
    port: int = 0
    connections: set[Connection] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at `port`, at a free one if it is 0."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuse connections, and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (request := await read_message(reader)) is not None:
                await self.respond(connection, request)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            with contextlib.suppress(Exception):
                writer.close()


def free_ports(count: int) -> list[int]:
    """Return free loopback ports, one after the other, below those that systems give out."""
    blocks = list(range(12000, 32000, count))
    random.shuffle(blocks)
    for first in blocks:
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    sockets.append(sock)
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        else:
            return list(range(first, first + count))
        finally:
            for sock in sockets:
                sock.close()
    raise OSError("no free ports")
