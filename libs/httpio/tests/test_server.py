"""Server connections with well-formed, malformed, slow and disconnecting clients."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.httpio import BadRequestError, Channel, HeadLimits, ServerConnection
from fuchsiawell.standins import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LIMITS = HeadLimits(idle_timeout_s=30.0, head_timeout_s=30.0, max_header_bytes=2000)


@asynccontextmanager
async def client_connected(
    limits: HeadLimits = LIMITS,
) -> AsyncIterator[tuple[ServerConnection, asyncio.StreamReader, asyncio.StreamWriter]]:
    channels: asyncio.Queue[Channel] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Channel(channels.put_nowait), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    channel = await channels.get()
    try:
        yield ServerConnection(channel, lambda: limits), reader, writer
    finally:
        channel.abort()
        writer.close()
        server.close()


async def read_body(connection: ServerConnection) -> bytes:
    body = b""
    while (chunk := await connection.read_body_chunk()) is not None:
        body += chunk
    return body


async def test_successive_requests_on_one_connection_are_served() -> None:
    async with client_connected() as (connection, reader, writer):
        for number in (b"1", b"2"):
            writer.write(
                b"POST /" + number + b" HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
            )
            head = await connection.next_request()
            assert head is not None
            assert head.target == b"/" + number
            assert await read_body(connection) == b"abc"
            await connection.send_response(200, [], b"ok", close_after=False)
            assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")


async def test_a_chunked_body_is_read_completely() -> None:
    async with client_connected() as (connection, _, writer):
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        await connection.next_request()
        assert connection.body_length is None
        assert await read_body(connection) == b"abcde"
        assert connection.body_complete


# Guards against closing connections after refusals of requests that were read whole: an unread
# body makes the daemon close, and a request without a body has none to read.
@pytest.mark.parametrize("fields", [b"", b"content-length: 0\r\n"])
async def test_a_request_without_a_body_is_complete_with_its_head(fields: bytes) -> None:
    async with client_connected() as (connection, reader, writer):
        for number in (b"1", b"2"):
            writer.write(b"GET /" + number + b" HTTP/1.1\r\nhost: a\r\n" + fields + b"\r\n")
            head = await connection.next_request()
            assert head is not None
            assert head.target == b"/" + number
            assert connection.body_complete
            assert await connection.read_body_chunk() is None
            await connection.send_response(404, [], b"no", close_after=False)
            assert (await reader.readuntil(b"no")).startswith(b"HTTP/1.1 404")


async def test_a_request_with_a_body_is_not_complete_with_its_head() -> None:
    async with client_connected() as (connection, _, writer):
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n")
        writer.write(b"content-length: 0\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
        await connection.next_request()
        assert not connection.body_complete
        assert await read_body(connection) == b"abc"


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 3000,
    ],
)
async def test_a_malformed_or_too_large_head_is_refused_with_400_or_431(data: bytes) -> None:
    async with client_connected() as (connection, _, writer):
        writer.write(data)
        with pytest.raises(BadRequestError) as caught:
            await connection.next_request()
        assert caught.value.status in (400, 431)


async def test_next_request_is_none_when_the_client_closes_between_requests() -> None:
    async with client_connected() as (connection, _, writer):
        writer.close()
        assert await connection.next_request() is None


async def test_a_disconnect_inside_a_body_raises_a_connection_error() -> None:
    async with client_connected() as (connection, _, writer):
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        await connection.next_request()
        writer.close()
        with pytest.raises(ConnectionError):
            await read_body(connection)


async def test_a_head_timeout_is_refused_with_408() -> None:
    limits = HeadLimits(idle_timeout_s=30.0, head_timeout_s=0.01, max_header_bytes=2000)
    async with client_connected(limits) as (connection, _, writer):
        writer.write(b"GET / HT")
        with pytest.raises(BadRequestError) as caught:
            await connection.next_request()
        assert caught.value.status == 408


async def test_a_response_with_close_after_ends_the_connection() -> None:
    async with client_connected() as (connection, reader, writer):
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        await connection.next_request()
        await read_body(connection)
        await connection.send_response(503, [], b"", close_after=True)
        assert b"connection: close" in await reader.readuntil(b"\r\n\r\n")
        assert await connection.next_request() is None


# Guards against LOST in issue 26: on a slow host the idle timeout fires in the iteration of the
# event loop that reads the request, which was dropped with its connection.
def test_a_request_read_as_the_idle_timeout_fires_is_returned() -> None:
    async def read_request() -> None:
        channel = Channel()
        connection = ServerConnection(channel, lambda: LIMITS)
        _deliver_at(LIMITS.idle_timeout_s, channel, b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/late"

    run_in_virtual_time(read_request())


# Guards against a request that is dropped with its connection because it reaches the host while the
# event loop is held up and the idle timeout fires: the read of its socket is due in the iteration
# that ends the wait (issue 26).
def test_a_request_that_arrives_as_the_idle_timeout_fires_is_returned() -> None:
    async def read_request() -> None:
        channel = Channel()
        connection = ServerConnection(channel, lambda: LIMITS)
        loop = asyncio.get_running_loop()
        # In the iteration in which the timeout fires, after it.
        loop.call_at(
            loop.time() + LIMITS.idle_timeout_s + 1e-10,
            lambda: loop.call_soon(channel.data_received, b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n"),
        )
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/late"

    run_in_virtual_time(read_request())


# Guards against refusing a request with 408 whose last bytes are read as the timeout fires.
def test_a_head_completed_as_its_timeout_fires_is_returned() -> None:
    async def read_request() -> None:
        channel = Channel()
        connection = ServerConnection(channel, lambda: LIMITS)
        channel.data_received(b"GET /late HTTP/1.1\r\n")
        _deliver_at(LIMITS.head_timeout_s, channel, b"host: a\r\n\r\n")
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/late"

    run_in_virtual_time(read_request())


@dataclass
class ChangingLimits:
    """Limits of a configuration that is replaced by another."""

    current: HeadLimits

    def __call__(self) -> HeadLimits:
        return self.current


# Guards against LOST in issue 26: a connection kept the limits of the configuration that was in
# force when it was accepted, so requests that the newest one allows were closed or refused.
def test_a_raised_idle_timeout_applies_to_an_idle_connection() -> None:
    async def read_request() -> None:
        limits = ChangingLimits(HeadLimits(10.0, 3.0, 2000))
        channel = Channel()
        connection = ServerConnection(channel, limits)
        loop = asyncio.get_running_loop()
        loop.call_at(9.0, setattr, limits, "current", HeadLimits(30.0, 3.0, 2000))
        loop.call_at(24.0, channel.data_received, b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/late"
        assert loop.time() == 24.0
        while await connection.read_body_chunk() is not None:
            pass

    run_in_virtual_time(read_request())


# Guards against a connection that stays open for the sum of the old and the raised idle timeout.
def test_a_raised_idle_timeout_counts_from_the_last_request() -> None:
    async def read_request() -> None:
        limits = ChangingLimits(HeadLimits(10.0, 3.0, 2000))
        connection = ServerConnection(Channel(), limits)
        loop = asyncio.get_running_loop()
        loop.call_at(9.0, setattr, limits, "current", HeadLimits(30.0, 3.0, 2000))
        assert await connection.next_request() is None
        assert loop.time() == pytest.approx(30.0)

    run_in_virtual_time(read_request())


# Guards against 408 for a head that takes as long as the newest configuration allows.
def test_a_raised_header_timeout_applies_to_a_head_that_has_begun() -> None:
    async def read_request() -> None:
        limits = ChangingLimits(HeadLimits(10.0, 3.0, 2000))
        channel = Channel()
        connection = ServerConnection(channel, limits)
        channel.data_received(b"GET /slow HTTP/1.1\r\n")
        loop = asyncio.get_running_loop()
        loop.call_at(1.0, setattr, limits, "current", HeadLimits(10.0, 8.0, 2000))
        loop.call_at(7.0, channel.data_received, b"host: a\r\n\r\n")
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/slow"

    run_in_virtual_time(read_request())


# Guards against 431 for a head whose size the newest configuration allows.
@pytest.mark.parametrize("raised_at_s", [1.0, 5.0])
def test_a_raised_header_size_applies_to_an_open_connection(raised_at_s: float) -> None:
    async def read_request() -> None:
        limits = ChangingLimits(HeadLimits(10.0, 8.0, 2000))
        channel = Channel()
        connection = ServerConnection(channel, limits)
        loop = asyncio.get_running_loop()
        loop.call_at(raised_at_s, setattr, limits, "current", HeadLimits(10.0, 8.0, 6000))
        loop.call_at(2.0, channel.data_received, b"GET /long HTTP/1.1\r\nhost: a\r\n")
        loop.call_at(6.0, channel.data_received, b"x: " + b"y" * 4000)
        loop.call_at(7.0, channel.data_received, b"\r\n\r\n")
        head = await connection.next_request()
        assert head is not None
        assert head.target == b"/long"
        assert len(dict(head.fields)[b"x"]) == 4000

    run_in_virtual_time(read_request())


# Guards against a limit that no longer applies once it was raised.
def test_a_head_over_the_raised_header_size_is_refused_with_431() -> None:
    async def read_request() -> None:
        limits = ChangingLimits(HeadLimits(10.0, 8.0, 2000))
        channel = Channel()
        connection = ServerConnection(channel, limits)
        limits.current = HeadLimits(10.0, 8.0, 6000)
        channel.data_received(b"GET /long HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 6000)
        with pytest.raises(BadRequestError) as caught:
            await connection.next_request()
        assert caught.value.status == 431

    run_in_virtual_time(read_request())


def _deliver_at(time_s: float, channel: Channel, data: bytes) -> None:
    """Deliver data in the same iteration of the loop as a timer of `time_s`, just before it."""
    asyncio.get_running_loop().call_at(time_s - 5e-10, channel.data_received, data)
