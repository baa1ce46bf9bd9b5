"""A granter in virtual time, and servers that check that no key has two owners."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any, cast

from fuchsiawell.gateway.control.assignment_replication import AssignmentReplicator
from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient, Released
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.service_granter import ServiceGranter
from fuchsiawell.gateway.control.store_keys import SHARDS_PREFIX
from fuchsiawell.shards import GrantTiming, ShardMap, decode_map
from fuchsiawell.standins import MemoryStore, VirtualClock, run_in_virtual_time

from builders import backend, configuration, session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from datetime import timedelta

    from fuchsiawell.gateway.ports import Write
    from fuchsiawell.shards import Assignment, Owner

__all__ = ["MoveServer", "MoveSite", "run_moves"]

LINK_S = 0.002
GRANT_TIMEOUT_S, RELEASE_TIMEOUT_S = 0.6, 3.0


@dataclass
class MoveServer:
    """A server: until when it owns which range, and how it answers."""

    owned: dict[tuple[int, int], float] = field(default_factory=dict)
    # Running requests by key, for which a release waits.
    running: Counter[int] = field(default_factory=Counter)
    # Releases wait for it as well.
    release_gate: asyncio.Event | None = None
    answers_grants: bool = True
    # Whether calls that it does not answer are executed.
    executes: bool = True
    answers_releases: bool = True
    releasing: int = 0
    max_releasing: int = 0

    def owns(self, key: int, now_s: float) -> bool:
        return any(a <= key <= b and now_s < until_s for (a, b), until_s in self.owned.items())

    def remove(self, first: int, last: int) -> None:
        for (a, b), until_s in list(self.owned.items()):
            if a <= last and first <= b:
                del self.owned[a, b]
                if a < first:
                    self.owned[a, first - 1] = until_s
                if b > last:
                    self.owned[last + 1, b] = until_s


class MoveClient(GrantClient):
    """Calls to a server of the site."""

    def __init__(self, owner: Owner, site: MoveSite) -> None:
        self.owner = owner
        self._site = site
        self._server = site.servers[owner.backend_id]

    async def grant(self, assignment: Assignment, ttl: timedelta, handover: str | None) -> int:
        await asyncio.sleep(LINK_S)
        if self._server.answers_grants or self._server.executes:
            self._site.check_grant(self.owner, assignment)
            until_s = self._site.clock.monotonic() + ttl.total_seconds()
            self._server.remove(assignment.first, assignment.last)
            self._server.owned[assignment.first, assignment.last] = until_s
        if not self._server.answers_grants:
            await asyncio.sleep(GRANT_TIMEOUT_S)
            raise GrantCallError("grant", self.owner.peer, "no answer in time", sent=True)
        return 200

    async def release(self, first: int, last: int, fence: int) -> Released:
        server = self._server
        server.releasing += 1
        server.max_releasing = max(server.max_releasing, server.releasing)
        self._site.max_releasing = max(self._site.max_releasing, self._site.releasing)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await asyncio.sleep(LINK_S)
                if server.answers_releases or server.executes:
                    server.remove(first, last)
                if not server.answers_releases:
                    await asyncio.Event().wait()
                if server.release_gate is not None:
                    await server.release_gate.wait()
                while any(first <= key <= last for key in +server.running):
                    await asyncio.sleep(0.005)
        except TimeoutError as error:
            raise GrantCallError("release", self.owner.peer, "no answer", sent=True) from error
        finally:
            server.releasing -= 1
        return Released(None)

    async def is_reachable(self) -> bool:
        return self._server.answers_grants

    def abort(self) -> None:
        return


class TimedStore(MemoryStore):
    """A store at some distance; records when the map was written."""

    written_s: list[float]

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        await asyncio.sleep(LINK_S)
        revision = await super().write(writes, remove)
        self.written_s.append(self._clock.monotonic())
        await asyncio.sleep(LINK_S)
        return revision


class MoveSite:
    """Servers of a service with keys, a store, and the granter of one daemon."""

    def __init__(
        self, servers: int, seed: int = 1, granter_class: type[ServiceGranter] = ServiceGranter
    ) -> None:
        self.clock = cast("Any", VirtualClock())
        self.random = Random(seed)
        self.session = session(self.clock)
        self.session.random.seed(seed)
        self.session.configuration = configuration(sharded=True)
        self.session.current_until_s = float("inf")
        self.store = TimedStore(self.clock)
        self.store.written_s = []
        self.peers = PeerMessenger(self.session)
        self.sent: list[tuple[float, Any]] = []
        self.peers.broadcast = lambda m: self.sent.append((self.now_s, m))  # type: ignore[method-assign]
        self.servers = {f"i-{number}": MoveServer() for number in range(servers)}
        for name in self.servers:
            self.session.update_backend(replace(backend(name), slots=4))
        self._granter_class = granter_class
        self.granter = self.new_granter()
        self.max_releasing = 0
        self.violations: list[str] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def now_s(self) -> float:
        return float(self.clock.monotonic())

    @property
    def releasing(self) -> int:
        return sum(server.releasing for server in self.servers.values())

    @property
    def shard_map(self) -> ShardMap:
        """The stored map."""
        item = self.store.items[SHARDS_PREFIX + "s"]
        assert item.value is not None
        return decode_map(item.value)

    def new_granter(self) -> ServiceGranter:
        return self._granter_class(
            "s",
            self.session,
            self.store,
            self.peers,
            AssignmentReplicator(self.session, self.peers),
            GrantTiming(),
            lambda owner: MoveClient(owner, self),
        )

    async def start(self) -> None:
        """Start a new granter, and wait until it has taken over."""
        self.granter = self.new_granter()
        self._task = asyncio.create_task(self.granter.run())
        await self.wait_until(lambda: self.granter._map is not None)

    async def stop(self) -> None:
        """End the term in the middle of whatever the granter does."""
        assert self._task is not None
        if self._task.done():
            self._task.result()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)

    def owner_id(self, key: int) -> str:
        owner = self.shard_map.assignment_for(key).owner
        assert owner is not None
        return owner.backend_id

    def drain(self, *backend_ids: str) -> None:
        for backend_id in backend_ids:
            known = self.session.directory.by_id[backend_id]
            self.session.update_backend(replace(known, draining=True))

    def check_grant(self, owner: Owner, assignment: Assignment) -> None:
        """Record a fencing token that is used before it is stored, and a second owner of a key."""
        stored = self.shard_map.assignment_for(assignment.first)
        if (stored.fence, stored.owner) != (assignment.fence, owner):
            self.violations.append(f"{assignment} granted, {stored} stored")
        others = [item for item in self.servers.items() if item[0] != owner.backend_id]
        self.violations += [
            f"{assignment} granted, {name} owns {first}-{last}"
            for name, server in others
            for (first, last), until_s in server.owned.items()
            if until_s > self.now_s and first <= assignment.last and assignment.first <= last
        ]


def run_moves(
    scenario: Callable[[MoveSite], Awaitable[None]],
    servers: int,
    seed: int = 1,
    granter_class: type[ServiceGranter] = ServiceGranter,
) -> None:
    """Run a scenario on a new site, to its end."""

    async def main() -> None:
        site = MoveSite(servers, seed, granter_class)
        await scenario(site)
        await site.stop()
        assert not site.violations

    run_in_virtual_time(main())
