"""Two servers may own a key if a range is granted again before its earlier grant has ended.

The servers of these tests respond late, not at all, or as another incarnation.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.assignment_replication import AssignmentReplicator
from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient, Released
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.service_granter import ServiceGranter
from fuchsiawell.gateway.control.store_keys import SHARDS_PREFIX
from fuchsiawell.shards import Assignment, GrantTiming, Move, Owner, decode_map
from fuchsiawell.standins import MemoryStore

from builders import backend, configuration, session

if TYPE_CHECKING:
    from datetime import timedelta

TIMING = GrantTiming()


@dataclass
class Server:
    """One server: the calls it received, in order, and how it responds."""

    calls: list[tuple[str, int, int, int]] = field(default_factory=list)
    unresponsive: bool = False
    grant_gate: asyncio.Event | None = None

    def granted_fences(self, key: int) -> list[int]:
        return [f for step, a, b, f in self.calls if step == "grant" and a <= key <= b]


class FakeGrantClient(GrantClient):
    """A client of a server in memory."""

    def __init__(self, owner: Owner, server: Server) -> None:
        self.owner = owner
        self._server = server

    async def grant(self, assignment: Assignment, ttl: timedelta, handover: str | None) -> int:
        if self._server.grant_gate is not None:
            await self._server.grant_gate.wait()
        self._server.calls.append(("grant", assignment.first, assignment.last, assignment.fence))
        if self._server.unresponsive:
            raise GrantCallError("grant", self.owner.peer, "no answer in time", sent=True)
        return 200

    async def release(self, first: int, last: int, fence: int) -> Released:
        if self._server.unresponsive:
            raise GrantCallError("release", self.owner.peer, "no answer in time", sent=True)
        self._server.calls.append(("release", first, last, fence))
        return Released("warm")

    async def is_reachable(self) -> bool:
        return not self._server.unresponsive

    def abort(self) -> None:
        return


class Harness:
    """A service granter with a store and three servers in memory."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.session.configuration = configuration(sharded=True)
        self.store = MemoryStore(self.clock)
        self.servers = {f"i-{n}": Server() for n in range(3)}
        for name in self.servers:
            self.session.update_backend(backend(name))
        self.peers = PeerMessenger(self.session)
        self.granter = self.new_granter()

    def new_granter(self) -> ServiceGranter:
        return ServiceGranter(
            "s",
            self.session,
            self.store,
            self.peers,
            AssignmentReplicator(self.session, self.peers),
            TIMING,
            lambda owner: FakeGrantClient(owner, self.servers[owner.backend_id]),
        )

    async def start(self) -> None:
        await asyncio.gather(self.granter._take_over(), self.skip_join_wait())
        await self.renew()

    async def skip_join_wait(self) -> None:
        self.clock.advance(5.0)

    async def renew(self) -> None:
        self.granter._renew_all()
        await self.wait_for_tasks()

    async def wait_for_tasks(self) -> None:
        while self.granter._tasks:
            await asyncio.gather(*self.granter._tasks, return_exceptions=True)

    def owner_id(self, key: int) -> str:
        assignment = self.session.assignment("s", key)
        assert assignment is not None
        assert assignment.owner is not None
        return assignment.owner.backend_id

    async def rebalance(self) -> None:
        """Plan, as the clock stands, until all moves have ended."""
        self.session.current_until_s = self.session.now_s
        storing = asyncio.create_task(self.granter._store_loop())
        try:
            while True:
                self.granter._rebalance()
                announced = self.session.shard_maps["s"].next_fence
                is_idle = (
                    not self.granter._moves.ranges
                    and not self.granter._may_store.is_set()
                    and announced == self.granter._map.next_fence
                )
                await self.wait_for_tasks()
                if is_idle:
                    return
                await asyncio.sleep(0.005)
        finally:
            storing.cancel()
            self.granter._cancel_calls()
            await asyncio.gather(storing, return_exceptions=True)


async def test_each_key_is_granted_once_under_its_stored_fence() -> None:
    harness = Harness()
    await harness.start()
    stored = decode_map((await harness.store.get(SHARDS_PREFIX + "s")).value)
    for key in (0, 20_000, 65_535):
        granted = {
            name: s.granted_fences(key)
            for name, s in harness.servers.items()
            if s.granted_fences(key)
        }
        assert list(granted.values()) == [[stored.assignment_for(key).fence]]


async def test_renewal_in_progress_skips_a_range_that_has_moved() -> None:
    harness = Harness()
    await harness.start()
    source = harness.session.assignment("s", 0).owner
    server = harness.servers[source.backend_id]
    target = next(o for o in harness.session.shard_maps["s"].owners if o != source)
    last_range = harness.session.shard_maps["s"].owned_by(source)[-1]
    # The renewal waits at the server's first range while its last one moves.
    server.grant_gate = asyncio.Event()
    harness.granter._renew_all()
    await asyncio.sleep(0)
    move = Move(last_range.first, last_range.last, source, target)
    harness.granter._moves.begin(move, harness.session.now_s)
    harness.granter._moves.record_released(move, True, None)
    moving = asyncio.create_task(harness.granter._store_and_grant())
    while harness.owner_id(last_range.first) != target.backend_id:
        await asyncio.sleep(0)
    server.grant_gate.set()
    before = len(server.granted_fences(last_range.first))
    await asyncio.gather(moving, harness.wait_for_tasks())
    assert len(server.granted_fences(last_range.first)) == before


async def test_ranges_of_a_draining_server_are_released_before_they_are_granted_again() -> None:
    harness = Harness()
    await harness.start()
    draining_id = harness.owner_id(0)
    harness.session.update_backend(backend(draining_id, draining=True))
    await harness.rebalance()
    assert harness.owner_id(0) != draining_id
    new = harness.servers[harness.owner_id(0)]
    assert [c[0] for c in harness.servers[draining_id].calls].count("release") == 2
    assert max(new.granted_fences(0)) > max(harness.servers[draining_id].granted_fences(0))


async def test_unresponsive_server_keeps_its_ranges_until_its_grants_expire() -> None:
    harness = Harness()
    await harness.start()
    unresponsive_id = harness.owner_id(0)
    harness.servers[unresponsive_id].unresponsive = True
    await harness.renew()
    await harness.rebalance()
    assert harness.owner_id(0) == unresponsive_id
    harness.clock.advance(TIMING.max_ttl_s - 0.1)
    await harness.rebalance()
    assert harness.owner_id(0) == unresponsive_id
    harness.clock.advance(0.2)
    await harness.rebalance()
    assert harness.owner_id(0) != unresponsive_id


async def test_restarted_server_is_replaced_at_once_under_a_higher_fence() -> None:
    harness = Harness()
    await harness.start()
    restarted_id = harness.owner_id(0)
    old_fence = max(harness.servers[restarted_id].granted_fences(0))
    harness.session.update_backend(backend(restarted_id, incarnation=2))
    await harness.rebalance()
    assignment = harness.session.assignment("s", 0)
    assert assignment.owner.incarnation != 1 or assignment.owner.backend_id != restarted_id
    assert assignment.fence > old_fence


async def test_after_a_failed_grant_only_new_fences_are_granted() -> None:
    harness = Harness()
    await harness.start()
    failing_id = harness.owner_id(0)
    old_fence = max(harness.servers[failing_id].granted_fences(0))
    harness.servers[failing_id].unresponsive = True
    await harness.renew()
    harness.servers[failing_id].unresponsive = False
    count = len(harness.servers[failing_id].calls)
    harness.clock.advance(0.5)
    await harness.renew()
    assert len(harness.servers[failing_id].calls) == count
    await harness.rebalance()
    await harness.rebalance()
    assert harness.owner_id(0) == failing_id
    assert max(harness.servers[failing_id].granted_fences(0)) > old_fence


async def test_successor_takes_over_the_map_under_higher_fences() -> None:
    harness = Harness()
    await harness.start()
    old = {key: harness.session.assignment("s", key) for key in (0, 30_000, 65_535)}
    harness.granter = harness.new_granter()
    await harness.granter._take_over()
    for key, assignment in old.items():
        now = harness.session.assignment("s", key)
        assert now.owner == assignment.owner
        assert now.fence > assignment.fence


async def test_lost_response_of_the_store_does_not_end_granting() -> None:
    harness = Harness()
    await harness.start()
    draining_id = harness.owner_id(0)
    harness.session.update_backend(backend(draining_id, draining=True))
    harness.store.responses_to_lose = 1
    await harness.rebalance()
    stored = decode_map((await harness.store.get(SHARDS_PREFIX + "s")).value)
    assert stored == harness.session.shard_maps["s"]
    assert harness.owner_id(0) != draining_id


async def test_restarted_server_is_asked_to_release_ranges_of_the_earlier_incarnation() -> None:
    """In soak seed 18 a grant meant for the earlier incarnation had reached the later one."""
    harness = Harness()
    await harness.start()
    restarted_id = harness.owner_id(0)
    harness.session.update_backend(backend(restarted_id, incarnation=2))
    await harness.rebalance()
    releases = [call for call in harness.servers[restarted_id].calls if call[0] == "release"]
    assert any(first == 0 for _, first, _, _ in releases)


async def test_unresponsive_restarted_server_keeps_its_ranges_until_grants_expire() -> None:
    harness = Harness()
    await harness.start()
    restarted_id = harness.owner_id(0)
    harness.session.update_backend(backend(restarted_id, incarnation=2))
    harness.servers[restarted_id].unresponsive = True
    await harness.rebalance()
    assert harness.session.assignment("s", 0).owner.incarnation == 1
    harness.clock.advance(TIMING.max_ttl_s + 0.1)
    await harness.rebalance()
    assert harness.session.assignment("s", 0).owner != Owner(restarted_id, 1, "127.0.0.1", 80)
