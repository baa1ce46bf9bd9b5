"""A client is answered whatever breaks behind the front."""

from __future__ import annotations

import asyncio
import io
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.gateway.execute.forwarder import ClientRequest
from fuchsiawell.gateway.execute.frontend import Frontend
from fuchsiawell.gateway.session.state import Session
from fuchsiawell.httpio import Channel, RequestHead, connect

from builders import configuration, settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from fuchsiawell.gateway.execute.body import Body
    from fuchsiawell.httpio import ClientConnection

GET = RequestHead(b"GET", b"/a/1", [(b"host", b"a.example")])


class FakeProtocol:
    """Adds nothing to answers."""

    def refusal_fields(self, *_: object) -> list[tuple[bytes, bytes]]:
        return []


class FakeRelay:
    """Takes every request and does with it what the test says."""

    def __init__(self, serve: Callable[[], Awaitable[Any]]) -> None:
        self._serve = serve
        self.maybe_ran = False

    def accept(self, head: RequestHead, body: Body, now_s: float) -> ClientRequest:
        route = configuration().routes[0]
        request = ClientRequest(head, "r-1", route, "s", None, body, now_s, now_s + 5.0, 0)
        request.maybe_ran = self.maybe_ran
        return request

    async def serve(self, request: ClientRequest) -> object:
        return await self._serve()


class Bed:
    """A front on a loopback port, and its log."""

    def __init__(self, serve: Callable[[], Awaitable[Any]]) -> None:
        clock, lamport, self.log = ManualClock(1000.0), LamportClock(), io.StringIO()
        log = open_event_log("d-1", clock, lamport, stream=self.log)
        self.session = Session(settings(), "start-1", clock, Random(1), log, lamport)
        self.session.configuration = configuration()
        self.relay = FakeRelay(serve)
        self.front = Frontend(self.session, cast("Any", self.relay), cast("Any", FakeProtocol()))

    @asynccontextmanager
    async def client(self) -> AsyncIterator[ClientConnection]:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Channel(self.front.accept), "127.0.0.1", 0)
        client = await connect("127.0.0.1", server.sockets[0].getsockname()[1], 5.0)
        try:
            yield client
        finally:
            client.close()
            server.close()


async def _awaits_a_cancelled_future() -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def _breaks_elsewhere() -> None:
    raise ConnectionResetError("another connection was reset")


async def _fails() -> None:
    raise KeyError("a fault of our own")


@pytest.mark.parametrize("fault", [_awaits_a_cancelled_future, _breaks_elsewhere, _fails])
async def test_a_fault_behind_the_front_is_answered_and_logged(
    fault: Callable[[], Awaitable[Any]],
) -> None:
    bed = Bed(fault)
    async with bed.client() as client, asyncio.timeout(5):
        answer = await client.start(GET, 0).read_response_head(lambda _: True)
    assert answer.status == 502
    assert '"internal error"' in bed.log.getvalue()
    assert "r-1" in bed.log.getvalue()


async def test_a_client_that_leaves_ends_its_request_and_is_logged() -> None:
    ended = asyncio.Event()

    async def waits() -> None:
        try:
            await asyncio.sleep(60)
        finally:
            ended.set()

    bed = Bed(waits)
    async with bed.client() as client, asyncio.timeout(5):
        client.start(GET, 0)
        while not bed.front.busy:
            await asyncio.sleep(0)
        client.close()
        await ended.wait()
        while bed.front.busy:
            await asyncio.sleep(0)
    assert "client left" in bed.log.getvalue()
    assert "internal error" not in bed.log.getvalue()


async def test_a_request_that_has_begun_to_arrive_outlives_the_close_of_idle_connections() -> None:
    async def answers() -> object:
        raise KeyError("answered all the same")

    bed = Bed(answers)
    async with bed.client() as client, asyncio.timeout(5):
        client.channel.write(b"GET /a/1 HTTP/1.1\r\nhost: a.ex")
        await _begun(bed)
        bed.front.close_idle()
        client.channel.write(b"ample\r\n\r\n")
        received = await client.channel.receive()
    assert received.startswith(b"HTTP/1.1 502")


async def _begun(bed: Bed) -> None:
    while not any(connection.next_request_started for connection in bed.front._idle.values()):
        await asyncio.sleep(0)


@pytest.mark.parametrize(("maybe_ran", "status"), [(True, b"504"), (False, b"503")])
async def test_a_stop_answers_what_it_ends(maybe_ran: bool, status: bytes) -> None:
    async def waits() -> None:
        await asyncio.sleep(60)

    bed = Bed(waits)
    bed.relay.maybe_ran = maybe_ran
    async with bed.client() as client, asyncio.timeout(5):
        client.start(GET, 0)
        while not bed.front.busy:
            await asyncio.sleep(0)
        bed.session.stopping = True
        await bed.front.wait_idle(0.0)
        received = await client.channel.receive()
    assert received.startswith(b"HTTP/1.1 " + status)
