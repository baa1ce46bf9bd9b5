"""What a client is told after several tries."""

from __future__ import annotations

from fuchsiawell.gateway.control.peers import Peers
from fuchsiawell.gateway.execute.backend_client import Target
from fuchsiawell.gateway.execute.forwarder import ClientRequest, Forwarder
from fuchsiawell.gateway.execute.outcome import Answer, NotRun, Unknown
from fuchsiawell.gateway.execute.refusal import Refusal, not_executed
from fuchsiawell.httpio import RequestHead, ResponseHead

from builders import configuration, session


class NoBody:
    held = b""
    size = 0
    idempotent = True


class Places:
    def __init__(self, *places: object) -> None:
        self._places = list(places)

    async def place(self, request: ClientRequest) -> object:
        return self._places.pop(0)

    def release(self, target: Target) -> None:
        return

    def retry_after_s(self) -> float:
        return 0.5


class Tries:
    def __init__(self, *outcomes: object) -> None:
        self._outcomes = list(outcomes)

    async def send(self, *_: object) -> object:
        return self._outcomes.pop(0)


async def serve(places: list, outcomes: list, route_number: int = 0) -> Refusal:
    made = session()
    made.configuration = configuration()
    for _ in range(20):
        made.budget.record_request("s", made.now_s)
    route = made.configuration.routes[route_number]
    head = RequestHead(b"GET", b"/a/x", [])
    now_s = made.now_s
    request = ClientRequest(head, "q", route, "s", None, NoBody(), now_s, now_s + 1.5, 0)
    relay = Forwarder(made, None, Tries(*outcomes), Places(*places), Peers(made))
    return await relay.serve(request)


TARGET = Target("i-1", "i-1/1", "127.0.0.1", 1)
REFUSED = not_executed("no servers", 0.5)
FULL = NotRun("answer", "i-1", "status 503")
LOST = Unknown("answer", "i-1", "connection reset")


async def test_after_a_try_that_may_have_run_nothing_is_told_as_not_run() -> None:
    assert (await serve([TARGET, TARGET, REFUSED], [LOST, FULL])).status == 502
    assert (await serve([TARGET, REFUSED], [LOST])).status == 502


async def test_where_no_try_has_run_the_client_is_told_so() -> None:
    assert (await serve([TARGET, REFUSED], [FULL])).status == 503
    assert (await serve([REFUSED], [])).status == 503


ANSWERED = Answer(ResponseHead(200, []), b"good")
FAILED = Answer(ResponseHead(500, []), b"failed")


async def test_a_request_that_may_repeat_is_tried_again_where_a_server_failed() -> None:
    assert await serve([TARGET, TARGET], [FAILED, ANSWERED]) == ANSWERED


async def test_the_servers_failure_stands_where_nothing_better_comes() -> None:
    assert await serve([TARGET, TARGET], [FAILED, FAILED]) == FAILED
    assert await serve([TARGET, REFUSED], [FAILED]) == FAILED
    assert await serve([TARGET, TARGET], [FAILED, LOST]) == FAILED


async def test_work_that_must_not_repeat_is_not_tried_again_where_a_server_failed() -> None:
    assert await serve([TARGET], [FAILED], route_number=1) == FAILED
