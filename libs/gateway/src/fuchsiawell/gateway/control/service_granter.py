"""Grant the key ranges of one service: renew grants, move ranges, replace lost owners."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.assignment_replication import new_owners
from fuchsiawell.gateway.control.grant_client import GrantCallError, GrantClient
from fuchsiawell.gateway.control.move_planner import MovePlanner
from fuchsiawell.gateway.control.owner_health import OwnerHealth
from fuchsiawell.gateway.control.peer_messages import BlockedRanges, ShardMapUpdate
from fuchsiawell.gateway.control.range_moves import MovingRange, RangeMoves, Step
from fuchsiawell.gateway.control.range_releases import RangeReleases, ReleaseCalls
from fuchsiawell.gateway.control.server_view import ServerView
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError, ShardMapRecord
from fuchsiawell.gateway.control.take_over import take_over
from fuchsiawell.shards import Move, Owner, PastGranters, ShardMap

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from fuchsiawell.gateway.control.assignment_replication import AssignmentReplicator
    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.ports import Store
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import Assignment, GrantTiming

__all__ = ["ServiceGranter"]

REBALANCE_INTERVAL_S = 0.2
# A renewal round that is late by more than this shows that the process was suspended.
MAX_RENEW_DELAY_S = 0.8
# Nothing is moved by older knowledge of the store: longer than a watch and its response take.
MAX_STORE_AGE_S = 3.0
# The map is written at this interval while ranges become free: a write is a call to the store and
# wakes every daemon.
BATCH_INTERVAL_S = 0.25
# The first write after a pause waits for the other ranges of the same plan: idle owners answer
# their releases within a few milliseconds of each other.
COLLECT_S = 0.01
# No move begins while a write of the map, with its replication, takes longer: no server serves
# ranges that are free.
MAX_WRITE_S = 0.25
# New owners are announced after their grants, but no later: one that does not answer takes 1.1 s.
MAX_GRANT_WAIT_S = 0.25
ACCEPTED = 200


class ServiceGranter:
    """Grant the keys of one service during one term."""

    def __init__(
        self,
        service: str,
        session: Session,
        store: Store,
        peers: PeerMessenger,
        replicator: AssignmentReplicator,
        timing: GrantTiming,
        open_client: Callable[[Owner], GrantClient],
        guards: tuple[tuple[str, int], ...] = (),
    ) -> None:
        self.service = service
        self._session = session
        self._record = ShardMapRecord(service, store, session.log, guards)
        self._peers = peers
        self._replicator = replicator
        self._timing = timing
        self._open_client = open_client
        self._grant_ttl = timedelta(seconds=timing.ttl_s)
        self._map: ShardMap | None = None
        self._health = OwnerHealth()
        self._view = ServerView(service, session, self._health)
        self._releases = RangeReleases(session, timing, self._view, self._health, self._client)
        self.latency_factors = self._view.latency_factors
        self._clients: dict[Owner, GrantClient] = {}
        self._moves = RangeMoves()
        self._planner = MovePlanner(session, self._view, self._health, self._releases, self._moves)
        # Set when there may be ranges to be stored.
        self._may_store = asyncio.Event()
        self._release_calls = ReleaseCalls(self._releases, self._may_store.set)
        self._write_started_s: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.key_rates = self._planner.key_rates

    async def run(self) -> None:
        """Take over and grant until cancelled; raises GrantingLostError."""
        try:
            await self._take_over()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._renew_loop())
                group.create_task(self._rebalance_loop())
                group.create_task(self._store_loop())
        except* GrantingLostError:
            raise GrantingLostError from None
        finally:
            self._cancel_calls()
            self._session.granting_terms.pop(self.service, None)
            if self._map is not None:
                # What was stored last may not be announced yet, and the store may forget it.
                self._session.apply_shard_map(self._map, "own term")

    async def stop(self, lease_ended: bool = False) -> None:
        """Record in the store that this term has ended cleanly."""
        if lease_ended:
            self._record.guards = ()
        if self._map is not None:
            remaining_s = self._releases.expiry.remaining_s_by_granter(self._session.now_s)
            await self._record.record_end(self._map, PastGranters(self._map.term, remaining_s))

    def apply_terms(self, sender: str, terms: dict[str, int]) -> bool:
        """Apply the terms another daemon reported; return whether one is later than this one."""
        if self._map is None or self.service not in terms:
            return False
        if terms[self.service] >= self._map.term:
            self._releases.expiry.record_granter_stopped(sender, self._session.now_s)
        return terms[self.service] > self._map.term

    @property
    def moving_ranges(self) -> int:
        """Return the number of ranges whose requests are held back."""
        return len(self._moves.held)

    def _cancel_calls(self) -> None:
        """Cancel all calls to owners, so that none is sent after this term."""
        self._release_calls.cancel()
        for task in self._tasks:
            task.cancel()
        for client in self._clients.values():
            client.abort()

    async def _take_over(self) -> None:
        start = await take_over(self._session, self._record, self._view, self._peers, self._timing)
        self._releases.start_term(start.renews_until_s)
        new_map = self._map = start.shard_map
        self._session.granting_terms[self.service] = new_map.term
        unknown = new_owners(new_map, self._session.shard_maps.get(self.service))
        await self._replicator.replicate(self._record, new_map, unknown)
        self._session.apply_shard_map(new_map, "own term")
        now_s = self._session.now_s
        self._session.log.event(
            "granting",
            service=self.service,
            term=new_map.term,
            owners=len(new_map.owners),
            waits_ms={
                name: round(1000 * remaining_s)
                for name, remaining_s in self._releases.expiry.remaining_s_by_granter(now_s).items()
            },
        )

    async def _renew_loop(self) -> None:
        last_s = self._session.now_s
        while True:
            gap_s = self._session.now_s - last_s
            if gap_s > self._timing.renew_interval_s + MAX_RENEW_DELAY_S and self._map is not None:
                self._session.log.warning("process stood still", seconds=round(gap_s, 3))
                await self._record.confirm(self._map.term)
            last_s = self._session.now_s
            self._renew_all()
            await asyncio.sleep(self._timing.renew_interval_s)

    async def _rebalance_loop(self) -> None:
        while True:
            await asyncio.sleep(REBALANCE_INTERVAL_S)
            self._rebalance()

    async def _store_loop(self) -> None:
        while True:
            if not self._may_store.is_set():
                await self._may_store.wait()
                await asyncio.sleep(COLLECT_S)
            self._may_store.clear()
            if await self._store_and_grant():
                await asyncio.sleep(BATCH_INTERVAL_S)

    def _renew_all(self) -> None:
        assert self._map is not None
        for owner in self._map.owners:
            if owner not in self._releases.renewing and self._health.may_renew(owner):
                self._releases.renewing[owner] = asyncio.Event()
                self._spawn(self._renew(owner))

    async def _renew(self, owner: Owner) -> None:
        assert self._map is not None
        try:
            for a in self._map.owned_by(owner):
                # The map may have changed while an earlier grant was in flight.
                if self._map.assignment_for(a.first) == a and not self._is_blocked(a):
                    await self._grant(a, None)
        except GrantCallError as error:
            self._record_failure(owner, error)
        finally:
            self._releases.renewing.pop(owner).set()

    async def _grant(self, assignment: Assignment, handover: str | None) -> None:
        owner = assignment.owner
        assert owner is not None
        client = self._client(owner)
        try:
            status = await client.grant(assignment, self._grant_ttl, handover)
        except GrantCallError as error:
            if error.sent:
                self._releases.expiry.record_unanswered(owner.incarnation_id, self._session.now_s)
            raise
        except asyncio.CancelledError:
            self._releases.expiry.record_unanswered(owner.incarnation_id, self._session.now_s)
            raise
        if status == ACCEPTED:
            self._releases.expiry.record_accepted(
                owner.incarnation_id, assignment.first, assignment.last, self._session.now_s
            )
            if self._health.record_accepted(owner):
                self._session.log.event("owner reached again", server=owner.backend_id)
            return
        self._session.log.warning(
            "grant refused", server=owner.backend_id, status=status, fence=assignment.fence
        )
        self._health.record_refused(owner)

    def _record_failure(self, owner: Owner, error: GrantCallError) -> None:
        if self._health.record_failure(owner, error.sent, self._session.now_s):
            self._session.log.warning(
                "owner does not answer",
                server=owner.backend_id,
                step=error.step,
                peer=error.peer,
                reason=error.reason,
            )

    def _rebalance(self) -> None:
        """Begin moves, and find servers that can be reached again."""
        assert self._map is not None
        now_s = self._session.now_s
        self._take_ended_releases()
        self._send_blocks(self._moves.blocks_due(now_s))
        write_started_s = self._write_started_s
        if self._session.store_age_s >= MAX_STORE_AGE_S or (
            write_started_s is not None and now_s - write_started_s > MAX_WRITE_S
        ):
            return
        owners = set(self._map.owners)
        for owner in self._health.probes_due(owners, now_s):
            self._spawn(self._probe(owner))
        for owner in self._health.forget_former_owners(owners, now_s):
            self._releases.expiry.forget(owner.incarnation_id)
        members = self._view.members()
        planned = self._planner.plan(self._map, members)
        self._moves.retarget(planned)
        expired = self._planner.expired(self._map, members)
        begun = self._moves.admit([*expired, *planned], self._planner.needs_release)
        for move in begun:
            self._map = self._map.split_around(move.first, move.last)
            self._moves.begin(move, now_s)
        self._send_blocks([(move.first, move.last) for move in begun])
        for move in begun:
            self._release_calls.start(move, self._map.assignment_for(move.first).fence)
        if self._moves.any_free or self._due_regrants():
            self._may_store.set()

    def _send_blocks(self, ranges: list[tuple[int, int]]) -> None:
        """Hold back requests for ranges at all daemons."""
        if ranges:
            self._session.block_ranges(self.service, ranges)
            self._peers.broadcast(BlockedRanges(self.service, ranges))

    def _take_ended_releases(self) -> None:
        for move, is_free, handover in self._release_calls.take_ended():
            self._moves.record_released(move, is_free, handover)

    def _due_regrants(self) -> list[tuple[Assignment, Owner]]:
        """Return the assignments that need a new fencing token, of owners that are reached again.

        An owner that has not answered a grant yet may still need one for that range as well.
        """
        assert self._map is not None
        if self._session.store_age_s >= MAX_STORE_AGE_S:
            return []
        return [
            (a, owner)
            for owner in self._health.awaiting_fence()
            if not self._view.has_restarted(owner) and not self._moves.is_granting_to(owner)
            for a in self._map.owned_by(owner)
            if not self._is_blocked(a)
        ]

    async def _store_and_grant(self) -> bool:
        """Store the owners of free ranges, then grant; return whether anything was stored.

        A fencing token is never used before it is stored.
        """
        assert self._map is not None
        session, now_s = self._session, self._session.now_s
        self._take_ended_releases()
        members = self._view.members()
        owners = {member.owner for member in members}
        if self._moves.has_lost_target(owners):
            self._moves.retarget(self._planner.plan(self._map, members))
        regrants = self._due_regrants()
        freed = self._moves.take_free(owners)
        if not freed and not regrants:
            return False
        regranted = [
            self._moves.begin_regrant(Move(a.first, a.last, owner, owner), now_s)
            for a, owner in regrants
        ]
        moving_by_first = {moving.move.first: moving for moving in [*freed, *regranted]}
        new_map = self._map.assign(
            [(m.move.first, m.move.last, m.move.target) for m in moving_by_first.values()]
        )
        self._write_started_s = now_s
        await self._record.persist(new_map)
        self._map = new_map
        # The write may have taken long: moves have begun and releases have failed meanwhile.
        for first, last in [*self._moves.ranges, *self._releases.expiring_ranges]:
            self._map = self._map.split_around(first, last)
        self._health.record_new_fence({owner for _, owner in regrants})
        for moving in freed:
            self._releases.record_reassigned(moving.move.first, moving.move.last)
            self._planner.record_moved(moving.move)
        assignments = [a for a in new_map.assignments if a.first in moving_by_first]
        moved = [a for a in assignments if not moving_by_first[a.first].is_regrant]
        await self._replicator.replicate(self._record, new_map, moved)
        self._write_started_s = None
        for moving in freed:
            moving.step = Step.GRANTING
        grants = [self._spawn(self._finish(moving_by_first[a.first], a)) for a in assignments]
        # Servers refuse requests that arrive before the grant.
        ended, _ = await asyncio.wait(grants, timeout=MAX_GRANT_WAIT_S)
        for grant in ended:
            grant.result()
        self._peers.broadcast(
            ShardMapUpdate(self.service, new_map.term, new_map.next_fence, assignments)
        )
        session.apply_shard_map(new_map, "own round")
        # A daemon of ee0f758 ends all blocks with each new map.
        self._send_blocks(self._moves.blocks_due(session.now_s, interval_s=0.0))
        return True

    async def _finish(self, moving: MovingRange, assignment: Assignment) -> None:
        """Grant a range that is stored for its new owner."""
        move = moving.move
        try:
            await self._try_grant(assignment, moving.handover)
        finally:
            self._moves.finish(moving)
        if moving.is_regrant:
            return
        took_s = self._session.now_s - moving.blocked_s
        self._session.metrics.observe("move_time", took_s)
        self._session.log.event(
            "keys moved",
            service=self.service,
            first=move.first,
            last=move.last,
            source=move.source.backend_id if move.source else None,
            target=move.target.backend_id,
            warm=moving.handover is not None,
            took_ms=round(took_s * 1000),
        )

    async def _try_grant(self, assignment: Assignment, handover: str | None) -> None:
        owner = assignment.owner
        assert owner is not None
        try:
            await self._grant(assignment, handover)
        except GrantCallError as error:
            self._record_failure(owner, error)

    async def _probe(self, owner: Owner) -> None:
        if await self._client(owner).is_reachable():
            self._health.record_reachable(owner)

    def _client(self, owner: Owner) -> GrantClient:
        client = self._clients.get(owner)
        if client is None:
            client = self._clients[owner] = self._open_client(owner)
        return client

    def _is_blocked(self, assignment: Assignment) -> bool:
        """Return whether a range moves, or waits for the end of its grant."""
        key_range = assignment.first, assignment.last
        return self._moves.overlaps(*key_range) or self._releases.is_expiring(*key_range)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
