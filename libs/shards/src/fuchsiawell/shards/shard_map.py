"""Immutable map from the keys of a service to their owners, and its encoding in the store."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, replace
from functools import cached_property
from typing import TYPE_CHECKING

import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "KEY_COUNT",
    "Assignment",
    "MapVersionError",
    "Owner",
    "ShardMap",
    "decode_map",
    "encode_map",
]

# Keys run from 0 to 65535.
KEY_COUNT = 65536
# Written with each map, so that a later version can recognise an older format.
FORMAT_VERSION = 1
# Terms and fencing tokens rise from those of a map, and must stay within 64 bits.
MAX_COUNTER = 2**62
MAX_INCARNATION = 2**63 - 1
MAX_PORT = 65535


class MapVersionError(ValueError):
    """The map was written by a later release, in a format of its own."""


@dataclass(frozen=True)
class Owner:
    """One incarnation of a backend server that may own keys."""

    backend_id: str
    incarnation: int
    host: str
    port: int

    @property
    def incarnation_id(self) -> str:
        """The text "id/incarnation", unique for each incarnation of each server."""
        return f"{self.backend_id}/{self.incarnation}"

    @property
    def peer(self) -> str:
        """The address, for logs."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class Assignment:
    """A range of keys, both ends inclusive, its owner (None: unassigned) and its fencing token."""

    first: int
    last: int
    fence: int
    owner: Owner | None

    @property
    def key_count(self) -> int:
        """The number of keys in the range."""
        return self.last - self.first + 1


@dataclass(frozen=True)
class ShardMap:
    """All keys of a service, in order; `next_fence` is above every fence used so far."""

    service: str
    # The daemon elected to grant keys in this term; empty after its orderly shutdown.
    granter: str
    # Increases by one with each newly elected granter.
    term: int
    next_fence: int
    assignments: tuple[Assignment, ...]

    @cached_property
    def _starts(self) -> list[int]:
        return [assignment.first for assignment in self.assignments]

    def assignment_for(self, key: int) -> Assignment:
        """Return the assignment that contains a key."""
        return self.assignments[bisect_right(self._starts, key) - 1]

    def owned_by(self, owner: Owner) -> list[Assignment]:
        """Return the assignments of an owner."""
        return [assignment for assignment in self.assignments if assignment.owner == owner]

    def owners_of(self, first: int, last: int) -> set[Owner | None]:
        """Return the owners of the keys of a range, None among them if any has no owner."""
        start, end = _overlap(self.assignments, first, last)
        return {assignment.owner for assignment in self.assignments[start:end]}

    @property
    def owners(self) -> list[Owner]:
        """The owners, each once, in order of their first key."""
        return list(dict.fromkeys(a.owner for a in self.assignments if a.owner is not None))

    def split_around(self, first: int, last: int) -> ShardMap:
        """Return the map split before `first` and after `last`; owners and fences are unchanged."""
        return replace(self, assignments=_split(_split(self.assignments, first), last + 1))

    def assign(self, changes: Iterable[tuple[int, int, Owner | None]]) -> ShardMap:
        """Return the map with each range assigned to its new owner, with a new fence for each."""
        assignments, fence = self.assignments, self.next_fence
        for first, last, owner in changes:
            assignments = _replace_range(assignments, Assignment(first, last, fence, owner))
            fence += 1
        return replace(self, assignments=assignments, next_fence=fence)

    def merge(self, newer: Iterable[Assignment], next_fence: int) -> ShardMap | None:
        """Return the map with newer assignments; None when one of them is outdated."""
        assignments = self.assignments
        for assignment in newer:
            start, end = _overlap(assignments, assignment.first, assignment.last)
            if any(a.fence >= assignment.fence for a in assignments[start:end]):
                return None
            assignments = _replace_range(assignments, assignment)
        return replace(self, assignments=assignments, next_fence=next_fence)

    def merge_newer(self, assignments: Iterable[Assignment]) -> ShardMap:
        """Return the map with those assignments whose fences are above all that they replace."""
        merged = self
        for assignment in assignments:
            next_fence = max(merged.next_fence, assignment.fence + 1)
            merged = merged.merge([assignment], next_fence) or merged
        return merged

    def next_term(self, granter: str, floor: int = 0) -> ShardMap:
        """Return the map of the next term: the same owners, with fences above all earlier ones.

        Term and fences are above `floor` too. Adjacent ranges of one owner are joined, as they get
        a new fence anyway.
        """
        joined: list[Assignment] = []
        for assignment in self.assignments:
            if joined and joined[-1].owner == assignment.owner:
                joined[-1] = replace(joined[-1], last=assignment.last)
            else:
                joined.append(assignment)
        fence = max(self.next_fence, floor + 1)
        assignments = tuple(
            replace(assignment, fence=fence + index) for index, assignment in enumerate(joined)
        )
        return replace(
            self,
            granter=granter,
            term=max(self.term, floor) + 1,
            assignments=assignments,
            next_fence=fence + len(assignments),
        )


def _overlap(assignments: tuple[Assignment, ...], first: int, last: int) -> tuple[int, int]:
    """Return the slice of the assignments, which are in order, that overlap a range."""
    start = bisect_right(assignments, first, key=_first_key) - 1
    return start, bisect_right(assignments, last, lo=start, key=_first_key)


def _first_key(assignment: Assignment) -> int:
    return assignment.first


def _split(assignments: tuple[Assignment, ...], key: int) -> tuple[Assignment, ...]:
    """Return the assignments split before a key."""
    position = bisect_right(assignments, key, key=_first_key) - 1
    if position < 0 or not assignments[position].first < key <= assignments[position].last:
        return assignments
    split = assignments[position]
    parts = (replace(split, last=key - 1), replace(split, first=key))
    return (*assignments[:position], *parts, *assignments[position + 1 :])


def _replace_range(assignments: tuple[Assignment, ...], new: Assignment) -> tuple[Assignment, ...]:
    """Return the assignments with one in place of what they say of its range."""
    start, end = _overlap(assignments, new.first, new.last)
    before, after = assignments[start], assignments[end - 1]
    kept_before = (replace(before, last=new.first - 1),) if before.first < new.first else ()
    kept_after = (replace(after, first=new.last + 1),) if after.last > new.last else ()
    return (*assignments[:start], *kept_before, new, *kept_after, *assignments[end:])


def encode_map(shard_map: ShardMap) -> bytes:
    """Encode a map for the store."""
    owners = shard_map.owners
    index = {owner: number for number, owner in enumerate(owners)}
    return bytes(
        msgpack.packb(
            [
                FORMAT_VERSION,
                shard_map.service,
                shard_map.granter,
                shard_map.term,
                shard_map.next_fence,
                [[owner.backend_id, owner.incarnation, owner.host, owner.port] for owner in owners],
                [
                    [a.first, a.fence, -1 if a.owner is None else index[a.owner]]
                    for a in shard_map.assignments
                ],
            ]
        )
    )


def decode_map(data: bytes) -> ShardMap:
    """Decode a map from the store; raise MapVersionError, or ValueError for other data."""
    try:
        row = msgpack.unpackb(data)
    except (msgpack.UnpackException, TypeError, ValueError) as error:
        raise ValueError(f"not a shard map: {type(error).__name__}") from error
    match row:
        case [int(version), *_] if version > FORMAT_VERSION:
            raise MapVersionError(f"shard map of version {version}, not {FORMAT_VERSION}")
        case [
            int(version),
            str(service),
            str(granter),
            term,
            next_fence,
            list(owner_rows),
            list(range_rows),
        ] if (
            version == FORMAT_VERSION
        ):
            owners = [_decode_owner(owner_row) for owner_row in owner_rows]
            return ShardMap(
                service,
                granter,
                _decode_number(term, MAX_COUNTER),
                _decode_number(next_fence, MAX_COUNTER),
                _decode_assignments(range_rows, owners),
            )
    raise ValueError("not a shard map: fields are missing or of another type")


def _decode_owner(row: object) -> Owner:
    match row:
        case [str(backend_id), incarnation, str(host), port]:
            return Owner(
                backend_id,
                _decode_number(incarnation, MAX_INCARNATION),
                host,
                _decode_number(port, MAX_PORT),
            )
    raise ValueError("not a shard map: an owner is malformed")


def _decode_assignments(rows: list[object], owners: list[Owner]) -> tuple[Assignment, ...]:
    """Return the assignments; raises ValueError if they do not cover all keys in order."""
    assignments: list[Assignment] = []
    last = KEY_COUNT - 1
    for row in reversed(rows):
        match row:
            case [first, fence, -1]:
                owner = None
            case [first, fence, number]:
                owner = owners[_decode_number(number, len(owners) - 1)]
            case _:
                raise ValueError("not a shard map: a range is malformed")
        first = _decode_number(first, last)
        assignments.append(Assignment(first, last, _decode_number(fence, MAX_COUNTER), owner))
        last = first - 1
    if last != -1:
        raise ValueError("not a shard map: its ranges do not cover all keys")
    return tuple(reversed(assignments))


def _decode_number(value: object, maximum: int) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        raise ValueError("not a shard map: a number is of another type or out of range")
    return value
