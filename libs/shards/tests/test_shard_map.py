from __future__ import annotations

from itertools import pairwise
from random import Random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiawell.shards import (
    KEY_COUNT,
    Assignment,
    MapVersionError,
    Owner,
    ShardMap,
    decode_map,
    encode_map,
    initial_map,
)
from fuchsiawell.shards.planner import Member

OWNERS = [Owner(f"i-{n}", 1, "10.0.0.1", 80 + n) for n in range(3)]
MEMBERS = [Member(owner, 2.0) for owner in OWNERS]
RANGES = st.tuples(st.integers(0, KEY_COUNT - 1), st.integers(0, KEY_COUNT - 1)).map(sorted)


def covers_all_keys(shard_map: ShardMap) -> bool:
    assignments = shard_map.assignments
    contiguous = all(a.last + 1 == b.first for a, b in pairwise(assignments))
    return assignments[0].first == 0 and assignments[-1].last == KEY_COUNT - 1 and contiguous


def test_initial_map_assigns_all_keys_to_all_members() -> None:
    shard_map = initial_map("s", "d", MEMBERS)
    assert covers_all_keys(shard_map)
    assert set(shard_map.owners) == set(OWNERS)


@given(st.lists(st.tuples(RANGES, st.sampled_from(OWNERS)), max_size=8))
def test_assigned_range_gets_a_fence_above_all_earlier_ones(changes: list) -> None:
    shard_map = initial_map("s", "d", MEMBERS)
    for (first, last), owner in changes:
        highest = max(a.fence for a in shard_map.assignments)
        shard_map = shard_map.assign([(first, last, owner)])
        assert covers_all_keys(shard_map)
        assert shard_map.assignment_for(first).owner == owner
        assert shard_map.assignment_for(last).fence > highest
        assert shard_map.next_fence > shard_map.assignment_for(last).fence
    assert decode_map(encode_map(shard_map)) == shard_map


def test_next_term_raises_every_fence_and_joins_adjacent_ranges() -> None:
    shard_map = initial_map("s", "d", MEMBERS).split_around(100, 200)
    next_map = shard_map.next_term("e")
    assert covers_all_keys(next_map)
    assert next_map.granter == "e"
    assert next_map.term == shard_map.term + 1
    assert min(a.fence for a in next_map.assignments) >= shard_map.next_fence
    assert len(next_map.assignments) == 6


def test_merge_refuses_outdated_assignments() -> None:
    old = initial_map("s", "d", MEMBERS)
    new = old.assign([(0, 99, OWNERS[2])])
    newer = [a for a in new.assignments if a.first == 0]
    merged = old.merge(newer, new.next_fence)
    assert merged is not None
    assert merged.assignment_for(50).owner == OWNERS[2]
    assert new.merge(newer, new.next_fence) is None


@pytest.mark.parametrize(
    "data", [b"", b"\x00", b"junk", encode_map(initial_map("s", "d", MEMBERS))[:9]]
)
def test_decode_refuses_other_data(data: bytes) -> None:
    with pytest.raises(ValueError, match="shard map"):
        decode_map(data)


OWNER_ROW = ["i-1", 1, "10.0.0.1", 80]
RANGE = [0, 1, 0]
ODD_MAPS: dict[str, list[object]] = {
    "text as term": [1, "s", "d", "x", 5, [OWNER_ROW], [RANGE]],
    "term that is no number": [1, "s", "d", float("nan"), 5, [OWNER_ROW], [RANGE]],
    "term beyond 63 bits": [1, "s", "d", 2**64 - 1, 5, [OWNER_ROW], [RANGE]],
    "infinite fence": [1, "s", "d", 1, float("inf"), [OWNER_ROW], [RANGE]],
    "truth values": [1, "s", "d", True, True, [OWNER_ROW], [[False, True, 0]]],
    "list as service": [1, ["s"], "d", 1, 5, [OWNER_ROW], [RANGE]],
    "owner of lists": [1, "s", "d", 1, 5, [[[], [], [], []]], [RANGE]],
    "owner of four letters": [1, "s", "d", 1, 5, ["four"], [RANGE]],
    "owner with a port out of range": [1, "s", "d", 1, 5, [["i-1", 1, "h", 65536]], [RANGE]],
    "owner that is not there": [1, "s", "d", 1, 5, [OWNER_ROW], [[0, 1, 1]]],
    "no range": [1, "s", "d", 1, 5, [OWNER_ROW], []],
    "range of two fields": [1, "s", "d", 1, 5, [OWNER_ROW], [[0, 1]]],
    "ranges out of order": [1, "s", "d", 1, 5, [OWNER_ROW], [RANGE, [9, 2, 0], [5, 3, 0]]],
    "range twice": [1, "s", "d", 1, 5, [OWNER_ROW], [RANGE, [9, 2, 0], [9, 3, 0]]],
    "first keys missing": [1, "s", "d", 1, 5, [OWNER_ROW], [[1, 1, 0]]],
    "key out of range": [1, "s", "d", 1, 5, [OWNER_ROW], [RANGE, [65536, 2, 0]]],
    "version that is no number": [None, "s", "d", 1, 5, [OWNER_ROW], [RANGE]],
    "long text as version": ["v" * 100_000, "s", "d", 1, 5, [OWNER_ROW], [RANGE]],
}


# Guards against a map of another writer that is taken as the latest one: the next map was not
# comparable with it, and a list as an owner ended a control loop of each daemon again and again.
@pytest.mark.parametrize("row", ODD_MAPS.values(), ids=ODD_MAPS.keys())
def test_decode_refuses_maps_with_odd_fields(row: list[object]) -> None:
    with pytest.raises(ValueError, match="shard map") as caught:
        decode_map(msgpack.packb(row))
    assert len(str(caught.value)) < 200


@pytest.mark.parametrize(
    "data",
    [b"\x91" * 100_000, b"\x81\xa1a" * 50_000, b"\xa4\xff\xfe\xfd\xfc", b"\xdd\xff\xff\xff\xff"],
)
def test_decode_refuses_odd_bytes(data: bytes) -> None:
    with pytest.raises(ValueError, match="shard map"):
        decode_map(data)


def test_map_of_a_later_version_is_told_from_other_data() -> None:
    with pytest.raises(MapVersionError):
        decode_map(msgpack.packb([2, {"service": "s"}]))


def fence_and_owner_by_key(shard_map: ShardMap) -> dict[int, tuple[int, Owner | None]]:
    return {
        key: (assignment.fence, assignment.owner)
        for assignment in shard_map.assignments
        for key in range(assignment.first, assignment.last + 1)
    }


# Guards against maps that are spliced wrongly at the ends of a range.
@pytest.mark.parametrize("seed", range(3))
def test_changed_ranges_and_only_these_have_new_owners(seed: int) -> None:
    random = Random(seed)
    owners = [Owner(f"i-{number}", 1, "10.0.0.1", number) for number in range(5)]
    shard_map = initial_map("s", "d", [Member(owner, 1.0) for owner in owners])
    for _ in range(8):
        first = random.choice((0, 13107, random.randrange(KEY_COUNT)))
        last = min(KEY_COUNT - 1, first + random.choice((0, 1, 500, 40000)))
        owner = random.choice([None, *owners])
        expected = fence_and_owner_by_key(shard_map)
        expected |= dict.fromkeys(range(first, last + 1), (shard_map.next_fence, owner))
        new = Assignment(first, last, shard_map.next_fence, owner)
        merged = shard_map.merge([new], shard_map.next_fence + 1)
        shard_map = shard_map.assign([(first, last, owner)])
        assert merged == shard_map
        assert fence_and_owner_by_key(shard_map) == expected
        assert shard_map.merge([new], shard_map.next_fence) is None
    assert covers_all_keys(shard_map)
