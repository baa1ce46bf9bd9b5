"""A client that leaves is noticed, however much of its request lies unread."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from test_frontend import FrontendHarness

from fuchsiawell.httpio import RequestHead

from builders import configuration

POST = RequestHead(b"POST", b"/a/1", [(b"host", b"a.example")])
NOTICE_TIMEOUT_S = 0.5


# Guards against work for a client that has left while the rest of its long body lies unread.
@pytest.mark.parametrize(("body_bytes", "missing_bytes"), [(64 * 1024, 0), (2 * 1024 * 1024, 1)])
async def test_client_that_leaves_beside_an_unread_body_is_noticed(
    body_bytes: int, missing_bytes: int
) -> None:
    started, ended = asyncio.Event(), asyncio.Event()

    async def wait_forever() -> None:
        started.set()
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    harness = FrontendHarness(wait_forever)
    limits = replace(configuration().limits, max_body_bytes=8_000_000)
    harness.session.configuration = replace(configuration(), limits=limits)
    async with harness.client() as client, asyncio.timeout(10):
        exchange = client.start(POST, body_bytes + missing_bytes)
        sending = asyncio.create_task(exchange.send_body_chunk(bytes(body_bytes)))
        await started.wait()
        client.abort()
        await asyncio.wait({sending})
        async with asyncio.timeout(NOTICE_TIMEOUT_S):
            await ended.wait()
