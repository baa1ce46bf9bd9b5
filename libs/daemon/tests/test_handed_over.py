from __future__ import annotations

import asyncio
import io
from types import SimpleNamespace
from typing import Any

from fuchsiawell.core import (
    LamportClock,
    ManualClock,
    ServerId,
    ServiceName,
    ShardId,
    open_event_log,
)
from fuchsiawell.daemon.leader.once_hand_over import HandOverKind, HandOvers
from fuchsiawell.daemon.leader.once_service import HAND_OVER_S, OnceService
from fuchsiawell.once import HandOver
from fuchsiawell.ownership import Fence

SHARD = ShardId(ServiceName("dropline"), 3)
FENCE = Fence(ServerId("s1"), "127.0.0.1:1", 4, 1)


class Stopping:
    """Hold one leader's side of a hand-over, and what it sent."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.stream = io.StringIO()
        self.sent: list[Any] = []
        log = open_event_log("stopping", self.clock, LamportClock(), stream=self.stream)
        settings = SimpleNamespace(daemon="d1")
        context: Any = SimpleNamespace(clock=self.clock, log=log, settings=settings)
        ledger: Any = SimpleNamespace(give=lambda held: HandOver((), (), (), 0.0))
        link = SimpleNamespace(send_control=lambda *sent: self.sent.append(sent))
        peers: Any = SimpleNamespace(ready_link=lambda id: link)
        state: Any = SimpleNamespace(assignment=None)
        self.hand_overs = HandOvers(context, state, ledger, peers)
        self.scopes = SimpleNamespace(any_open=False)
        self.service: Any = SimpleNamespace(
            _context=context, _scopes=self.scopes, _hand_overs=self.hand_overs
        )

    def wait(self) -> asyncio.Task[None]:
        return asyncio.create_task(OnceService.handed_over(self.service))


async def test_a_stop_waits_for_the_next_leader_to_ask() -> None:
    stopping = Stopping()
    held: Any = SimpleNamespace()
    stopping.hand_overs.closed(SHARD, FENCE, held)
    waiting = stopping.wait()
    await asyncio.sleep(0.05)
    assert not waiting.done()
    wanted = [1, [SHARD.service, SHARD.index, FENCE.server, FENCE.term + 1, FENCE.epoch]]
    stopping.hand_overs.on_control("d2", HandOverKind.WANTED, wanted)  # type: ignore[arg-type]
    await waiting
    assert [kind for kind, _ in stopping.sent] == [HandOverKind.GIVEN]


async def test_a_stop_does_not_wait_for_ever() -> None:
    stopping = Stopping()
    stopping.scopes.any_open = True  # nobody took the shard over
    waiting = stopping.wait()
    await asyncio.sleep(0.05)
    assert not waiting.done()
    stopping.clock.advance(HAND_OVER_S)
    await waiting
    assert "left without all hand-overs" in stopping.stream.getvalue()


async def test_a_daemon_that_is_no_member_any_more_is_asked_too() -> None:
    stopping = Stopping()
    peers = stopping.hand_overs._peers
    assert peers is not None
    peers.addresses = lambda: {"leaving": "127.0.0.1:1"}  # type: ignore[method-assign, dict-item]
    await stopping.hand_overs.ask({SHARD: FENCE})
    assert [kind for kind, _ in stopping.sent] == [HandOverKind.WANTED]
