from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.soak.proxy import Proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def echo_server_proxy() -> AsyncIterator[Proxy]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    proxy = Proxy(("127.0.0.1", server.sockets[0].getsockname()[1]))
    await proxy.start()
    try:
        yield proxy
    finally:
        await proxy.stop()
        server.close()


async def test_bytes_are_forwarded() -> None:
    async with echo_server_proxy() as proxy:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        writer.close()


async def test_connection_with_dropped_data_stays_open_until_faults_are_cleared() -> None:
    async with echo_server_proxy() as proxy:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        proxy.drop_from_target = True
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await reader.read(1)
        proxy.clear_faults()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        writer.close()


async def test_reset_closes_open_connections() -> None:
    async with echo_server_proxy() as proxy:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"a")
        await reader.readexactly(1)
        proxy.reset_connections()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
