from __future__ import annotations

import socket
from typing import Any

import pytest
from callers import ask
from cell import address

from fuchsiawell.daemon.embedded_server import EmbeddedServer


class DelayOption:
    """Answer with the connection's TCP_NODELAY."""

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        transport = receive.__self__.transport
        value = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"1" if value else b"0"})


async def test_small_writes_are_not_delayed() -> None:
    where = address()
    server = EmbeddedServer(DelayOption(), where, http="httptools")
    await server.start()
    answer = await ask(where, "/")
    await server.stop()
    assert answer.body == b"1"


async def test_a_port_that_is_taken_is_an_error_and_not_the_end_of_the_process() -> None:
    where = address()
    with socket.socket() as taken:
        taken.bind((where.host, where.port))
        with pytest.raises(OSError, match="in use"):
            await EmbeddedServer(DelayOption(), where).start()
