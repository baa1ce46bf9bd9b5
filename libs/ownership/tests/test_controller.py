from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId
from fuchsiawell.ownership import (
    FIRST_PIN_INDEX,
    Assignment,
    CellSettings,
    Evidence,
    Fact,
    HandedOver,
    MoveShard,
    PinKey,
    Released,
    ServerLost,
    ServerReached,
    ServerReturned,
    ServerState,
    ShardState,
    UnpinKey,
    decide,
    first_assignment,
    may_write_first,
)
from fuchsiawell.platform import ENTRY_ROLE, Host, HostState

SERVICE = ServiceName("penwatch")
ZONES = ("lautoka", "saweni", "vuda")
DAEMONS = tuple(DaemonId(f"d{n}") for n in range(6))
ZONES_BY_DAEMON = {id: ZONES[n % 3] for n, id in enumerate(DAEMONS)}
HOSTS = tuple(
    Host(f"s{n:02}", SERVICE, f"127.0.0.1:{9000 + n}", ZONES[n % 3], HostState.LIVE)
    for n in range(12)
)
SETTINGS = CellSettings({SERVICE: 96}, {SERVICE: True})
NOW_S = 1000.0


def evidence(self_id: str = "d0", facts: set[Fact] | None = None, **changes: object) -> Evidence:
    base = Evidence(
        self_id=DaemonId(self_id),
        has_right=True,
        zones_by_daemon=ZONES_BY_DAEMON,
        incarnations_by_daemon=dict.fromkeys(DAEMONS, 1),
        acting=frozenset(DAEMONS),
        up_to_date=frozenset(DAEMONS),
        hosts=HOSTS,
        facts_by_daemon={DaemonId("d1"): frozenset(facts or set())},
        rebalanced_s=NOW_S,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def without(*gone: str) -> dict[str, object]:
    heard = [id for id in DAEMONS if id not in gone]
    return {
        "incarnations_by_daemon": dict.fromkeys(heard, 1),
        "acting": frozenset(heard),
        "lost": frozenset(DaemonId(id) for id in gone),
    }


def first() -> Assignment:
    made = first_assignment(CellName("viti-west"), evidence(), SETTINGS)
    return replace(made, revision=1)


def step(record: Assignment, seen: Evidence, now_s: float = NOW_S) -> Assignment:
    made = decide(record, seen, SETTINGS, now_s)
    return record if made is None else replace(made, revision=record.revision + 1)


def rests(record: Assignment, seen: Evidence) -> bool:
    return decide(record, seen, SETTINGS, NOW_S) is None


def owners(record: Assignment) -> Counter[str]:
    return Counter(str(shard.owner) for shard in record.shards_by_id.values())


def test_a_new_cell_is_spread_evenly_and_then_rests() -> None:
    record = first()
    assert set(owners(record).values()) == {8}
    assert set(Counter(s.leader for s in record.servers_by_id.values()).values()) == {2}
    for server in record.servers_by_id.values():
        assert server.leader is not None
        assert server.zone == ZONES_BY_DAEMON[server.leader]
    assert rests(record, evidence())


def test_a_new_cell_uses_daemons_that_cannot_act_yet() -> None:
    seen = evidence(acting=frozenset(), inactive=frozenset(DAEMONS[1:]))
    made = first_assignment(CellName("viti-west"), seen, SETTINGS)
    assert {server.leader for server in made.servers_by_id.values()} == set(DAEMONS)


@pytest.mark.parametrize(
    ("heard", "started_for_s", "may"),
    [(6, 0.9, False), (6, 1.0, True), (5, 4.9, False), (4, 5.0, True), (3, 19.9, False)],
)
def test_a_new_cell_waits_for_its_daemons(heard: int, started_for_s: float, may: bool) -> None:
    entries = tuple(Host(id, ENTRY_ROLE, id, "vuda", HostState.LIVE) for id in DAEMONS)
    seen = evidence(
        hosts=(*HOSTS, *entries),
        incarnations_by_daemon=dict.fromkeys(DAEMONS[:heard], 1),
        started_for_s=started_for_s,
    )
    assert may_write_first(seen) is may
    assert may_write_first(replace(seen, started_for_s=30.0))


def test_who_hears_no_majority_decides_nothing() -> None:
    assert rests(first(), evidence(has_right=False, **without("d1", "d2")))


def test_the_next_controller_waits_for_proof_and_for_its_rank() -> None:
    record = first()
    seen = without("d0")
    assert rests(record, evidence("d1", controller_lost_for_s=None))
    made = decide(record, evidence("d1", controller_lost_for_s=0.0, **seen), SETTINGS, NOW_S)
    assert made is not None
    assert (made.controller, made.controller_term) == (DaemonId("d1"), 2)
    assert "d0" not in {s.leader for s in made.servers_by_id.values()}
    assert rests(record, evidence("d2", controller_lost_for_s=0.1, **seen))
    assert not rests(record, evidence("d2", controller_lost_for_s=0.4, **seen))


def test_a_lost_zone_takes_two_writes_and_then_rests() -> None:
    record = first()
    gone = without("d2", "d5")  # zone vuda
    record = step(record, evidence(**gone, up_to_date=frozenset()))
    dead = [s for s in record.servers_by_id.values() if s.zone == "vuda"]
    assert {s.leader for s in dead}.isdisjoint({"d2", "d5"})
    facts: set[Fact] = {ServerLost(s.id, s.term) for s in dead}
    before = record
    record = step(record, evidence(facts=facts, **gone, up_to_date=frozenset()))
    assert set(owners(record).values()) == {12}
    for id, shard in record.shards_by_id.items():
        moved = before.shards_by_id[id].owner in {s.id for s in dead}
        assert shard.epoch == before.shards_by_id[id].epoch + moved
    assert rests(record, evidence(facts=facts, **gone, up_to_date=frozenset()))


def test_members_change_one_at_a_time_once_a_majority_holds_the_last_change() -> None:
    record = step(first(), evidence(**without("d4", "d5")))
    assert record.members == (*DAEMONS[:4], DAEMONS[5])
    assert rests(record, evidence(**without("d4", "d5"), up_to_date=frozenset(DAEMONS[:2])))
    assert step(record, evidence(**without("d4", "d5"))).members == DAEMONS[:4]


def test_a_daemon_that_joins_gets_servers_only_as_their_leaders_stop() -> None:
    seven = DaemonId("d6")
    joined = {
        "incarnations_by_daemon": dict.fromkeys((*DAEMONS, seven), 1),
        "acting": frozenset((*DAEMONS, seven)),
        "zones_by_daemon": {**ZONES_BY_DAEMON, seven: "lautoka"},
        "rebalanced_s": 0.0,
    }
    record = step(step(first(), evidence(**joined)), evidence(**joined))
    assert seven in record.members
    record = step(record, evidence(**joined))
    asked = [s for s in record.servers_by_id.values() if s.successor == seven]
    assert len(asked) == 1
    assert step(record, evidence(**joined)) == record
    server = asked[0]
    record = step(record, evidence(facts={HandedOver(server.id, server.term)}, **joined))
    assert record.servers_by_id[server.id].leader == seven
    assert record.servers_by_id[server.id].term == server.term + 1


def test_a_leaving_daemon_hands_over_all_at_once_and_then_leaves() -> None:
    record = step(first(), evidence(leaving=frozenset({DaemonId("d3")})))
    asked = [s for s in record.servers_by_id.values() if s.leader == "d3"]
    assert len(asked) == 2
    assert all(s.successor not in (None, "d3") for s in asked)
    stopped: set[Fact] = {HandedOver(s.id, s.term) for s in asked}
    record = step(record, evidence(facts=stopped, leaving=frozenset({DaemonId("d3")})))
    assert "d3" not in {s.leader for s in record.servers_by_id.values()}
    assert "d3" not in record.members


def test_a_member_that_lapsed_gets_new_terms_in_its_new_incarnation() -> None:
    record = first()
    lapsed = {"incarnations_by_daemon": {**dict.fromkeys(DAEMONS, 1), DaemonId("d4"): 2}}
    idle = {**lapsed, "acting": frozenset(DAEMONS) - {"d4"}}
    assert rests(record, evidence(**idle))
    made = step(record, evidence(**lapsed))
    assert made.incarnations_by_member[DaemonId("d4")] == 2
    for server in made.led_by(DaemonId("d4")):
        assert server.term == record.servers_by_id[server.id].term + 1


def test_a_leader_cut_off_from_all_its_servers_is_replaced_rather_than_they() -> None:
    record = first()
    led = list(record.led_by(DaemonId("d1")))
    facts: set[Fact] = {ServerLost(s.id, s.term) for s in led}
    made = step(record, evidence(facts=facts))
    for server in led:
        assert made.servers_by_id[server.id].state is ServerState.ACTIVE
        assert made.servers_by_id[server.id].leader != "d1"
    assert owners(made) == owners(record)


def test_reports_of_an_earlier_term_count_for_nothing() -> None:
    record = first()
    server = record.servers_by_id[ServerId("s03")]
    stale: set[Fact] = {ServerLost(server.id, server.term - 1), Released(ShardId(SERVICE, 0), 0)}
    assert rests(record, evidence(facts=stale))


def test_the_host_list_alone_loses_no_server() -> None:
    record = first()
    assert rests(record, evidence(hosts=HOSTS[:6]))
    assert rests(record, evidence(hosts=()))


def test_a_joining_server_gets_its_share_in_several_steps() -> None:
    new = Host("s99", SERVICE, "127.0.0.1:9999", "vuda", HostState.LIVE)
    hosts = (*HOSTS, new)
    record = step(first(), evidence(hosts=hosts))
    joined = record.servers_by_id[ServerId("s99")]
    assert joined.state is ServerState.JOINING
    due = {"hosts": hosts, "rebalanced_s": 0.0}
    assert rests(record, evidence(**due))  # not reached yet
    reached: set[Fact] = {ServerReached(joined.id, joined.term)}
    steps = 0
    while record.servers_by_id[joined.id].state is ServerState.JOINING:
        record = step(record, evidence(facts=reached, **due))
        moving = {id: s for id, s in record.shards_by_id.items() if s.state is ShardState.MOVING}
        assert len(moving) <= 1
        done: set[Fact] = {Released(id, s.epoch) for id, s in moving.items()}
        record = step(record, evidence(facts=reached | done, hosts=hosts))
        steps += 1
    assert steps >= 5
    assert owners(record)["s99"] >= 5


def test_a_draining_server_keeps_its_shards_until_they_are_released() -> None:
    hosts = (replace(HOSTS[0], state=HostState.LEAVING), *HOSTS[1:])
    record = step(first(), evidence(hosts=hosts))
    moving = {id: s for id, s in record.shards_by_id.items() if s.owner == "s00"}
    assert len(moving) == 8
    assert all(s.state is ShardState.MOVING for s in moving.values())
    assert rests(record, evidence(hosts=hosts))
    done: set[Fact] = {Released(id, s.epoch) for id, s in moving.items()}
    record = step(record, evidence(facts=done, hosts=hosts))
    assert owners(record)["s00"] == 0
    assert all(record.shards_by_id[id].epoch == s.epoch + 1 for id, s in moving.items())
    assert "s00" not in step(record, evidence(hosts=HOSTS[1:])).servers_by_id


def test_a_returned_server_joins_under_a_new_term() -> None:
    record = first()
    server = record.servers_by_id[ServerId("s05")]
    record = step(record, evidence(facts={ServerLost(server.id, server.term)}))
    assert owners(record)["s05"] == 0
    record = step(record, evidence(facts={ServerReturned(server.id, server.term)}))
    back = record.servers_by_id[server.id]
    assert (back.state, back.term) == (ServerState.JOINING, server.term + 1)


def test_a_pinned_key_moves_alone_and_comes_back() -> None:
    record = first()
    shard = record.shard_for(SERVICE, "pen-7")
    assert shard is not None
    home = record.shards_by_id[shard].owner
    away = next(id for id in record.servers_by_id if id != home)
    record = step(record, evidence(requests=(PinKey(SERVICE, "pen-7", away),)))
    pinned = ShardId(SERVICE, FIRST_PIN_INDEX)
    assert record.shard_for(SERVICE, "pen-7") == pinned
    moving = record.shards_by_id[pinned]
    assert (moving.owner, moving.moving_to, moving.state) == (home, away, ShardState.MOVING)
    record = step(record, evidence(facts={Released(pinned, moving.epoch)}))
    assert record.shards_by_id[pinned].owner == away
    unpin = evidence(requests=(UnpinKey(SERVICE, "pen-7"),))
    record = step(record, unpin)
    back = record.shards_by_id[pinned]
    record = step(record, evidence(facts={Released(pinned, back.epoch)}))
    record = step(record, unpin)
    assert record.shard_for(SERVICE, "pen-7") == shard
    again = step(record, evidence(requests=(PinKey(SERVICE, "pen-7", away),)))
    assert again.shards_by_id[pinned].epoch > back.epoch


@pytest.mark.parametrize("to", ["s00", "s01", "nobody"])
def test_moves_that_make_no_sense_are_ignored(to: str) -> None:
    record = step(first(), evidence(facts={ServerLost(ServerId("s01"), 1)}))
    shard = next(id for id, s in record.shards_by_id.items() if s.owner == "s00")
    seen = evidence(requests=(MoveShard(shard, ServerId(to)),))
    assert record.servers_by_id[ServerId("s01")].state is ServerState.LOST
    assert rests(record, seen)
