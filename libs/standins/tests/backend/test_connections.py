from __future__ import annotations

import asyncio

from fuchsiawell.core import ManualClock
from fuchsiawell.standins.backend import Backend, BackendSettings, limited_protocol
from fuchsiawell.standins.serving import running


async def _answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    try:
        writer.write(b"GET /health HTTP/1.1\r\nhost: x\r\n\r\n")
        return (await reader.readline()).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


async def test_connections_over_the_limit_are_reset() -> None:
    backend = Backend(BackendSettings("pw-1"), ManualClock())
    protocol = limited_protocol(2, 0.0, backend.connections)
    async with running(backend.app, protocol) as address:
        host, port = address.split(":")
        ends = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
        assert [await _answers(*end) for end in ends] == [True, True, False]
        assert (backend.connections.peak, backend.connections.refused) == (3, 1)
        for _, writer in ends:
            writer.close()
