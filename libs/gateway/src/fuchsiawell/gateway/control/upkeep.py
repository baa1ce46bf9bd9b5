"""Small regular work: forget old reports and connections, notice overdue answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fuchsiawell.gateway.control.store_watcher import StoreWatcher
    from fuchsiawell.gateway.execute.pools import Pools
    from fuchsiawell.gateway.session.state import Session

__all__ = ["Maintenance"]

# Time between two rounds, in seconds.
ROUND_S = 0.1
# Rounds between two looks at idle connections.
SLOW_ROUNDS = 10
# An answer is overdue when it takes this many times the expected time.
OVERDUE_FACTOR = 2.5


class Maintenance:
    """Keep the session's tables fresh."""

    def __init__(self, session: Session, pools: Pools, follower: StoreWatcher) -> None:
        self._session = session
        self._pools = pools
        self._follower = follower

    async def run(self) -> None:
        """Do a round again and again."""
        rounds = 0
        while True:
            await asyncio.sleep(ROUND_S)
            rounds += 1
            self._note_overdue()
            self._follower.expire()
            self._session.loads.expire(self._session.now_s)
            self._session.wake_for_room()
            if rounds % SLOW_ROUNDS == 0:
                self._session.forget_lists()
                self._session.forget_peers()
                self._pools.keep_only(self._lives())

    def _note_overdue(self) -> None:
        session = self._session
        now_s = session.now_s
        for in_hand in session.in_hand.values():
            factor = (now_s - in_hand.started_s) / max(0.02, in_hand.expected_s)
            if factor > OVERDUE_FACTOR:
                session.estimates.overdue(in_hand.backend_id, factor / OVERDUE_FACTOR, now_s)

    def _lives(self) -> set[str]:
        session = self._session
        lives = {f"{b.id}/{b.born}" for b in session.directory.by_id.values()}
        for shard_map in session.shard_maps.values():
            lives |= {owner.incarnation_id for owner in shard_map.owners}
        return lives
