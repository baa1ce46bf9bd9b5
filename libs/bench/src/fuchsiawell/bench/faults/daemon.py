"""A daemon of a run: the real control plane on links, a store and servers in memory."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from fuchsiawell.bench.faults.network import Network, Node
from fuchsiawell.bench.faults.server import ServerLinks
from fuchsiawell.config import Address, Settings
from fuchsiawell.core import CellName, DaemonId, EventLog, LamportClock, SeededIds
from fuchsiawell.daemon.cell_state import CellState
from fuchsiawell.daemon.context import Context
from fuchsiawell.daemon.control import Control
from fuchsiawell.platform import AnswerLost, HostList, Record, Revision, Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.bench.faults.server import Server
    from fuchsiawell.core import Clock, ServerId
    from fuchsiawell.platform import Host, LeaseId, StoreError, WriteError

__all__ = ["Daemon", "Hosts", "StoreAccess", "StoreState"]

CELL = CellName("matrix")
STORE_TIMEOUT_S = 1.0

T = TypeVar("T")
E = TypeVar("E")


class StoreState(Node):
    """How the store behaves at present."""

    def __init__(self, store: Store) -> None:
        super().__init__("store", "platform")
        self.store = store
        self.down = False
        self.delay_s = 0.001
        self.lose_next_answer = False
        self.on_record: Callable[[Record], None] = lambda _: None


class StoreAccess(Store):
    """The store as one daemon reaches it; calls that find no way are lost."""

    def __init__(self, own: Node, network: Network, state: StoreState) -> None:
        self._own = own
        self._network = network
        self._state = state

    async def get(self, key: str) -> Result[Record | None, StoreError]:
        """Read one key."""
        return await self._call("get", lambda: self._state.store.get(key))

    async def list(self, prefix: str) -> Result[list[Record], StoreError]:
        """Read every key that starts with `prefix`."""
        return await self._call("list", lambda: self._state.store.list(prefix))

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: LeaseId | None = None
    ) -> Result[Record, WriteError]:
        """Compare and swap."""

        async def write() -> Result[Record, WriteError]:
            made = await self._state.store.put(key, value, expected, lease)
            if isinstance(made, Ok):
                self._state.on_record(made.ok_value)
            return made

        return await self._call("put", write)

    async def delete(self, key: str, expected: Revision) -> Result[None, WriteError]:
        """Remove a key."""
        return await self._call("delete", lambda: self._state.store.delete(key, expected))

    async def watch(
        self, key: str, after: Revision, timeout_s: float
    ) -> Result[Record | None, StoreError]:
        """Wait for a newer record."""
        return await self._call("watch", lambda: self._state.store.watch(key, after, timeout_s))

    async def grant_lease(self, ttl_s: float) -> Result[LeaseId, StoreError]:
        """Start a lease."""
        return await self._call("lease", lambda: self._state.store.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> Result[None, WriteError]:
        """Extend a lease."""
        return await self._call("renew", lambda: self._state.store.renew_lease(lease))

    async def close(self) -> None:
        """Do nothing."""

    async def _call(
        self, step: str, run: Callable[[], Awaitable[Result[T, E]]]
    ) -> Result[T, E | StoreError]:
        state = self._state
        lost: Err[StoreError] = Err(AnswerLost(step, "store", "no answer in time"))
        await asyncio.sleep(state.delay_s)
        if state.down or not self._network.reaches(self._own, state):
            await asyncio.sleep(STORE_TIMEOUT_S)
            await self._own.turn()
            return lost
        answer: Result[T, E | StoreError] = await run()
        if step == "put" and state.lose_next_answer:
            state.lose_next_answer = False
            await asyncio.sleep(STORE_TIMEOUT_S)
            answer = lost
        elif state.down or not self._network.reaches(state, self._own):
            await asyncio.sleep(STORE_TIMEOUT_S)
            answer = lost
        await self._own.turn()
        return answer


class Hosts(HostList):
    """The platform's list, which may lag behind what is true."""

    def __init__(self) -> None:
        self.shown: list[Host] = []

    async def hosts(self) -> Result[list[Host], StoreError]:
        """Return the list as it is shown at present."""
        return Ok(list(self.shown))

    async def close(self) -> None:
        """Do nothing."""


class Links:
    """Control messages between the daemons of a run."""

    def __init__(self, own: Node, network: Network, daemons: dict[DaemonId, Daemon]) -> None:
        self._own = own
        self._network = network
        self._daemons = daemons
        self._addresses: dict[DaemonId, str] = {}

    def addresses(self) -> dict[DaemonId, str]:
        """Return the peers that are known."""
        return dict(self._addresses)

    def set_addresses(self, addresses_by_id: dict[DaemonId, str]) -> None:
        """Take the peers that are known."""
        self._addresses = dict(addresses_by_id)

    def send_control(self, id: DaemonId, kind: str, body: Any) -> bool:
        """Send a message; it is lost where the way is cut."""
        target = self._daemons.get(id)
        if target is not None:
            sender = DaemonId(self._own.name)

            def receive() -> None:
                target.control.on_control(sender, kind, body)

            self._network.post(self._own, target, receive)
        return True


class Daemon(Node):
    """One daemon that can be killed, paused and started again with nothing."""

    def __init__(self, name: str, zone: str, world: WorldParts) -> None:
        super().__init__(name, zone)
        self._world = world
        self.state = CellState()
        self.control = self._new_control()

    def start(self) -> None:
        """Begin to take part."""
        self.alive = True
        self.control.start()

    async def kill(self) -> None:
        """End at once, without a word to anyone."""
        self.alive = False
        await self.control.stop()

    def restart(self) -> None:
        """Start a new process, which knows nothing of the one before."""
        self.state = CellState()
        self.control = self._new_control()
        self.resume()
        self.start()

    def _new_control(self) -> Control:
        parts = self._world
        address = Address("127.0.0.1", 1)
        settings = Settings(
            DaemonId(self.name), CELL, "here", self.zone, address, address, address, "", ""
        )
        silent = logging.getLogger("fuchsiawell.matrix")
        silent.setLevel(logging.CRITICAL)
        log = EventLog(silent, self.name, parts.clock, LamportClock())
        context = Context(
            settings, parts.clock, LamportClock(), log, SeededIds(1), Random(self.name)
        )
        return Control(
            context,
            self.state,
            Links(self, parts.network, parts.daemons),
            StoreAccess(self, parts.network, parts.store),
            parts.hosts,
            ServerLinks(self, parts.network, parts.servers),
            self.sleep,
        )


class WorldParts:
    """What the daemons of a run share."""

    def __init__(self, clock: Clock, store: Store) -> None:
        self.clock = clock
        self.network = Network()
        self.store = StoreState(store)
        self.hosts = Hosts()
        self.daemons: dict[DaemonId, Daemon] = {}
        self.servers: dict[ServerId, Server] = {}
