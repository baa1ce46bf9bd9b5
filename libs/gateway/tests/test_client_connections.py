"""The daemon's own timers and closes end no connection on which a request waits for its answer."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from test_frontend import FrontendHarness

from fuchsiawell.gateway.execute.outcome import Response
from fuchsiawell.httpio import ResponseHead
from fuchsiawell.standins import MemoryNetwork, run_in_virtual_time

from builders import configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REQUEST = b"GET /a/1 HTTP/1.1\r\nhost: a.example\r\n\r\n"
# More than the receive buffer of the client, less than the send buffer of the daemon.
LONG_BODY = b"x" * 200_000 + b"end"


async def _serve_long_body() -> Response:
    return Response(ResponseHead(200, [], len(LONG_BODY), False), LONG_BODY)


@asynccontextmanager
async def _raw_client(harness: FrontendHarness) -> AsyncIterator[socket.socket]:
    """Connect a client that reads only when the test does, with a small receive buffer."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(harness.frontend.create_channel, "127.0.0.1", 0)
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await loop.sock_connect(client, server.sockets[0].getsockname())
        yield client
    server.close()


async def _read_until(client: socket.socket, ending: bytes) -> bytes:
    received = b""
    while not received.endswith(ending):
        data = await asyncio.get_running_loop().sock_recv(client, 65536)
        if not data:
            break
        received += data
    return received


# Guards against LOST in issue 26: TCP_USER_TIMEOUT of 1.5 s reset the connections of clients whose
# receive window stayed full, or whose link queued packets, for longer than that.
async def test_response_reaches_a_client_that_reads_after_three_seconds() -> None:
    harness = FrontendHarness(_serve_long_body)
    async with _raw_client(harness) as client, asyncio.timeout(20):
        await asyncio.get_running_loop().sock_sendall(client, REQUEST)
        await asyncio.sleep(3.0)
        received = await _read_until(client, LONG_BODY)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(LONG_BODY)


# Guards against a connection that keeps the limits of the configuration at its start.
def test_limits_of_a_new_configuration_apply_to_open_connections() -> None:
    harness = FrontendHarness(_serve_long_body)
    initial = configuration()
    raised = replace(
        initial, version=2, limits=replace(initial.limits, idle_timeout=timedelta(seconds=40))
    )

    async def reuse_idle_connection() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        loop = asyncio.get_running_loop()
        loop.call_at(5.0, setattr, harness.session, "configuration", raised)
        await asyncio.sleep(32.0)
        client.write(REQUEST)
        assert (await client.receive()).startswith(b"HTTP/1.1 200")

    run_in_virtual_time(reuse_idle_connection())
