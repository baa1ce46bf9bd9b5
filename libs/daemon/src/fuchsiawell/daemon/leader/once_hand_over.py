"""Asking the earlier leader of a shard for its records, and answering such questions."""

from __future__ import annotations

import asyncio
from enum import StrEnum, unique
from typing import TYPE_CHECKING, Any

import msgpack

from fuchsiawell.core import FuchsiawellError, ServerId, ServiceName, ShardId
from fuchsiawell.once.hand_over_codec import hand_over_from_wire, hand_over_to_wire
from fuchsiawell.ownership import Fence

if TYPE_CHECKING:
    from collections.abc import Callable

    from fuchsiawell.core import DaemonId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.once import HandOver, Ledger
    from fuchsiawell.once.records import HandedScope
    from fuchsiawell.ownership import Assignment
    from fuchsiawell.transport import Peers

__all__ = ["HAND_OVER_KINDS", "HandOverKind", "HandOvers"]

WAIT_S = 0.25  # for the answers of all other daemons, before the journals are read
MAX_MESSAGE_BYTES = 3_000_000  # a larger hand-over is not sent; its ids end as unknown


@unique
class HandOverKind(StrEnum):
    """Name the control messages."""

    WANTED = "once-wanted"  # number, [service, index, server, term, epoch]...
    GIVEN = "once-given"  # number, [server, term, epoch, hand-over]...


HAND_OVER_KINDS = frozenset(HandOverKind)


class HandOvers:
    """Pass what the ledger knows of a shard to the leader that directly follows.

    The successor asks once its own fence is in force, so nothing more runs under the earlier one
    and what it is told is final.
    """

    def __init__(
        self, context: Context, state: CellState, ledger: Ledger, peers: Peers | None
    ) -> None:
        self._context = context
        self._state = state
        self._ledger = ledger
        self._peers = peers
        # Called where another leader's fence is in force, before its question is answered.
        self.on_superseded: Callable[[ShardId, Fence], None] = lambda shard, fence: None
        self._closed: dict[ShardId, tuple[Fence, HandedScope]] = {}
        self._number = 0
        self._given: list[tuple[Fence, HandOver]] = []
        self._awaited: set[DaemonId] = set()
        self._answered = asyncio.Event()

    def closed(self, shard: ShardId, fence: Fence, held: HandedScope) -> None:
        """Keep what a later leader may ask for, of a shard that was open under `fence`."""
        self._closed[shard] = (fence, held)

    @property
    def waiting(self) -> bool:
        """Tell whether a shard was closed whose next leader has not asked for it yet."""
        return bool(self._closed)

    async def ask(self, wanted: dict[ShardId, Fence]) -> dict[ShardId, HandOver]:
        """Return what direct predecessors hand over of the shards, within `WAIT_S`."""
        self._number += 1
        self._given, self._answered = [], asyncio.Event()
        shards = [
            [shard.service, shard.index, fence.server, fence.term, fence.epoch]
            for shard, fence in wanted.items()
        ]
        self._awaited = self._send_to_peers(HandOverKind.WANTED, [self._number, *shards])
        for shard in wanted:
            self._take_own(shard)
        if self._awaited:
            await asyncio.wait({asyncio.ensure_future(self._answered.wait())}, timeout=WAIT_S)
        self._awaited = set()
        return self._fitting(wanted)

    def on_control(self, sender: DaemonId, kind: str, body: Any) -> None:
        """Answer a question, or take an answer."""
        try:
            if kind == HandOverKind.WANTED:
                self._answer(sender, body[0], body[1:])
            elif body[0] == self._number and sender in self._awaited:
                self._take(sender, body[1:])
        except (FuchsiawellError, TypeError, ValueError, IndexError) as error:
            self._context.log.warning("bad hand-over", peer=sender, error=error)

    def _answer(self, sender: DaemonId, number: int, shards: list[list[Any]]) -> None:
        link = self._peers.ready_link(sender) if self._peers is not None else None
        if link is None:
            return
        given = []
        for service, index, server, term, epoch in shards:
            shard = ShardId(ServiceName(service), index)
            self.on_superseded(shard, Fence(ServerId(server), "", term, epoch))
            if shard in self._closed:
                fence, held = self._closed.pop(shard)
                wire = hand_over_to_wire(self._ledger.give([held]))
                given.append([fence.server, fence.term, fence.epoch, wire])
        message = [number, *given]
        if len(msgpack.packb(message)) > MAX_MESSAGE_BYTES:
            message = [number]
        link.send_control(HandOverKind.GIVEN, message)

    def _take(self, sender: DaemonId, given: list[list[Any]]) -> None:
        for server, term, epoch, wire in given:
            fence = Fence(ServerId(server), "", term, epoch)
            self._given.append((fence, hand_over_from_wire(wire, sender)))
        self._awaited.discard(sender)
        if not self._awaited:
            self._answered.set()

    def _take_own(self, shard: ShardId) -> None:
        if shard in self._closed:
            fence, held = self._closed.pop(shard)
            self._given.append((fence, self._ledger.give([held])))

    def _fitting(self, wanted: dict[ShardId, Fence]) -> dict[ShardId, HandOver]:
        assignment = self._state.assignment
        fitting = {}
        for before, given in self._given:
            for held in given.scopes:
                now = wanted.get(held.scope.shard)
                if now is not None and assignment is not None and _follows(assignment, before, now):
                    fitting[held.scope.shard] = given
        return fitting

    def _send_to_peers(self, kind: str, body: list[Any]) -> set[DaemonId]:
        """Send to all that can be reached: one that is leaving is no member any more."""
        reached: set[DaemonId] = set()
        if self._peers is None:
            return reached
        for peer in self._peers.addresses():
            link = self._peers.ready_link(peer)
            if link is not None and peer != self._context.settings.daemon:
                link.send_control(kind, body)
                reached.add(peer)
        return reached


def _follows(assignment: Assignment, before: Fence, now: Fence) -> bool:
    """Tell whether nobody can have led the shard between the two fences.

    Terms and epochs go up by one with each change. A shard that moved was led under the earlier
    server's term to its end, if that term is still the newest.
    """
    if before.server == now.server:
        return now.epoch == before.epoch and now.term == before.term + 1
    server = assignment.servers_by_id.get(before.server)
    unchanged = server is not None and server.term == before.term
    return unchanged and now.epoch == before.epoch + 1
