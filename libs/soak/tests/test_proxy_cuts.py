"""Proxies that cut their clients off: packets lost, connections reset or refused."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.soak.proxy import CutMode, Proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Far above what the kernel needs to send lost packets again after a short cut.
PATIENCE_S = 20.0
SHORT_S = 0.1


class EchoServer:
    """Send back what arrives, and keep it."""

    def __init__(self) -> None:
        self.received = b""
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while data := await reader.read(100):
            self.received += data
            writer.write(data)
        writer.close()


@asynccontextmanager
async def cut_site() -> (
    AsyncIterator[tuple[Proxy, EchoServer, asyncio.StreamReader, asyncio.StreamWriter]]
):
    """Run a proxy before an echo server, with one open connection that has been used."""
    server = EchoServer()
    proxy = Proxy(("127.0.0.1", await server.start()))
    await proxy.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(b"a")
    try:
        async with asyncio.timeout(PATIENCE_S):
            assert await reader.readexactly(1) == b"a"
            yield proxy, server, reader, writer
    finally:
        writer.close()
        await proxy.stop()
        server.stop()


async def assert_serves_new_connections(proxy: Proxy) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    writer.write(b"n")
    assert await reader.readexactly(1) == b"n"
    writer.close()


async def test_lost_packets_arrive_after_the_cut() -> None:
    async with cut_site() as (proxy, server, reader, writer):
        proxy.cut(CutMode.LOSE)
        writer.write(b"b")
        server.writers[0].write(b"c")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await reader.read(1)
        assert server.received == b"a"
        await proxy.end_cut()
        assert sorted(await reader.readexactly(2)) == sorted(b"bc")
        await assert_serves_new_connections(proxy)


# Guards against a cut that ends half done, and never ends: the socket of a connection that has just
# been lost takes no filter any more.
async def test_packets_are_lost_beside_a_connection_that_was_closed() -> None:
    async with cut_site() as (proxy, server, _, _):
        # One turn of the loop closes the sockets, and the tasks that forward data end later.
        proxy.reset_connections()
        await asyncio.sleep(0)
        proxy.cut(CutMode.LOSE)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await asyncio.open_connection("127.0.0.1", proxy.port)
        assert len(server.writers) == 1


async def test_connect_hangs_while_packets_are_lost() -> None:
    async with cut_site() as (proxy, server, _, _):
        proxy.cut(CutMode.LOSE)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await asyncio.open_connection("127.0.0.1", proxy.port)
        assert len(server.writers) == 1
        await proxy.end_cut()
        await assert_serves_new_connections(proxy)


async def test_end_and_reset_by_the_server_are_not_seen_while_packets_are_lost() -> None:
    async with cut_site() as (proxy, server, reader, _):
        second_reader, second_writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        second_writer.write(b"a")
        await second_reader.readexactly(1)
        proxy.cut(CutMode.LOSE)
        server.writers[0].close()
        proxy.drop_to_target = True
        proxy.clear_faults()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SHORT_S):
                await asyncio.wait(
                    [asyncio.create_task(r.read(1)) for r in (reader, second_reader)],
                    return_when=asyncio.FIRST_COMPLETED,
                )
        await proxy.end_cut()
        second_writer.close()


async def test_reset_ends_open_connections_and_refuses_new_ones() -> None:
    async with cut_site() as (proxy, _, reader, _):
        proxy.cut(CutMode.RESET)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        for _ in range(3):
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", proxy.port)
        await proxy.end_cut()
        await assert_serves_new_connections(proxy)


async def test_open_connections_live_on_while_new_ones_are_refused() -> None:
    async with cut_site() as (proxy, _, reader, writer):
        proxy.cut(CutMode.REFUSE)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", proxy.port)
        writer.write(b"b")
        assert await reader.readexactly(1) == b"b"
        await proxy.end_cut()
        await assert_serves_new_connections(proxy)


async def test_port_is_kept_while_connections_are_refused() -> None:
    async with cut_site() as (proxy, _, _, _):
        port = proxy.port
        proxy.cut(CutMode.RESET)
        with pytest.raises(OSError, match="in use"):
            await asyncio.start_server(lambda r, w: None, "127.0.0.1", port, reuse_address=False)
        await proxy.end_cut()
        assert proxy.port == port


@pytest.mark.parametrize("mode", list(CutMode))
async def test_proxy_stops_during_a_cut(mode: CutMode) -> None:
    async with cut_site() as (proxy, _, _, writer):
        proxy.cut(mode)
        writer.write(b"b")
        await proxy.stop()
