from __future__ import annotations

from dataclasses import replace

from fuchsiawell.config.configuration import Goal
from fuchsiawell.core import CellName, DaemonId, ServerId, ServiceName, ShardId, shard_of
from fuchsiawell.load.balancer import COOL_S, Balancer
from fuchsiawell.load.cell_load import CellLoad, merge_reports
from fuchsiawell.load.placement import evacuate
from fuchsiawell.load.report import HotKey, LoadReport, ServerLoad, ShardLoad
from fuchsiawell.load.service_view import ServiceView
from fuchsiawell.load.weights import IMBALANCE_FIRST, UNAVAILABLE_FIRST, weights_for
from fuchsiawell.ownership.assignment import (
    FIRST_PIN_INDEX,
    Assignment,
    ServerRecord,
    ServerState,
    ShardRecord,
    ShardState,
)
from fuchsiawell.ownership.evidence import MoveShard, PinKey, Request, UnpinKey

SERVICE = ServiceName("penwatch")
ZONES = ("lautoka", "saweni", "vuda")


def server_id(number: int) -> ServerId:
    return ServerId(f"s{number}")


def shard_id(index: int) -> ShardId:
    return ShardId(SERVICE, index)


def cell(servers: int, shards: int, states: dict[int, ServerState] | None = None) -> Assignment:
    records = {
        server_id(n): ServerRecord(
            server_id(n),
            SERVICE,
            "127.0.0.1:1",
            ZONES[n % len(ZONES)],
            None,
            1,
            (states or {}).get(n, ServerState.ACTIVE),
            True,
        )
        for n in range(servers)
    }
    owned = {
        shard_id(n): ShardRecord(server_id(n % servers), 1, ShardState.ASSIGNED)
        for n in range(shards)
    }
    return Assignment(CellName("viti-west"), None, 1, (), {SERVICE: shards}, records, owned)


def load_of(
    assignment: Assignment, busy: dict[int, float], keys: dict[str, float] | None = None
) -> CellLoad:
    return CellLoad(
        dict.fromkeys(assignment.servers_by_id, 4),
        {shard_id(index): value for index, value in busy.items()},
        {(SERVICE, key): value for key, value in (keys or {}).items()},
    )


def pin(assignment: Assignment, key: str, owner: int) -> ShardId:
    shard = shard_id(FIRST_PIN_INDEX + len(assignment.pins_by_key))
    assignment.shards_by_id[shard] = ShardRecord(server_id(owner), 1, ShardState.ASSIGNED)
    assignment.pins_by_key[SERVICE, key] = shard
    return shard


def propose_later(balancer: Balancer, load: CellLoad, assignment: Assignment) -> list[Request]:
    assert balancer.propose(load, assignment, 0.0) == []
    return balancer.propose(load, assignment, IMBALANCE_FIRST.sustain_s)


def test_leaves_a_level_cell_alone() -> None:
    assignment = cell(4, 16)
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    load = load_of(assignment, dict.fromkeys(range(16), 0.4))
    for now_s in range(100):
        assert balancer.propose(load, assignment, float(now_s)) == []


def test_moves_a_shard_from_the_busiest_to_the_idlest_once_it_lasts() -> None:
    assignment = cell(4, 16)
    busy = dict.fromkeys(range(16), 0.3) | {0: 0.6, 4: 0.6, 1: 0.1}
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    decisions = propose_later(balancer, load_of(assignment, busy), assignment)
    assert decisions[0] == MoveShard(shard_id(8), server_id(1))


def test_pins_a_hot_key_apart_rather_than_move_its_shard() -> None:
    assignment = cell(4, 16)
    key = "pen-7"
    home = shard_of(SERVICE, key, 16)
    owner = home.index % 4
    busy = dict.fromkeys(range(16), 0.3) | {home.index: 1.1}
    load = load_of(assignment, busy, {key: 0.5})
    decisions = propose_later(Balancer({SERVICE: IMBALANCE_FIRST}, 0.0), load, assignment)
    assert isinstance(decisions[0], PinKey)
    assert decisions[0].key == key
    assert decisions[0].to != server_id(owner)


def test_a_key_hotter_than_a_server_is_the_floor_and_loses_its_neighbours() -> None:
    assignment = cell(4, 16)
    pinned = pin(assignment, "pen-7", 0)
    load = load_of(assignment, dict.fromkeys(range(16), 0.2) | {pinned.index: 3.5})
    decisions = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0).propose(load, assignment, 0.0)
    assert decisions
    assert all(isinstance(d, MoveShard) and d.shard.index % 4 == 0 for d in decisions)
    assert pinned not in {decision.shard for decision in decisions}
    view = ServiceView(SERVICE, assignment, load)
    assert view.reference_load() == 3.5 / 4


def test_an_overloaded_server_is_relieved_without_waiting() -> None:
    assignment = cell(4, 16)
    load = load_of(assignment, dict.fromkeys(range(16), 0.4) | {0: 2.0, 4: 1.0})
    assert Balancer({SERVICE: UNAVAILABLE_FIRST}, 0.0).propose(load, assignment, 0.0)


def test_a_nearly_idle_cell_is_left_alone() -> None:
    assignment = cell(4, 16)
    load = load_of(assignment, {0: 0.3, 4: 0.2, 1: 0.01})
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    assert [balancer.propose(load, assignment, float(n)) for n in range(10)] == [[]] * 10


def test_the_budget_bounds_the_moves_of_a_minute() -> None:
    assignment = cell(2, 40)
    busy = {index: 0.1 * (1 - index % 2) for index in range(40)}
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    moves = 0
    for second in range(60):  # nothing is applied, so it proposes as often as it may
        moves += len(balancer.propose(load_of(assignment, busy), assignment, float(second)))
    assert 0 < moves <= 2 * IMBALANCE_FIRST.shard_moves_per_min


def test_does_not_move_what_is_moving_or_to_a_server_that_leaves() -> None:
    assignment = cell(4, 16, {1: ServerState.DRAINING})
    busy = dict.fromkeys(range(16), 0.3) | {0: 0.6, 4: 0.6, 1: 0.0, 5: 0.0, 9: 0.0, 13: 0.0}
    for index in (0, 4):
        record = assignment.shards_by_id[shard_id(index)]
        assignment.shards_by_id[shard_id(index)] = replace(
            record, state=ShardState.MOVING, moving_to=server_id(0)
        )
    load = load_of(assignment, busy)
    decisions = propose_later(Balancer({SERVICE: IMBALANCE_FIRST}, 0.0), load, assignment)
    assert decisions
    for decision in decisions:
        assert isinstance(decision, MoveShard)
        assert decision.to != server_id(1)
        assert decision.shard not in (shard_id(0), shard_id(4))


def test_a_cooled_key_goes_home_and_is_then_unpinned() -> None:
    assignment = cell(4, 16)
    key = "pen-7"
    home_owner = shard_of(SERVICE, key, 16).index % 4
    pinned = pin(assignment, key, (home_owner + 1) % 4)
    load = load_of(assignment, dict.fromkeys(range(16), 0.3))
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    assert balancer.propose(load, assignment, 0.0) == []
    assert balancer.propose(load, assignment, COOL_S) == [MoveShard(pinned, server_id(home_owner))]
    owned = ShardRecord(server_id(home_owner), 2, ShardState.ASSIGNED)
    assignment.shards_by_id[pinned] = owned
    assert balancer.propose(load, assignment, COOL_S + 1) == [UnpinKey(SERVICE, key)]


def test_a_fresh_pin_is_not_mistaken_for_a_cold_key() -> None:
    assignment = cell(4, 16)
    key = "pen-7"
    home = shard_of(SERVICE, key, 16)
    busy = dict.fromkeys(range(16), 0.3) | {home.index: 1.1}
    load = load_of(assignment, busy, {key: 0.4})
    balancer = Balancer({SERVICE: IMBALANCE_FIRST}, 0.0)
    pins = [d for d in propose_later(balancer, load, assignment) if isinstance(d, PinKey)]
    assert len(pins) == 1
    pinned = pin(assignment, key, int(pins[0].to[1:]))
    # The leaders' means still show the key's load under its old shard.
    for later in balancer.propose(load, assignment, IMBALANCE_FIRST.sustain_s + 1):
        assert isinstance(later, MoveShard)
        assert later.shard not in (home, pinned)


def test_a_lost_zone_is_placed_in_one_batch_over_the_live_servers() -> None:
    lost = {number: ServerState.LOST for number in range(0, 9, 3)}
    assignment = cell(9, 90, lost)
    busy = {index: 0.1 + index / 1000 for index in range(90)}
    moves = evacuate(load_of(assignment, busy), assignment)
    assert {move.shard for move in moves} == {shard_id(n) for n in range(90) if n % 9 in lost}
    for move in moves:
        record = assignment.shards_by_id[move.shard]
        assignment.shards_by_id[move.shard] = replace(record, owner=move.to)
    assert ServiceView(SERVICE, assignment, load_of(assignment, busy)).imbalance() < 1.05
    assert evacuate(load_of(assignment, busy), assignment) == []


def test_shards_of_a_joining_server_stay() -> None:
    assignment = cell(3, 30, {0: ServerState.JOINING})
    assert evacuate(load_of(assignment, {}), assignment) == []


def test_shards_of_unknown_load_are_spread_too() -> None:
    assignment = cell(3, 30, {0: ServerState.LOST})
    targets = [move.to for move in evacuate(load_of(assignment, {1: 0.5, 2: 0.5}), assignment)]
    assert abs(targets.count(server_id(1)) - targets.count(server_id(2))) <= 1


def test_reports_add_up_and_badly_known_keys_are_left_out() -> None:
    reports = [
        LoadReport(
            DaemonId(f"d{number}"),
            (ServerLoad(server_id(number), 1.0, 4, 0),),
            (ShardLoad(shard_id(5), 0.25),),
            (HotKey(SERVICE, "known", 0.5, 0.05), HotKey(SERVICE, "guess", 0.5, 0.4)),
        )
        for number in range(2)
    ]
    load = merge_reports(reports)
    assert load.busy_by_shard == {shard_id(5): 0.5}
    assert load.busy_by_key == {(SERVICE, "known"): 1.0}
    assert load.slots_by_server == {server_id(0): 4, server_id(1): 4}


def test_the_goal_chooses_the_weights() -> None:
    assert weights_for(Goal.IMBALANCE) is IMBALANCE_FIRST
    assert weights_for(Goal.UNAVAILABLE_TIME) is UNAVAILABLE_FIRST
