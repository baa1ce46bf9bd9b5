from __future__ import annotations

import asyncio
import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.bench.bodies.exchange import BodyError, exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BODY = b"reel" * 50_000


@asynccontextmanager
async def _serving(answer: bytes) -> AsyncIterator[str]:
    async def answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    async with await asyncio.start_server(answer_once, "127.0.0.1", 0) as server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def test_counts_and_digests_a_long_answer() -> None:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(BODY)}\r\n\r\n".encode()
    async with _serving(head + BODY) as address:
        answer = await exchange(address, "GET /clip", {})
    assert (answer.status, answer.size) == (200, len(BODY))
    assert answer.digest == hashlib.sha256(BODY).hexdigest()


async def test_a_cut_answer_is_no_answer() -> None:
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(BODY) + 1}\r\n\r\n".encode()
    async with _serving(head + BODY) as address:
        with pytest.raises(BodyError, match="cut after 200000 bytes"):
            await exchange(address, "GET /clip", {})
