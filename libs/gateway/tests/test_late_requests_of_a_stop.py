"""Requests that come late in a planned stop end before it does, or are not sent to a server.

A client that sends its next request before the response to the last one has come keeps its
connection open until the stop ends. Its requests were passed on until then and cut at the server's
work, without an answer or with a 504, among them some that must not be repeated.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

import pytest
from test_frontend import FrontendHarness

from fuchsiawell.gateway.execute.client_request import ClientRequest
from fuchsiawell.gateway.execute.forwarder import Forwarder
from fuchsiawell.gateway.execute.frontend import FINAL_RESPONSE_TIMEOUT_S
from fuchsiawell.gateway.execute.outcome import Response
from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.gateway.execute.request_timing import RequestTiming
from fuchsiawell.httpio import RequestHead, ResponseHead
from fuchsiawell.standins import MemoryNetwork, VirtualClock, run_in_virtual_time

from builders import configuration, session

if TYPE_CHECKING:
    from fuchsiawell.httpio import Channel

REQUEST = b"GET /a/1 HTTP/1.1\r\nhost: a.example\r\n\r\n"
GRACE_S = 5.0
LISTEN_S = 2.65


class StopSite:
    """A frontend in virtual time whose server needs some time for each request."""

    def __init__(self, service_s: float) -> None:
        self.harness = FrontendHarness(self._serve)
        self.harness.session.clock = cast("Any", VirtualClock())
        self.service_s = service_s
        self.started = self.finished = 0
        self.statuses: list[int] = []
        self.network = MemoryNetwork()
        self.network.listen("daemon", self.harness.frontend.accept)

    async def _serve(self) -> Response:
        self.started += 1
        await asyncio.sleep(self.service_s)
        self.finished += 1
        return Response(ResponseHead(200, [], 2), b"ok")

    async def stop(self) -> None:
        """Stop as the application does."""
        gateway_session, frontend = self.harness.session, self.harness.frontend
        gateway_session.stopping = True
        gateway_session.requests_end_s = gateway_session.now_s + GRACE_S
        await asyncio.sleep(LISTEN_S)
        frontend.close_idle()
        await frontend.wait_idle(gateway_session.requests_end_s - gateway_session.now_s)
        # The process ends.
        for connection in list(frontend._tasks):
            connection.cancel()

    async def send_ahead(self, ahead: int) -> tuple[int, int]:
        """Send requests on one connection, some ahead; return how many were sent and answered."""
        client = await self.network.open("client", "daemon", 5.0)
        sent = answered = 0
        received = b""
        while not client.at_eof:
            while sent < answered + 1 + ahead and not client.at_eof:
                client.write(REQUEST)
                sent += 1
            data = await client.receive()
            if not data:
                break
            received += data
            answered = received.count(b"HTTP/1.1 ")
        for line in received.split(b"HTTP/1.1 ")[1:]:
            self.statuses.append(int(line[:3]))
        return sent, answered


@pytest.mark.parametrize("service_s", [0.02, 0.2, 0.7])
@pytest.mark.parametrize("connections", [1, 8])
def test_requests_sent_ahead_are_served_or_refused_before_the_end(
    service_s: float, connections: int
) -> None:
    async def scenario() -> None:
        site = StopSite(service_s)
        clients = [asyncio.create_task(site.send_ahead(2)) for _ in range(connections)]
        await asyncio.sleep(1.0)
        started_s = asyncio.get_running_loop().time()
        await site.stop()
        ended_s = asyncio.get_running_loop().time()
        assert ended_s - started_s <= GRACE_S + FINAL_RESPONSE_TIMEOUT_S + 0.01
        await asyncio.gather(*clients)
        assert site.started == site.finished == site.statuses.count(200)
        assert set(site.statuses) <= {200, 503}

    run_in_virtual_time(scenario())


# Guards against a slow upload that is sent to a server when the stop is about to end it.
def test_request_whose_body_arrives_late_is_not_sent_to_a_server() -> None:
    async def scenario() -> None:
        site = StopSite(0.2)
        client: Channel = await site.network.open("client", "daemon", 5.0)
        stopping = asyncio.create_task(site.stop())
        await asyncio.sleep(1.0)
        client.write(b"POST /a/1 HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nab")
        await asyncio.sleep(GRACE_S - 1.3)
        client.write(b"cd")
        received = await client.receive()
        assert received.startswith(b"HTTP/1.1 503")
        assert site.started == 0
        await stopping

    run_in_virtual_time(scenario())


class _QueuedPlacement:
    """Finds a server after a while."""

    def __init__(self, gateway_session: Any) -> None:
        self.session = gateway_session
        self.released = 0

    async def place(self, _request: ClientRequest) -> object:
        self.session.requests_end_s = self.session.now_s + 0.5
        return object()

    def release(self, _target: object) -> None:
        self.released += 1


# Guards against a queued request that gets its place when the stop is about to end it; what an
# earlier attempt may have executed is not called unexecuted.
@pytest.mark.parametrize(("maybe_executed", "status"), [(False, 503), (True, 502)])
async def test_request_that_is_placed_late_is_not_sent_to_a_server(
    maybe_executed: bool, status: int
) -> None:
    gateway_session = session()
    placement = _QueuedPlacement(gateway_session)
    forwarder = Forwarder(
        gateway_session, *cast("Any", (None, None, placement, None)), relaying=None
    )
    now_s = gateway_session.now_s
    route = configuration().routes[0]
    head = RequestHead(b"GET", b"/a/1", [])
    request = ClientRequest(head, "r", route, "s", None, cast("Any", None), now_s, now_s + 5.0, 0)
    request.maybe_executed = maybe_executed
    result = await forwarder._serve_with_retries(request)
    assert isinstance(result, Refusal)
    assert result.status == status
    assert placement.released == 1


def test_requests_that_end_by_their_deadline_are_taken_in_a_stop() -> None:
    gateway_session = session()
    timing = RequestTiming(gateway_session)
    now_s = gateway_session.now_s
    route = configuration().routes[0]
    request = ClientRequest(
        RequestHead(b"GET", b"/a/1", []),
        "r",
        route,
        "s",
        None,
        cast("Any", None),
        now_s,
        now_s + 3.0,
        0,
    )
    assert timing.ends_before_stop(request)
    gateway_session.requests_end_s = now_s + 3.0
    assert timing.ends_before_stop(request)
    gateway_session.requests_end_s = now_s + 2.0
    assert timing.ends_before_stop(request)
    gateway_session.requests_end_s = now_s + 0.1
    assert not timing.ends_before_stop(request)
