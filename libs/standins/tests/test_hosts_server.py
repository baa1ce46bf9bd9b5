from __future__ import annotations

from http import HTTPStatus

import pytest
from aiosonic import HTTPClient
from result import Ok

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import AnswerLost, HttpHostList, Unavailable
from fuchsiawell.standins.hosts_server import hosts_app
from fuchsiawell.standins.lagged import Lagged
from fuchsiawell.standins.serving import running


@pytest.mark.parametrize(("fault", "error"), [("refuse", Unavailable), ("lose-answer", AnswerLost)])
async def test_faults_are_set_and_cleared(fault: str, error: type) -> None:
    async with running(hosts_app(Lagged(ManualClock(), 0.0, []))) as address:
        hosts, admin = HttpHostList(address, 20.0), HTTPClient()
        await admin.put(f"http://{address}/_admin/faults", json={"fault": fault})
        assert isinstance((await hosts.hosts()).unwrap_err(), error)
        await admin.put(f"http://{address}/_admin/faults", json={"fault": "none"})
        assert await hosts.hosts() == Ok([])
        await hosts.close()


async def test_a_malformed_list_is_refused_and_the_old_one_kept() -> None:
    async with running(hosts_app(Lagged(ManualClock(), 0.0, []))) as address:
        hosts, admin = HttpHostList(address, 20.0), HTTPClient()
        answer = await admin.put(f"http://{address}/_admin/hosts", json=[{"id": "d1"}])
        assert answer.status_code == HTTPStatus.BAD_REQUEST
        assert await hosts.hosts() == Ok([])
        await hosts.close()
