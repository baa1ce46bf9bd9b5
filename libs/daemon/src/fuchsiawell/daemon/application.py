"""The daemon as an application that owns its parts and their clean-up."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from fuchsiawell.daemon.cell_state import CellState
from fuchsiawell.daemon.control import Control
from fuchsiawell.daemon.entry import CallerServer, EntryApp, Forwarder
from fuchsiawell.daemon.leader import (
    HAND_OVER_KINDS,
    LOSS_REPORT,
    AssignedAuthority,
    Crashes,
    LeaderService,
    OnceService,
)
from fuchsiawell.daemon.operators import OperatorServer, StatusSource, overview
from fuchsiawell.daemon.records import RecordReader
from fuchsiawell.transport import LinkHooks, PeerListener, Peers, open_loopback

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.stores import Stores
    from fuchsiawell.platform import HostList
    from fuchsiawell.transport import ServerExchange

__all__ = ["Application"]


class Application(LinkHooks, StatusSource):
    """Start the parts in order, run until told to stop, and stop them in reverse."""

    def __init__(self, context: Context, stores: Stores, hosts: HostList | None = None) -> None:
        """Without a host list, ownership is as the store's record says; for tests of the path."""
        self._context = context
        settings = context.settings
        own, clock, lamport = settings.daemon, context.clock, context.lamport
        self.state = CellState()
        self._stores = stores
        self._reader = RecordReader(context, self.state, stores.control)
        self._listener = PeerListener(own, clock, lamport, self)
        self._peers = Peers(own, clock, lamport, self)
        self.control: Control | None = None
        if hosts is not None:
            self.control = Control(context, self.state, self._peers, stores.control, hosts)
        fixed = AssignedAuthority(own, self.state)
        authority = fixed if self.control is None else self.control.authority
        self._once = OnceService(context, self.state, stores.work, authority, self._peers)
        self._crashes = Crashes(context, self.state, stores.work, self._peers)
        self._leader = LeaderService(context, self.state, authority, self._once, self._crashes)
        loopback = open_loopback(own, clock, lamport, self)
        forwarder = Forwarder(context, self.state, self._peers, loopback)
        self._entry = EntryApp(context, self.state, forwarder)
        self._callers = CallerServer(self._entry, settings.caller_address, settings.limits, clock)
        self._operators = OperatorServer(self, settings.operator_address)
        self._stopping = asyncio.Event()

    async def start(self) -> None:
        """Open the sockets and begin to follow the cell's records."""
        settings = self._context.settings
        await self._operators.start()
        await self._listener.start(settings.peer_address.host, settings.peer_address.port)
        self._peers.start()
        if self.control is None:
            self._reader.start()
        else:
            self.control.balance_by(self._leader.load_report)
            self.control.start()
        self._once.start()
        self._crashes.start()
        await self._callers.start()
        self._context.log.event("started", daemon=settings.daemon, zone=settings.zone)

    async def run(self) -> None:
        """Run until `request_stop`, then stop gracefully."""
        await self.start()
        await self._stopping.wait()
        await self.stop()

    def request_stop(self) -> None:
        """Begin a graceful stop; a second call changes nothing."""
        self._stopping.set()

    async def stop(self) -> None:
        """End every request in flight, then release what `start` opened."""
        self._context.log.event("stopping")
        if self.control is not None:
            await self.control.leave()
        await self._callers.stop()
        await self._leader.drain()
        if self.control is not None:
            await self._once.handed_over()
        await self._once.stop()
        await self._crashes.stop()
        await self._reader.stop()
        if self.control is not None:
            await self.control.stop()
        await self._leader.close()
        await self._peers.close()
        await self._listener.close()
        await self._stores.close()
        await self._operators.stop()
        self._context.log.event("stopped")

    # Hooks of links.

    def on_request(self, exchange: ServerExchange) -> None:
        """Serve a request that an entry daemon sent."""
        self._leader.on_request(exchange)

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        """Take a control message."""
        if kind == LOSS_REPORT:
            self._crashes.on_control(body)
        elif kind in HAND_OVER_KINDS:
            self._once.on_control(sender, kind, body)
        elif self.control is not None:
            self.control.on_control(sender, kind, body)

    # What operators see.

    def ready(self) -> str | None:
        """Return why callers should not be sent here, or `None`."""
        if self._stopping.is_set():
            return "stopping"
        if self.state.assignment is None or self.state.configuration is None:
            return "no assignment or configuration yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return what this daemon knows of itself and its cell."""
        settings = self._context.settings
        control = {} if self.control is None else self.control.status()
        assignment = self.state.assignment
        return {
            "daemon": settings.daemon,
            "zone": settings.zone,
            "cell": settings.cell,
            "overview": None if assignment is None else asdict(overview(assignment)),
            **control,
        }

    def metrics(self) -> dict[str, Any]:
        """Return counts and latencies."""
        return {
            "in_flight": self._entry.in_flight,
            **self._entry.metrics.to_json(),
            "store_calls": self._stores.to_json(),
        }
