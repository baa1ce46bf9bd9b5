"""Who gets a place, who waits, who is refused at once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.execute.forwarder import ClientRequest
from fuchsiawell.gateway.execute.placement import Placement
from fuchsiawell.gateway.execute.refusal import Refusal
from fuchsiawell.httpio import RequestHead
from fuchsiawell.shards import Member, Owner, initial_map

from builders import backend, configuration, session


@dataclass
class NoBody:
    size: int = 0
    held: bytes = b""
    parts: list[bytes] = field(default_factory=list)


class Bed:
    def __init__(self, sharded: bool = False, servers: int = 2) -> None:
        self.clock = ManualClock(1000.0)
        self.session = session(self.clock)
        self.session.configuration = configuration(sharded)
        for number in range(servers):
            self.session.update_backend(backend(f"i-{number}"))
        if sharded:
            owners = [Owner(f"i-{n}", 1, "127.0.0.1", 80) for n in range(servers)]
            self.session.apply_shard_map(
                initial_map("s", "d", [Member(o, 2.0) for o in owners]), "test"
            )
        self.placing = Placement(self.session)

    def request(self, key: int | None = None, due_s: float = 1.5) -> ClientRequest:
        now_s = self.clock.monotonic()
        route = self.session.configuration.routes[0]
        head = RequestHead(b"GET", b"/a/x", [])
        return ClientRequest(head, "q", route, "s", key, NoBody(), now_s, now_s + due_s, 0)

    async def fill(self) -> list:
        return [await self.placing.place(self.request()) for _ in range(8)]


async def test_places_are_given_until_every_server_is_full() -> None:
    bed = Bed()
    places = await bed.fill()
    assert {place.backend_id for place in places} == {"i-0", "i-1"}
    waiting = asyncio.create_task(bed.placing.place(bed.request()))
    await asyncio.sleep(0)
    assert not waiting.done()
    bed.placing.release(places[0])
    place = await waiting
    assert place.backend_id == places[0].backend_id


async def test_without_servers_a_request_is_refused_at_once() -> None:
    refusal = await Bed(servers=0).placing.place(Bed().request())
    assert isinstance(refusal, Refusal)
    assert refusal.status == 503
    assert refusal.retry_after is not None


async def test_a_request_that_cannot_be_done_in_time_is_refused_at_once() -> None:
    bed = Bed()
    await bed.fill()
    refusal = await bed.placing.place(bed.request(due_s=0.05))
    assert isinstance(refusal, Refusal)


async def test_a_wait_that_would_be_in_vain_is_not_begun() -> None:
    bed = Bed()
    await bed.fill()
    waiting = bed.session.waiting("s")
    for turn in range(6):
        waiting.started(1000.0 + turn * 2.0, waited_since_s=1000.0)
    refusal = await bed.placing.place(bed.request())
    assert isinstance(refusal, Refusal)
    assert "wait of" in refusal.reason


async def test_a_key_goes_to_its_holder() -> None:
    bed = Bed(sharded=True)
    for key in (0, 20_000, 40_000, 60_000):
        place = await bed.placing.place(bed.request(key))
        assert place.backend_id == bed.session.holding("s", key).owner.backend_id
        assert place.fence == bed.session.holding("s", key).fence


async def test_a_request_waits_while_its_key_moves() -> None:
    bed = Bed(sharded=True)
    bed.session.block_ranges("s", [(0, 100)])
    waiting = asyncio.create_task(bed.placing.place(bed.request(5)))
    await asyncio.sleep(0)
    assert not waiting.done()
    moved = bed.session.shard_maps["s"].assign([(0, 100, Owner("i-1", 1, "127.0.0.1", 80))])
    bed.session.apply_shard_map(moved, "test")
    place = await waiting
    assert place.backend_id == "i-1"


async def test_a_holder_that_began_a_later_life_gets_nothing_under_the_old_map() -> None:
    bed = Bed(sharded=True)
    holder = bed.session.holding("s", 0).owner.backend_id
    bed.session.update_backend(backend(holder, born=2))
    waiting = asyncio.create_task(bed.placing.place(bed.request(0)))
    await asyncio.sleep(0)
    assert not waiting.done()
    bed.clock.advance(0.6)
    bed.session.wake()
    assert isinstance(await waiting, Refusal)
