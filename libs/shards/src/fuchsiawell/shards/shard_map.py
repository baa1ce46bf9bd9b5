"""Who holds which keys of a service: an immutable map, and its form in the store."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, replace
from functools import cached_property
from typing import TYPE_CHECKING

import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["KEY_COUNT", "Assignment", "Owner", "ShardMap", "decode_map", "encode_map"]

# Keys run from 0 to 65535.
KEY_COUNT = 65536
# Written with each map, so that a later version can tell an older form.
FORM = 1


@dataclass(frozen=True)
class Owner:
    """One life of a backend server that may hold keys."""

    backend_id: str
    born: int
    host: str
    port: int

    @property
    def incarnation_id(self) -> str:
        """Its name, unlike that of any other life."""
        return f"{self.backend_id}/{self.born}"

    @property
    def peer(self) -> str:
        """Its address, for logs."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Assignment:
    """Adjacent keys, both ends inclusive, and who may hold them under which fencing token."""

    first: int
    last: int
    fence: int
    owner: Owner | None

    @property
    def span(self) -> int:
        """How many keys it has."""
        return self.last - self.first + 1


@dataclass(frozen=True)
class ShardMap:
    """All keys of a service, in order; `next_fence` is above every fence that was ever used."""

    service: str
    # The daemon that grants in this term, empty once it has stopped in order.
    granter: str
    # Grows by one with each daemon that takes over the granting.
    term: int
    next_fence: int
    assignments: tuple[Assignment, ...]

    @cached_property
    def _starts(self) -> list[int]:
        return [holding.first for holding in self.assignments]

    def assignment_for(self, key: int) -> Assignment:
        """Return the holding that a key belongs to."""
        return self.assignments[bisect_right(self._starts, key) - 1]

    def owned_by(self, owner: Owner) -> list[Assignment]:
        """Return what an owner may hold."""
        return [holding for holding in self.assignments if holding.owner == owner]

    @property
    def owners(self) -> list[Owner]:
        """Return all owners, each once."""
        return list(dict.fromkeys(h.owner for h in self.assignments if h.owner is not None))

    def split_around(self, first: int, last: int) -> ShardMap:
        """Return the map with borders at `first` and behind `last`, owners and fences unchanged."""
        pieces: list[Assignment] = []
        for holding in self.assignments:
            borders = [holding.first]
            borders += [b for b in (first, last + 1) if holding.first < b <= holding.last]
            ends = [border - 1 for border in borders[1:]] + [holding.last]
            pieces += [
                replace(holding, first=start, last=end)
                for start, end in zip(borders, ends, strict=True)
            ]
        return replace(self, assignments=tuple(pieces))

    def assign(self, changes: Iterable[tuple[int, int, Owner | None]]) -> ShardMap:
        """Return the map with each changed range under a new owner and a fence of its own."""
        changed = self
        for first, last, owner in changes:
            changed = changed.split_around(first, last)
            fence = changed.next_fence
            kept = [h for h in changed.assignments if not first <= h.first <= last]
            kept.append(Assignment(first, last, fence, owner))
            kept.sort(key=lambda holding: holding.first)
            changed = replace(changed, assignments=tuple(kept), next_fence=fence + 1)
        return changed

    def merge(self, newer: Iterable[Assignment], next_fence: int) -> ShardMap | None:
        """Return the map with newer holdings put in, None where it already has a newer one."""
        merged = self
        for holding in newer:
            merged = merged.split_around(holding.first, holding.last)
            inside = [h for h in merged.assignments if holding.first <= h.first <= holding.last]
            if any(h.fence >= holding.fence for h in inside):
                return None
            kept = [h for h in merged.assignments if not holding.first <= h.first <= holding.last]
            kept = sorted([*kept, holding], key=lambda piece: piece.first)
            merged = replace(merged, assignments=tuple(kept))
        return replace(merged, next_fence=next_fence)

    def next_term(self, granter: str) -> ShardMap:
        """Return the map of the next term: same owners, every fence above all earlier ones.

        Neighbours with one owner become one holding, as they get a new fence anyway.
        """
        joined: list[Assignment] = []
        for holding in self.assignments:
            if joined and joined[-1].owner == holding.owner:
                joined[-1] = replace(joined[-1], last=holding.last)
            else:
                joined.append(holding)
        fence = self.next_fence
        assignments = tuple(
            replace(holding, fence=fence + index) for index, holding in enumerate(joined)
        )
        return replace(
            self,
            granter=granter,
            term=self.term + 1,
            assignments=assignments,
            next_fence=fence + len(assignments),
        )


def encode_map(shard_map: ShardMap) -> bytes:
    """Return a map's form in the store."""
    owners = shard_map.owners
    index = {owner: number for number, owner in enumerate(owners)}
    return bytes(
        msgpack.packb(
            [
                FORM,
                shard_map.service,
                shard_map.granter,
                shard_map.term,
                shard_map.next_fence,
                [[owner.backend_id, owner.born, owner.host, owner.port] for owner in owners],
                [
                    [h.first, h.fence, -1 if h.owner is None else index[h.owner]]
                    for h in shard_map.assignments
                ],
            ]
        )
    )


def decode_map(data: bytes) -> ShardMap:
    """Return the map of its form in the store; raises ValueError for anything else."""
    try:
        form, service, granter, term, next_fence, rows, pieces = msgpack.unpackb(data)
        owners = [Owner(*row) for row in rows]
        ends = [piece[0] - 1 for piece in pieces[1:]] + [KEY_COUNT - 1]
        assignments = tuple(
            Assignment(first, end, fence, owners[number] if number >= 0 else None)
            for (first, fence, number), end in zip(pieces, ends, strict=True)
        )
    except (msgpack.UnpackException, TypeError, ValueError, IndexError) as error:
        raise ValueError(f"not a shard map: {error}") from error
    if form != FORM or not assignments or assignments[0].first != 0:
        raise ValueError(f"not a shard map of form {FORM}")
    return ShardMap(service, granter, term, next_fence, assignments)
