"""Replicate new owners of keys to most daemons before the keys are granted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fuchsiawell.gateway.control.map_messages import (
    MAX_ASSIGNMENTS,
    AssignmentReplica,
    ReplicaAck,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fuchsiawell.gateway.control.peers import PeerMessenger
    from fuchsiawell.gateway.control.shard_map_record import ShardMapRecord
    from fuchsiawell.gateway.session.state import Session
    from fuchsiawell.shards import Assignment, ShardMap

__all__ = ["AssignmentReplicator", "new_owners"]

# How often a replica is sent to the daemons that have not acknowledged it, as datagrams may be
# lost, and the wait for acknowledgements after each time. Nobody serves the keys meanwhile.
MAX_SENDS, ACK_WAIT_S = 4, 0.05


class AssignmentReplicator:
    """Send stored assignments to the other daemons, and count who keeps them.

    A granter of the store's next era believes the owners that most daemons know. So if most of
    them know of a move before its grant, the move is known even if the store forgets it and the
    granter is lost.
    """

    def __init__(self, session: Session, peers: PeerMessenger) -> None:
        self._session = session
        self._peers = peers
        self._last_number = 0
        self._senders_by_ack: dict[ReplicaAck, set[str]] = {}
        self._acked = asyncio.Event()
        self._last_failed = False
        peers.on_replica_ack = self._on_ack

    async def replicate(
        self, record: ShardMapRecord, stored_map: ShardMap, assignments: Sequence[Assignment]
    ) -> None:
        """Return once most daemons know assignments of a stored map, which may then be granted.

        If most daemons do not answer, as those that are lost or of an earlier release, the store
        must confirm that it still has the map; raises GrantingLostError. A store that names no era
        forgets nothing.
        """
        if record.era is None or not assignments:
            return
        if await self._send_to_most(stored_map, record.era, assignments):
            self._last_failed = False
            return
        self._last_failed = True
        await record.confirm_stored(stored_map)
        self._session.metrics.count("unreplicated_assignments", stored_map.service)
        self._session.log.warning(
            "new owners not acknowledged by most daemons, granted as the store still has them",
            service=stored_map.service,
            ranges=len(assignments),
            daemons=self._session.daemon_count,
        )

    async def _send_to_most(
        self, stored_map: ShardMap, era: int, assignments: Sequence[Assignment]
    ) -> bool:
        """Return whether most daemons have acknowledged; ask only once after a failure."""
        replicas = self._replicas(stored_map, era, assignments)
        self._senders_by_ack |= {_ack_of(replica): set() for replica in replicas}
        try:
            for _ in range(1 if self._last_failed else MAX_SENDS):
                for replica in replicas:
                    self._send(replica)
                if await self._wait_for_acks(replicas):
                    return True
        finally:
            for replica in replicas:
                del self._senders_by_ack[_ack_of(replica)]
        return False

    def _replicas(
        self, stored_map: ShardMap, era: int, assignments: Sequence[Assignment]
    ) -> list[AssignmentReplica]:
        replicas = []
        for start in range(0, len(assignments), MAX_ASSIGNMENTS):
            self._last_number += 1
            rows = list(assignments[start : start + MAX_ASSIGNMENTS])
            replicas.append(
                AssignmentReplica(stored_map.service, era, stored_map.term, self._last_number, rows)
            )
        return replicas

    def _send(self, replica: AssignmentReplica) -> None:
        acked = self._senders_by_ack[_ack_of(replica)]
        peers = self._session.peers_by_name.values()
        self._peers.send([peer for peer in peers if peer.name not in acked], replica)

    async def _wait_for_acks(self, replicas: Sequence[AssignmentReplica]) -> bool:
        """Wait for the acknowledgements of most daemons; return whether all have arrived."""
        try:
            async with asyncio.timeout(ACK_WAIT_S):
                while not all(self._is_known_to_most(replica) for replica in replicas):
                    self._acked.clear()
                    await self._acked.wait()
        except TimeoutError:
            return False
        return True

    def _is_known_to_most(self, replica: AssignmentReplica) -> bool:
        """Return whether most daemons have a replica; this one has it."""
        known = len(self._senders_by_ack[_ack_of(replica)]) + 1
        return 2 * known > self._session.daemon_count

    def _on_ack(self, sender: str, ack: ReplicaAck) -> None:
        senders = self._senders_by_ack.get(ack)
        if senders is not None and sender != self._session.settings.daemon:
            senders.add(sender)
            self._acked.set()


def new_owners(shard_map: ShardMap, known: ShardMap | None) -> list[Assignment]:
    """Return the assignments of a map whose owners a known map does not have."""
    return [
        a
        for a in shard_map.assignments
        if a.owner is not None and (known is None or known.owners_of(a.first, a.last) != {a.owner})
    ]


def _ack_of(replica: AssignmentReplica) -> ReplicaAck:
    return ReplicaAck(replica.service, replica.term, replica.number)
