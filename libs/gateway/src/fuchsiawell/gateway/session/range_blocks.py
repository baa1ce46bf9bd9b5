"""Key ranges whose requests are held back while they move to another owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fuchsiawell.shards import Assignment, ShardMap

__all__ = ["RangeBlocks"]

# A block ends after this time without news: the granter may have died.
MAX_BLOCK_S = 1.5


@dataclass(frozen=True)
class _Block:
    until_s: float
    # Of the range when the block arrived: a newer one shows that the range has moved.
    fence: int


class RangeBlocks:
    """Blocked key ranges by service; a block ends when its range has a newer fencing token."""

    def __init__(self) -> None:
        self._by_service: dict[str, dict[tuple[int, int], _Block]] = {}

    def block(
        self,
        service: str,
        ranges: Iterable[tuple[int, int]],
        shard_map: ShardMap | None,
        now_s: float,
    ) -> None:
        """Hold back requests for ranges, first and last key, for another MAX_BLOCK_S."""
        blocks = self._by_service.setdefault(service, {})
        for first, last in ranges:
            fence = shard_map.assignment_for(first).fence if shard_map is not None else 0
            blocks[first, last] = _Block(now_s + MAX_BLOCK_S, fence)

    def end_moved(self, shard_map: ShardMap) -> None:
        """End the blocks of ranges that have a newer fencing token in a map."""
        blocks = self._by_service.get(shard_map.service, {})
        for (first, last), block in list(blocks.items()):
            if shard_map.assignment_for(first).fence > block.fence:
                del blocks[first, last]

    def end_announced(self, service: str, assignments: Iterable[Assignment]) -> bool:
        """End the blocks of ranges whose new owner is announced; return whether there were any.

        Such a block may have arrived after the store's map, and so after the newer token.
        """
        blocks = self._by_service.get(service, {})
        ended = [
            (a.first, a.last)
            for a in assignments
            if (block := blocks.get((a.first, a.last))) is not None and block.fence <= a.fence
        ]
        for key_range in ended:
            del blocks[key_range]
        return bool(ended)

    def is_blocked(self, service: str, key: int, now_s: float) -> bool:
        """Return whether a key is in a blocked range."""
        blocks = self._by_service.get(service)
        if not blocks:
            return False
        if any(block.until_s <= now_s for block in blocks.values()):
            blocks = self._by_service[service] = {
                key_range: block for key_range, block in blocks.items() if block.until_s > now_s
            }
        return any(first <= key <= last for first, last in blocks)
