"""Assignments that this daemon keeps for the granter, in case the store forgets them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fuchsiawell.shards import KEY_COUNT, Assignment, ShardMap

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["AssignmentReplicas"]


class AssignmentReplicas:
    """Assignments by service that are stored but perhaps not granted yet.

    Requests are not routed by them: a server refuses requests that arrive before its grant.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, ShardMap] = {}
        self._oldest_era: dict[str, int] = {}

    def accept(
        self,
        service: str,
        era: int,
        term: int,
        replica: Iterable[Assignment],
        known: ShardMap | None,
    ) -> bool:
        """Keep the assignments of a replica; return False if its term is over for this daemon.

        `known` is the map that this daemon routes by. What it has already is kept no longer.
        """
        if era < self._oldest_era.get(service, era):
            return False
        if known is not None and term < known.term:
            return False
        kept = [
            assignment
            for assignment in (*self._assignments(service), *replica)
            if known is None or assignment.fence >= known.next_fence
        ]
        self._by_service[service] = _unassigned(service).merge_newer(kept)
        return True

    def refuse_before(self, service: str, era: int) -> None:
        """Accept no replica of an earlier era: a granter of this one asks for the owners.

        It could not learn of a move that is confirmed after it has asked.
        """
        self._oldest_era[service] = max(era, self._oldest_era.get(service, era))

    def complete(self, service: str, known: ShardMap | None) -> ShardMap | None:
        """Return the known map with the assignments that are kept; None if there are neither."""
        if service not in self._by_service:
            return known
        if known is None:
            return self._by_service[service]
        return known.merge_newer(self._assignments(service))

    def _assignments(self, service: str) -> list[Assignment]:
        shard_map = self._by_service.get(service)
        if shard_map is None:
            return []
        return [a for a in shard_map.assignments if a.owner is not None]


def _unassigned(service: str) -> ShardMap:
    return ShardMap(service, "", 0, 1, (Assignment(0, KEY_COUNT - 1, 0, None),))
