from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from result import Ok

from fuchsiawell.core import (
    DaemonId,
    LamportClock,
    NotRun,
    NotRunReason,
    RequestId,
    ServiceName,
    Step,
    SystemClock,
)
from fuchsiawell.transport import (
    WINDOW_BYTES,
    AnswerHead,
    BodyCutError,
    Link,
    LinkHooks,
    PeerListener,
    Peers,
    RequestHead,
    ServerExchange,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

CLOCK = SystemClock()


def head(number: int) -> RequestHead:
    return RequestHead(
        RequestId(str(number)), ServiceName("s"), "k", "a", "GET", "/", [], 1.0, None, "caller"
    )


class Serving(LinkHooks):
    def __init__(self, serve: Callable[[ServerExchange], Awaitable[None]]) -> None:
        self.serve = serve
        self.tasks: list[asyncio.Future[None]] = []
        self.controls: list[tuple[str, str, Any]] = []

    def on_request(self, exchange: ServerExchange) -> None:
        task = asyncio.ensure_future(self._run(exchange))
        exchange.on_cancel = lambda: bool(task.cancel()) and None
        self.tasks.append(task)

    async def _run(self, exchange: ServerExchange) -> None:
        try:
            await self.serve(exchange)
        finally:
            exchange.close()

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        self.controls.append((sender, kind, body))


class Pair:
    def __init__(self) -> None:
        self.serving = Serving(self.unset)
        self.listener = PeerListener(DaemonId("b"), CLOCK, LamportClock(), self.serving)
        self.peers = Peers(DaemonId("a"), CLOCK, LamportClock(), LinkHooks())
        self.address = ""

    async def unset(self, exchange: ServerExchange) -> None:
        raise AssertionError("no request expected")

    async def link(self) -> Link:
        match await self.peers.link(DaemonId("b")):
            case Ok(link):
                return link
        raise AssertionError("no link")


@pytest.fixture
async def pair() -> AsyncIterator[Pair]:
    pair = Pair()
    port = await pair.listener.start("127.0.0.1", 0)
    pair.address = f"127.0.0.1:{port}"
    pair.peers.set_addresses({DaemonId("b"): pair.address})
    yield pair
    await pair.peers.close()
    await pair.listener.close()


async def test_answers_reach_their_own_request_in_any_order(pair: Pair) -> None:
    async def serve(exchange: ServerExchange) -> None:
        number = int(exchange.head.request_id)
        await asyncio.sleep(0.001 * (20 - number))  # the last asked is the first answered
        exchange.answer(AnswerHead(200, []), b"answer %d" % number, end=True)

    pair.serving.serve = serve
    link = await pair.link()
    exchanges = [link.open(head(number), b"", end=True) for number in range(20)]
    for number, exchange in enumerate(exchanges):
        assert await exchange.reply == AnswerHead(200, [])
        assert await exchange.next_chunk() == b"answer %d" % number
        assert await exchange.next_chunk() == b""
        exchange.close()
    assert not link.busy


async def test_a_sender_waits_for_a_receiver_that_does_not_read(pair: Pair) -> None:
    read = asyncio.Event()
    sizes: list[int] = []

    async def serve(exchange: ServerExchange) -> None:
        await read.wait()
        size = 0
        while chunk := await exchange.next_chunk():
            size += len(chunk)
        sizes.append(size)
        exchange.answer(AnswerHead(200, []), b"", end=True)

    pair.serving.serve = serve
    link = await pair.link()
    exchange = link.open(head(1), b"", end=False)
    sending = asyncio.ensure_future(exchange.send(b"x" * WINDOW_BYTES * 4, end=True))
    for _ in range(50):
        await asyncio.sleep(0)
    assert not sending.done()
    read.set()
    await sending
    await exchange.reply
    assert sizes == [WINDOW_BYTES * 4]


async def test_a_body_cut_by_the_sender_is_never_whole(pair: Pair) -> None:
    cut = asyncio.Event()

    async def serve(exchange: ServerExchange) -> None:
        try:
            while await exchange.next_chunk():
                pass
        except (BodyCutError, asyncio.CancelledError):
            cut.set()

    pair.serving.serve = serve
    link = await pair.link()
    exchange = link.open(head(1), b"half", end=False)
    await asyncio.sleep(0.01)
    exchange.close()
    await asyncio.wait_for(cut.wait(), 5)


async def test_a_lost_link_cuts_the_answer(pair: Pair) -> None:
    async def serve(exchange: ServerExchange) -> None:
        exchange.answer(AnswerHead(200, []), b"half", end=False)
        await asyncio.sleep(0.01)
        exchange.link.close("gone")

    pair.serving.serve = serve
    link = await pair.link()
    exchange = link.open(head(1), b"", end=True)
    await exchange.reply
    assert await exchange.next_chunk() == b"half"
    with pytest.raises(BodyCutError):
        await exchange.next_chunk()


async def test_an_outcome_takes_the_place_of_an_answer(pair: Pair) -> None:
    outcome = NotRun(NotRunReason.SHED, Step.ADMIT, "b", 0.5)

    async def serve(exchange: ServerExchange) -> None:
        exchange.fail(outcome)

    pair.serving.serve = serve
    link = await pair.link()
    assert await link.open(head(1), b"", end=True).reply == outcome


async def test_control_messages_carry_their_sender(pair: Pair) -> None:
    await pair.link()
    assert pair.peers.send_control(DaemonId("b"), "note", [1, "x"])
    async with asyncio.timeout(5):
        while not pair.serving.controls:
            await asyncio.sleep(0.001)
    assert pair.serving.controls == [("a", "note", [1, "x"])]


async def test_foreign_bytes_close_the_link(pair: Pair) -> None:
    host, _, port = pair.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert b"b" in await reader.read()  # the greeting, then the end
    writer.close()
