"""Periodic maintenance: expire reports and idle connections, detect overdue responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.session.cold_entries import record_warm_servers
from fuchsiawell.gateway.session.queue_reviews import review_queues

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.store_watcher import StoreWatcher
    from fuchsiawell.gateway.execute.connection_pool import ConnectionPool
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Maintenance"]

ROUND_INTERVAL_S = 0.1
# Queues, peers and connections that are no longer needed are dropped once in this many rounds.
ROUNDS_PER_CLEANUP = 10
# A response is overdue when it takes this many times the expected time.
OVERDUE_FACTOR = 2.5


class Maintenance:
    """Expire stale state of the session and of the connection pools."""

    def __init__(
        self, session: Session, pools: ConnectionPool, store_watcher: StoreWatcher
    ) -> None:
        self._session = session
        self._pools = pools
        self._store_watcher = store_watcher

    async def run(self) -> None:
        """Do a round of maintenance at each interval until cancelled."""
        rounds = 0
        while True:
            due_s = self._session.now_s + ROUND_INTERVAL_S
            await asyncio.sleep(ROUND_INTERVAL_S)
            self._session.metrics.observe("loop_delay", max(0.0, self._session.now_s - due_s))
            rounds += 1
            self._record_overdue()
            self._store_watcher.expire_backends()
            self._session.in_flight_counts.expire(self._session.now_s)
            record_warm_servers(self._session)
            self._session.wake_for_free_slots()
            # Requests that have just been woken for free slots are not reviewed.
            review_queues(self._session)
            if rounds % ROUNDS_PER_CLEANUP == 0:
                self._store_watcher.evacuations.log_progress()
                self._session.remove_stale_queues()
                self._session.remove_expired_peers()
                incarnation_ids = self._current_incarnations()
                self._pools.evict_stale(incarnation_ids)
                self._session.rate_limits.retain(incarnation_ids)
                self._session.cold_servers.retain(self._session.directory.by_id)
                self._session.server_loads.retain(incarnation_ids)
                self._session.server_rests.retain(incarnation_ids, self._session.now_s)
                self._session.leaving_servers.retain(incarnation_ids, self._session.now_s)
                self._session.directory.removed.expire(self._session.now_s)

    def _record_overdue(self) -> None:
        session = self._session
        now_s = session.now_s
        for request in session.in_flight.values():
            expected_s = max(0.02, request.expected_duration_s)
            factor = (now_s - request.started_s) / expected_s
            # While no server responds at all, a missing response tells nothing of this one.
            if factor > OVERDUE_FACTOR and session.reachability.reached_since(
                request.started_s + expected_s
            ):
                session.latency_estimates.record_overdue(
                    request.backend_id, factor / OVERDUE_FACTOR, now_s
                )

    def _current_incarnations(self) -> set[str]:
        session = self._session
        incarnation_ids = {f"{b.id}/{b.incarnation}" for b in session.directory.by_id.values()}
        for shard_map in session.shard_maps.values():
            incarnation_ids |= {owner.incarnation_id for owner in shard_map.owners}
        return incarnation_ids
