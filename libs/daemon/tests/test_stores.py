from __future__ import annotations

from random import Random

from fuchsiawell.core import ManualClock, SystemClock
from fuchsiawell.daemon.stores import CONTROL_BUDGET, WORK_BUDGET, Stores
from fuchsiawell.standins.memory_store import MemoryStore

DAEMONS = 12
STORE_WRITES_PER_S = 400.0  # several hundred
STORE_READS_PER_S = 2_000.0


def test_a_cell_of_twelve_keeps_within_the_store() -> None:
    writes = CONTROL_BUDGET.writes_per_s + WORK_BUDGET.writes_per_s
    reads = CONTROL_BUDGET.reads_per_s + WORK_BUDGET.reads_per_s
    assert writes * DAEMONS <= STORE_WRITES_PER_S
    assert reads * DAEMONS <= STORE_READS_PER_S


async def test_calls_are_counted_by_use() -> None:
    stores = Stores.open("127.0.0.1:1", ManualClock(), Random(1))
    await stores.control.get("nothing listens here")
    told = stores.to_json()
    assert told["control"]["unavailable"]["get"] >= 1
    assert told["work"]["unavailable"] == {}
    await stores.close()


async def test_one_client_may_serve_both() -> None:
    store = MemoryStore(SystemClock())
    stores = Stores.single(store)
    assert stores.control is stores.work
    await stores.close()
