"""Most daemons know the new owner of keys before it is granted them; the rest may be lost or late.

Guards against two owners of a key (OWNER): a granter of the store's next era goes by the owners
that most daemons know, so a move that fewer know must not be granted.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.gateway.control.assignment_replication import (
    ACK_WAIT_S,
    MAX_SENDS,
    AssignmentReplicator,
    new_owners,
)
from fuchsiawell.gateway.control.map_messages import MAX_ASSIGNMENTS, ReplicaAck
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError, ShardMapRecord
from fuchsiawell.gateway.control.store_keys import SHARDS_PREFIX
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import KEY_COUNT, Assignment, Owner, ShardMap, encode_map
from fuchsiawell.standins import MemoryDatagrams, MemoryStore, VirtualClock, run_in_virtual_time

from builders import log_events, session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.gateway.session.state import Session

ERA = 2
ONE_WAY_S = 0.002
NAMES = ("d-1", "d-2", "d-3", "d-4", "d-5")
OTHERS = NAMES[1:]
FORMER, NEXT = Owner("i-1", 1, "i-1", 80), Owner("i-2", 1, "i-2", 80)
KNOWN = ShardMap("s", "d-1", 3, 8, (Assignment(0, KEY_COUNT - 1, 7, FORMER),))
MOVED = KNOWN.assign([(0, 99, NEXT)])
NOT_ACKNOWLEDGED = (
    "new owners not acknowledged by most daemons, granted as the store still has them"
)


class Site:
    """Five daemons, the first of which has stored a move."""

    def __init__(self, loss: float = 0.0) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.store.era = ERA
        self.datagrams = MemoryDatagrams(Random(1), ONE_WAY_S, loss)
        self.sessions: dict[str, Session] = {}
        self.messengers: dict[str, PeerMessenger] = {}
        for name in NAMES:
            daemon_session = session(cast("Any", self.clock), name)
            for other in set(NAMES) - {name}:
                daemon_session.update_peer(Peer(other, "x", other, 0))
            daemon_session.apply_shard_map(KNOWN, "test")
            self.sessions[name] = daemon_session
            self.messengers[name] = PeerMessenger(daemon_session)
            self.datagrams.attach(name, self.messengers[name])
        self.record = ShardMapRecord("s", self.store, self.sessions["d-1"].log)
        self.replicator = AssignmentReplicator(self.sessions["d-1"], self.messengers["d-1"])

    async def store_map(self, stored: ShardMap) -> None:
        self.store.put(SHARDS_PREFIX + "s", encode_map(stored))
        await self.record.read()

    async def replicate(self, stored: ShardMap = MOVED) -> float:
        """Store a map and replicate the assignments in it that are new; return how long it took."""
        await self.store_map(stored)
        started_s = self.clock.monotonic()
        new = [a for a in stored.assignments if a.fence >= KNOWN.next_fence]
        await self.replicator.replicate(self.record, stored, new)
        return self.clock.monotonic() - started_s

    async def owner_by(self, *answering: str, era: int = ERA + 1) -> Owner | None:
        """Return the owner of the first key by what some daemons tell a granter of an era."""
        for name in set(NAMES) - set(answering):
            self.datagrams.detach(name)
        self.datagrams.loss = 0.0
        self.datagrams.attach(
            "d-9", asker := PeerMessenger(session(cast("Any", self.clock), "d-9"))
        )
        for name in NAMES:
            asker._session.update_peer(Peer(name, "x", name, 0))
            self.sessions[name].update_peer(Peer("d-9", "x", "d-9", 0))
        newer = await asker.request_assignments("s", KNOWN.next_fence, era)
        return KNOWN.merge_newer(newer.in_order).assignment_for(0).owner

    def silence(self, *names: str) -> None:
        for name in names:
            self.datagrams.detach(name)


def run(scenario: Callable[[Site], Awaitable[None]], loss: float = 0.0) -> None:
    async def play() -> None:
        await scenario(Site(loss))

    run_in_virtual_time(play())


def test_each_majority_knows_a_move_that_may_be_granted() -> None:
    async def scenario(site: Site) -> None:
        assert await site.replicate() == pytest.approx(2 * ONE_WAY_S)
        assert await site.owner_by("d-3", "d-4", "d-5") == NEXT

    run(scenario)


# Requests at the new owner would be refused before its grant.
def test_requests_are_not_routed_by_replicas() -> None:
    async def scenario(site: Site) -> None:
        await site.replicate()
        for name in OTHERS:
            assignment = site.sessions[name].assignment("s", 0)
            assert assignment is not None
            assert assignment.owner == FORMER

    run(scenario)


def _daemons_that_know(site: Site, assignment: Assignment) -> int:
    """Return how many of the other daemons keep an assignment."""
    completed = [site.sessions[n].assignment_replicas.complete("s", KNOWN) for n in OTHERS]
    return sum(m is not None and assignment in m.assignments for m in completed)


@pytest.mark.parametrize("ranges", [1, 2 * MAX_ASSIGNMENTS + 1])
def test_each_assignment_is_known_to_most_daemons_though_datagrams_are_lost(ranges: int) -> None:
    async def scenario(site: Site) -> None:
        stored = KNOWN.assign([(10 * n, 10 * n + 9, NEXT) for n in range(ranges)])
        await site.replicate(stored)
        assert not log_events(site.sessions["d-1"], NOT_ACKNOWLEDGED)
        counts = [_daemons_that_know(site, stored.assignment_for(10 * n)) for n in range(ranges)]
        assert 2 <= min(counts) < len(OTHERS)

    run(scenario, loss=0.4)


# The daemons that do not answer may be those of an earlier release: keys must still move. Only the
# first attempt waits for lost datagrams.
def test_move_that_most_daemons_do_not_acknowledge_is_granted_if_the_store_has_it() -> None:
    async def scenario(site: Site) -> None:
        site.silence("d-2", "d-3", "d-4")
        assert await site.replicate() == pytest.approx(MAX_SENDS * ACK_WAIT_S)
        assert await site.replicate() == pytest.approx(ACK_WAIT_S)
        events = log_events(site.sessions["d-1"], NOT_ACKNOWLEDGED)
        assert [(e["service"], e["ranges"], e["daemons"]) for e in events] == [("s", 1, 5)] * 2
        for name in OTHERS:
            site.datagrams.attach(name, site.messengers[name])
        assert await site.replicate() == pytest.approx(2 * ONE_WAY_S)

    run(scenario)


def test_move_that_neither_most_daemons_nor_the_store_know_is_not_granted() -> None:
    async def scenario(site: Site) -> None:
        site.silence("d-2", "d-3", "d-4")
        await site.store_map(MOVED)
        copy = site.store.copy()
        moved_on = MOVED.assign([(100, 199, NEXT)])
        await site.store_map(moved_on)
        site.store.restore(copy)
        with pytest.raises(GrantingLostError):
            await site.replicator.replicate(site.record, moved_on, [moved_on.assignment_for(100)])

    run(scenario)


def test_granter_that_reaches_neither_the_store_nor_most_daemons_waits() -> None:
    async def scenario(site: Site) -> None:
        site.silence("d-2", "d-3", "d-4")
        await site.store_map(MOVED)
        site.store.unavailable = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30.0):
                await site.replicator.replicate(site.record, MOVED, [MOVED.assignment_for(0)])

    run(scenario)


# Guards against a move that a granter of the next era can't have heard of: it was confirmed, after
# a delay, by daemons that had already told that granter what they know.
def test_replica_of_an_earlier_era_is_refused_after_a_granter_has_asked() -> None:
    async def scenario(site: Site) -> None:
        assert await site.owner_by(*OTHERS) == FORMER
        await site.store_map(MOVED)
        site.store.unavailable = True
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30.0):
                await site.replicator.replicate(site.record, MOVED, [MOVED.assignment_for(0)])
        replicas = site.sessions["d-2"].assignment_replicas
        assert replicas.accept("s", ERA + 1, KNOWN.term, [], KNOWN)
        assert not replicas.accept("s", ERA, KNOWN.term, [], KNOWN)
        assert replicas.accept("t", ERA, KNOWN.term, [], None)

    run(scenario)


def test_replica_of_an_earlier_term_is_refused() -> None:
    replicas = session().assignment_replicas
    assert not replicas.accept("s", ERA, KNOWN.term - 1, MOVED.assignments, KNOWN)
    assert replicas.complete("s", KNOWN) == KNOWN


# Guards against memory that grows with each move.
def test_replicas_that_the_map_has_are_dropped() -> None:
    replicas, known = session().assignment_replicas, KNOWN
    for number in range(1000):
        newer = known.assign([(number, number, NEXT)])
        assert replicas.accept("s", ERA, 3, [newer.assignment_for(number)], known)
        known = newer
    assert len(replicas._by_service["s"].assignments) <= 3


def test_daemon_without_a_map_keeps_replicas() -> None:
    replicas = session().assignment_replicas
    assert replicas.complete("s", None) is None
    assert replicas.accept("s", ERA, 1, MOVED.assignments, None)
    completed = replicas.complete("s", None)
    assert completed is not None
    assert completed.assignment_for(0).owner == NEXT
    assert completed.assignment_for(KEY_COUNT - 1).owner == FORMER


# An acknowledgement of an earlier life of the granter must not count for this one.
def test_acknowledgement_of_another_term_does_not_count() -> None:
    async def scenario(site: Site) -> None:
        site.silence(*OTHERS)
        replicating = asyncio.create_task(site.replicate())
        await asyncio.sleep(ACK_WAIT_S / 2)
        for name in OTHERS:
            site.replicator._on_ack(name, ReplicaAck("s", MOVED.term - 1, 1))
            site.replicator._on_ack("d-1", ReplicaAck("s", MOVED.term, 1))
        assert await replicating == pytest.approx(MAX_SENDS * ACK_WAIT_S)

    run(scenario)


# A store that names no era forgets nothing, so that nothing is sent.
def test_nothing_is_replicated_where_the_store_names_no_era() -> None:
    async def scenario(site: Site) -> None:
        site.store.era = None
        sent = site.datagrams.sent
        assert await site.replicate() == 0.0
        assert site.datagrams.sent == sent

    run(scenario)


# A granter sends what it has learned of others or of the store alone, and not the whole map.
@pytest.mark.parametrize(
    ("known", "new"),
    [
        (None, [(0, 99), (100, KEY_COUNT - 1)]),
        (KNOWN, [(0, 99)]),
        (MOVED.split_around(10, 19), []),
        (KNOWN.assign([(0, 49, NEXT)]), [(0, 99)]),
    ],
)
def test_new_owners_are_those_that_the_known_map_does_not_have(
    known: ShardMap | None, new: list[tuple[int, int]]
) -> None:
    assert [(a.first, a.last) for a in new_owners(MOVED.next_term("d-2"), known)] == new
