"""The granter is elected once, and moves no keys by knowledge of the store that is too old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

import msgpack
import pytest
from move_site import MoveSite, run_moves

from fuchsiawell.core import ManualClock
from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.server_reach import ServerReach
from fuchsiawell.gateway.control.shard_map_record import GrantingLostError, ShardMapRecord
from fuchsiawell.gateway.control.store_keys import GRANTER_KEY, SHARDS_PREFIX
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.gateway.ports import StoreUnavailableError
from fuchsiawell.shards import Member, Owner, encode_map, initial_map
from fuchsiawell.standins import MemoryStore, VirtualClock, run_in_virtual_time

from builders import configuration, log_events, session

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

    from fuchsiawell.gateway.ports import Item, Write
    from fuchsiawell.gateway.session.state import Session


ELECTION_S = 0.6


def granter_of(local_session: Session, store: MemoryStore) -> Granter:
    local_session.configuration = configuration(sharded=True)
    peers = PeerMessenger(local_session)
    return Granter(
        local_session,
        store,
        cast("Any", None),
        peers,
        LeavingTracker(local_session, peers),
        ServerReach(local_session, ConnectionPool(local_session.clock)),
    )


class ElectionStore(MemoryStore):
    """Makes the first claim of the granter's key fail, carried out or not; records leases."""

    def __init__(self, clock: VirtualClock, applied: bool) -> None:
        super().__init__(clock)
        self.applied = applied
        self.failures, self.read_failures = 1, 0
        self.open_leases: set[int] = set()

    async def open_lease(self, ttl: timedelta) -> int:
        lease_id = await super().open_lease(ttl)
        self.open_leases.add(lease_id)
        return lease_id

    async def revoke_lease(self, lease_id: int) -> None:
        await super().revoke_lease(lease_id)
        self.open_leases.discard(lease_id)

    async def get(self, key: str) -> Item | None:
        if self.read_failures:
            self.read_failures -= 1
            raise StoreUnavailableError("get", "store", "response lost", maybe_applied=True)
        return await super().get(key)

    async def write(self, writes: Sequence[Write], remove: Sequence[str] = ()) -> int:
        if writes[0].key == GRANTER_KEY and self.failures:
            self.failures -= 1
            if self.applied:
                await super().write(writes, remove)
            raise StoreUnavailableError("write", "store", "response lost", maybe_applied=True)
        return await super().write(writes, remove)


# Guards against soak seeds 13 and 5049 (RECOVER): an election was carried out, its answer lost, and
# nobody granted until the lease ran out, 1 s later.
@pytest.mark.parametrize("read_failures", [0, 2])
def test_daemon_grants_when_the_answer_to_its_election_is_lost(read_failures: int) -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        store = ElectionStore(clock, applied=True)
        store.read_failures = read_failures
        task = asyncio.create_task(granter_of(local_session, store).run())
        await asyncio.sleep(ELECTION_S)
        assert local_session.granter == local_session.settings.daemon
        assert len(log_events(local_session, "granter elected")) == 1
        assert len(store.open_leases) == 1
        task.cancel()

    run_in_virtual_time(run())


# Guards against a claim that the store carries out later, under a lease that is still open: its
# daemon would count as granter and grant nothing.
def test_lease_of_an_election_that_was_not_carried_out_is_ended() -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        store = ElectionStore(clock, applied=False)
        task = asyncio.create_task(granter_of(local_session, store).run())
        while store.failures:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        assert not store.open_leases
        assert local_session.granter is None
        await asyncio.sleep(2 * ELECTION_S)
        assert local_session.granter == local_session.settings.daemon
        task.cancel()

    run_in_virtual_time(run())


# Guards against a granter that moves keys although its watch of the store is silent: renewals of
# its lease went on and were taken as proof that it knows all changes.
def test_renewal_of_the_lease_does_not_make_knowledge_of_the_store_younger() -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        task = asyncio.create_task(granter_of(local_session, MemoryStore(clock)).run())
        await asyncio.sleep(5.0)
        assert local_session.granter == local_session.settings.daemon
        assert local_session.store_age_s == clock.monotonic()
        task.cancel()

    run_in_virtual_time(run())


# Guards against a granter that steps down and is elected again for as long as the stored map of one
# service cannot be read, so that no service is granted.
def test_stored_map_that_cannot_be_read_does_not_end_the_granting_of_other_services() -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        store = MemoryStore(clock)
        store.put(SHARDS_PREFIX + "s", b"\x91" * 1000)
        task = asyncio.create_task(granter_of(local_session, store).run())
        await asyncio.sleep(20.0)
        assert len(log_events(local_session, "granter elected")) == 1
        (line,) = log_events(
            local_session, "stored shard map unreadable, its service is not granted"
        )
        assert line["key"] == SHARDS_PREFIX + "s"
        task.cancel()

    run_in_virtual_time(run())


# Guards against a daemon that stays granter without granting, where one of a later release could.
def test_granter_steps_down_for_a_map_of_a_later_version() -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        store = MemoryStore(clock)
        store.put(SHARDS_PREFIX + "s", msgpack.packb([2, {"service": "s"}]))
        task = asyncio.create_task(granter_of(local_session, store).run())
        await asyncio.sleep(20.0)
        assert len(log_events(local_session, "granting ended")) > 1
        task.cancel()

    run_in_virtual_time(run())


# Guards against a service that stays without a granter once its stored map can be read again.
def test_service_is_granted_once_its_stored_map_can_be_read() -> None:
    async def scenario(site: MoveSite) -> None:
        sound = encode_map(initial_map("s", "", [Member(Owner("i-0", 1, "127.0.0.1", 80), 1.0)]))
        for number, value in enumerate((b"junk", sound.replace(b"\xa1s", b"\xa1t"))):
            if number:
                await site.stop()
            site.store.put(SHARDS_PREFIX + "s", value)
            starting = asyncio.create_task(site.start())
            await asyncio.sleep(5.0)
            assert not starting.done()
            site.store.put(SHARDS_PREFIX + "s", sound)
            await starting
            assert site.owner_id(0) == "i-0"
        assert len(log_events(site.session, "granting")) == 2

    run_moves(scenario, servers=1)


async def test_granter_whose_stored_map_cannot_be_read_is_not_confirmed() -> None:
    clock = ManualClock(1000.0)
    store = MemoryStore(clock)
    store.put(SHARDS_PREFIX + "s", b"junk")
    with pytest.raises(GrantingLostError):
        await ShardMapRecord("s", store, session(clock).log).confirm(1)
