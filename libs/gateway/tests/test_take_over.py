"""A new granter begins with the newest owners known, and waits for all that may still grant."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.gateway.control.last_owners import COUNTERS_PER_ERA, knows_last_owners
from fuchsiawell.gateway.control.map_messages import NewerAssignments
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.shard_map_record import ShardMapRecord
from fuchsiawell.gateway.control.store_keys import PAST_GRANTERS_PREFIX, SHARDS_PREFIX
from fuchsiawell.gateway.control.take_over import take_over
from fuchsiawell.gateway.session.state import Peer
from fuchsiawell.shards import (
    KEY_COUNT,
    UNKNOWN_GRANTER,
    UNKNOWN_OWNERS,
    Assignment,
    GrantTiming,
    Owner,
    PastGranters,
    ShardMap,
    decode_map,
    decode_past_granters,
    encode_map,
    encode_past_granters,
)
from fuchsiawell.standins import (
    MemoryDatagrams,
    MemoryStore,
    VirtualClock,
    run_in_virtual_time,
)

from builders import log_events, session

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fuchsiawell.gateway.control.take_over import TermStart
    from fuchsiawell.gateway.session.state import Session

TIMING = GrantTiming()
FIRST, SECOND = Owner("i-1", 1, "i-1", 80), Owner("i-2", 1, "i-2", 80)
MAP_KEY, PAST_KEY = SHARDS_PREFIX + "s", PAST_GRANTERS_PREFIX + "s"


def _map(granter: str, term: int, *fences_and_owners: tuple[int, Owner]) -> ShardMap:
    count = len(fences_and_owners)
    assignments = tuple(
        Assignment(n * KEY_COUNT // count, (n + 1) * KEY_COUNT // count - 1, fence, owner)
        for n, (fence, owner) in enumerate(fences_and_owners)
    )
    next_fence = max(fence for fence, _ in fences_and_owners) + 1
    return ShardMap("s", granter, term, next_fence, assignments)


class Site:
    """Daemons d-1 to d-3 with a store; d-1 takes over."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.datagrams = MemoryDatagrams(Random(1), 0.002)
        self.sessions: dict[str, Session] = {}
        self.messengers: dict[str, PeerMessenger] = {}
        names = ("d-1", "d-2", "d-3")
        for name in names:
            daemon_session = session(cast("Any", self.clock), name)
            for other in names:
                if other != name:
                    daemon_session.update_peer(Peer(other, "x", other, 0))
            self.sessions[name] = daemon_session
            self.messengers[name] = PeerMessenger(daemon_session)
            self.datagrams.attach(name, self.messengers[name])

    def put(self, shard_map: ShardMap, past: PastGranters | None = None) -> None:
        self.store.put(MAP_KEY, encode_map(shard_map))
        if past is not None:
            self.store.put(PAST_KEY, encode_past_granters(past))

    async def take_over(self) -> TermStart:
        daemon_session = self.sessions["d-1"]
        record = ShardMapRecord("s", self.store, daemon_session.log)
        view: Any = None
        return await take_over(daemon_session, record, view, self.messengers["d-1"], TIMING)

    def waits_s(self, start: TermStart) -> dict[str, float]:
        """Return how long the new granter waits for whom."""
        now_s = self.clock.monotonic()
        return {n: round(until_s - now_s, 3) for n, until_s in start.renews_until_s.items()}

    def recorded(self) -> dict[str, float]:
        past = decode_past_granters(self.store.items[PAST_KEY].value or b"")
        assert past.term == decode_map(self.store.items[MAP_KEY].value or b"").term
        return dict(past.remaining_s_by_name)


def run(scenario: Callable[[Site], Awaitable[None]]) -> None:
    async def play() -> None:
        await scenario(Site())

    run_in_virtual_time(play())


def test_wait_for_each_earlier_granter_is_taken_over_and_handed_on() -> None:
    async def scenario(site: Site) -> None:
        past = PastGranters(4, {"d-2": 12.0, "d-8": 7.5, "d-1": 3.0})
        site.put(_map("d-2", 4, (9, FIRST)), past)
        start = await site.take_over()
        assert site.waits_s(start) == {"d-1": 0.0, "d-2": 12.0, "d-8": 7.5}
        assert site.recorded() == {"d-1": 12.0, "d-2": 12.0, "d-8": 7.5}
        assert start.shard_map.term == 5
        assert start.shard_map.assignments[0].fence > 9

    run(scenario)


# A granter that stopped as planned leaves no name in the map, but those that it waited for.
def test_nobody_is_waited_for_after_a_planned_stop_but_those_before() -> None:
    async def scenario(site: Site) -> None:
        site.put(_map("", 4, (9, FIRST)), PastGranters(4, {}))
        assert site.waits_s(await site.take_over()) == {"d-1": 0.0}
        site.put(_map("", 7, (19, FIRST)), PastGranters(7, {"d-9": 2.0}))
        assert site.waits_s(await site.take_over()) == {"d-1": 0.0, "d-9": 2.0}

    run(scenario)


# Guards against terms of an earlier release, which writes no record, that nobody waits for.
@pytest.mark.parametrize(
    ("term", "recorded_term", "unknown"),
    [(1, None, False), (2, None, True), (5, 4, False), (5, 3, True), (5, 5, False)],
)
def test_terms_without_a_record_count_as_granted_by_somebody(
    term: int, recorded_term: int | None, unknown: bool
) -> None:
    async def scenario(site: Site) -> None:
        past = None if recorded_term is None else PastGranters(recorded_term, {"d-2": 1.0})
        site.put(_map("d-3", term, (9, FIRST)), past)
        waits_s = site.waits_s(await site.take_over())
        assert waits_s["d-3"] == TIMING.renew_without_store_s
        assert waits_s.get(UNKNOWN_GRANTER) == (TIMING.renew_without_store_s if unknown else None)

    run(scenario)


@pytest.mark.parametrize("value", [b"", b"\xc1", b"\x93\x01\x04\x91\x92\xa1x\xff", b"\x90"])
def test_record_that_cannot_be_read_is_logged_and_counts_as_missing(value: bytes) -> None:
    async def scenario(site: Site) -> None:
        site.put(_map("d-3", 4, (9, FIRST)))
        site.store.put(PAST_KEY, value)
        waits_s = site.waits_s(await site.take_over())
        assert waits_s[UNKNOWN_GRANTER] == TIMING.renew_without_store_s
        events = log_events(
            site.sessions["d-1"],
            "record of past granters unreadable, waiting for any that may be left",
        )
        assert [event["key"] for event in events] == [PAST_KEY]

    run(scenario)


# Guards against owners of an older copy: the new granter missed a move that another daemon knows.
def test_first_granter_of_an_era_asks_the_others_for_moves_that_the_copy_lacks() -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 2
        site.put(_map("d-2", 1, (1, FIRST), (2, FIRST)))
        known = _map("d-2", 2, (11, FIRST), (12, FIRST))
        site.sessions["d-1"].apply_shard_map(known, "test")
        moved = known.assign([(0, 99, SECOND)])
        site.sessions["d-3"].apply_shard_map(moved, "test")
        for name in ("d-1", "d-3"):
            site.sessions[name].era_knowledge.record_listing(0)
        start = await site.take_over()
        assert start.shard_map.assignment_for(50).owner == SECOND
        assert start.shard_map.assignment_for(100).owner == FIRST
        (asked,) = log_events(site.sessions["d-1"], "owners asked of other daemons")
        terms = asked["stored_term"], asked["known_term"]
        assert (*terms, asked["newer"], asked["witnesses"], asked["daemons"]) == (1, 2, 1, 2, 3)
        assert start.shard_map.term > 2 * COUNTERS_PER_ERA
        assert min(a.fence for a in start.shard_map.assignments) > 2 * COUNTERS_PER_ERA
        assert site.waits_s(start)[UNKNOWN_GRANTER] == TIMING.renew_without_store_s
        # The next one finds a map of this era and asks nobody.
        sent = site.datagrams.sent
        later = await site.take_over()
        assert later.shard_map.term == start.shard_map.term + 1
        assert site.datagrams.sent == sent

    run(scenario)


# Guards against a first map over one that the copy is too old to have.
def test_map_that_the_copy_lacks_is_put_together_from_the_others() -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 2
        known = _map("d-2", 2, *[(n + 1, FIRST if n % 2 else SECOND) for n in range(256)])
        site.sessions["d-2"].apply_shard_map(known, "test")
        start = await site.take_over()
        assert [a.owner for a in start.shard_map.assignments] == [
            a.owner for a in known.assignments
        ]

    run(scenario)


LONGEST_S = TIMING.renew_without_store_s + TIMING.max_ttl_s
COPY = ((1, FIRST), (2, FIRST))


def _know_since(site: Site, era: int, *names: str) -> None:
    """Let daemons know the store, and the owners that it has, since an era."""
    for name in names:
        site.sessions[name].era_knowledge.record_listing(era)
        site.sessions[name].apply_shard_map(_map("d-2", 1, *COPY), "test")


def _restored_site(site: Site) -> None:
    site.store.era = 2
    site.put(_map("d-2", 1, *COPY))


async def _waited_s(site: Site) -> float:
    """Return how long a take-over takes, to a second."""
    started_s = site.clock.monotonic()
    start = await site.take_over()
    assert start.shard_map.granter == "d-1"
    assert UNKNOWN_OWNERS not in {*start.renews_until_s, *site.recorded()}
    return round(site.clock.monotonic() - started_s)


# Guards against keys with two owners (OWNER): the owners of a copy were granted their keys by a
# daemon that had started after the drill, and nobody was left who knew of moves since.
def test_copy_that_nobody_can_vouch_for_is_not_granted_while_its_owners_are_unknown() -> None:
    async def scenario(site: Site) -> None:
        _restored_site(site)
        _know_since(site, 2, "d-1", "d-2", "d-3")
        assert await _waited_s(site) == round(LONGEST_S)
        # The next granter of the era finds a map that has been waited for.
        assert await _waited_s(site) == 0

    run(scenario)


# The same for whoever follows a granter that is lost or stopped while it waits.
@pytest.mark.parametrize("after_s", [0.5, 10.0])
def test_granter_after_one_that_was_lost_while_it_waited_waits_too(after_s: float) -> None:
    async def scenario(site: Site) -> None:
        _restored_site(site)
        first = asyncio.create_task(site.take_over())
        await asyncio.sleep(after_s)
        first.cancel()
        assert decode_map(site.store.items[MAP_KEY].value or b"").granter == UNKNOWN_OWNERS
        left_s = site.recorded()[UNKNOWN_OWNERS]
        assert LONGEST_S - after_s <= left_s + 0.001 < LONGEST_S - after_s + 2.0 + 0.3
        assert await _waited_s(site) == round(left_s)

    run(scenario)


@pytest.mark.parametrize("late", ["d-1", "d-3"])
def test_copy_is_granted_at_once_if_most_daemons_know_the_owners_of_before(late: str) -> None:
    async def scenario(site: Site) -> None:
        _restored_site(site)
        _know_since(site, 2, late)
        _know_since(site, 0, *{"d-1", "d-2", "d-3"} - {late})
        assert await _waited_s(site) == 0

    run(scenario)


# One that is left may have missed the last moves, while it was cut off from the store and others.
@pytest.mark.parametrize("left", ["d-1", "d-3"])
def test_daemon_that_is_left_alone_does_not_vouch_for_the_copy(left: str) -> None:
    async def scenario(site: Site) -> None:
        _restored_site(site)
        _know_since(site, 0, left)
        _know_since(site, 2, *{"d-1", "d-2", "d-3"} - {left})
        assert await _waited_s(site) == round(LONGEST_S)

    run(scenario)


# A granter that has not heard of the new era yet takes its last moves into account when it ends.
def test_daemon_that_still_grants_vouches_for_nothing() -> None:
    async def scenario(site: Site) -> None:
        _restored_site(site)
        _know_since(site, 0, "d-1", "d-3")
        site.sessions["d-3"].granting_terms["s"] = 1
        assert await _waited_s(site) == round(LONGEST_S)

    run(scenario)


# Guards against a second copy of the store, from before the first one's owners were waited for: a
# daemon that has started in between knows them by the copy alone.
@pytest.mark.parametrize("granter", ["d-2", UNKNOWN_OWNERS])
def test_map_of_a_copy_is_not_vouched_for_in_the_next_era(granter: str) -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 3
        site.put(_map("d-2", 1, *COPY))
        in_era_2 = _map("d-2", 1, *COPY).next_term(granter, 2 * COUNTERS_PER_ERA)
        held = _map("d-2", 1, *COPY) if granter == "d-2" else in_era_2
        site.sessions["d-3"].era_knowledge.record_listing(2)
        site.sessions["d-3"].apply_shard_map(held, "test")
        assert not knows_last_owners(site.sessions["d-3"], "s", 3)
        assert await _waited_s(site) == round(LONGEST_S)
        granted = in_era_2.next_term("d-2").next_term("d-2", 3 * COUNTERS_PER_ERA)
        site.sessions["d-3"].apply_shard_map(granted, "test")
        assert knows_last_owners(site.sessions["d-3"], "s", 3)

    run(scenario)


# Guards against two owners of a key (OWNER): parts of a divided range share its fence, and all but
# one of them were lost, so that a move was not known, or its daemon vouched for nothing.
def test_all_parts_of_a_divided_range_are_heard() -> None:
    divided = _map("d-2", 1, (11, SECOND)).assign([(100, 199, FIRST)])
    assert [a.fence for a in divided.assignments] == [11, 12, 11]
    whole = _map("d-2", 1, (11, SECOND))
    for maps in ((divided, whole), (whole, divided)):
        replies = NewerAssignments()
        for number, known in enumerate(maps):
            replies.add(f"d-{number}", list(known.assignments))
            replies.add_witness(f"d-{number}", len(known.assignments))
        assert replies.witnesses == 2
        merged = _map("d-2", 1, (1, FIRST)).merge_newer(replies.in_order)
        owners = {key: merged.assignment_for(key).owner for key in (0, 99, 100, 199, 200, 65535)}
        assert owners == {
            0: SECOND,
            99: SECOND,
            100: FIRST,
            199: FIRST,
            200: SECOND,
            65535: SECOND,
        }


# Datagrams may be lost: assignments that have not arrived may be those that the copy lacks.
def test_daemon_whose_assignments_are_lost_vouches_for_nothing() -> None:
    newer = _map("d-2", 1, (11, FIRST), (12, SECOND))
    replies = NewerAssignments()
    replies.add_witness("d-3", 2)
    assert replies.witnesses == 0
    replies.add("d-3", list(newer.assignments[:1]))
    replies.add("d-3", list(newer.assignments[:1]))
    assert replies.witnesses == 0
    replies.add("d-3", list(newer.assignments[1:]))
    assert replies.witnesses == 1
    assert replies.in_order == list(newer.assignments)


# A daemon that is no witness, or one of 873f0cf, sends assignments without a word on that.
def test_assignments_alone_vouch_for_nothing() -> None:
    replies = NewerAssignments()
    replies.add("d-3", list(_map("d-2", 1, (11, FIRST)).assignments))
    assert replies.witnesses == 0


async def test_daemon_without_a_map_does_not_reply() -> None:
    site = Site()
    assert (await site.messengers["d-1"].request_assignments("s", 0, 2)).in_order == []
    site.sessions["d-1"].peers_by_name.clear()
    sent = site.datagrams.sent
    assert (await site.messengers["d-1"].request_assignments("s", 0, 2)).in_order == []
    assert site.datagrams.sent == sent
    await asyncio.sleep(0)
