"""Each daemon reaches a server through a proxy of its own."""

from __future__ import annotations

import asyncio

import pytest

from fuchsiawell.soak.proxy import CutMode
from fuchsiawell.soak.server_proxies import ServerProxies


async def test_cut_of_one_daemon_leaves_the_others_alone() -> None:
    ports: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ports.append(writer.get_extra_info("peername")[1])
        writer.write(b"x")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    proxies = ServerProxies()
    daemon_by_port: dict[int, str] = {}

    async def read_as(daemon: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxies.by_daemon[daemon].port)
        data = await reader.read()
        writer.close()
        return data

    try:
        for daemon in ("d-1", "d-2"):
            await proxies.add_daemon(
                daemon,
                server.sockets[0].getsockname(),
                lambda port, daemon=daemon: daemon_by_port.update({port: daemon}),
            )
        proxies.cut("d-1", CutMode.RESET)
        # Faults of the server end without an end of the cut.
        proxies.drop_data(True, True)
        proxies.clear_faults()
        with pytest.raises(ConnectionRefusedError):
            await read_as("d-1")
        assert await read_as("d-2") == b"x"
        await proxies.end_cut("d-1")
        assert await read_as("d-1") == b"x"
        assert [daemon_by_port[port] for port in ports] == ["d-2", "d-1"]
        # The address in entries is only translated, never listened at.
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", proxies.port)
    finally:
        await proxies.stop()
        server.close()
