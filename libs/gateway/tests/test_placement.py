"""Which requests get a slot, which wait in a queue, which are refused at once.

Guards against requests that occupy a queue until their deadline has passed, and against requests
sent to a server that does not own their key, as happens while a range moves or after a restart.
"""

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
class FakeBody:
    size_bytes: int = 0
    buffered: bytes = b""
    parts: list[bytes] = field(default_factory=list)


class PlacementHarness:
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
        self.placement = Placement(self.session)

    def request(self, key: int | None = None, timeout_s: float = 1.5) -> ClientRequest:
        now_s = self.clock.monotonic()
        route = self.session.configuration.routes[0]
        head = RequestHead(b"GET", b"/a/x", [])
        return ClientRequest(head, "q", route, "s", key, FakeBody(), now_s, now_s + timeout_s, 0)

    async def fill_all_slots(self) -> list:
        return [await self.placement.place(self.request()) for _ in range(8)]


async def test_request_waits_when_all_slots_are_taken_and_gets_the_next_free_one() -> None:
    harness = PlacementHarness()
    targets = await harness.fill_all_slots()
    assert {target.backend_id for target in targets} == {"i-0", "i-1"}
    waiting = asyncio.create_task(harness.placement.place(harness.request()))
    await asyncio.sleep(0)
    assert not waiting.done()
    harness.placement.release(targets[0])
    target = await waiting
    assert target.backend_id == targets[0].backend_id


async def test_request_without_servers_is_refused_at_once() -> None:
    refusal = await PlacementHarness(servers=0).placement.place(PlacementHarness().request())
    assert isinstance(refusal, Refusal)
    assert refusal.status == 503
    assert refusal.retry_after is not None


async def test_request_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    harness = PlacementHarness()
    await harness.fill_all_slots()
    refusal = await harness.placement.place(harness.request(timeout_s=0.05))
    assert isinstance(refusal, Refusal)


async def test_request_is_refused_when_expected_wait_exceeds_its_deadline() -> None:
    harness = PlacementHarness()
    await harness.fill_all_slots()
    queue = harness.session.admission_queue("s")
    for turn in range(6):
        queue.record_admission(1000.0 + turn * 2.0, waited_since_s=1000.0)
    refusal = await harness.placement.place(harness.request())
    assert isinstance(refusal, Refusal)
    assert "wait of" in refusal.reason


async def test_request_with_key_goes_to_owner_of_the_key() -> None:
    harness = PlacementHarness(sharded=True)
    for key in (0, 20_000, 40_000, 60_000):
        target = await harness.placement.place(harness.request(key))
        assert target.backend_id == harness.session.assignment("s", key).owner.backend_id
        assert target.fence == harness.session.assignment("s", key).fence


async def test_request_for_blocked_range_waits_for_new_owner() -> None:
    harness = PlacementHarness(sharded=True)
    harness.session.block_ranges("s", [(0, 100)])
    waiting = asyncio.create_task(harness.placement.place(harness.request(5)))
    await asyncio.sleep(0)
    assert not waiting.done()
    moved = harness.session.shard_maps["s"].assign([(0, 100, Owner("i-1", 1, "127.0.0.1", 80))])
    harness.session.apply_shard_map(moved, "test")
    target = await waiting
    assert target.backend_id == "i-1"


async def test_restarted_owner_gets_no_requests_under_the_old_shard_map() -> None:
    harness = PlacementHarness(sharded=True)
    owner = harness.session.assignment("s", 0).owner.backend_id
    harness.session.update_backend(backend(owner, incarnation=2))
    waiting = asyncio.create_task(harness.placement.place(harness.request(0)))
    await asyncio.sleep(0)
    assert not waiting.done()
    harness.clock.advance(0.6)
    harness.session.wake()
    assert isinstance(await waiting, Refusal)
