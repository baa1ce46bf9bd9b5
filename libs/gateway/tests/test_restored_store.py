"""A store that comes back from an older copy gives out revisions and leases again.

Nothing that a daemon remembers of the earlier era may be compared with them, sent to followers or
used for a conditional write.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING, Any, cast

import pytest

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.item_applier import ItemApplier
from fuchsiawell.gateway.control.last_owners import COUNTERS_PER_ERA, counter_floor
from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
from fuchsiawell.gateway.control.membership import Membership
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.server_reach import ServerReach
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError, ShardMapRecord
from fuchsiawell.gateway.control.store_keys import DAEMONS_PREFIX, GRANTER_KEY, SHARDS_PREFIX
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.gateway.ports import Item, Write
from fuchsiawell.shards import KEY_COUNT, Assignment, Owner, ShardMap, encode_map
from fuchsiawell.standins import DaemonStore, MemoryStore

from builders import FakeRecordDecoder, backend, configuration, log_events, session
from store_site import StoreSite, run_site

if TYPE_CHECKING:
    from fuchsiawell.core import Clock

CONTACT_S = 3.0
RETURN_S = 2.2


def _map(granter: str, term: int = 1) -> ShardMap:
    owner = Owner("i-1", 1, "10.0.0.1", 80)
    return ShardMap("s", granter, term, 2, (Assignment(0, KEY_COUNT - 1, 1, owner),))


# Guards against a hub that sends its followers a mixture of two eras, where reused revisions have
# passed the remembered one before its next call.
@pytest.mark.parametrize("writes_after", [0, 3, 40])
def test_followers_get_changes_of_the_new_era(monkeypatch: Any, writes_after: int) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        site.add("hub")
        follower = site.add("d-2", hubs=["hub"])
        await site.wait_until(lambda: follower.version == 1)
        await asyncio.sleep(1.0)
        copy = site.store.copy()
        for version in range(2, 12):
            await site.age_of_change(follower, version)
        site.store.restore(copy)
        for number in range(writes_after):
            site.store.put(f"servers/i-{number}", b"good")
        site.configure(11)
        await asyncio.sleep(CONTACT_S)
        for daemon in site.daemons:
            assert daemon.version == 11
            assert len(daemon.session.directory.by_id) == writes_after
            assert log_events(daemon.session, "store came back from an older copy")
        assert await site.age_of_change(follower, 12) < CONTACT_S

    run_site(monkeypatch, scenario)


# Guards against an old configuration of the copy that comes back into force.
def test_older_configuration_of_a_copy_is_not_taken(monkeypatch: Any) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        daemon = site.add("d-1")
        await site.wait_until(lambda: daemon.version == 1)
        copy = site.store.copy()
        await site.age_of_change(daemon, 5)
        site.store.restore(copy)
        await asyncio.sleep(CONTACT_S)
        assert daemon.version == 5
        site.configure(3)
        await asyncio.sleep(CONTACT_S)
        assert daemon.version == 5
        assert await site.age_of_change(daemon, 6) < CONTACT_S

    run_site(monkeypatch, scenario)


# Guards against sound servers that are dropped, and restarted ones that are replaced by their
# former incarnations, because the copy is older than their entries.
def test_servers_that_the_copy_lacks_are_kept_until_they_had_time_to_return() -> None:
    clock = ManualClock(1000.0)
    local_session = session(clock)
    applier = ItemApplier(local_session, FakeRecordDecoder())
    applier.apply_listing([Item(f"servers/i-{n}", b"good", 10 + n) for n in range(3)])
    restarted = replace(backend("i-0"), incarnation=backend("i-0").incarnation + 1)
    local_session.update_backend(restarted)
    applier.apply_copy([Item("servers/i-0", b"good", 4), Item("servers/i-1", b"good", 5)])
    assert local_session.directory.by_id["i-0"] == restarted
    assert set(local_session.directory.by_id) == {"i-0", "i-1", "i-2"}
    assert applier.apply(Item("servers/i-1", None, 6))
    clock.advance(RETURN_S)
    assert set(local_session.directory.expire(local_session.now_s)) == {"i-1", "i-2"}


async def _until(condition: Any) -> None:
    async with asyncio.timeout(10):
        while not await condition():
            await asyncio.sleep(0.005)


# Guards against a daemon whose entry is gone until its next renewal, and which renews or ends a
# lease that is another's by now.
async def test_entry_is_written_again_at_once_and_the_old_lease_left_alone() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.era = 1
    copy = store.copy()
    view = DaemonStore(store)
    membership = Membership(session(clock), view)
    view.on_new_era = lambda _last, _era: membership.on_new_era()
    task = asyncio.create_task(membership.run())

    async def registered() -> bool:
        return DAEMONS_PREFIX + "d-1" in store.items

    await _until(registered)
    lease = store.items[DAEMONS_PREFIX + "d-1"].lease
    store.restore(copy)
    other = await store.open_lease(timedelta(seconds=60))
    assert other == lease
    store.put("other", b"x", other)
    await view.get("any")
    await _until(registered)
    assert store.items[DAEMONS_PREFIX + "d-1"].lease != other
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    store.restore(copy)
    other = await store.open_lease(timedelta(seconds=60))
    store.put("other", b"x", other)
    await view.get("any")
    await membership.leave(1.0)
    assert "other" in store.items


def _granter(view: DaemonStore, clock: Clock, name: str) -> Granter:
    local_session = session(cast("Any", clock), name)
    local_session.configuration = configuration(sharded=True)
    peers = PeerMessenger(local_session)
    return Granter(
        local_session,
        view,
        cast("Any", None),
        peers,
        LeavingTracker(local_session, peers),
        ServerReach(local_session, ConnectionPool(local_session.clock)),
    )


# Guards against an election that waits for a lease of the copy which is this daemon's own.
async def test_own_key_of_a_copy_is_claimed_again() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.era = 1
    view = DaemonStore(store)
    granter = _granter(view, clock, "d-1")
    assert await granter._win_election()
    store.restore(store.copy())
    granter._lease_id = None
    await view.get("any")
    assert await granter._win_election()
    assert store.items[GRANTER_KEY].lease == granter._lease_id
    assert not await _granter(DaemonStore(store), clock, "d-2")._claim_key(
        await store.open_lease(timedelta(seconds=1))
    )


# Guards against a conditional write that was read in one era and is carried out in the next, where
# another granter's map has the revision that it expects.
async def test_first_write_in_a_new_era_replaces_no_map_of_another_granter() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.era = 1
    copy = store.copy()

    async def elect(name: str, shard_map: ShardMap) -> tuple[ShardMapRecord, DaemonStore]:
        view = DaemonStore(store)
        granter = _granter(view, clock, name)
        assert await granter._win_election()
        guards = ((granter._election_key, granter._elected_at),)
        record = ShardMapRecord("s", view, granter._session.log, guards)
        assert await record.read() is None
        assert await record.compare_and_swap(shard_map)
        return record, view

    first, view = await elect("d-1", _map("d-1"))
    revision = store.items[SHARDS_PREFIX + "s"].revision
    store.restore(copy)
    other = _map("d-2")
    await elect("d-2", other)
    assert store.items[SHARDS_PREFIX + "s"].revision == revision
    assert view.era == 1
    with suppress(GrantingLostError):
        assert not await first.compare_and_swap(_map("d-1", 5))
    assert store.items[SHARDS_PREFIX + "s"].value == encode_map(other)
    with pytest.raises(GrantingLostError):
        await first.persist(_map("d-1", 6))
    assert store.items[SHARDS_PREFIX + "s"].value == encode_map(other)


# Guards against a granter that was suspended and goes on in its term, which the copy of the store
# names too: its successor in the new era may have moved keys.
async def test_term_of_an_earlier_era_is_not_confirmed_by_the_copy() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.era = 1
    record = ShardMapRecord("s", DaemonStore(store), session(clock).log)
    assert await record.read() is None
    assert await record.compare_and_swap(_map("d-1"))
    await record.confirm(1)
    store.restore(store.copy())
    with pytest.raises(GrantingLostError):
        await record.confirm(1)


def test_terms_and_fences_of_an_era_are_above_all_earlier_ones() -> None:
    assert counter_floor(None) == 0
    first = _map("d-1").next_term("d-1", counter_floor(1))
    assert first.term > COUNTERS_PER_ERA
    assert first.assignments[0].fence > COUNTERS_PER_ERA
    assert first.next_term("d-2", counter_floor(1)).term == first.term + 1
    second = _map("d-1").next_term("d-2", counter_floor(2))
    assert second.term > first.term + 1000
    assert second.assignments[0].fence > first.next_fence + 1000
    # Stays within what is stored, also for eras that are not counted from the first on.
    assert counter_floor(2**63 - 1) < 2**62


# Guards against a write of the map that the store carries out for a daemon without a lease.
async def test_map_is_not_written_after_the_lease_has_ended() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    view = DaemonStore(store)
    granter = _granter(view, clock, "d-1")
    assert await granter._win_election()
    guards = ((granter._election_key, granter._elected_at),)
    record = ShardMapRecord("s", view, granter._session.log, guards)
    await record.read()
    assert await record.compare_and_swap(_map("d-1"))
    clock.advance(1.1)
    assert not await record.compare_and_swap(_map("d-1", 2))
    await store.write([Write("x", b"", 0)])


# Guards against a zone that stays evacuated for good: it was taken back in the time that the store
# has forgotten, so no change says so any more (soak seed 1, "zone evacuated" for 90 s).
@pytest.mark.parametrize("written_again", [False, True])
def test_evacuation_that_the_copy_lacks_ends_unless_it_is_written_again(
    monkeypatch: Any, written_again: bool
) -> None:
    async def scenario(site: StoreSite) -> None:
        site.store.era = 1
        daemon = site.add("d-1")
        await site.wait_until(lambda: daemon.version == 1)
        copy = site.store.copy()
        site.store.put("evacuate/z1", b"{}")
        await site.wait_until(lambda: "z1" in daemon.session.evacuated_zones)
        site.store.restore(copy)
        await asyncio.sleep(1.0)
        assert "z1" in daemon.session.evacuated_zones
        if written_again:
            site.store.put("evacuate/z1", b"{}")
        for _ in range(40):
            await asyncio.sleep(0.1)
            daemon.watcher.expire_backends()
        assert ("z1" in daemon.session.evacuated_zones) == written_again

    run_site(monkeypatch, scenario)
