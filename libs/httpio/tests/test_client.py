"""Responses that a client reads: complete, truncated, close-delimited, stray and early ones."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.httpio import (
    Channel,
    ClientConnection,
    Exchange,
    InvalidResponseError,
    RequestHead,
    ResponseHead,
    connect,
    end_to_end_fields,
    first_value,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REQUEST_HEAD = RequestHead(b"GET", b"/x", [(b"host", b"a"), (b"request-id", b"mine")])
RESPONSE = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: %d\r\n\r\n%s"


def response(request_id: bytes, body: bytes) -> bytes:
    return RESPONSE % (request_id, len(body), body)


@asynccontextmanager
async def server_sending(*responses: bytes, close: bool = False) -> AsyncIterator[ClientConnection]:
    """Yield a connection to a server that sends `responses` to successive requests."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for data in responses:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
        if close:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await connect("127.0.0.1", server.sockets[0].getsockname()[1], 5.0)
    try:
        yield connection
    finally:
        connection.abort()
        server.close()


def is_expected(head: ResponseHead) -> bool:
    return first_value(head.fields, b"request-id") == b"mine"


async def read_response(
    connection: ClientConnection, head: RequestHead = REQUEST_HEAD
) -> tuple[bytes, bool]:
    exchange = connection.start(head, 0)
    await exchange.finish_body()
    await exchange.read_response_head(is_expected)
    body = b""
    while (chunk := await exchange.read_body_chunk()) is not None:
        body += chunk
    return body, exchange.reusable


async def test_a_complete_response_leaves_the_connection_reusable() -> None:
    async with server_sending(response(b"mine", b"one"), response(b"mine", b"two")) as connection:
        assert await read_response(connection) == (b"one", True)
        assert await read_response(connection) == (b"two", True)


async def test_a_late_response_to_an_earlier_request_is_skipped() -> None:
    stray = response(b"earlier", b"stray") + response(b"mine", b"own")
    async with server_sending(stray) as connection:
        assert await read_response(connection) == (b"own", False)


async def test_extra_bytes_after_a_response_make_the_connection_unusable() -> None:
    async with server_sending(
        response(b"mine", b"own") + response(b"mine", b"again")
    ) as connection:
        assert await read_response(connection) == (b"own", False)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        b"\x16\x03\x01 this is no answer\r\n\r\n",
        b"HTTP/1.1 000 Odd\r\nrequest-id: mine\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 600 Odd\r\nrequest-id: mine\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nrequest-id: mi",
    ],
)
async def test_a_malformed_or_truncated_response_raises_an_error(data: bytes) -> None:
    async with server_sending(data, close=True) as connection:
        with pytest.raises((InvalidResponseError, ConnectionError)):
            await read_response(connection)


async def test_a_close_delimited_response_ends_with_its_connection() -> None:
    data = b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\n\r\nto the end"
    async with server_sending(data, close=True) as connection:
        assert await read_response(connection) == (b"to the end", False)


async def test_a_reset_inside_a_close_delimited_response_raises_an_error() -> None:
    reset = asyncio.Event()

    def accept(channel: Channel) -> None:
        async def serve() -> None:
            await channel.receive()
            await channel.send(b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\n\r\npart")
            await reset.wait()
            channel.abort()

        tasks.append(asyncio.get_running_loop().create_task(serve()))

    tasks: list[asyncio.Task[None]] = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Channel(accept), "127.0.0.1", 0)
    connection = await connect("127.0.0.1", server.sockets[0].getsockname()[1], 5.0)
    exchange = connection.start(REQUEST_HEAD, 0)
    await exchange.finish_body()
    await exchange.read_response_head(is_expected)
    assert await exchange.read_body_chunk() == b"part"
    reset.set()
    with pytest.raises((InvalidResponseError, ConnectionError)):
        await exchange.read_body_chunk()
    server.close()


async def test_a_response_before_the_end_of_the_request_body_makes_the_connection_unusable() -> (
    None
):
    async with server_sending(response(b"mine", b"no need")) as connection:
        post = RequestHead(b"POST", b"/x", REQUEST_HEAD.fields)
        exchange = connection.start(post, 1000)
        await exchange.send_body_chunk(b"part")
        await exchange.read_response_head(is_expected)
        assert await exchange.read_body_chunk() == b"no need"
        assert await exchange.read_body_chunk() is None
        assert not exchange.reusable


# More than is buffered before reading pauses; the kernel's buffers take the rest.
LONG_BODY = b"x" * 600_000
# Longer than the interval at which a paused connection is checked.
SLOW_READER_S = 0.5


# Guards against LOST: a response was cut off that had arrived whole before its server reset the
# connection, as a server does that closes before it has read the whole request.
@pytest.mark.parametrize("missing_bytes", [0, 1])
async def test_what_arrived_before_a_reset_is_read_late(missing_bytes: int) -> None:
    arrived = asyncio.Event()
    aborted = asyncio.Event()

    def accept(channel: Channel) -> None:
        async def serve() -> None:
            await channel.receive()
            head = b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: %d\r\n\r\n"
            channel.write(head % (len(LONG_BODY) + missing_bytes) + LONG_BODY)
            await arrived.wait()
            channel.abort()
            aborted.set()

        tasks.append(asyncio.get_running_loop().create_task(serve()))

    tasks: list[asyncio.Task[None]] = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Channel(accept), "127.0.0.1", 0)
    connection = await connect("127.0.0.1", server.sockets[0].getsockname()[1], 5.0)
    exchange = connection.start(REQUEST_HEAD, 0)
    await exchange.finish_body()
    await exchange.read_response_head(is_expected)
    body = await exchange.read_body_chunk() or b""
    # The kernels pass on what is left meanwhile.
    await asyncio.sleep(SLOW_READER_S)
    arrived.set()
    await aborted.wait()
    await asyncio.sleep(SLOW_READER_S)
    error = ""
    try:
        while (chunk := await exchange.read_body_chunk()) is not None:
            body += chunk
    except ConnectionError as reset:
        error = type(reset).__name__
    assert len(body) == len(LONG_BODY)
    assert error == ("ConnectionResetError" if missing_bytes else "")
    connection.abort()
    server.close()


# Guards against a server's early response that is lost because more of the request was written
# before the response was read: the write fails, and the event loop closes the connection.
async def test_response_before_a_reset_is_read_after_a_failed_write() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        connection = await connect("127.0.0.1", listener.getsockname()[1], 5.0)
        accepted, _ = listener.accept()
    post = RequestHead(b"POST", b"/x", REQUEST_HEAD.fields)
    exchange = connection.start(post, 2000)
    await exchange.send_body_chunk(bytes(1000))
    # Both arrive before the event loop runs again.
    accepted.sendall(response(b"mine", b"early"))
    # The request has not been read, so that this resets the connection.
    accepted.close()
    with pytest.raises(ConnectionError):
        for _ in range(2):
            await exchange.send_body_chunk(bytes(500))
            await asyncio.sleep(0)
    await exchange.read_response_head(is_expected)
    assert await exchange.read_body_chunk() == b"early"
    connection.abort()


class NullTransport(asyncio.Transport):
    """Drops what is written and is never closed."""

    def write(self, data: object) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


def exchange_receiving(data: bytes) -> Exchange:
    """Return an exchange whose connection has received `data` already."""
    channel = Channel()
    channel.connection_made(NullTransport())
    exchange = ClientConnection(channel, "server").start(REQUEST_HEAD, 0)
    channel.data_received(data)
    return exchange


INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ENDLESS_STRAY = b"HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 1000000000\r\n\r\n"


# Guards against responses that are skipped without a bound, until the deadline of the request.
@pytest.mark.parametrize(
    "data",
    [
        INTERIM_RESPONSE * 100,
        response(b"earlier", b"stray") * 100,
        ENDLESS_STRAY + b"x" * 2 * 1024 * 1024,
    ],
)
async def test_skipped_responses_without_end_raise_an_error(data: bytes) -> None:
    async with asyncio.timeout(5):
        with pytest.raises(InvalidResponseError, match="without end"):
            await exchange_receiving(data).read_response_head(is_expected)


async def test_some_interim_and_stray_responses_are_skipped() -> None:
    data = (INTERIM_RESPONSE + response(b"earlier", b"stray")) * 4 + response(b"mine", b"own")
    exchange = exchange_receiving(data)
    assert (await exchange.read_response_head(is_expected)).status == 200
    assert await exchange.read_body_chunk() == b"own"


# Guards against one connection that keeps the event loop from all others: a full receive buffer
# holds tens of thousands of the smallest chunks.
async def test_reading_many_small_chunks_lets_other_tasks_run() -> None:
    chunk_count = 10_000
    data = b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ntransfer-encoding: chunked\r\n\r\n"
    exchange = exchange_receiving(data + b"1\r\nx\r\n" * chunk_count)
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    counter = asyncio.create_task(count_turns())
    await exchange.read_response_head(is_expected)
    for _ in range(chunk_count):
        assert await exchange.read_body_chunk() == b"x"
    counter.cancel()
    # At least one turn of another task for 100 chunks, some 10 ms of work.
    assert turns >= chunk_count // 100


def test_hop_by_hop_fields_and_dropped_fields_are_not_forwarded() -> None:
    fields = [
        (b"connection", b"close, X-Private"),
        (b"x-private", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"keep-alive", b"timeout=5"),
        (b"x-other", b"2"),
    ]
    assert end_to_end_fields(fields) == [(b"x-other", b"2")]
    assert end_to_end_fields(fields, frozenset({b"x-other"})) == []


# Guards against requests that cannot be forwarded: HTTP/1.1 requires the field `host`, which a
# client may list in `connection`, or not send at all in HTTP/1.0 (issue 26).
async def test_request_is_sent_with_a_host_field() -> None:
    fields = [(b"host", b"a"), (b"x-one", b"1"), (b"connection", b"Host, x-one")]
    assert end_to_end_fields(fields) == [(b"host", b"a")]
    async with server_sending(response(b"mine", b"good")) as connection:
        exchange = connection.start(RequestHead(b"GET", b"/x", [(b"request-id", b"mine")]), 0)
        await exchange.finish_body()
        assert (await exchange.read_response_head(lambda _: True)).status == 200


# Guards against errors that no caller expects when a server's entry names an address that no
# socket accepts: they ended the granting of a service, or a daemon's datagrams (issue 26).
@pytest.mark.parametrize(
    ("host", "port"),
    [("127.0.0.1", 65536), ("127.0.0.1", -1), ("a" * 70, 80), ("a..b", 80), ("a\x00b", 80)],
)
async def test_unusable_address_raises_os_error(host: str, port: int) -> None:
    with pytest.raises(OSError, match="address"):
        await connect(host, port, 2.0)
