"""One exchange with a daemon whose bodies are streamed both ways."""

from __future__ import annotations

import asyncio
import hashlib
import time
from contextlib import closing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import httptools

from fuchsiawell.core import FuchsiawellError

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Answer", "BodyError", "exchange"]

CHUNK_BYTES = 65_536
KEPT_BYTES = 10_000  # of an answer, enough for what a stand-in says of an upload


class BodyError(FuchsiawellError):
    """Report a body that came through short, long or changed."""


@dataclass(slots=True)
class Answer:
    """Hold what came back; of a long body only its start."""

    status: int = 0
    size: int = 0
    start: bytes = b""
    digest: str = ""
    taken_s: float = 0.0


@dataclass(slots=True)
class _Reading:
    start: bytearray = field(default_factory=bytearray)
    size: int = 0
    whole: bool = False
    digest: hashlib._Hash = field(default_factory=hashlib.sha256)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self.digest.update(body)
        if len(self.start) < KEPT_BYTES:
            self.start += body[:KEPT_BYTES]

    def on_message_complete(self) -> None:
        self.whole = True


async def exchange(
    address: str,
    head: str,
    fields: dict[str, str],
    body: Iterable[bytes] = (),
    pause_s: float = 0.0,
) -> Answer:
    """Send one request (`head` is method and target) on a new connection; raise `BodyError`.

    The caller reads nothing for `pause_s` once the answer has begun.
    """
    began_s = time.perf_counter()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{head} HTTP/1.1", f"host: {address}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    with closing(writer):
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        sending = asyncio.create_task(_send(writer, body))
        try:
            answer = await _read(reader, address, pause_s)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
    answer.taken_s = time.perf_counter() - began_s
    return answer


async def _send(writer: asyncio.StreamWriter, body: Iterable[bytes]) -> None:
    for chunk in body:
        writer.write(chunk)
        await writer.drain()


async def _read(reader: asyncio.StreamReader, address: str, pause_s: float) -> Answer:
    reading = _Reading()
    parser = httptools.HttpResponseParser(reading)
    while not reading.whole:
        data = await reader.read(CHUNK_BYTES)
        if not data:
            raise BodyError("read", address, f"answer cut after {reading.size} bytes")
        parser.feed_data(data)
        if pause_s > 0:
            await asyncio.sleep(pause_s)
            pause_s = 0.0
    status = parser.get_status_code()
    return Answer(status, reading.size, bytes(reading.start), reading.digest.hexdigest())
