"""Plan which keys move: off removed servers, to new servers, and off hot servers."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from heapq import nlargest
from math import inf
from typing import TYPE_CHECKING

from fuchsiawell.shards.range_index import RangeSet, RateIndex
from fuchsiawell.shards.shard_map import KEY_COUNT, Assignment, Owner, ShardMap

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

__all__ = ["Member", "Move", "initial_map", "plan_moves"]

# Adjacent ranges have different owners, so that a busy region of keys spreads over several servers.
INITIAL_RANGES_PER_OWNER = 2
# A hot server gives up keys when its utilization (busy time per second and slot) exceeds the lowest
# one by this much. A smaller difference does not justify the cost of a move and its blocked range.
MIN_UTILIZATION_GAP = 0.12
# A server with a lower utilization is not hot.
HOT_UTILIZATION = 0.25
# Bounds the keys that are blocked at the same time, and the calls to one server at the same time.
MAX_MOVES_PER_ROUND = 8
# With more members a round has one move for so many of them, as long as any is overloaded.
MEMBERS_PER_MOVE = 4
# A member above the first gives up keys in pieces that take their new owners to the second, where
# keys can be divided so. It also divides ranges that have just moved: the first plans for keys that
# become hot see a part of their load.
OVERLOAD_UTILIZATION, TARGET_UTILIZATION = 1.0, 0.7
# A single key that needs this share of its owner's capacity moves to a server that is faster by
# this factor, which then gives up the rest of its keys.
HOT_KEY_UTILIZATION, MIN_SPEEDUP = 0.6, 1.2
# Moving a range with fewer requests per second off a hot server changes nothing.
MIN_MOVED_RATE_PER_S = 0.3
# Limits how far ranges are split; each range is renewed by a call of its own.
MAX_RANGES_PER_OWNER = 8


@dataclass(frozen=True)
class Member:
    """A server that may own keys, and its capacity."""

    owner: Owner
    # Slots divided by the latency factor: seconds of service time that it executes per second.
    capacity: float
    # Requests per second that it takes at most, as a cold server; None: no bound.
    max_rate_per_s: float | None = None


@dataclass(frozen=True)
class Move:
    """A range of keys that moves to another owner; `source` is None for an unassigned range."""

    first: int
    last: int
    source: Owner | None
    target: Owner


def initial_map(service: str, granter: str, members: Sequence[Member]) -> ShardMap:
    """Return the first map of a service: all keys in equal ranges, assigned in turn."""
    ranges = len(members) * INITIAL_RANGES_PER_OWNER
    assignments = tuple(
        Assignment(
            number * KEY_COUNT // ranges,
            (number + 1) * KEY_COUNT // ranges - 1,
            number + 1,
            members[number % len(members)].owner,
        )
        for number in range(ranges)
    )
    return ShardMap(service, granter, 1, ranges + 1, assignments)


def plan_moves(
    shard_map: ShardMap,
    members: Sequence[Member],
    rates: Mapping[int, float],
    service_time_s: float,
    pinned_owners: Collection[Owner] = (),
    recently_moved: Collection[tuple[int, int]] = (),
    busiest_first: bool = False,
    moving: Collection[tuple[int, int]] = (),
) -> list[Move]:
    """Return the next moves; `rates` are requests per second by key.

    Keys of owners that are not in `members` move first, then members without keys get some, then
    members above their bounds give up the excess, then hot members give up some. `pinned_owners`
    give up no keys. Ranges in `recently_moved` stay, unless their owner is no longer a member: a
    server that has just got a hot key looks slow for a while, and moving the key again would only
    block it again. With `busiest_first` the ranges with the most requests are the first to leave
    removed owners. `moving` ranges are those of the map that are on their way to the owner that it
    names; they stay, unless that owner is no longer a member.
    """
    if not members:
        return []
    plan = _Plan(shard_map, members, rates, service_time_s, pinned_owners, recently_moved, moving)
    plan.drain_removed_owners(busiest_first)
    plan.assign_to_new_members()
    plan.relieve_bounded_members()
    if not plan.moves:
        plan.move_hot_keys()
        plan.rebalance_hot_members()
    return plan.moves


class _Plan:
    def __init__(
        self,
        shard_map: ShardMap,
        members: Sequence[Member],
        rates: Mapping[int, float],
        service_time_s: float,
        pinned_owners: Collection[Owner],
        recently_moved: Collection[tuple[int, int]],
        moving: Collection[tuple[int, int]],
    ) -> None:
        self.moves: list[Move] = []
        self._members = {member.owner: member for member in members}
        self._rates = rates
        self._rate_index = RateIndex(rates)
        self._service_time_s = service_time_s
        self._pinned_owners = set(pinned_owners)
        self._recently_moved = RangeSet([*recently_moved, *moving])
        # In order of their keys, and their first keys.
        self._assignments = list(shard_map.assignments)
        self._firsts = [assignment.first for assignment in self._assignments]
        self._ranges_by_owner: dict[Owner | None, dict[int, Assignment]] = {}
        for assignment in self._assignments:
            self._index(assignment)
        self._moved_firsts = {first for first, _ in moving}
        self._rate_by_owner = {owner: 0.0 for owner in self._members}
        self._key_count_by_owner = {owner: 0 for owner in self._members}
        for assignment in self._assignments:
            if assignment.owner in self._rate_by_owner:
                self._rate_by_owner[assignment.owner] += self._rate_in(
                    assignment.first, assignment.last
                )
                self._key_count_by_owner[assignment.owner] += assignment.key_count

    def drain_removed_owners(self, busiest_first: bool) -> None:
        """Move all ranges of owners that are not members."""
        assignments = list(self._assignments)
        if busiest_first:
            assignments.sort(key=lambda a: self._rate_in(a.first, a.last), reverse=True)
        for assignment in assignments:
            if assignment.owner in self._members or assignment.owner in self._pinned_owners:
                continue
            rate = self._rate_in(assignment.first, assignment.last)
            # Where no member has room, all of them share what is too much.
            targets = [o for o in self._members if rate <= self._room(o)] or list(self._members)
            target = min(targets, key=self._load_order)
            self._add_move(Move(assignment.first, assignment.last, assignment.owner, target))

    def assign_to_new_members(self) -> None:
        """Move keys of the most loaded member to members without keys."""
        for owner in [
            owner for owner, key_count in self._key_count_by_owner.items() if key_count == 0
        ]:
            donors = [
                o
                for o in self._members
                if self._key_count_by_owner[o] > 1 and o not in self._pinned_owners
            ]
            if not donors or len(self.moves) >= MAX_MOVES_PER_ROUND:
                return
            donor = max(donors, key=self._load_order)
            desired_rate = min(self._rate_by_owner[donor] / 2, self._room(owner))
            self._move_rate(donor, owner, desired_rate, desired_rate)

    def relieve_bounded_members(self) -> None:
        """Move what is above the bounds of members to members with room."""
        above = [o for o in self._members if self._room(o) < 0.0 and o not in self._pinned_owners]
        for donor in sorted(above, key=self._room):
            for _ in range(MAX_MOVES_PER_ROUND):
                if len(self.moves) >= max(MAX_MOVES_PER_ROUND, len(above)):
                    return
                excess = -self._room(donor)
                target = max(self._members, key=self._rate_to_overload)
                free_rate = self._rate_to_overload(target)
                if excess <= 0.0 or target == donor or free_rate < MIN_MOVED_RATE_PER_S:
                    break
                rate = max(excess, MIN_MOVED_RATE_PER_S)
                # A key above the excess moves only if no smaller range does.
                if not any(
                    self._move_rate(donor, target, min(rate, free_rate), most, settling=True)
                    for most in (rate, inf)
                ):
                    break

    def move_hot_keys(self) -> None:
        """Move each key that fills its server to the fastest server without such a key."""
        hottest = nlargest(MAX_MOVES_PER_ROUND, ((rate, key) for key, rate in self._rates.items()))
        used_owners: set[Owner] = set()
        for rate, key in hottest:
            owner = self._assignments[bisect_right(self._firsts, key) - 1].owner
            current = self._members.get(owner) if owner is not None else None
            if (
                current is None
                or rate * self._service_time_s < HOT_KEY_UTILIZATION * current.capacity
            ):
                return
            used_owners.add(current.owner)
            if self._recently_moved.overlaps(key, key):
                continue
            targets = [
                m
                for m in self._members.values()
                if m.owner not in used_owners and rate <= self._room(m.owner)
            ]
            best = max(targets, key=lambda member: member.capacity, default=None)
            if best is None or current.owner in self._pinned_owners:
                continue
            if best.capacity >= MIN_SPEEDUP * current.capacity:
                used_owners.add(best.owner)
                self._add_move(Move(key, key, current.owner, best.owner))

    def rebalance_hot_members(self) -> None:
        """Move ranges from the most utilized members to the least utilized ones."""
        exhausted: set[Owner] = set()
        moves_by_donor: Counter[Owner] = Counter()
        for _ in range(max(MAX_MOVES_PER_ROUND, len(self._members) // MEMBERS_PER_MOVE)):
            donors = [
                o for o in self._members if o not in self._pinned_owners and o not in exhausted
            ]
            if not donors:
                return
            donor = max(donors, key=self._utilization)
            target = max(self._members, key=self._free_rate)
            # Where no member has room, small pieces only add blocked ranges.
            relieve = (
                self._utilization(donor) > OVERLOAD_UTILIZATION
                and self._free_rate(target) >= MIN_MOVED_RATE_PER_S
            )
            if not relieve:
                if len(self.moves) >= MAX_MOVES_PER_ROUND:
                    return
                target = min(self._members, key=self._utilization)
            gap = self._utilization(donor) - self._utilization(target)
            if self._utilization(donor) < HOT_UTILIZATION or gap < MIN_UTILIZATION_GAP:
                return
            if (
                len(self._movable_ranges(donor)) + len(self._movable_ranges(target))
                > 2 * MAX_RANGES_PER_OWNER
            ):
                exhausted.add(donor)
                continue
            donor_capacity, target_capacity = (
                self._members[donor].capacity,
                self._members[target].capacity,
            )
            equal_rate = (
                gap
                / self._service_time_s
                * donor_capacity
                * target_capacity
                / (donor_capacity + target_capacity)
            )
            desired_rate = min(equal_rate, self._free_rate(target)) if relieve else equal_rate
            if not self._move_rate(donor, target, desired_rate, equal_rate, settling=relieve):
                exhausted.add(donor)
                continue
            moves_by_donor[donor] += 1
            if moves_by_donor[donor] == MAX_MOVES_PER_ROUND:
                exhausted.add(donor)

    def _move_rate(
        self,
        donor: Owner,
        target: Owner,
        desired_rate: float,
        equal_rate: float,
        settling: bool = False,
    ) -> bool:
        """Move the range that comes closest to a rate, and to no more than the equal one.

        `settling` allows to divide ranges that have just moved.
        """
        best: tuple[float, int, int] | None = None
        room = self._room(target)
        for assignment in self._movable_ranges(donor, settling):
            for first, last, rate in self._candidate_ranges(assignment):
                if (
                    settling
                    and self._recently_moved.overlaps(first, last)
                    and (first == assignment.first and last == assignment.last)
                ):
                    # A range that has moved is divided, but does not move on as a whole.
                    continue
                if desired_rate > 0 and not MIN_MOVED_RATE_PER_S <= rate <= 1.2 * equal_rate:
                    continue
                if rate > room:
                    continue
                score = (
                    abs(rate - desired_rate) / max(desired_rate, 1e-9) + (last - first) / KEY_COUNT
                )
                if best is None or score < best[0]:
                    best = (score, first, last)
        if best is None:
            return False
        self._add_move(Move(best[1], best[2], donor, target))
        return True

    def _candidate_ranges(self, assignment: Assignment) -> list[tuple[int, int, float]]:
        inside = self._rate_index.items_in(assignment.first, assignment.last)
        total = sum(rate for _, rate in inside)
        if not inside:
            middle = (assignment.first + assignment.last + 1) // 2
            return [(middle, assignment.last, 0.0)] if assignment.key_count > 1 else []
        candidates = [(assignment.first, assignment.last, total)]
        rate_so_far = 0.0
        for key, rate in inside:
            if key > assignment.first:
                candidates.append((key, assignment.last, total - rate_so_far))
            rate_so_far += rate
            if key < assignment.last:
                candidates.append((assignment.first, key, rate_so_far))
        return candidates

    def _add_move(self, move: Move) -> None:
        rate = self._rate_in(move.first, move.last)
        key_count = move.last - move.first + 1
        if move.source in self._members:
            self._rate_by_owner[move.source] -= rate
            self._key_count_by_owner[move.source] -= key_count
        self._rate_by_owner[move.target] += rate
        self._key_count_by_owner[move.target] += key_count
        start = bisect_right(self._firsts, move.first) - 1
        end = bisect_right(self._firsts, move.last)
        replaced = self._assignments[start:end]
        added = [Assignment(move.first, move.last, 0, move.target)]
        if replaced[0].first < move.first:
            added.insert(0, Assignment(replaced[0].first, move.first - 1, 0, replaced[0].owner))
        if replaced[-1].last > move.last:
            added.append(Assignment(move.last + 1, replaced[-1].last, 0, replaced[-1].owner))
        self._assignments[start:end] = added
        self._firsts[start:end] = [assignment.first for assignment in added]
        for assignment in replaced:
            del self._ranges_by_owner[assignment.owner][assignment.first]
        for assignment in added:
            self._index(assignment)
        self._moved_firsts.add(move.first)
        self.moves.append(move)

    def _index(self, assignment: Assignment) -> None:
        self._ranges_by_owner.setdefault(assignment.owner, {})[assignment.first] = assignment

    def _movable_ranges(self, owner: Owner, settling: bool = False) -> list[Assignment]:
        """Return the ranges of an owner that may move; those that have moved, if `settling`."""
        # A range that moves in this round does not move again.
        return [
            assignment
            for first, assignment in sorted(self._ranges_by_owner.get(owner, {}).items())
            if first not in self._moved_firsts
            and (settling or not self._recently_moved.overlaps(first, assignment.last))
        ]

    def _rate_in(self, first: int, last: int) -> float:
        return self._rate_index.rate_in(first, last)

    def _utilization(self, owner: Owner) -> float:
        return self._rate_by_owner[owner] * self._service_time_s / self._members[owner].capacity

    def _free_rate(self, owner: Owner) -> float:
        """Return the requests per second that take a member to `TARGET_UTILIZATION`."""
        return self._rate_to(TARGET_UTILIZATION, owner)

    def _rate_to_overload(self, owner: Owner) -> float:
        """Return the requests per second that take a member to `OVERLOAD_UTILIZATION`.

        Requests above the bound of another member are refused there, so that they are worth more
        than the usual reserve.
        """
        return self._rate_to(OVERLOAD_UTILIZATION, owner)

    def _rate_to(self, utilization: float, owner: Owner) -> float:
        capacity = self._members[owner].capacity
        rate = utilization * capacity / self._service_time_s - self._rate_by_owner[owner]
        return min(rate, self._room(owner))

    def _room(self, owner: Owner) -> float:
        """Return the requests per second that take a member to its bound."""
        max_rate_per_s = self._members[owner].max_rate_per_s
        return inf if max_rate_per_s is None else max_rate_per_s - self._rate_by_owner[owner]

    def _load_order(self, owner: Owner) -> tuple[float, int]:
        return (round(self._utilization(owner), 3), self._key_count_by_owner[owner])
