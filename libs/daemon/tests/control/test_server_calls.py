from __future__ import annotations

import asyncio

from fuchsiawell.core import DaemonId, ServerId
from fuchsiawell.daemon.control.server_calls import ServerCalls
from fuchsiawell.ownership import NoAnswer, ProbeAnswered, ProbeServer
from fuchsiawell.standins.process import free_port

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"clock_ms":7}'


class SilencedServer:
    """Answer each connection until told that the open ones went silent."""

    def __init__(self) -> None:
        self.silent: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        while await reader.read(65_536):
            if writer not in self.silent:
                await asyncio.sleep(0.02)  # calls that overlap take a connection each
                writer.write(ANSWER)
        writer.close()


async def test_one_silent_connection_makes_the_idle_ones_suspect() -> None:
    port = free_port()
    server = SilencedServer()
    listening = await asyncio.start_server(server.serve, "127.0.0.1", port)
    calls = ServerCalls(DaemonId("d1"))
    probe = ProbeServer(ServerId("s1"), f"127.0.0.1:{port}", 1, 1, checks_fence=True)
    answers = await asyncio.gather(*(calls.perform(probe) for _ in range(4)))
    assert all(isinstance(answer, ProbeAnswered) for answer in answers)
    assert len(server.open) == 4
    server.silent = set(server.open)
    assert isinstance(await calls.perform(probe), NoAnswer)
    assert isinstance(await calls.perform(probe), ProbeAnswered)
    await calls.close()
    listening.close()
