from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from fuchsiawell.config import Configuration, Goal, Kind, Service
from fuchsiawell.core import (
    CellName,
    DaemonId,
    LamportClock,
    ManualClock,
    ServerId,
    ServiceName,
    ShardId,
    open_event_log,
)
from fuchsiawell.daemon.control.balance_loop import BALANCE_S, FRESH_S, BalanceLoop
from fuchsiawell.daemon.control.wire import ControlKind
from fuchsiawell.load import LoadReport, LoadReportFormatError, ServerLoad, ShardLoad
from fuchsiawell.load.report import encode_load_report
from fuchsiawell.ownership import (
    Assignment,
    MoveShard,
    Request,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SERVICE = ServiceName("penwatch")
BUSY, IDLE = ServerId("s1"), ServerId("s2")
SERVERS = {
    id: ServerRecord(id, SERVICE, "127.0.0.1:1", "vuda", DaemonId(d), 1, ServerState.ACTIVE, True)
    for id, d in ((BUSY, "d1"), (IDLE, "d2"))
}
SHARDS = {ShardId(SERVICE, n): ShardRecord(BUSY, 1, ShardState.ASSIGNED) for n in range(4)}
ASSIGNMENT = Assignment(CellName("c"), DaemonId("d1"), 1, (), {SERVICE: 4}, SERVERS, SHARDS)
CONFIGURATION = Configuration(
    1,
    CellName("c"),
    "r",
    ("vuda",),
    {SERVICE: Service(SERVICE, 4, 4, True, True, Goal.IMBALANCE)},
)
BUSY_REPORT = LoadReport(
    DaemonId("d1"),
    (ServerLoad(BUSY, 3.0, 4, 0),),
    tuple(ShardLoad(shard, 0.75) for shard in SHARDS),
    (),
)
IDLE_REPORT = LoadReport(DaemonId("d2"), (ServerLoad(IDLE, 0.0, 4, 0),), (), ())


class Cell:
    """Hold one loop and what it sent and asked for."""

    def __init__(
        self, daemon: str, report: LoadReport, configuration: Configuration = CONFIGURATION
    ) -> None:
        self.clock = ManualClock()
        self.asked: list[Request] = []
        self.sent: list[tuple[DaemonId, str, Any]] = []
        log = open_event_log(daemon, self.clock, LamportClock(), level=100)
        settings = SimpleNamespace(daemon=DaemonId(daemon))
        context: Any = SimpleNamespace(settings=settings, clock=self.clock, log=log)
        state: Any = SimpleNamespace(assignment=ASSIGNMENT, configuration=configuration)
        peers: Any = SimpleNamespace(send_control=lambda *sent: self.sent.append(sent))
        self.loop = BalanceLoop(context, state, peers, self.asked.extend)
        own_report: Callable[[], LoadReport] = lambda: report  # noqa: E731
        self.loop.own_report = own_report

    def step(self) -> None:
        asyncio.run(self.loop.step())


def test_a_leader_reports_to_the_controller() -> None:
    cell = Cell("d2", IDLE_REPORT)
    cell.step()
    assert cell.sent == [(DaemonId("d1"), ControlKind.LOAD, encode_load_report(IDLE_REPORT))]
    assert cell.asked == []


def test_the_controller_asks_for_moves_by_all_reports() -> None:
    cell = Cell("d1", BUSY_REPORT)
    cell.loop.on_report(DaemonId("d2"), encode_load_report(IDLE_REPORT))
    for _ in range(3):
        cell.step()
        cell.clock.advance(BALANCE_S)
    assert cell.sent == []
    assert cell.asked
    assert all(isinstance(request, MoveShard) and request.to == IDLE for request in cell.asked)


def test_a_service_with_long_uploads_is_not_moved_for_balance() -> None:
    upload = Kind("clip", repeatable=True, deadline_s=600.0, max_body_bytes=1 << 30)
    service = replace(CONFIGURATION.services_by_name[SERVICE], kinds_by_name={"clip": upload})
    cell = Cell("d1", BUSY_REPORT, replace(CONFIGURATION, services_by_name={SERVICE: service}))
    cell.loop.on_report(DaemonId("d2"), encode_load_report(IDLE_REPORT))
    for _ in range(3):
        cell.step()
        cell.clock.advance(BALANCE_S)
    assert cell.asked == []


def test_a_report_that_is_too_old_counts_no_more() -> None:
    cell = Cell("d1", IDLE_REPORT)
    cell.loop.on_report(DaemonId("d3"), encode_load_report(BUSY_REPORT))
    cell.clock.advance(FRESH_S + 0.1)
    cell.step()
    cell.clock.advance(BALANCE_S)
    cell.step()
    assert cell.asked == []


def test_refuses_a_report_that_is_none() -> None:
    with pytest.raises(LoadReportFormatError, match="d2"):
        Cell("d1", BUSY_REPORT).loop.on_report(DaemonId("d2"), b"\x91\x07")
