"""Decide which keys move: away from servers that leave, to new ones, and off hot ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fuchsiawell.shards.shard_map import KEY_COUNT, Assignment, Owner, ShardMap

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

__all__ = ["Member", "Move", "initial_map", "plan_moves"]

# Ranges each server gets at first: neighbours differ, so that a busy region meets several servers.
FIRST_PIECES = 2
# A hot server sheds keys when it is this much busier than the least busy one (in its own work
# time per second and slot); smaller differences are not worth a move's pause and price.
WORTH_MOVING = 0.12
# A server below this share of its slots is not hot.
HOT_FROM = 0.25
# Moves at most in one round, so that few keys pause at a time.
MOVES_A_ROUND = 8
# A single key that needs this part of its holder's capacity moves to a server that is faster by
# this factor, which then sheds the rest of its keys.
HOT_KEY_PART, FASTER = 0.6, 1.2
# Requests a second below which moving a piece of a hot server's keys changes nothing.
LEAST_RATE = 0.3
# Ranges a server may come to hold by splitting; each is renewed by a call of its own.
PIECES_PER_OWNER = 8


@dataclass(frozen=True)
class Member:
    """A server that may hold keys, and the work it does in a second for one request a second."""

    owner: Owner
    # Slots divided by slowness: how much work it does at a time.
    capacity: float


@dataclass(frozen=True)
class Move:
    """Keys that change hands; `source` is None when nobody held them."""

    first: int
    last: int
    source: Owner | None
    target: Owner


def initial_map(service: str, granter: str, members: Sequence[Member]) -> ShardMap:
    """Deal all keys in equal ranges."""
    pieces = len(members) * FIRST_PIECES
    assignments = tuple(
        Assignment(
            number * KEY_COUNT // pieces,
            (number + 1) * KEY_COUNT // pieces - 1,
            number + 1,
            members[number % len(members)].owner,
        )
        for number in range(pieces)
    )
    return ShardMap(service, granter, 1, pieces + 1, assignments)


def plan_moves(
    shard_map: ShardMap,
    members: Sequence[Member],
    rates: Mapping[int, float],
    service_time_s: float,
    frozen: Collection[Owner] = (),
    settled: Collection[tuple[int, int]] = (),
) -> list[Move]:
    """Return the next moves; `rates` are requests a second by key, `frozen` owners give up none.

    Ranges in `settled` moved lately and stay where they are, unless their holder leaves: a server
    that has just got a hot key looks slow for a while, and moving it on would only pause it again.
    Keys of owners that are no members move first, then new members get some, then hot ones shed.
    """
    if not members:
        return []
    draft = _Draft(shard_map, members, rates, service_time_s, frozen, settled)
    draft.empty_leavers()
    draft.feed_newcomers()
    if not draft.moves:
        draft.lift_hot_keys()
        draft.cool_hot_ones()
    return draft.moves


class _Draft:
    def __init__(
        self,
        shard_map: ShardMap,
        members: Sequence[Member],
        rates: Mapping[int, float],
        service_time_s: float,
        frozen: Collection[Owner],
        settled: Collection[tuple[int, int]],
    ) -> None:
        self.moves: list[Move] = []
        self._members = {member.owner: member for member in members}
        self._rates = sorted(rates.items())
        self._work_s = service_time_s
        self._frozen = set(frozen)
        self._settled = list(settled)
        self._holdings = list(shard_map.assignments)
        self._load = {owner: 0.0 for owner in self._members}
        self._spans = {owner: 0 for owner in self._members}
        for holding in self._holdings:
            if holding.owner in self._load:
                self._load[holding.owner] += self._rate(holding.first, holding.last)
                self._spans[holding.owner] += holding.span

    def empty_leavers(self) -> None:
        """Give away what servers that are no members hold."""
        for holding in self._holdings:
            if holding.owner in self._members or holding.owner in self._frozen:
                continue
            target = min(self._members, key=self._fullness)
            self._record(Move(holding.first, holding.last, holding.owner, target))

    def feed_newcomers(self) -> None:
        """Give servers without keys a part of the fullest one's."""
        for owner in [owner for owner, span in self._spans.items() if span == 0]:
            donors = [o for o in self._members if self._spans[o] > 1 and o not in self._frozen]
            if not donors or len(self.moves) >= MOVES_A_ROUND:
                return
            donor = max(donors, key=self._fullness)
            want = self._load[donor] / 2
            self._give(donor, owner, want)

    def lift_hot_keys(self) -> None:
        """Give a key that fills its server to the fastest server without such a key."""
        hot = sorted(((rate, key) for key, rate in self._rates), reverse=True)
        taken: set[Owner] = set()
        for rate, key in hot[:MOVES_A_ROUND]:
            owner = next(h.owner for h in self._holdings if h.first <= key <= h.last)
            here = self._members.get(owner) if owner is not None else None
            if here is None or rate * self._work_s < HOT_KEY_PART * here.capacity:
                return
            taken.add(here.owner)
            if self._is_settled(key, key):
                continue
            free = [m for m in self._members.values() if m.owner not in taken]
            best = max(free, key=lambda member: member.capacity, default=None)
            if best is None or here.owner in self._frozen:
                continue
            if best.capacity >= FASTER * here.capacity:
                taken.add(best.owner)
                self._record(Move(key, key, here.owner, best.owner))

    def cool_hot_ones(self) -> None:
        """Move pieces from the busiest servers to the least busy ones."""
        stuck: set[Owner] = set()
        for _ in range(MOVES_A_ROUND):
            donors = [o for o in self._members if o not in self._frozen and o not in stuck]
            if not donors:
                return
            donor = max(donors, key=self._busy)
            target = min(self._members, key=self._busy)
            gap = self._busy(donor) - self._busy(target)
            if self._busy(donor) < HOT_FROM or gap < WORTH_MOVING:
                return
            if len(self._pieces(donor)) + len(self._pieces(target)) > 2 * PIECES_PER_OWNER:
                stuck.add(donor)
                continue
            here, there = self._members[donor].capacity, self._members[target].capacity
            want = gap / self._work_s * here * there / (here + there)
            if not self._give(donor, target, want):
                stuck.add(donor)

    def _give(self, donor: Owner, target: Owner, want: float) -> bool:
        best: tuple[float, int, int] | None = None
        for holding in self._pieces(donor):
            for first, last, load in self._ends(holding):
                if want > 0 and not LEAST_RATE <= load <= 1.2 * want:
                    continue
                score = abs(load - want) / max(want, 1e-9) + (last - first) / KEY_COUNT
                if best is None or score < best[0]:
                    best = (score, first, last)
        if best is None:
            return False
        self._record(Move(best[1], best[2], donor, target))
        return True

    def _ends(self, holding: Assignment) -> list[tuple[int, int, float]]:
        inside = [(k, r) for k, r in self._rates if holding.first <= k <= holding.last]
        total = sum(rate for _, rate in inside)
        if not inside:
            middle = (holding.first + holding.last + 1) // 2
            return [(middle, holding.last, 0.0)] if holding.span > 1 else []
        ends = [(holding.first, holding.last, total)]
        taken = 0.0
        for key, rate in inside:
            if key > holding.first:
                ends.append((key, holding.last, total - taken))
            taken += rate
            if key < holding.last:
                ends.append((holding.first, key, taken))
        return ends

    def _record(self, move: Move) -> None:
        load = self._rate(move.first, move.last)
        span = move.last - move.first + 1
        if move.source in self._members:
            self._load[move.source] -= load
            self._spans[move.source] -= span
        self._load[move.target] += load
        self._spans[move.target] += span
        kept: list[Assignment] = []
        for holding in self._holdings:
            if holding.last < move.first or holding.first > move.last:
                kept.append(holding)
                continue
            if holding.first < move.first:
                kept.append(Assignment(holding.first, move.first - 1, 0, holding.owner))
            if holding.last > move.last:
                kept.append(Assignment(move.last + 1, holding.last, 0, holding.owner))
        kept.append(Assignment(move.first, move.last, 0, move.target))
        self._holdings = sorted(kept, key=lambda holding: holding.first)
        self.moves.append(move)

    def _pieces(self, owner: Owner) -> list[Assignment]:
        # What is about to move in this round stays where it goes.
        moved = {move.first for move in self.moves}
        return [
            h
            for h in self._holdings
            if h.owner == owner and h.first not in moved and not self._is_settled(h.first, h.last)
        ]

    def _is_settled(self, first: int, last: int) -> bool:
        return any(a <= last and first <= b for a, b in self._settled)

    def _rate(self, first: int, last: int) -> float:
        return sum(rate for key, rate in self._rates if first <= key <= last)

    def _busy(self, owner: Owner) -> float:
        return self._load[owner] * self._work_s / self._members[owner].capacity

    def _fullness(self, owner: Owner) -> tuple[float, int]:
        return (round(self._busy(owner), 3), self._spans[owner])
