"""Requests that crash their servers: who was in flight, who runs alone, who is refused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err

from fuchsiawell.core import NotRun, NotRunReason, ServerId, Step
from fuchsiawell.once import (
    Convicted,
    Convictions,
    Isolation,
    LossReport,
    Suspects,
    convictions_key,
    suspect_digest,
)
from fuchsiawell.transport import CHUNK_BYTES

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from fuchsiawell.core import DaemonId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.leader.lane import Lane
    from fuchsiawell.daemon.leader.sending import FirstPart
    from fuchsiawell.once import Flight
    from fuchsiawell.platform import Store
    from fuchsiawell.transport import Peers, RequestHead

__all__ = ["LOSS_REPORT", "Crashes"]

LOSS_REPORT = "loss-report"  # kind of the control message: server, suspects, convicted
REFRESH_S = 30.0  # between two looks for what other daemons and operators changed in the store
FIRST_REFRESH_S = 1.0


class Crashes:
    """Isolate suspects on the servers led here, and share what is found with the cell."""

    def __init__(
        self, context: Context, state: CellState, store: Store, peers: Peers | None
    ) -> None:
        self._context = context
        self._state = state
        self._peers = peers
        self._suspects = Suspects(context.clock)
        self._isolation = Isolation(self._suspects)
        key = convictions_key(context.settings.cell)
        self._convictions = Convictions(store, key, context.clock, self._suspects)
        self._probed: set[ServerId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to follow the store's convictions."""
        self._spawn(self._follow_store())

    async def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def enter(self, server: ServerId, head: RequestHead, first: FirstPart) -> Flight | NotRun:
        """Wait until the request may run on the server, or refuse it as convicted."""
        flight = await self._isolation.enter(server, _digest(head, first))
        if isinstance(flight, Convicted):
            return NotRun(NotRunReason.CONVICTED, Step.ADMIT, server)
        return flight

    def answered(self, flight: Flight) -> None:
        """Note that the server answered."""
        self._isolation.answered(flight)

    def refused(self, flight: Flight) -> None:
        """Note that nothing was sent, or that the server proved that it ran nothing."""
        self._isolation.refused(flight)

    def broke(self, flight: Flight, lane: Lane) -> None:
        """Note that no answer came, and find out whether the server is still there."""
        self._isolation.broke(flight)
        if flight.server not in self._probed:
            self._probed.add(flight.server)
            self._spawn(self._probe(flight.server, lane))

    def on_control(self, body: Any) -> None:
        """Take what another leader found."""
        server, suspects, convicted = body
        self._suspects.take(LossReport(ServerId(server), tuple(suspects), tuple(convicted)))

    async def _probe(self, server: ServerId, lane: Lane) -> None:
        try:
            connected = await lane.pool.connect()
        finally:
            self._probed.discard(server)
        if not isinstance(connected, Err):
            lane.pool.give_back(connected.ok_value)
            self._isolation.server_alive(server)
        elif connected.err_value.refused:
            await self._lost(server)

    async def _lost(self, server: ServerId) -> None:
        """Tell the cell what was in flight on a server whose process is gone."""
        report = self._isolation.server_lost(server)
        if not report.suspects:
            return
        self._context.log.warning(
            "server crashed",
            step=Step.RUN,
            server=server,
            suspects=[digest.hex() for digest in report.suspects],
            convicted=[digest.hex() for digest in report.convicted],
        )
        body = [server, list(report.suspects), list(report.convicted)]
        for member in self._other_members():
            link = self._peers.ready_link(member) if self._peers is not None else None
            if link is not None:
                link.send_control(LOSS_REPORT, body)
        await self._share()

    def _other_members(self) -> list[DaemonId]:
        assignment = self._state.assignment
        own = self._context.settings.daemon
        return [] if assignment is None else [m for m in assignment.members if m != own]

    async def _share(self) -> None:
        shared = await self._convictions.share()
        if isinstance(shared, Err):
            self._context.log.warning("suspects not shared", error=shared.err_value)

    async def _follow_store(self) -> None:
        await asyncio.sleep(FIRST_REFRESH_S * self._context.random.random())
        while True:
            refreshed = await self._convictions.refresh()
            if isinstance(refreshed, Err):
                self._context.log.warning("convictions not read", error=refreshed.err_value)
            await asyncio.sleep(REFRESH_S * (0.5 + self._context.random.random()))

    def _spawn(self, steps: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _digest(head: RequestHead, first: FirstPart) -> bytes:
    """Return what the request is recognised by; of a long body, its first part counts."""
    content = b"\0".join(
        (head.kind.encode(), head.method.encode(), head.target.encode(), first.chunk[:CHUNK_BYTES])
    )
    return suspect_digest(head.service, head.key, content)
