"""The daemon's own timers and closes end no connection on which a request waits for its answer."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

import pytest
from test_frontend import FrontendHarness

from fuchsiawell.gateway.execute.outcome import Response
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.httpio import ResponseHead
from fuchsiawell.standins import MemoryNetwork, run_in_virtual_time

from builders import configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fuchsiawell.httpio import Channel

REQUEST = b"GET /a/1 HTTP/1.1\r\nhost: a.example\r\n\r\n"
# More than the write buffer of the daemon's transport takes before a writer waits.
LONG_BODY = b"x" * 200_000 + b"end"


# Less than the transport's write buffer takes before a writer waits.
SHORT_BODY = b"y" * 50_000 + b"end"
BODY_CHUNK = b"10000\r\n" + b"z" * 0x10000 + b"\r\n"
# As many as are read before a server is chosen.
MAX_BUFFERED_CHUNKS = 16
# Iterations of the event loop, in which whatever needs no network and no timer has happened.
LOOP_TURNS = 50


async def _serve_long_body() -> Response:
    return Response(ResponseHead(200, [], len(LONG_BODY), False), LONG_BODY)


async def _serve_short_body() -> Response:
    return Response(ResponseHead(200, [], len(SHORT_BODY), False), SHORT_BODY)


@asynccontextmanager
async def _raw_client(harness: FrontendHarness) -> AsyncIterator[socket.socket]:
    """Connect a client that reads only when the test does; both ends have small buffers."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(harness.frontend.create_channel, "127.0.0.1", 0)
    # Accepted connections inherit the size.
    server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        await loop.sock_connect(client, server.sockets[0].getsockname())
        yield client
    server.close()


async def _pass_loop_turns() -> None:
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)


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


async def _receive_all(client: Channel) -> bytes:
    received = b""
    while data := await client.receive():
        received += data
    return received


async def _refuse() -> Refusal:
    return not_executed("no free capacity", 0.1)


def _refusing_harness() -> FrontendHarness:
    """Return a frontend that refuses requests before it has read all of a long body."""
    harness = FrontendHarness(_refuse)
    initial = configuration()
    harness.session.configuration = replace(
        initial, limits=replace(initial.limits, max_body_bytes=64 * 1024 * 1024)
    )
    return harness


def _stop(harness: FrontendHarness, timeout_s: float) -> asyncio.Task[None]:
    harness.session.stopping = True
    harness.frontend.close_idle()
    return asyncio.create_task(harness.frontend.wait_idle(timeout_s))


# Guards against LOST in issue 26: a request whose first bytes had arrived when the daemon closed
# its idle connections was served while the process ended.
def test_stop_waits_for_a_request_that_has_begun_to_arrive() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def stop_with_partial_request() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST[:20])
        await asyncio.sleep(0.1)
        stopping = _stop(harness, 2.0)
        await asyncio.sleep(0.5)
        assert not stopping.done()
        client.write(REQUEST[20:])
        received = await _receive_all(client)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(SHORT_BODY)
        await stopping
        assert asyncio.get_running_loop().time() < 2.0

    run_in_virtual_time(stop_with_partial_request())


# Guards against a stop that a client holds up with a head that never ends.
def test_stop_does_not_wait_longer_than_its_time_for_a_partial_request() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def stop_with_partial_request() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST[:20])
        await asyncio.sleep(0.1)
        await _stop(harness, 2.0)
        assert asyncio.get_running_loop().time() < 2.5
        assert await client.receive() == b""

    run_in_virtual_time(stop_with_partial_request())


# Guards against LOST in issue 26: a connection that was accepted as the daemon closed its idle
# connections stayed open, and its request was read while the process ended.
def test_stop_closes_a_connection_that_is_accepted_last() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def connect_and_stop() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        await _stop(harness, 2.0)
        await asyncio.sleep(0.1)
        assert client.at_eof

    run_in_virtual_time(connect_and_stop())


# Guards against the same for a connection whose response began before the stop, without an
# announcement of the close, and ends after the daemon has closed its idle connections.
async def test_stop_closes_a_connection_that_becomes_idle_late() -> None:
    harness = FrontendHarness(_serve_long_body)
    async with _raw_client(harness) as client, asyncio.timeout(10):
        await asyncio.get_running_loop().sock_sendall(client, REQUEST)
        while not harness.frontend.in_flight:
            await asyncio.sleep(0)
        await _pass_loop_turns()
        stopping = _stop(harness, 10.0)
        received = await _read_until(client, LONG_BODY)
        assert b"connection: close" not in received
        await stopping
        assert await _read_until(client, b"more") == b""


# Guards against LOST in issue 26: a response that was still in the write buffer of its connection
# when the last request had ended was lost with the process.
async def test_stop_waits_until_the_last_response_is_sent() -> None:
    harness = FrontendHarness(_serve_short_body)
    async with _raw_client(harness) as client, asyncio.timeout(20):
        await asyncio.get_running_loop().sock_sendall(client, REQUEST)
        harness.session.stopping = True
        while not harness.session.metrics.total("answers"):
            await asyncio.sleep(0)
        stopping = _stop(harness, 10.0)
        await _pass_loop_turns()
        assert not stopping.done()
        received = await _read_until(client, SHORT_BODY)
        assert received.startswith(b"HTTP/1.1 200")
        await stopping


# Guards against LOST in issue 26: the kernel resets a connection that is closed while its client
# still sends a body, and a client that reads after it has sent loses the answer.
def test_early_response_reaches_a_client_that_sends_its_body_for_three_seconds() -> None:
    harness = _refusing_harness()

    async def send_slowly() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(b"POST /a/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n")
        client.write(BODY_CHUNK * MAX_BUFFERED_CHUNKS)
        for _ in range(12):
            await asyncio.sleep(0.25)
            client.write(BODY_CHUNK)
        client.write(b"0\r\n\r\n")
        received = await _receive_all(client)
        assert received.startswith(b"HTTP/1.1 503")
        assert not harness.frontend.in_flight
        client.close()
        await asyncio.sleep(0.1)
        assert not harness.frontend._tasks

    run_in_virtual_time(send_slowly())


# Guards against a client that keeps a connection for ever by sending after its answer.
@pytest.mark.parametrize("pause_s", [0.25, 2.5])
def test_connection_with_an_early_response_is_closed_in_the_end(pause_s: float) -> None:
    harness = _refusing_harness()

    async def send_without_end() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(b"POST /a/1 HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n")
        client.write(BODY_CHUNK * MAX_BUFFERED_CHUNKS)
        with pytest.raises(ConnectionResetError):
            while asyncio.get_running_loop().time() < 60.0:
                client.write(BODY_CHUNK)
                await asyncio.sleep(pause_s)
        assert not harness.frontend._tasks

    run_in_virtual_time(send_without_end())


# Guards against the same for a head that is refused before all of it was read.
async def test_refusal_of_a_long_head_reaches_a_client_that_sends_all_of_it_first() -> None:
    harness = FrontendHarness(_serve_short_body)
    async with _raw_client(harness) as client, asyncio.timeout(10):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, REQUEST[:-2] + b"x: " + b"y" * 2_000_000 + b"\r\n\r\n")
        received = await _read_until(client, b"more")
    assert received.startswith(b"HTTP/1.1 431")


# Guards against a further request that is dropped when the response before it announces the close.
def test_request_pipelined_in_a_stop_is_answered() -> None:
    harness = FrontendHarness(_serve_short_body)
    harness.session.stopping = True

    async def send_two_requests() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST * 2)
        received = await _receive_all(client)
        first, second = received.split(SHORT_BODY)[:2]
        assert b"connection: close" not in first
        assert b"connection: close" in second

    run_in_virtual_time(send_two_requests())


# Guards against clients of HTTP/1.0 whose connection is kept open, so that their answer has no end.
def test_client_of_http_1_0_gets_a_whole_response_and_the_end_of_the_connection() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def send_request() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        received = await _receive_all(client)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"\r\n\r\n" + SHORT_BODY)

    run_in_virtual_time(send_request())


# Guards against a client that waits for 100 Continue until its request times out.
def test_client_that_expects_100_continue_gets_it_and_then_its_response() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def send_request() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST[:-2] + b"content-length: 3\r\nexpect: 100-continue\r\n\r\n")
        assert await client.receive() == b"HTTP/1.1 100 \r\n\r\n"
        client.write(b"abc")
        received = b""
        while not received.endswith(SHORT_BODY):
            received += await client.receive()
        assert received.startswith(b"HTTP/1.1 200")

    run_in_virtual_time(send_request())


# Guards against a client that is asked for a body whose length is refused.
def test_client_that_expects_100_continue_gets_a_refusal_in_its_place() -> None:
    harness = FrontendHarness(_serve_short_body)

    async def send_request() -> None:
        network = MemoryNetwork()
        network.listen("daemon", harness.frontend.accept)
        client = await network.open("client", "daemon", 5.0)
        client.write(REQUEST[:-2] + b"content-length: 2000000\r\nexpect: 100-continue\r\n\r\n")
        assert (await _receive_all(client)).startswith(b"HTTP/1.1 413")
        client.close()
        await asyncio.sleep(0.1)
        assert not harness.frontend._tasks

    run_in_virtual_time(send_request())
