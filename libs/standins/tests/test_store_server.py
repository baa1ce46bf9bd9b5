from __future__ import annotations

from http import HTTPStatus

import pytest
from aiosonic import HTTPClient

from fuchsiawell.core import ManualClock
from fuchsiawell.platform import ABSENT, AnswerLost, HttpStore, LeaseLapsed, Unavailable
from fuchsiawell.standins.fault_models import FaultName
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import running
from fuchsiawell.standins.store_server import store_app


@pytest.mark.parametrize(
    ("name", "error"),
    [
        (FaultName.REFUSE, Unavailable),
        (FaultName.LOSE_ANSWER, AnswerLost),
        (FaultName.LOSE_REQUEST, AnswerLost),
        (FaultName.LAPSE_LEASES, LeaseLapsed),
        (FaultName.NONE, None),
        (FaultName.DROP_WATCH, None),
    ],
)
async def test_faults_are_set_and_cleared_over_http(name: FaultName, error: type | None) -> None:
    async with running(store_app(MemoryStore(ManualClock()))) as address:
        store, admin = HttpStore(address, 10.0), HTTPClient()
        lease = (await store.grant_lease(60.0)).unwrap()
        url = f"http://{address}/_admin/faults"
        await admin.put(url, json={"fault": name, "kinds": ["renew-lease"]})
        result = await store.renew_lease(lease)
        assert isinstance(result.err(), error) if error else result.is_ok()
        assert (await store.get("a")).is_ok()
        await admin.put(url, json={"fault": "none"})
        assert (await store.put("a", b"", ABSENT)).is_ok()


async def test_counts_are_served_and_nonsense_is_refused() -> None:
    async with running(store_app(MemoryStore(ManualClock()))) as address:
        store, admin = HttpStore(address, 10.0), HTTPClient()
        await store.get("a")
        await store.put("a", b"", ABSENT)
        counts = await (await admin.get(f"http://{address}/_admin/counts")).json()
        assert (counts["reads"], counts["writes"], counts["by_kind"]["get"]) == (1, 1, 1)
        assert counts["per_second"] == []
        for path, body in (("v1/get", b"\xc1"), ("v1/get", b"\x01"), ("v1/swap", b"\x80")):
            answer = await admin.post(f"http://{address}/{path}", data=body)
            assert answer.status_code == HTTPStatus.BAD_REQUEST
        answer = await admin.put(f"http://{address}/_admin/faults", json={"fault": "rust"})
        assert answer.status_code == HTTPStatus.BAD_REQUEST
