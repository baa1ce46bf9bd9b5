"""Grant the keys of one service: renew, move, and give the keys of lost servers to others."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient
from fuchsiawell.gateway.control.owner_health import OwnerHealth
from fuchsiawell.gateway.control.peer_messages import BlockedRanges, ShardMapUpdate
from fuchsiawell.gateway.control.server_view import ServerView
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError, ShardMapRecord
from fuchsiawell.shards import (
    GrantExpiryTracker,
    KeyRates,
    Member,
    Move,
    Owner,
    ShardMap,
    initial_map,
    plan_moves,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from fuchsiawell.gateway.control.peers import Peers
    from fuchsiawell.gateway.ports import Store
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import Assignment, GrantTiming

__all__ = ["ServiceGranter"]

# Time between two looks at what should move, in seconds.
PLAN_S = 0.2
# Before the first map: no further server for this time, or this time in all, in seconds.
SETTLED_S, FIRST_WAIT_S = 0.9, 4.0
# Delay of the renewal loop that shows that the process stood still, in seconds.
LONGEST_GAP_S = 0.8
# A range that will be free within this time is waited for inside a round.
SHORT_WAIT_S = 0.5
# Time that requests get to leave a range before it is taken back: a datagram to every daemon.
PAUSE_S = 0.01
# Time for which a range that moved is not moved again for load, in seconds: what its new holder's
# queue and pace tell takes a few seconds to settle.
SETTLE_S = 3.0
# Nothing is moved on news older than this, in seconds: a watch of two seconds and its answer.
FRESH_STORE_S = 3.0
ACCEPTED = 200


class ServiceGranter:
    """One term of granting the keys of one service."""

    def __init__(
        self,
        service: str,
        session: Session,
        store: Store,
        peers: Peers,
        timing: GrantTiming,
        open_link: Callable[[Owner], GrantClient],
    ) -> None:
        self.service = service
        self._session = session
        self._record = ShardMapRecord(service, store, session.log)
        self._peers = peers
        self._timing = timing
        self._open_link = open_link
        self._life = timedelta(seconds=timing.ttl_s)
        self._map: ShardMap | None = None
        self._book = GrantExpiryTracker(timing, float("-inf"))
        self._health = OwnerHealth()
        self._view = ServerView(service, session, self._health)
        self.paces = self._view.paces
        self._predecessor: str | None = None
        self._links: dict[Owner, GrantClient] = {}
        self._moving: set[tuple[int, int]] = set()
        # Ranges that are not renewed any more, and when they are surely free.
        self._free_at: dict[tuple[int, int], float] = {}
        self._renewing: dict[Owner, asyncio.Event] = {}
        # When ranges moved last.
        self._settled: dict[tuple[int, int], float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.rates = KeyRates()

    async def run(self) -> None:
        """Take over and grant until cancelled; raises GrantingLostError."""
        try:
            await self._take_over()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renew_loop())
                group.create_task(self._plan_loop())
        except* GrantingLostError:
            raise GrantingLostError from None
        finally:
            for task in self._tasks:
                task.cancel()
            for link in self._links.values():
                link.drop()

    async def stop(self) -> None:
        """Say in the store that this term has ended in order."""
        if self._map is not None:
            await self._record.end(self._map)

    def heard_terms(self, sender: str, terms: dict[str, int]) -> bool:
        """Take the terms another daemon knows; returns whether a later one than ours exists."""
        if self._map is None or self.service not in terms:
            return False
        if sender == self._predecessor and terms[self.service] >= self._map.term:
            self._book.predecessor_stopped(self._session.now_s)
        return terms[self.service] > self._map.term

    async def _take_over(self) -> None:
        me = self._session.settings.daemon
        while True:
            old_map = await self._record.read()
            now_s = self._session.now_s
            if old_map is None:
                new_map = initial_map(self.service, me, await self._first_members())
                may_renew_until = float("-inf")
            else:
                new_map = old_map.next_term(me)
                self._predecessor = old_map.granter
                ended = old_map.granter in ("", me)
                may_renew_until = now_s if ended else now_s + self._timing.renew_without_store_s
            if not await self._record.replace(new_map):
                continue
            self._book = GrantExpiryTracker(self._timing, may_renew_until)
            self._map = new_map
            self._session.take_map(new_map, "own term")
            self._session.log.event(
                "granting", service=self.service, term=new_map.term, owners=len(new_map.owners)
            )
            return

    async def _first_members(self) -> list[Member]:
        """Wait until the servers that start together have joined."""
        started_s = changed_s = self._session.now_s
        count = 0
        while True:
            members = self._view.members()
            now_s = self._session.now_s
            if len(members) != count:
                count, changed_s = len(members), now_s
            settled = now_s - changed_s >= SETTLED_S or now_s - started_s >= FIRST_WAIT_S
            if members and settled:
                return members
            await asyncio.sleep(PLAN_S)

    async def _renew_loop(self) -> None:
        last_s = self._session.now_s
        while True:
            gap_s = self._session.now_s - last_s
            if gap_s > self._timing.renew_interval_s + LONGEST_GAP_S and self._map is not None:
                self._session.log.warning("process stood still", seconds=round(gap_s, 3))
                await self._record.confirm(self._map.term)
            last_s = self._session.now_s
            self._renew_all()
            await asyncio.sleep(self._timing.renew_interval_s)

    async def _plan_loop(self) -> None:
        while True:
            await asyncio.sleep(PLAN_S)
            if self._session.now_s - self._session.store_contact_s < FRESH_STORE_S:
                await self._round()

    def _renew_all(self) -> None:
        assert self._map is not None
        for owner in self._map.owners:
            if owner not in self._renewing and self._health.may_renew(owner):
                self._renewing[owner] = asyncio.Event()
                self._spawn(self._renew(owner))

    async def _renew(self, owner: Owner) -> None:
        assert self._map is not None
        try:
            for holding in self._map.owned_by(owner):
                # The map may have changed while an earlier grant was on its way.
                if self._map.assignment_for(holding.first) == holding and not self._held_back(
                    holding
                ):
                    await self._grant(holding, None)
        except GrantCallError as error:
            self._failed(owner, error)
        finally:
            self._renewing.pop(owner).set()

    async def _grant(self, holding: Assignment, handover: str | None) -> None:
        owner = holding.owner
        assert owner is not None
        link = self._link(owner)
        try:
            status = await link.grant(holding, self._life, handover)
        except GrantCallError as error:
            if error.sent:
                self._book.unanswered(owner.incarnation_id, self._session.now_s)
            raise
        except asyncio.CancelledError:
            self._book.unanswered(owner.incarnation_id, self._session.now_s)
            raise
        if status == ACCEPTED:
            self._book.answered(owner.incarnation_id, self._session.now_s)
            if self._health.answered(owner):
                self._session.log.event("owner reached again", server=owner.backend_id)
            return
        self._session.log.warning(
            "grant refused", server=owner.backend_id, status=status, fence=holding.fence
        )
        self._health.refused(owner)

    def _failed(self, owner: Owner, error: GrantCallError) -> None:
        if self._health.failed(owner, error.sent, self._session.now_s):
            self._session.log.warning(
                "owner does not answer",
                server=owner.backend_id,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )

    async def _round(self) -> None:
        """Move what should move, and give new fences to servers that can be reached again."""
        assert self._map is not None
        now_s = self._session.now_s
        holders = set(self._map.owners)
        for owner in self._health.probes_due(holders, now_s):
            self._spawn(self._probe(owner))
        for owner in self._health.forget_empty(holders, now_s):
            self._book.forget(owner.incarnation_id)
        members = self._view.members()
        moves = self._due_moves(members, now_s) + self._planned_moves(members, now_s)
        touched = {(move.first, move.last) for move in moves}
        regrants: list[tuple[int, int, Owner | None]] = [
            (h.first, h.last, owner)
            for owner in self._health.need_fence()
            if not self._view.replaced(owner)
            for h in self._map.owned_by(owner)
            if not self._held_back(h)
            and not any(first <= h.last and h.first <= last for first, last in touched)
        ]
        if moves or regrants:
            await self._carry_out(moves, regrants)

    def _due_moves(self, members: list[Member], now_s: float) -> list[Move]:
        """Ranges whose hold has run out go to any member."""
        assert self._map is not None
        if not members:
            return []
        return [
            Move(
                first,
                last,
                self._map.assignment_for(first).owner,
                members[self._session.random.randrange(len(members))].owner,
            )
            for (first, last), free_at in self._free_at.items()
            if free_at <= now_s
        ]

    def _planned_moves(self, members: list[Member], now_s: float) -> list[Move]:
        assert self._map is not None
        frozen = {
            owner
            for owner in self._health.all_down
            if not self._surely_empty(owner, now_s) and not self._view.replaced(owner)
        }
        frozen |= {h.owner for h in self._map.assignments if self._held_back(h) and h.owner}
        self._settled = {p: at for p, at in self._settled.items() if now_s - at < SETTLE_S}
        rates = self.rates.rates(now_s)
        moves = plan_moves(self._map, members, rates, self._view.work_s(), frozen, self._settled)
        return [move for move in moves if (move.first, move.last) not in self._free_at]

    async def _carry_out(
        self, moves: list[Move], regrants: list[tuple[int, int, Owner | None]]
    ) -> None:
        assert self._map is not None
        pieces = [(move.first, move.last) for move in moves]
        for first, last in pieces:
            self._map = self._map.split_around(first, last)
        self._moving.update(pieces)
        try:
            if moves:
                self._session.pause(self.service, pieces)
                self._peers.broadcast(BlockedRanges(self.service, pieces))
                await asyncio.sleep(PAUSE_S)
            freed = await asyncio.gather(*(self._free(move) for move in moves))
            done = [
                (move, handover)
                for move, (free, handover) in zip(moves, freed, strict=True)
                if free
            ]
            await self._hand_out(done, regrants)
        finally:
            self._moving.difference_update(pieces)

    async def _hand_out(
        self,
        done: list[tuple[Move, str | None]],
        regrants: list[tuple[int, int, Owner | None]],
    ) -> None:
        """Store the new holders, then grant: a fence is never used before it is stored."""
        assert self._map is not None
        changes = [*((m.first, m.last, m.target) for m, _ in done), *regrants]
        if not changes:
            return
        new_map = self._map.assign(changes)
        await self._record.persist(new_map)
        self._map = new_map
        self._health.fenced({owner for _, _, owner in regrants if owner is not None})
        for move, _ in done:
            self._free_at.pop((move.first, move.last), None)
            self._settled[move.first, move.last] = self._session.now_s
        firsts = {first for first, _, _ in changes}
        fresh = [h for h in new_map.assignments if h.first in firsts]
        handovers = {move.first: handover for move, handover in done}
        await asyncio.gather(*(self._grant_new(h, handovers.get(h.first)) for h in fresh))
        # Only now, as requests that come before the grant are refused.
        self._peers.broadcast(ShardMapUpdate(self.service, new_map.term, new_map.next_fence, fresh))
        self._session.take_map(new_map, "own round")
        for move, handover in done:
            self._session.log.event(
                "keys moved",
                service=self.service,
                first=move.first,
                last=move.last,
                source=move.source.backend_id if move.source else None,
                target=move.target.backend_id,
                warm=handover is not None,
            )

    async def _grant_new(self, holding: Assignment, handover: str | None) -> None:
        owner = holding.owner
        assert owner is not None
        try:
            await self._grant(holding, handover)
        except GrantCallError as error:
            self._failed(owner, error)

    async def _free(self, move: Move) -> tuple[bool, str | None]:
        """Make sure that nobody holds a range; returns whether it is free, and the handover."""
        assert self._map is not None
        source, piece = move.source, (move.first, move.last)
        now_s = self._session.now_s
        if source is None or self._surely_empty(source, now_s):
            return True, None
        asked = self._view.current_life(source)
        if self._free_at.get(piece, float("inf")) <= now_s:
            return True, None
        fence = self._map.assignment_for(move.first).fence
        if source in self._renewing:
            await self._renewing[source].wait()
        try:
            released = await self._link(asked).release(move.first, move.last, fence)
        except GrantCallError as error:
            self._session.log.warning(
                "release not answered", step=error.step, peer=error.peer, reason=error.reason
            )
            # Not renewed any more, so the hold runs out.
            now_s = self._session.now_s
            free_at = self._book.silent_at(source.incarnation_id, now_s)
            if asked == source:
                free_at = max(free_at, now_s + self._timing.max_ttl_s)
            self._free_at[piece] = free_at
            return False, None
        free_at = self._book.released_at(source.incarnation_id, self._session.now_s)
        wait_s = free_at - self._session.now_s
        if wait_s > SHORT_WAIT_S:
            self._free_at[piece] = free_at
            return False, None
        await asyncio.sleep(max(0.0, wait_s))
        return True, released.handover

    async def _probe(self, owner: Owner) -> None:
        if await self._link(owner).reach():
            self._health.reached(owner)

    def _link(self, owner: Owner) -> GrantClient:
        link = self._links.get(owner)
        if link is None:
            link = self._links[owner] = self._open_link(owner)
        return link

    def _surely_empty(self, owner: Owner, now_s: float) -> bool:
        return self._health.down(owner) and now_s >= self._book.silent_at(
            owner.incarnation_id, now_s
        )

    def _held_back(self, holding: Assignment) -> bool:
        piece = (holding.first, holding.last)
        return piece in self._moving or piece in self._free_at

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
