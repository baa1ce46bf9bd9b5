from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.standins.silent_proxy import Direction, SilentProxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def _echo(heard: list[bytes]) -> AsyncIterator[str]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            heard.append(line)
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


async def _open(proxy: SilentProxy) -> Stream:
    host, port = proxy.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def _echoed(stream: Stream, line: bytes) -> bytes:
    reader, writer = stream
    writer.write(line)
    return await reader.readline()


async def test_open_connections_go_silent_while_new_ones_work() -> None:
    heard: list[bytes] = []
    async with _echo(heard) as target, SilentProxy(target) as proxy:
        old = await _open(proxy)
        assert await _echoed(old, b"1\n") == b"1\n"
        proxy.silence_open()
        lost = asyncio.ensure_future(_echoed(old, b"2\n"))
        new = await _open(proxy)
        assert await _echoed(new, b"3\n") == b"3\n"
        assert (heard, lost.done()) == ([b"1\n", b"3\n"], False)
        lost.cancel()


async def test_one_way_silence_loses_only_the_answers() -> None:
    heard: list[bytes] = []
    async with _echo(heard) as target, SilentProxy(target) as proxy:
        proxy.silence_all(Direction.TO_CALLER)
        stream = await _open(proxy)
        lost = asyncio.ensure_future(_echoed(stream, b"1\n"))
        while not heard:
            await asyncio.sleep(0)
        assert not lost.done()
        proxy.heal()
        assert await _echoed(await _open(proxy), b"2\n") == b"2\n"
        assert not lost.done()
        lost.cancel()


async def test_connections_are_cut_and_new_ones_refused() -> None:
    async with _echo([]) as target, SilentProxy(target) as proxy:
        stream = await _open(proxy)
        await _echoed(stream, b"1\n")
        proxy.cut()
        with pytest.raises(OSError):
            await _echoed(stream, b"2\n")
        proxy.refuse()
        refused = await _open(proxy)
        with pytest.raises(OSError):
            assert await _echoed(refused, b"3\n") != b""
        proxy.heal()
        assert await _echoed(await _open(proxy), b"4\n") == b"4\n"


async def test_an_end_that_closes_is_seen_at_the_other() -> None:
    async with _echo([]) as target, SilentProxy(target) as proxy:
        reader, writer = await _open(proxy)
        await _echoed((reader, writer), b"1\n")
        assert proxy.open == 1
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()
        while proxy.open:
            await asyncio.sleep(0)
