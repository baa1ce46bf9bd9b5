"""Granting keys against servers that answer late, not at all, or as another life."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient, Released
from fuchsiawell.gateway.control.peers import Peers
from fuchsiawell.gateway.control.service_grants import ServiceGranter
from fuchsiawell.gateway.control.store_keys import SHARDS_PREFIX
from fuchsiawell.shards import Assignment, GrantTiming, Move, Owner, decode_map
from fuchsiawell.standins import MemoryStore

from parts import backend, configuration, session

if TYPE_CHECKING:
    from datetime import timedelta

TIMING = GrantTiming()


@dataclass
class Server:
    """What one server was told, in order, and how it answers."""

    calls: list[tuple[str, int, int, int]] = field(default_factory=list)
    silent: bool = False
    hold_grants: asyncio.Event | None = None

    def fences(self, key: int) -> list[int]:
        return [f for step, a, b, f in self.calls if step == "grant" and a <= key <= b]


class Link(GrantClient):
    """A link to a server in memory."""

    def __init__(self, owner: Owner, server: Server) -> None:
        self.owner = owner
        self._server = server

    async def grant(self, holding: Assignment, life: timedelta, handover: str | None) -> int:
        if self._server.hold_grants is not None:
            await self._server.hold_grants.wait()
        self._server.calls.append(("grant", holding.first, holding.last, holding.fence))
        if self._server.silent:
            raise GrantCallError("grant", self.owner.peer, "no answer in time", sent=True)
        return 200

    async def release(self, first: int, last: int, fence: int) -> Released:
        if self._server.silent:
            raise GrantCallError("release", self.owner.peer, "no answer in time", sent=True)
        self._server.calls.append(("release", first, last, fence))
        return Released("warm")

    async def reach(self) -> bool:
        return not self._server.silent

    def drop(self) -> None:
        return


class Bed:
    """A granter in memory with three servers."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.session.configuration = configuration(sharded=True)
        self.store = MemoryStore(self.clock)
        self.servers = {f"i-{n}": Server() for n in range(3)}
        for name in self.servers:
            self.session.put_backend(backend(name))
        self.grants = self.term()

    def term(self) -> ServiceGranter:
        return ServiceGranter(
            "s",
            self.session,
            self.store,
            Peers(self.session),
            TIMING,
            lambda owner: Link(owner, self.servers[owner.backend_id]),
        )

    async def begin(self) -> None:
        await asyncio.gather(self.grants._take_over(), self.settle())
        await self.renew()

    async def settle(self) -> None:
        self.clock.advance(5.0)

    async def renew(self) -> None:
        self.grants._renew_all()
        await self.drain()

    async def drain(self) -> None:
        while self.grants._tasks:
            await asyncio.gather(*self.grants._tasks, return_exceptions=True)

    def holder(self, key: int) -> str:
        holding = self.session.holding("s", key)
        assert holding is not None
        assert holding.owner is not None
        return holding.owner.backend_id

    async def round(self) -> None:
        self.session.store_contact_s = self.session.now_s
        await self.grants._round()
        await self.drain()


async def test_every_key_is_granted_once_under_a_stored_fence() -> None:
    bed = Bed()
    await bed.begin()
    stored = decode_map((await bed.store.get(SHARDS_PREFIX + "s")).value)
    for key in (0, 20_000, 65_535):
        granted = {name: s.fences(key) for name, s in bed.servers.items() if s.fences(key)}
        assert list(granted.values()) == [[stored.assignment_for(key).fence]]


async def test_a_renewal_under_way_does_not_renew_keys_that_have_moved_meanwhile() -> None:
    bed = Bed()
    await bed.begin()
    source = bed.session.holding("s", 0).owner
    server = bed.servers[source.backend_id]
    target = next(o for o in bed.session.shard_maps["s"].owners if o != source)
    last_piece = bed.session.shard_maps["s"].owned_by(source)[-1]
    # The renewal hangs at the server's first range while its last one moves.
    server.hold_grants = asyncio.Event()
    bed.grants._renew_all()
    await asyncio.sleep(0)
    move = Move(last_piece.first, last_piece.last, source, target)
    moving = asyncio.create_task(bed.grants._hand_out([(move, None)], []))
    while bed.holder(last_piece.first) != target.backend_id:
        await asyncio.sleep(0)
    server.hold_grants.set()
    before = len(server.fences(last_piece.first))
    await asyncio.gather(moving, bed.drain())
    assert len(server.fences(last_piece.first)) == before


async def test_keys_are_released_before_another_server_gets_them() -> None:
    bed = Bed()
    await bed.begin()
    leaving = bed.holder(0)
    bed.session.put_backend(backend(leaving, draining=True))
    await bed.round()
    assert bed.holder(0) != leaving
    new = bed.servers[bed.holder(0)]
    assert [c[0] for c in bed.servers[leaving].calls].count("release") == 2
    assert max(new.fences(0)) > max(bed.servers[leaving].fences(0))


async def test_a_silent_server_keeps_its_keys_until_its_hold_has_run_out() -> None:
    bed = Bed()
    await bed.begin()
    lost = bed.holder(0)
    bed.servers[lost].silent = True
    await bed.renew()
    await bed.round()
    assert bed.holder(0) == lost
    bed.clock.advance(TIMING.max_ttl_s - 0.1)
    await bed.round()
    assert bed.holder(0) == lost
    bed.clock.advance(0.2)
    await bed.round()
    assert bed.holder(0) != lost


async def test_a_server_that_began_a_later_life_is_replaced_at_once_under_a_new_fence() -> None:
    bed = Bed()
    await bed.begin()
    restarted = bed.holder(0)
    old_fence = max(bed.servers[restarted].fences(0))
    bed.session.put_backend(backend(restarted, born=2))
    await bed.round()
    holding = bed.session.holding("s", 0)
    assert holding.owner.born != 1 or holding.owner.backend_id != restarted
    assert holding.fence > old_fence


async def test_after_a_broken_call_only_new_fences_follow() -> None:
    bed = Bed()
    await bed.begin()
    shaky = bed.holder(0)
    old_fence = max(bed.servers[shaky].fences(0))
    bed.servers[shaky].silent = True
    await bed.renew()
    bed.servers[shaky].silent = False
    count = len(bed.servers[shaky].calls)
    bed.clock.advance(0.5)
    await bed.renew()
    assert len(bed.servers[shaky].calls) == count
    await bed.round()
    await bed.round()
    assert bed.holder(0) == shaky
    assert max(bed.servers[shaky].fences(0)) > old_fence


async def test_a_successor_takes_the_map_over_under_higher_fences() -> None:
    bed = Bed()
    await bed.begin()
    old = {key: bed.session.holding("s", key) for key in (0, 30_000, 65_535)}
    bed.grants = bed.term()
    await bed.grants._take_over()
    for key, holding in old.items():
        now = bed.session.holding("s", key)
        assert now.owner == holding.owner
        assert now.fence > holding.fence


async def test_a_lost_answer_of_the_store_does_not_end_granting() -> None:
    bed = Bed()
    await bed.begin()
    leaving = bed.holder(0)
    bed.session.put_backend(backend(leaving, draining=True))
    bed.store.lose_answers = 1
    await bed.round()
    stored = decode_map((await bed.store.get(SHARDS_PREFIX + "s")).value)
    assert stored == bed.session.shard_maps["s"]
    assert bed.holder(0) != leaving


async def test_a_later_life_is_asked_to_release_what_it_may_have_been_granted() -> None:
    """Soak seed 18: a grant meant for the earlier life had reached the later one."""
    bed = Bed()
    await bed.begin()
    restarted = bed.holder(0)
    bed.session.put_backend(backend(restarted, born=2))
    await bed.round()
    releases = [call for call in bed.servers[restarted].calls if call[0] == "release"]
    assert any(first == 0 for _, first, _, _ in releases)


async def test_a_later_life_that_does_not_answer_delays_the_move_until_grants_have_run_out() -> (
    None
):
    bed = Bed()
    await bed.begin()
    restarted = bed.holder(0)
    bed.session.put_backend(backend(restarted, born=2))
    bed.servers[restarted].silent = True
    await bed.round()
    assert bed.session.holding("s", 0).owner.born == 1
    bed.clock.advance(TIMING.max_ttl_s + 0.1)
    await bed.round()
    assert bed.session.holding("s", 0).owner != Owner(restarted, 1, "127.0.0.1", 80)
