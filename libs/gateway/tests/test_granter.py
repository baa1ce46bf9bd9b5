"""The granter must not move keys by knowledge of the store that is too old."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from fuchsiawell.gateway.control.granter import Granter
from fuchsiawell.gateway.control.leaving_tracker import LeavingTracker
from fuchsiawell.gateway.control.peers import PeerMessenger
from fuchsiawell.gateway.control.server_reach import ServerReach
from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
from fuchsiawell.standins import MemoryStore, VirtualClock, run_in_virtual_time

from builders import configuration, session


# Guards against a granter that moves keys although its watch of the store is silent: renewals of
# its lease went on and were taken as proof that it knows all changes.
def test_renewal_of_the_lease_does_not_make_knowledge_of_the_store_younger() -> None:
    async def run() -> None:
        clock = VirtualClock()
        local_session = session(cast("Any", clock))
        local_session.configuration = configuration(sharded=True)
        store = MemoryStore(clock)
        peers = PeerMessenger(local_session)
        granter = Granter(
            local_session,
            store,
            cast("Any", None),
            peers,
            LeavingTracker(local_session, peers),
            ServerReach(local_session, ConnectionPool(local_session.clock)),
        )
        task = asyncio.create_task(granter.run())
        await asyncio.sleep(5.0)
        assert local_session.granter == local_session.settings.daemon
        assert local_session.store_age_s == clock.monotonic()
        task.cancel()

    run_in_virtual_time(run())
