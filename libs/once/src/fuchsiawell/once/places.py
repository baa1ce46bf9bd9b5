"""Where keys lie, so that of many intents only those of the shards taken over are kept."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["PLACE_BYTES", "Places", "place_of"]

PLACE_BYTES = 8


def place_of(key: str) -> bytes:
    """Return the digest from which `core.shard_of` takes a key's shard."""
    return blake2b(key.encode(), digest_size=PLACE_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Places:
    """Hold the shards and single keys that are of interest, of all services together."""

    indexes_by_count: Mapping[int, frozenset[int]]  # shard indexes by the service's shard count
    keys: frozenset[bytes] = frozenset()  # of `place_of`, for pinned keys

    def covers(self, place: bytes) -> bool:
        """Tell whether a key that lies at `place` may be of interest."""
        if place in self.keys:
            return True
        number = int.from_bytes(place, "big")
        return any(number % count in found for count, found in self.indexes_by_count.items())
