"""Answers as real servers give them: whole, cut, unframed, stray, early."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from fuchsiawell.httpio import (
    Channel,
    ClientConnection,
    InvalidResponseError,
    RequestHead,
    ResponseHead,
    connect,
    end_to_end_fields,
    first_value,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = RequestHead(b"GET", b"/x", [(b"host", b"a"), (b"request-id", b"mine")])
ANSWER = b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: %d\r\n\r\n%s"


def answer(request_id: bytes, body: bytes) -> bytes:
    return ANSWER % (request_id, len(body), body)


@asynccontextmanager
async def scripted(*replies: bytes, end: bool = False) -> AsyncIterator[ClientConnection]:
    """Serve one connection whose requests get these bytes in turn."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in replies:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
        if end:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await connect("127.0.0.1", server.sockets[0].getsockname()[1], 5.0)
    try:
        yield connection
    finally:
        connection.abort()
        server.close()


def mine(head: ResponseHead) -> bool:
    return first_value(head.fields, b"request-id") == b"mine"


async def ask(connection: ClientConnection, head: RequestHead = HEAD) -> tuple[bytes, bool]:
    exchange = connection.start(head, 0)
    await exchange.finish_body()
    await exchange.read_response_head(mine)
    body = b""
    while (piece := await exchange.read_body_chunk()) is not None:
        body += piece
    return body, exchange.reusable


async def test_a_whole_answer_leaves_the_connection_usable() -> None:
    async with scripted(answer(b"mine", b"one"), answer(b"mine", b"two")) as connection:
        assert await ask(connection) == (b"one", True)
        assert await ask(connection) == (b"two", True)


async def test_a_late_answer_to_an_earlier_request_is_skipped() -> None:
    stray = answer(b"earlier", b"stray") + answer(b"mine", b"own")
    async with scripted(stray) as connection:
        assert await ask(connection) == (b"own", False)


async def test_bytes_behind_an_answer_spoil_the_connection() -> None:
    async with scripted(answer(b"mine", b"own") + answer(b"mine", b"again")) as connection:
        assert await ask(connection) == (b"own", False)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        b"\x16\x03\x01 this is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nrequest-id: mi",
    ],
)
async def test_an_answer_that_is_not_whole_never_looks_whole(reply: bytes) -> None:
    async with scripted(reply, end=True) as connection:
        with pytest.raises((InvalidResponseError, ConnectionError)):
            await ask(connection)


async def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    reply = b"HTTP/1.1 200 OK\r\nrequest-id: mine\r\n\r\nto the end"
    async with scripted(reply, end=True) as connection:
        assert await ask(connection) == (b"to the end", False)


async def test_an_answer_without_a_length_that_is_reset_is_not_whole() -> None:
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
    exchange = connection.start(HEAD, 0)
    await exchange.finish_body()
    await exchange.read_response_head(mine)
    assert await exchange.read_body_chunk() == b"part"
    reset.set()
    with pytest.raises((InvalidResponseError, ConnectionError)):
        await exchange.read_body_chunk()
    server.close()


async def test_an_early_answer_to_an_unfinished_body_spoils_the_connection() -> None:
    async with scripted(answer(b"mine", b"no need")) as connection:
        post = RequestHead(b"POST", b"/x", HEAD.fields)
        exchange = connection.start(post, 1000)
        await exchange.send_body_chunk(b"part")
        await exchange.read_response_head(mine)
        assert await exchange.read_body_chunk() == b"no need"
        assert await exchange.read_body_chunk() is None
        assert not exchange.reusable


def test_fields_of_one_connection_do_not_pass() -> None:
    fields = [
        (b"connection", b"close, X-Private"),
        (b"x-private", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"keep-alive", b"timeout=5"),
        (b"x-other", b"2"),
    ]
    assert end_to_end_fields(fields) == [(b"x-other", b"2")]
    assert end_to_end_fields(fields, frozenset({b"x-other"})) == []
