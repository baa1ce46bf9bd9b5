"""Weights by key, with the heaviest key at hand."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

__all__ = ["Heaviest"]

K = TypeVar("K")

STALE_FACTOR = 4  # outdated heap items kept a live one, before the heap is rebuilt
STALE_MIN = 64
EMPTY_WEIGHT = 1e-9  # a sum of additions and their removals ends this near to zero


class Heaviest(Generic[K]):
    """Sum weights by key and name the heaviest in O(log n) amortized."""

    def __init__(self) -> None:
        self._weight_by_key: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = count()

    def weight(self, key: K) -> float:
        """Return the key's weight, 0 for an unknown key."""
        return self._weight_by_key.get(key, 0.0)

    def add(self, key: K, delta: float) -> None:
        """Add to the key's weight; a key whose weight returns to zero is forgotten."""
        weight = self.weight(key) + delta
        if weight <= EMPTY_WEIGHT:
            self._weight_by_key.pop(key, None)
            return
        self._weight_by_key[key] = weight
        heappush(self._heap, (-weight, next(self._sequence), key))
        if len(self._heap) > STALE_FACTOR * len(self._weight_by_key) + STALE_MIN:
            self._rebuild()

    def heaviest(self) -> K | None:
        """Return the key of the largest weight, `None` if all are zero."""
        while self._heap:
            negative, _, key = self._heap[0]
            if self._weight_by_key.get(key) == -negative:
                return key
            heappop(self._heap)
        return None

    def _rebuild(self) -> None:
        self._heap = [
            (-weight, next(self._sequence), key) for key, weight in self._weight_by_key.items()
        ]
        heapify(self._heap)
