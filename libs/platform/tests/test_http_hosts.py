from __future__ import annotations

import msgpack
from result import Ok
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import ENTRY_ROLE, AnswerLost, Host, HostState, HttpHostList
from fuchsiawell.platform.http_hosts import HostModel
from fuchsiawell.standins.hosts_server import hosts_app
from fuchsiawell.standins.lagged import Lagged
from fuchsiawell.standins.serving import running


def _host(id: str, state: str = "live") -> HostModel:
    return HostModel(
        id=id, role=ENTRY_ROLE, address="127.0.0.1:1", zone="vuda", state=HostState(state)
    )


async def test_the_list_is_read_in_order_and_lags() -> None:
    clock = ManualClock()
    shown = Lagged(clock, 5.0, [_host("d2"), _host("d1")])
    async with running(hosts_app(shown)) as address:
        hosts = HttpHostList(address)
        first = [
            Host("d1", ENTRY_ROLE, "127.0.0.1:1", "vuda", HostState.LIVE),
            Host("d2", ENTRY_ROLE, "127.0.0.1:1", "vuda", HostState.LIVE),
        ]
        assert await hosts.hosts() == Ok(first)
        shown.set([_host("d1", "leaving")])
        clock.advance(4.9)
        assert await hosts.hosts() == Ok(first)
        clock.advance(0.1)
        assert [host.state for host in (await hosts.hosts()).unwrap()] == [HostState.LEAVING]
        await hosts.close()


async def test_a_foreign_list_is_an_error_and_no_empty_list() -> None:
    async def foreign(request: object) -> Response:
        return Response(msgpack.packb({"hosts": [{"id": "d1"}]}))

    app = Starlette(routes=[Route("/v1/hosts", foreign, methods=["POST"])])
    async with running(app) as address:
        hosts = HttpHostList(address)
        assert isinstance((await hosts.hosts()).unwrap_err(), AnswerLost)
        await hosts.close()
