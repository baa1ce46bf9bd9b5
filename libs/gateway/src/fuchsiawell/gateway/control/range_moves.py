"""Key ranges of one service on their way to another owner, each independent of the others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from fuchsiawell.shards import Move, Owner, ShardMap

__all__ = ["MovingRange", "RangeMoves"]

# At most so many ranges wait for a release or for the write of their new owner: each takes a
# connection to its owner, and a row in the datagrams that block it and name its new owner.
MAX_HELD_RANGES = 64
# At most so many ranges of one owner: an owner that hangs holds back no more of its keys, and each
# release is a call to it.
MAX_HELD_PER_OWNER = 8
# Blocks are sent again at this interval: a daemon ends them after 1.5 s, and one of two datagrams
# may be lost.
BLOCK_REPEAT_S = 0.6


class Step(Enum):
    """What a moving range waits for."""

    RELEASING = "release by its owner, or the end of its grant"
    FREE = "the next write of the map"
    STORING = "the end of that write"
    GRANTING = "the answer of its new owner"


HELD_STEPS = (Step.RELEASING, Step.FREE, Step.STORING)


@dataclass
class MovingRange:
    """A range that moves, or that gets a new fencing token for the same owner."""

    move: Move
    # When daemons were first and last told to hold back its requests.
    blocked_s: float
    block_sent_s: float
    step: Step = Step.RELEASING
    handover: str | None = None
    is_regrant: bool = False


class RangeMoves:
    """Moves from the block of a range to its grant; a range is in one move at a time."""

    def __init__(self) -> None:
        self._by_range: dict[tuple[int, int], MovingRange] = {}

    def __contains__(self, key_range: tuple[int, int]) -> bool:
        return key_range in self._by_range

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether a key of a range moves."""
        return any(a <= last and first <= b for a, b in self._by_range)

    @property
    def ranges(self) -> Collection[tuple[int, int]]:
        """All ranges that move, first and last key."""
        return self._by_range.keys()

    @property
    def held(self) -> list[tuple[int, int]]:
        """The ranges whose requests are held back until their new owner is stored."""
        return [r for r, moving in self._by_range.items() if moving.step in HELD_STEPS]

    @property
    def any_free(self) -> bool:
        """Return whether a range can be stored for its new owner."""
        return any(moving.step is Step.FREE for moving in self._by_range.values())

    def is_granting_to(self, owner: Owner) -> bool:
        """Return whether an owner has not answered yet for a range that is stored for it."""
        return any(
            moving.step is Step.GRANTING and moving.move.target == owner
            for moving in self._by_range.values()
        )

    def admit(self, planned: Iterable[Move], needs_release: Callable[[Move], bool]) -> list[Move]:
        """Return the planned moves that may begin now, in their order."""
        held = Counter(
            moving.move.source for moving in self._by_range.values() if moving.step in HELD_STEPS
        )
        total = held.total()
        taken = list(self._by_range)
        admitted = []
        for move in planned:
            if any(first <= move.last and move.first <= last for first, last in taken):
                continue
            if needs_release(move):
                if total >= MAX_HELD_RANGES or held[move.source] >= MAX_HELD_PER_OWNER:
                    continue
                held[move.source] += 1
                total += 1
            taken.append((move.first, move.last))
            admitted.append(move)
        return admitted

    def begin(self, move: Move, now_s: float) -> None:
        """Add a move whose range is being blocked."""
        self._by_range[move.first, move.last] = MovingRange(move, now_s, now_s)

    def begin_regrant(self, move: Move, now_s: float) -> MovingRange:
        """Add a range that gets a new fencing token for the same owner and is not blocked."""
        moving = MovingRange(move, now_s, now_s, Step.GRANTING, is_regrant=True)
        self._by_range[move.first, move.last] = moving
        return moving

    def record_released(self, move: Move, is_free: bool, handover: str | None) -> None:
        """Record the end of a release; a range that is not free waits for the end of its grant."""
        key_range = move.first, move.last
        if not is_free:
            del self._by_range[key_range]
            return
        moving = self._by_range[key_range]
        moving.step, moving.handover = Step.FREE, handover

    def has_lost_target(self, members: Collection[Owner]) -> bool:
        """Return whether a range that is not stored yet moves to a server that is no member."""
        return any(moving.move.target not in members for moving in self._unstored())

    def retarget(self, planned: Iterable[Move]) -> None:
        """Apply the planned targets of ranges whose targets are no longer members."""
        for move in planned:
            moving = self._by_range.get((move.first, move.last))
            if moving is not None and moving.step in (Step.RELEASING, Step.FREE):
                moving.move = replace(moving.move, target=move.target)

    def planned_map(self, shard_map: ShardMap, members: Collection[Owner]) -> ShardMap:
        """Return the map as if all moves had ended; ranges whose target is lost have no owner."""
        unstored = [(m.move, m.move.target) for m in self._unstored()]
        storing = [m.move for m in self._by_range.values() if m.step is Step.STORING]
        return shard_map.assign(
            [(move.first, move.last, t if t in members else None) for move, t in unstored]
            + [(move.first, move.last, move.target) for move in storing]
        )

    def take_free(self, members: Collection[Owner]) -> list[MovingRange]:
        """Return the free ranges whose targets are members, to be stored now."""
        free = [
            moving
            for moving in self._by_range.values()
            if moving.step is Step.FREE and moving.move.target in members
        ]
        for moving in free:
            moving.step = Step.STORING
        return free

    def finish(self, moving: MovingRange) -> None:
        """Remove a range whose grant has ended, answered or not."""
        del self._by_range[moving.move.first, moving.move.last]

    def blocks_due(self, now_s: float, interval_s: float = BLOCK_REPEAT_S) -> list[tuple[int, int]]:
        """Return the held ranges whose blocks are to be sent again now."""
        due = [
            moving
            for moving in self._by_range.values()
            if moving.step in HELD_STEPS and now_s - moving.block_sent_s >= interval_s
        ]
        for moving in due:
            moving.block_sent_s = now_s
        return [(moving.move.first, moving.move.last) for moving in due]

    def _unstored(self) -> list[MovingRange]:
        return [m for m in self._by_range.values() if m.step in (Step.RELEASING, Step.FREE)]
