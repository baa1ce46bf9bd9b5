from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.daemon.entry.body import CallerBody
from fuchsiawell.transport import CHUNK_BYTES

if TYPE_CHECKING:
    from fuchsiawell.transport import ClientExchange

CHUNKED = [(b"transfer-encoding", b"chunked")]


class _Exchange:
    def __init__(self) -> None:
        self.sent = b""
        self.ended = False
        self.was_accepted = False

    async def accepted(self) -> None:
        self.was_accepted = True

    async def send(self, data: bytes, end: bool) -> None:
        self.sent += data
        self.ended = end


def _body(*chunks: bytes) -> CallerBody:
    messages = [
        {"type": "http.request", "body": chunk, "more_body": number < len(chunks)}
        for number, chunk in enumerate(chunks, start=1)
    ]

    async def receive() -> dict[str, Any]:
        return messages.pop(0)

    return CallerBody(receive, CHUNKED, 1 << 30, 30.0, "d1")


async def test_a_short_body_is_whole_from_the_start() -> None:
    body = _body(b"a", b"b")
    assert await body.start() is None
    assert (body.first_chunk, body.whole) == (b"ab", True)


async def test_the_first_part_of_a_long_body_is_not_whole_even_once_the_rest_was_sent() -> None:
    first = b"x" * CHUNK_BYTES
    body = _body(first, b"y" * 10, b"z")
    assert await body.start() is None
    assert (body.first_chunk, body.whole) == (first, False)
    exchange = _Exchange()
    await body.pump(cast("ClientExchange", exchange))
    assert (exchange.sent, exchange.ended) == (b"y" * 10 + b"z", True)
    assert exchange.was_accepted
    assert not body.replayable
    assert not body.whole
