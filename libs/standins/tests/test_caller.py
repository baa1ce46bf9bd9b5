from __future__ import annotations

import asyncio
import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.core import SystemClock
from fuchsiawell.standins.backend import Backend, BackendSettings, BehaviourModel
from fuchsiawell.standins.caller import (
    Broken,
    Caller,
    CallerRequest,
    NotRun,
    Unknown,
    Unsent,
    Whole,
)
from fuchsiawell.standins.serving import running

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GET = CallerRequest("GET", "/penwatch/pen-status/pen-7")


@asynccontextmanager
async def _server() -> AsyncIterator[Caller]:
    settings = BackendSettings("pw-1", checks_fence=False)
    backend = Backend(settings, SystemClock(), BehaviourModel(service_time_s=0.0))
    async with running(backend.app) as address:
        caller = Caller(address, 20.0)
        yield caller
        caller.close()


@asynccontextmanager
async def _answering(answer: bytes) -> AsyncIterator[str]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def test_requests_and_uploads_share_a_connection() -> None:
    async def chunks() -> AsyncIterator[bytes]:
        for _ in range(20):
            yield b"x" * 100_000

    async with _server() as caller:
        assert isinstance(await caller.call(GET), Whole)
        first = caller._writer
        upload = await caller.call(CallerRequest("POST", "/reelhouse/clip/7", stream=chunks))
        assert isinstance(upload, Whole)
        assert hashlib.sha256(b"x" * 2_000_000).hexdigest().encode() in upload.body
        assert isinstance(await caller.call(GET), Whole)
        assert caller._writer is first


async def test_an_answer_that_comes_before_the_body_ends_is_taken() -> None:
    async def endless() -> AsyncIterator[bytes]:
        while True:
            yield b"x"
            await asyncio.sleep(0.001)

    late = CallerRequest("POST", "/a/b/c", {"fuchsiawell-deadline-ms": "0"}, stream=endless)
    async with _server() as caller:
        refused = await caller.call(late)
        assert isinstance(refused, Whole)
        assert refused.headers["fuchsiawell-refused"] == "deadline"
        assert isinstance(await caller.call(GET), Whole)


async def test_what_the_router_says_of_the_outcome_is_told_apart() -> None:
    head = b"HTTP/1.1 503 x\r\ncontent-length: %d\r\nfuchsiawell-outcome: %b\r\n\r\n%b"
    body = b'{"reason": "shed", "step": "admit"}'
    async with _answering(head % (len(body), b"not-run", body)) as address:
        assert await Caller(address, 20.0).call(GET) == NotRun(503, "shed", "admit")
    async with _answering(head % (1, b"unknown", b"?")) as address:
        assert await Caller(address, 20.0).call(GET) == Unknown("?", "?")
    assert isinstance(await Caller(address, 20.0).call(GET), Unsent)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhell",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhello",
    ],
)
async def test_a_cut_answer_is_broken(answer: bytes) -> None:
    async with _answering(answer) as address:
        assert isinstance(await Caller(address, 20.0).call(GET), Broken)


async def test_silence_is_broken_and_its_connection_is_not_used_again() -> None:
    async with _server() as caller:
        caller._timeout_s = 0.05
        slow = CallerRequest("GET", "/a/b/c?standin-service-ms=60000")
        assert await caller.call(slow) == Broken("no whole answer in time")
        caller._timeout_s = 20.0
        assert isinstance(await caller.call(GET), Whole)
