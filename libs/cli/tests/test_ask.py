from __future__ import annotations

from dataclasses import asdict, replace
from typing import Any

from cell_views import OVERVIEW
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from fuchsiawell.cli.ask import ask_daemons, ask_store
from fuchsiawell.config import Configuration, Goal, Kind, Service, configuration_key
from fuchsiawell.config import encode_configuration as encode
from fuchsiawell.core import CellName, DaemonId, ManualClock, ServiceName
from fuchsiawell.ownership import Assignment, assignment_key, encode_assignment
from fuchsiawell.platform import ABSENT
from fuchsiawell.standins.faults import Refuse, ScriptedFaults
from fuchsiawell.standins.memory_store import MemoryStore
from fuchsiawell.standins.serving import running

CELL = CellName("viti-west")
STATUS: dict[str, Any] = {
    "daemon": "d1",
    "zone": "vuda",
    "cell": CELL,
    "overview": asdict(OVERVIEW),
    "right_to_act": True,
    "heard": ["d2"],
    "store": "fails",
    "from_store": True,
    "members": ["d1", "d2"],
    "configuration_version": 4,
    "leads": {"s1": "serving"},
    "new_field": 1,
}
METRICS = {"in_flight": 3, "outcomes": {"answered": 7}, "latency_ms": {}}


def app(status: Any) -> Starlette:
    return Starlette(
        routes=[
            Route("/status", lambda _: JSONResponse(status)),
            Route("/metrics", lambda _: JSONResponse(METRICS)),
        ]
    )


async def test_daemons_are_asked_and_silent_ones_named() -> None:
    async with running(app(STATUS)) as whole, running(app({"daemon": ""})) as strange:
        view = await ask_daemons([whole, strange, "127.0.0.1:1"])
    (daemon,) = view.daemons
    assert (daemon.name, daemon.in_flight, daemon.store_answers) == ("d1", 3, False)
    assert daemon.overview == OVERVIEW
    assert view.cells == {CELL}
    assert view.configuration_version == 4
    assert [failure.peer for failure in view.unreachable] == [strange, "127.0.0.1:1"]
    assert view.unreachable[0].detail.startswith("not a daemon's status")


async def test_the_store_tells_assignment_and_configuration() -> None:
    store = MemoryStore(ManualClock())
    empty = await ask_store(store, CELL)
    assert (empty.overview, empty.configuration, empty.store_failure) == (None, None, None)
    name = ServiceName("penwatch")
    kinds = {"level": Kind("level", True, 1.0, 0)}
    service = Service(name, 8, 4, True, True, Goal.IMBALANCE, kinds_by_name=kinds)
    rules = Configuration(5, CELL, "fiji", ("vuda",), {name: service})
    await store.put(configuration_key(CELL), encode(rules), ABSENT)
    record = Assignment(CELL, DaemonId("d1"), 1, (DaemonId("d1"),))
    await store.put(assignment_key(CELL), encode_assignment(record), ABSENT)
    view = await ask_store(store, CELL)
    assert view.configuration == rules
    assert view.overview is not None
    assert view.overview.controller == "d1"


async def test_a_store_that_fails_or_holds_nonsense_is_told() -> None:
    store = MemoryStore(ManualClock(), ScriptedFaults([Refuse()]))
    failed = await ask_store(store, CELL)
    assert failed.store_failure is not None
    assert failed.store_failure.step == "get"
    await store.put(assignment_key(CELL), b"nonsense", ABSENT)
    unreadable = await ask_store(store, CELL)
    assert unreadable.store_failure is not None
    assert unreadable.store_failure.step == "decode assignment"
    assert replace(unreadable, store_failure=None).overview is None
