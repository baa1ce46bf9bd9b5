"""Terms and fences are never given out twice, whatever number the store counts its eras from."""

from __future__ import annotations

import io

import pytest

from fuchsiawell.core import LamportClock, ManualClock, open_event_log
from fuchsiawell.gateway.control.item_applier import ItemApplier
from fuchsiawell.gateway.control.last_owners import (
    COUNTERS_PER_ERA,
    MAX_COUNTED_ERA,
    begins_era,
    first_counter_floor,
    knows_last_owners,
)
from fuchsiawell.gateway.control.shard_map_record import ShardMapRecord
from fuchsiawell.gateway.control.store_keys import MAP_ERAS_PREFIX, decode_map_era
from fuchsiawell.gateway.ports import Item
from fuchsiawell.shards import KEY_COUNT, Assignment, Owner, PastGranters, ShardMap
from fuchsiawell.standins import MemoryStore

from builders import FakeRecordDecoder, log_events, session

OWNER = Owner("i-1", 1, "i-1", 80)
UNIX_S = 1_795_996_800
LARGE_ERAS = [MAX_COUNTED_ERA + 1, UNIX_S, UNIX_S * 1000, 2**63 - 3]
MAX_COUNTER = 2**62
# More terms and fences than a service gets in the seconds that a store forgets.
FORGOTTEN = 100_000


def _map(term: int, next_fence: int) -> ShardMap:
    return ShardMap("s", "d-2", term, next_fence, (Assignment(0, KEY_COUNT - 1, 1, OWNER),))


@pytest.mark.parametrize("era", LARGE_ERAS)
def test_map_of_a_large_era_begins_the_next_one(era: int) -> None:
    assert begins_era(era, None, None)
    assert not begins_era(era, _map(5, 9), era)
    assert begins_era(era + 1, _map(5, 9), era)
    # A daemon of an earlier release has written the map.
    assert begins_era(era, _map(5, 9), None)


def test_map_of_a_counted_era_is_told_by_its_fences() -> None:
    in_era_3 = _map(3 * COUNTERS_PER_ERA + 1, 3 * COUNTERS_PER_ERA + 2)
    assert not begins_era(3, in_era_3, None)
    assert begins_era(4, in_era_3, None)
    assert not begins_era(None, None, None)


@pytest.mark.parametrize("first_era", [1, MAX_COUNTED_ERA - 2, *LARGE_ERAS])
def test_counters_rise_with_each_era_whatever_the_store_forgets(first_era: int) -> None:
    era, map_era = first_era, None
    known = _map(1, 2).next_term("d-1", first_counter_floor(era, None, None))
    for _ in range(3):
        lost = known.next_term("d-3")
        assert lost.next_fence < known.next_fence + FORGOTTEN
        map_era, era = era, era + 1
        next_map = known.next_term("d-4", first_counter_floor(era, known, map_era))
        assert min(next_map.term, *(a.fence for a in next_map.assignments)) > (
            max(known.term, known.next_fence) + FORGOTTEN
        )
        assert next_map.next_fence < MAX_COUNTER
        known = next_map


def test_first_maps_of_two_eras_share_no_counters() -> None:
    for era in LARGE_ERAS[1:]:
        earlier, later = (first_counter_floor(e, None, None) for e in (era, era + 1))
        assert later - earlier >= COUNTERS_PER_ERA
        assert later < MAX_COUNTER


# Guards against a daemon that started with a copy and vouches for its owners in the next era.
@pytest.mark.parametrize("era", LARGE_ERAS)
def test_map_of_a_copy_is_not_vouched_for(era: int) -> None:
    local = session()
    local.era_knowledge.record_listing(era)
    local.apply_shard_map(_map(5, 9), "test")
    applier = ItemApplier(local, FakeRecordDecoder())
    key = MAP_ERAS_PREFIX + "s"
    applier.apply(Item(key, str(era - 1).encode(), 4))
    assert not knows_last_owners(local, "s", era + 1)
    applier.apply(Item(key, str(era).encode(), 5))
    assert knows_last_owners(local, "s", era + 1)
    # The copy of a later drill names the earlier era again.
    applier.apply(Item(key, str(era - 1).encode(), 6))
    assert knows_last_owners(local, "s", era + 1)


@pytest.mark.parametrize("value", [b"", b"-1", b"1.5", b"\xff", b"9" * 20, "\u0663".encode()])
async def test_unreadable_era_of_a_map_counts_as_an_earlier_one(value: bytes) -> None:
    with pytest.raises(ValueError, match="not the era of a map"):
        decode_map_era(value)
    local = session()
    ItemApplier(local, FakeRecordDecoder()).apply(Item(MAP_ERAS_PREFIX + "s", value, 4))
    assert local.era_knowledge.map_era("s") is None
    assert log_events(local, "era unreadable, ignored")
    store = MemoryStore(ManualClock(1000.0))
    store.era = UNIX_S
    store.put(MAP_ERAS_PREFIX + "s", value)
    record = ShardMapRecord("s", store, local.log)
    await record.read()
    assert await record.read_map_era() is None
    assert log_events(local, "era of the shard map unreadable, taken for an earlier one")


@pytest.mark.parametrize(("era", "is_stored"), [(None, False), (7, False), (UNIX_S, True)])
async def test_era_is_stored_with_the_first_map_of_a_term(era: int | None, is_stored: bool) -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.era = era
    log = open_event_log("d-1", clock, LamportClock(), stream=io.StringIO())
    record = ShardMapRecord("s", store, log)
    await record.read()
    assert await record.compare_and_swap(_map(5, 9), PastGranters(5, {}))
    assert (MAP_ERAS_PREFIX + "s" in store.items) == is_stored
    assert await record.read_map_era() == (era if is_stored else None)
